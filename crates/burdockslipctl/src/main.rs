//! Runs the operators' program.

use std::process::ExitCode;

use burdockslipctl::args::Burdockslipctl;
use burdockslipctl::run;

fn main() -> ExitCode {
    let args = Burdockslipctl::from_env_or_exit();
    let is_json = args.json;
    let outcome = burdockslip_runtime::block_on(run(args));
    if is_json {
        println!("{:#}", outcome.json);
    } else if outcome.status.is_report() {
        println!("{}", outcome.text);
    } else {
        eprintln!("{}", outcome.text);
    }
    ExitCode::from(outcome.status.code())
}
