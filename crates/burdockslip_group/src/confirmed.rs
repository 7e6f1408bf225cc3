//! Remembers which positions a majority holds.

use std::collections::BTreeMap;

use burdockslip_types::{LogIndex, LogPosition, Term};

/// Bounds the number of terms remembered. Promotions are rare, and forgetting
/// a term only causes reads of that term to be repeated elsewhere.
const TERM_LIMIT: usize = 32;

/// Holds the highest confirmed position of each recent term.
///
/// Terms are kept apart because a position of an older term is not confirmed by a
/// newer one: it may lie in the suffix that the newer term discarded.
#[derive(Debug, Clone, Default)]
pub(crate) struct ConfirmedMarks(BTreeMap<Term, LogIndex>);

impl ConfirmedMarks {
    /// Records a confirmed position and returns whether it was news.
    pub(crate) fn record(&mut self, position: LogPosition) -> bool {
        let index = self.0.entry(position.term).or_default();
        let is_news = position.index > *index;
        *index = position.index.max(*index);
        if self.0.len() > TERM_LIMIT {
            self.0.pop_first();
        }
        is_news
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
