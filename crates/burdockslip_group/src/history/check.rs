//! Checks a history against the guarantees.
//!
//! Every written value is unique and the final log is known. The index of a value
//! in the log therefore orders all operations, and the checker does not have to
//! search for a valid order.

use std::collections::BTreeMap;

use burdockslip_types::{ErrorKind, domain};

use super::record::{Access, History, Operation, Outcome};
use crate::fake::AppliedWrite;

domain! {
    /// The way in which a history breaks a guarantee.
    #[derive(Copy)]
    pub enum ViolationKind {
        /// A read missed an earlier write of its session.
        OwnWriteMissed,
        /// A read returned older data than an earlier read of its session.
        ReadWentBack,
        /// An acknowledged write, or the write of a request that was reported as
        /// already run, is missing from the final log.
        WriteLost,
        /// An acknowledged write is in the final log at another position, so the
        /// primary that acknowledged it had been replaced.
        MarkReplaced,
        /// A write was acknowledged in a term although a write of a later term had
        /// been acknowledged before this one started.
        TermReplaced,
        /// A write or request is in the final log more than once.
        RunTwice,
        /// A read missed a write acknowledged longer ago than its class allows.
        TooStale,
        /// A read returned a value that the final log does not contain.
        DiscardedRead,
        /// An operation reported as not run is in the final log.
        RanAnyway,
    }

    /// A violation and the operation or log entry in which it shows.
    #[derive(Copy)]
    pub struct Violation {
        /// The way in which a guarantee is broken.
        pub kind: ViolationKind,
        /// The index of the operation, or of the log entry for `RunTwice`.
        pub index: usize,
    }
}

/// Returns the violations of a history in the order of its operations, followed
/// by those of the final log.
pub fn check(history: &History) -> Vec<Violation> {
    let order = LogOrder::new(&history.applied);
    let operations = history.operations.iter();
    let seen: Vec<_> = operations.map(|o| observed_rank(o, &order)).collect();
    let mut violations = Vec::new();
    for (index, operation) in history.operations.iter().enumerate() {
        let kinds = match operation.access {
            Access::Write { value, request } => {
                let mut kinds = check_write(operation, value, request, &order);
                kinds.extend(check_term(history, index));
                kinds
            }
            Access::Read { max_age } => check_read(history, index, max_age, &seen),
        };
        violations.extend(kinds.into_iter().map(|kind| Violation { kind, index }));
    }
    violations.extend(check_repeats(&history.applied));
    violations
}

/// The entries of the final log and their indexes, by value.
struct LogOrder<'a>(BTreeMap<u64, (usize, &'a AppliedWrite)>);

impl<'a> LogOrder<'a> {
    fn new(applied: &'a [AppliedWrite]) -> Self {
        let entries = applied.iter().enumerate();
        Self(
            entries
                .map(|(index, a)| (a.record.value, (index, a)))
                .collect(),
        )
    }

    fn find(&self, value: u64) -> Option<(usize, &'a AppliedWrite)> {
        self.0.get(&value).copied()
    }

    /// Returns the number of log entries up to and including the one that wrote
    /// `value`, 0 for a key without a value, and `None` if the log lacks the value.
    fn rank(&self, value: Option<u64>) -> Option<usize> {
        match value {
            None => Some(0),
            Some(value) => self.find(value).map(|(index, _)| index + 1),
        }
    }
}

fn check_write(
    operation: &Operation,
    value: u64,
    request: Option<u64>,
    order: &LogOrder,
) -> Vec<ViolationKind> {
    let place = order.find(value);
    let has_run = || order.0.values().any(|(_, a)| a.record.request == request);
    let kind = match (operation.outcome, place) {
        (Outcome::Acknowledged, None) => Some(ViolationKind::WriteLost),
        (Outcome::Acknowledged, Some((_, applied))) => operation
            .position
            .is_some_and(|position| position != applied.position)
            .then_some(ViolationKind::MarkReplaced),
        (Outcome::Failed(ErrorKind::AlreadyRun), _) if !has_run() => Some(ViolationKind::WriteLost),
        (Outcome::Failed(kind), Some(_)) if kind.did_not_run() => Some(ViolationKind::RanAnyway),
        _ => None,
    };
    kind.into_iter().collect()
}

/// Returns a violation if the write at `index` was acknowledged by a primary
/// that had been replaced before the write started.
fn check_term(history: &History, index: usize) -> Option<ViolationKind> {
    let write = &history.operations[index];
    let term = write.position?.term;
    let is_later = |other: &Operation| {
        other.outcome == Outcome::Acknowledged
            && other.end <= write.start
            && other.position.is_some_and(|position| position.term > term)
    };
    let is_replaced = history.operations[..index].iter().any(is_later);
    is_replaced.then_some(ViolationKind::TermReplaced)
}

fn check_read(
    history: &History,
    index: usize,
    max_age: Option<u64>,
    seen: &[Option<usize>],
) -> Vec<ViolationKind> {
    let read = &history.operations[index];
    if !matches!(read.outcome, Outcome::Returned(_)) {
        return Vec::new();
    }
    let Some(rank) = seen[index] else {
        return vec![ViolationKind::DiscardedRead];
    };
    let earlier = history.operations[..index].iter().zip(seen);
    let missed = earlier
        .filter(|(other, seen)| seen.is_some_and(|seen| seen > rank) && other.key == read.key)
        .filter(|(other, _)| other.end <= read.start);
    let mut kinds = Vec::new();
    for (other, _) in missed {
        let is_own = other.session == read.session;
        let is_write = matches!(other.access, Access::Write { .. });
        if is_own && is_write {
            kinds.push(ViolationKind::OwnWriteMissed);
        } else if is_own {
            kinds.push(ViolationKind::ReadWentBack);
        }
        if is_write && max_age.is_some_and(|age| other.end + age <= read.start) {
            kinds.push(ViolationKind::TooStale);
        }
    }
    kinds.sort_unstable();
    kinds.dedup();
    kinds
}

/// Returns the rank of the value that an operation wrote or returned.
fn observed_rank(operation: &Operation, order: &LogOrder) -> Option<usize> {
    match (operation.access, operation.outcome) {
        (Access::Write { value, .. }, Outcome::Acknowledged) => order.rank(Some(value)),
        (Access::Read { .. }, Outcome::Returned(value)) => order.rank(value),
        _ => None,
    }
}

fn check_repeats(applied: &[AppliedWrite]) -> Vec<Violation> {
    let is_repeat = |index: usize| {
        let record = applied[index].record;
        applied[..index].iter().any(|earlier| {
            let is_same_request =
                record.request.is_some() && earlier.record.request == record.request;
            earlier.record.value == record.value || is_same_request
        })
    };
    let repeats = (0..applied.len()).filter(|&index| is_repeat(index));
    let kind = ViolationKind::RunTwice;
    repeats.map(|index| Violation { kind, index }).collect()
}
