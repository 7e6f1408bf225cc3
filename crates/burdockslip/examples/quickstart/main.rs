//! Shows session consistency on embedded stand-ins of the platform and the
//! databases: a session writes on one host, moves to another one and reads its
//! own write; then its key is withdrawn.
//!
//! `cargo run --release --example quickstart` runs the walk-through and exits.
//! With `--serve` it prints a `psql` command and runs until it is interrupted.

mod client;
mod site;

use std::process::ExitCode;

use burdockslip_runtime::block_on;
use futures::StreamExt;
use futures::channel::mpsc;

fn main() -> ExitCode {
    let is_serving = std::env::args().any(|arg| arg == "--serve");
    let (commands, receiver) = mpsc::unbounded();
    let (ready, started) = std::sync::mpsc::channel();
    let servers = std::thread::spawn(move || block_on(run(receiver, ready)));
    let Ok(access) = started.recv() else {
        eprintln!("error: the stand-ins did not start");
        return ExitCode::FAILURE;
    };
    println!("Platform, three databases and two hosts run in this process.");
    if is_serving {
        println!("{}", access.psql_line());
        println!("Press Ctrl-C to stop.");
        let _ = servers.join();
        return ExitCode::SUCCESS;
    }
    let outcome = client::walk_through(&access, &commands);
    drop(commands);
    let _ = servers.join();
    match outcome {
        Ok(()) => {
            println!("Done.");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the stand-ins and hosts until the sender of `commands` is dropped.
async fn run(
    mut commands: mpsc::UnboundedReceiver<site::Command>,
    ready: std::sync::mpsc::Sender<site::Access>,
) {
    let site = match site::Site::bind() {
        Ok(site) => site,
        Err(report) => {
            eprintln!("error: {report:?}");
            return;
        }
    };
    site.wait_until_ready().await;
    if ready.send(site.access()).is_err() {
        return;
    }
    while let Some(command) = commands.next().await {
        site.execute(&command);
    }
}
