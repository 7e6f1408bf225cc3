//! Decides whether a history keeps the guarantees.
//!
//! Every written value is unique and the final log is known, so the place of a
//! value in the log decides each question without a search over orders.

use std::collections::BTreeMap;

use burdockslip_types::{ErrorKind, domain};

use super::record::{Access, History, Operation, Outcome};
use crate::fake::AppliedWrite;

domain! {
    /// Lists the ways in which a history can break a guarantee.
    #[derive(Copy)]
    pub enum ViolationKind {
        /// A read missed an earlier write of its session.
        OwnWriteMissed,
        /// A read returned older data than an earlier read of its session.
        ReadWentBack,
        /// An acknowledged write, or the write of a request that was reported as
        /// already run, is not in the final log.
        WriteLost,
        /// An acknowledged write is in the final log under another position, so
        /// the member that acknowledged it had been replaced.
        MarkReplaced,
        /// A write was acknowledged in a term although a later term had
        /// acknowledged a write before this one started.
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

    /// Names a violation and the operation or log entry that shows it.
    #[derive(Copy)]
    pub struct Violation {
        /// The guarantee that is broken.
        pub kind: ViolationKind,
        /// The index of the operation, or for `RunTwice` of the log entry.
        pub index: usize,
    }
}

/// Lists the violations of a history in the order of its operations, with
/// those of the final log at the end.
pub fn check(history: &History) -> Vec<Violation> {
    let places = Places::new(&history.applied);
    let operations = history.operations.iter();
    let seen: Vec<_> = operations.map(|o| seen_rank(o, &places)).collect();
    let mut violations = Vec::new();
    for (index, operation) in history.operations.iter().enumerate() {
        let kinds = match operation.access {
            Access::Write { value, request } => {
                let mut kinds = check_write(operation, value, request, &places);
                kinds.extend(check_term(history, index));
                kinds
            }
            Access::Read { max_age } => check_read(history, index, max_age, &seen),
        };
        violations.extend(kinds.into_iter().map(|kind| Violation { kind, index }));
    }
    violations.extend(check_applied(&history.applied));
    violations
}

/// Finds the place of a value in the final log.
struct Places<'a>(BTreeMap<u64, (usize, &'a AppliedWrite)>);

impl<'a> Places<'a> {
    fn new(applied: &'a [AppliedWrite]) -> Self {
        let places = applied.iter().enumerate();
        Self(
            places
                .map(|(index, a)| (a.record.value, (index, a)))
                .collect(),
        )
    }

    fn find(&self, value: u64) -> Option<(usize, &'a AppliedWrite)> {
        self.0.get(&value).copied()
    }

    /// Returns the place after which a read stands; a missing value stands first.
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
    places: &Places,
) -> Vec<ViolationKind> {
    let place = places.find(value);
    let has_run = || places.0.values().any(|(_, a)| a.record.request == request);
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

/// Finds a write that was acknowledged by a primary that had been replaced.
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

/// Returns the place of what an operation wrote or returned.
fn seen_rank(operation: &Operation, places: &Places) -> Option<usize> {
    match (operation.access, operation.outcome) {
        (Access::Write { value, .. }, Outcome::Acknowledged) => places.rank(Some(value)),
        (Access::Read { .. }, Outcome::Returned(value)) => places.rank(value),
        _ => None,
    }
}

fn check_applied(applied: &[AppliedWrite]) -> Vec<Violation> {
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
