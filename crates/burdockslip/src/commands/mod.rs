//! The commands, one module each.

mod check;
mod completion;
mod run;

use crate::args::{Burdockslip, BurdockslipCmd};
use crate::exit_status::ExitStatus;

/// Runs the subcommand of the command line.
pub(crate) fn run(args: &Burdockslip) -> ExitStatus {
    match &args.subcommand {
        BurdockslipCmd::Run(run) => run::run(&run.settings),
        BurdockslipCmd::Check(check) => check::run(&check.settings, check.catalogue.as_deref()),
        BurdockslipCmd::Version(_) => {
            println!("burdockslip {}", env!("CARGO_PKG_VERSION"));
            ExitStatus::Success
        }
        BurdockslipCmd::Completion(_) => completion::run(),
    }
}
