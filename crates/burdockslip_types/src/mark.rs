//! Terms, log positions and configuration revisions.

use std::fmt;

use crate::domain;

domain! {
    /// The number of a primary's term in a database group; each promotion increases it.
    #[derive(Copy, Default)]
    #[serde(transparent)]
    pub struct Term(pub u64);

    /// The index of an entry in the log of a database group.
    #[derive(Copy, Default)]
    #[serde(transparent)]
    pub struct LogIndex(pub u64);

    /// The revision that the store assigns to a change of the configuration.
    #[derive(Copy, Default)]
    #[serde(transparent)]
    pub struct Revision(pub u64);

    /// A position in the log of a database group, ordered by term and then by index.
    ///
    /// Only positions that a majority has confirmed are used as session floors,
    /// so that the log of a later term always includes them
    /// (`docs/design.md`, section 4.3).
    #[derive(Copy, Default)]
    pub struct LogPosition {
        /// The term in which the entry was written.
        pub term: Term,
        /// The index of the entry, serialised as `position`.
        #[serde(rename = "position")]
        pub index: LogIndex,
    }
}

impl Term {
    /// Returns the next higher term.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl LogPosition {
    /// Creates a position from a term and an index.
    pub const fn new(term: u64, index: u64) -> Self {
        Self {
            term: Term(term),
            index: LogIndex(index),
        }
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl fmt::Display for LogIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl fmt::Display for LogPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.term, self.index)
    }
}
