//! The `completion` command.

use crate::exit_status::ExitStatus;

const BASH: &str = r#"_burdockslip() {
    local word="${COMP_WORDS[COMP_CWORD]}"
    if [ "$COMP_CWORD" -eq 1 ]; then
        COMPREPLY=($(compgen -W "run check version completion help --help" -- "$word"))
    else
        COMPREPLY=($(compgen -f -- "$word"))
    fi
}
complete -F _burdockslip burdockslip"#;

/// Prints the completion script for bash.
pub(crate) fn run() -> ExitStatus {
    println!("{BASH}");
    ExitStatus::Success
}
