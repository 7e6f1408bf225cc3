//! Entry point of the `burdockslip` program, which runs an entry host.

mod args;
mod commands;
mod exit_status;

use std::process::ExitCode;

fn main() -> ExitCode {
    match args::Burdockslip::from_env() {
        Ok(args) => commands::run(&args).into(),
        Err(error) => {
            if error.is_help() {
                println!("{error}");
                return exit_status::ExitStatus::Success.into();
            }
            eprintln!("error: {error}");
            exit_status::ExitStatus::Usage.into()
        }
    }
}
