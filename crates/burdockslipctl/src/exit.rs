//! Defines the exit codes.

use burdockslip_types::ErrorKind;

/// Lists the exit codes of the program, which stay the same between releases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// The command did what it was asked.
    Success = 0,
    /// A fault of the program or its environment.
    Failure = 1,
    /// The command line is wrong.
    Usage = 2,
    /// A file or the stored catalogue has faults; nothing was changed.
    Invalid = 3,
    /// Another operator changed the catalogue; nothing was changed.
    Conflict = 4,
    /// The store cannot be reached; nothing was changed.
    Unavailable = 5,
    /// The organisation, key or catalogue does not exist; nothing was changed.
    NotFound = 6,
    /// Some hosts do not have the revision in force or cannot be reached.
    Incomplete = 7,
    /// The store stopped answering and the change may or may not be in force.
    Unknown = 8,
    /// `diff` found differences.
    Different = 9,
}

impl ExitStatus {
    /// Returns the code.
    pub const fn code(self) -> u8 {
        self as u8
    }

    /// Returns whether the text is the result asked for, which goes to
    /// standard output, and not a message about a failure.
    pub const fn is_report(self) -> bool {
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
