//! Entry point of the operators' program.

use std::io::Write;
use std::process::ExitCode;

use burdockslipctl::args::Burdockslipctl;
use burdockslipctl::run;

fn main() -> ExitCode {
    let args = Burdockslipctl::from_env_or_exit();
    let is_json = args.json;
    let outcome = burdockslip_runtime::block_on(run(args));
    let text = if is_json {
        format!("{:#}", outcome.json)
    } else {
        outcome.text
    };
    // A closed pipe, as with `head`, is not a failure of the command.
    let _ = if is_json || outcome.status.has_result() {
        writeln!(std::io::stdout(), "{text}")
    } else {
        writeln!(std::io::stderr(), "{text}")
    };
    ExitCode::from(outcome.status.code())
}
