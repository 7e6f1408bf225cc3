//! Holds the state of one member and the rules by which it changes.

use std::time::Duration;

use burdockslip_runtime::{Instant, Task, now};
use burdockslip_types::{ErrorKind, LogIndex, LogPosition, MemberName, Result, Term, domain};
use error_stack::bail;

use crate::MemberStatus;

domain! {
    /// Holds one write.
    #[derive(Copy)]
    pub struct Record {
        /// The key that is written.
        pub key: u64,
        /// The new value.
        pub value: u64,
        /// The request id whose marker row is written in the same transaction.
        pub request: Option<u64>,
    }

    /// Holds one write together with its place in the log.
    #[derive(Copy)]
    pub struct AppliedWrite {
        /// The place of the write.
        #[serde(rename = "mark")]
        pub position: LogPosition,
        /// The write.
        pub record: Record,
    }
}

/// Holds one entry of a log; the first entry of a term has no record.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Entry {
    pub(crate) term: Term,
    pub(crate) written: Instant,
    pub(crate) record: Option<Record>,
}

/// Lists the conditions of a member's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Condition {
    Running,
    Frozen,
    Dead,
}

/// Holds the state of one member. Term and log survive a restart.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) name: MemberName,
    pub(crate) term: Term,
    pub(crate) log: Vec<Entry>,
    pub(crate) is_primary: bool,
    pub(crate) is_leaving: bool,
    pub(crate) condition: Condition,
    /// Counts the times at which all connections broke.
    pub(crate) restarts: u64,
    /// The time by which every answer is delayed.
    pub(crate) answer_delay: Duration,
    /// The time by which entries reach this member late.
    pub(crate) lag: Duration,
    /// The tasks that replicate to the other members while this one is primary.
    pub(crate) senders: Vec<Task<()>>,
}

impl State {
    pub(crate) fn new(name: MemberName, lag: Duration) -> Self {
        let first = Entry {
            term: Term(1),
            written: now(),
            record: None,
        };
        Self {
            name,
            term: Term(1),
            log: vec![first],
            is_primary: false,
            is_leaving: false,
            condition: Condition::Running,
            restarts: 0,
            answer_delay: Duration::ZERO,
            lag,
            senders: Vec::new(),
        }
    }

    pub(crate) fn position(&self) -> LogPosition {
        LogPosition {
            term: self.log.last().map(|e| e.term).unwrap_or_default(),
            index: LogIndex(self.log.len() as u64),
        }
    }

    pub(crate) fn status(&self) -> MemberStatus {
        MemberStatus {
            member: self.name.clone(),
            term: self.term,
            position: self.position(),
            is_primary: self.is_primary,
            is_leaving: self.is_leaving,
        }
    }

    /// Promises a term once and stops acting as the primary of a lower one.
    pub(crate) fn fence(&mut self, term: Term) -> Result<MemberStatus> {
        if term <= self.term {
            bail!(ErrorKind::Conflict);
        }
        self.term = term;
        self.step_down();
        Ok(self.status())
    }

    /// Becomes primary of the promised term and writes its first entry.
    pub(crate) fn promote(&mut self, term: Term) -> Result<MemberStatus> {
        if term != self.term || self.is_primary {
            bail!(ErrorKind::Conflict);
        }
        self.is_primary = true;
        self.append(None);
        Ok(self.status())
    }

    /// Commits a write, together with the marker of its request.
    pub(crate) fn write(&mut self, record: Record) -> Result<LogPosition> {
        if !self.is_primary {
            bail!(ErrorKind::NoPrimary);
        }
        let is_repeated = |e: &Entry| e.record.is_some_and(|r| r.request == record.request);
        if record.request.is_some() && self.log.iter().any(is_repeated) {
            bail!(ErrorKind::AlreadyRun);
        }
        self.append(Some(record));
        Ok(self.position())
    }

    /// Returns the value of a key.
    pub(crate) fn read(&self, key: u64) -> Option<u64> {
        let mut records = self.log.iter().rev().filter_map(|e| e.record);
        records.find(|r| r.key == key).map(|r| r.value)
    }

    /// Accepts entries from the primary of `term`. Entries that conflict with
    /// them are discarded, which breaks all connections of readers.
    pub(crate) fn accept(&mut self, term: Term, entries: &[Entry]) {
        if term < self.term {
            return;
        }
        if term > self.term {
            self.term = term;
            self.step_down();
        }
        // Equal terms at a position mean equal logs up to it.
        let common = self.log.len().min(entries.len());
        let is_same =
            |&length: &usize| length == 0 || self.log[length - 1].term == entries[length - 1].term;
        let same = (0..=common).rev().find(is_same).unwrap_or(0);
        if same < common {
            self.log.truncate(same);
            self.restarts += 1;
        }
        if same < entries.len() {
            self.log.extend_from_slice(&entries[same..]);
        }
    }

    /// Loses everything but the promised term and the log.
    pub(crate) fn restart(&mut self) {
        self.condition = Condition::Running;
        self.restarts += 1;
        self.step_down();
    }

    pub(crate) fn step_down(&mut self) {
        self.is_primary = false;
        self.senders.clear();
    }

    fn append(&mut self, record: Option<Record>) {
        self.log.push(Entry {
            term: self.term,
            written: now(),
            record,
        });
    }
}
