//! The log positions that are known to be held by a majority.

use std::collections::BTreeMap;

use burdockslip_types::{LogIndex, LogPosition, Term};

/// The maximum number of terms to remember. Promotions are rare, and after a
/// term is forgotten, reads of that term only have to be repeated at another
/// member.
const TERM_LIMIT: usize = 32;

/// The highest confirmed index of each recent term.
///
/// Each term has its own index, because a confirmed position of a newer term
/// does not confirm positions of an older one: these may lie in the suffix that
/// the newer term discarded.
#[derive(Debug, Clone, Default)]
pub(crate) struct ConfirmedPositions(BTreeMap<Term, LogIndex>);

impl ConfirmedPositions {
    /// Records a confirmed position and returns whether it was unknown before.
    pub(crate) fn record(&mut self, position: LogPosition) -> bool {
        let index = self.0.entry(position.term).or_default();
        let is_new = position.index > *index;
        *index = position.index.max(*index);
        if self.0.len() > TERM_LIMIT {
            self.0.pop_first();
        }
        is_new
    }

    /// Returns whether the entry at `position` is known to be confirmed.
    pub(crate) fn contains(&self, position: LogPosition) -> bool {
        self.0
            .get(&position.term)
            .is_some_and(|index| position.index <= *index)
    }

    /// Returns the newest confirmed position.
    pub(crate) fn newest(&self) -> Option<LogPosition> {
        let (&term, &index) = self.0.last_key_value()?;
        Some(LogPosition { term, index })
    }
}
