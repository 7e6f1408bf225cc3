//! Exit codes.

use burdockslip_types::ErrorKind;

/// The exit codes of the program, which stay the same between releases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// The command succeeded.
    Success = 0,
    /// The program or its environment failed.
    Failure = 1,
    /// The command line is invalid.
    Usage = 2,
    /// A file or the stored catalogue has faults; nothing was changed.
    Invalid = 3,
    /// Another operator changed the catalogue; nothing was changed.
    Conflict = 4,
    /// The store cannot be reached; nothing was changed.
    Unavailable = 5,
    /// The organisation, key or catalogue does not exist; nothing was changed.
    NotFound = 6,
    /// Some hosts do not have the revision in force or are unreachable.
    Incomplete = 7,
    /// The store stopped responding, and the change may or may not have taken effect.
    Unknown = 8,
    /// `diff` found differences.
    Different = 9,
}

impl ExitStatus {
    /// Returns the numeric exit code.
    pub const fn code(self) -> u8 {
        self as u8
    }

    /// Returns whether the text of the outcome is the requested result, which
    /// goes to standard output, rather than an error message.
    pub const fn has_result(self) -> bool {
        matches!(self, Self::Success | Self::Incomplete | Self::Different)
    }
}

impl From<ErrorKind> for ExitStatus {
    fn from(kind: ErrorKind) -> Self {
        match kind {
            ErrorKind::InvalidInput | ErrorKind::TooLarge => Self::Invalid,
            ErrorKind::Conflict => Self::Conflict,
            ErrorKind::StoreUnavailable => Self::Unavailable,
            ErrorKind::OutcomeUnknown => Self::Unknown,
            _ => Self::Failure,
        }
    }
}
