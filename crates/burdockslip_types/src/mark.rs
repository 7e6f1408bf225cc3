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

    /// The revision that the store assigns to a change, ordered by the store's era and
    /// then by the number that it has in this era.
    ///
    /// The era rises when the store comes back from an older copy and gives out numbers
    /// again; see `docs/design/store-era.md`.
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

impl Revision {
    /// The bits of the number in an era. A revision of the first 2^17 eras is an integer
    /// that every JSON reader represents exactly.
    const NUMBER_BITS: u32 = 36;

    /// Returns the revision with `number` in an era, or `None` if the number is too large.
    pub const fn in_era(era: u64, number: u64) -> Option<Self> {
        if number >> Self::NUMBER_BITS != 0 || era >> (u64::BITS - Self::NUMBER_BITS) != 0 {
            return None;
        }
        Some(Self(era << Self::NUMBER_BITS | number))
    }

    /// Returns the era of the store.
    pub const fn era(self) -> u64 {
        self.0 >> Self::NUMBER_BITS
    }

    /// Returns the number that the store has given out in the era.
    pub const fn number(self) -> u64 {
        self.0 & ((1 << Self::NUMBER_BITS) - 1)
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
