//! Defines the exit statuses; `docs/operators.md` lists them.

use std::process::ExitCode;

/// Says how the program ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExitStatus {
    /// The command did what was asked.
    Success,
    /// The command failed while it ran.
    Failure,
    /// The command line was wrong.
    Usage,
    /// The settings or the catalogue are invalid.
    Invalid,
    /// A planned stop ended at its deadline with sessions left.
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
