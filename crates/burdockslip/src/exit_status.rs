//! Exit statuses; `docs/operators.md` lists them.

use std::process::ExitCode;

/// The exit status of the program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExitStatus {
    /// The command succeeded.
    Success,
    /// The command failed while it ran.
    Failure,
    /// The command line is invalid.
    Usage,
    /// The settings or the catalogue are invalid.
    Invalid,
    /// A planned stop reached its deadline, or a second signal ended it, with
    /// sessions still open.
    Unfinished,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(match status {
            ExitStatus::Success => 0,
            ExitStatus::Failure => 1,
            ExitStatus::Usage => 2,
            ExitStatus::Invalid => 3,
            ExitStatus::Unfinished => 4,
        })
    }
}
