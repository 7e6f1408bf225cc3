//! Defines terms, log positions and revisions.

use std::fmt;

use crate::domain;

domain! {
    /// Counts the primaries of a database group; each promotion raises it.
    #[derive(Copy, Default)]
    #[serde(transparent)]
    pub struct Term(pub u64);

    /// Counts the entries of a group's log.
    #[derive(Copy, Default)]
    #[serde(transparent)]
    pub struct LogIndex(pub u64);

    /// Counts the changes of the configuration, as the store numbers them.
    #[derive(Copy, Default)]
    #[serde(transparent)]
    pub struct Revision(pub u64);

    /// Names a point in a group's log, ordered by the term that wrote it and then by position.
    ///
    /// Only confirmed marks are used as session floors, so that a later term
    /// always contains an earlier mark (`docs/design.md`, section 4.3).
    #[derive(Copy, Default)]
    pub struct LogPosition {
        /// The term whose primary wrote the entry.
        pub term: Term,
        /// The position of the entry.
        #[serde(rename = "position")]
        pub index: LogIndex,
    }
}

impl Term {
    /// Returns the term after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl LogPosition {
    /// Builds a mark from plain numbers.
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
