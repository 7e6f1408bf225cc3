//! Holds a member's log and the records that follow from it.

use std::collections::BTreeMap;

use burdockslip_types::{LogIndex, LogPosition, Term};

/// Changes one record of one table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Adds a record that must not exist.
    Insert(String, String, String),
    /// Writes a record, whether it exists or not.
    Upsert(String, String, String),
    /// Writes a record that must exist.
    Update(String, String, String),
    /// Adds a number to a record.
    Add(String, String, i64),
    /// Removes a record.
    Delete(String, String),
}

impl Change {
    /// Returns table and key of the record.
    pub fn id(&self) -> (String, String) {
        let (table, key) = match self {
            Self::Insert(table, key, _)
            | Self::Upsert(table, key, _)
            | Self::Update(table, key, _)
            | Self::Add(table, key, _)
            | Self::Delete(table, key) => (table, key),
        };
        (table.clone(), key.clone())
    }
}

/// Holds the changes of one transaction with the term that wrote them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogEntry {
    /// The term of the primary.
    pub term: Term,
    /// The changes, empty for the first entry of a term.
    pub changes: Vec<Change>,
}

/// Maps (table, key) to a value.
pub(super) type Records = BTreeMap<(String, String), String>;

/// Holds the log of one member and its records.
#[derive(Debug, Clone, Default)]
pub(super) struct Log {
    pub(super) entries: Vec<LogEntry>,
    pub(super) records: Records,
}

/// Reports a record that exists already.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct UniqueViolation;

impl Log {
    /// Returns the term and position of the last entry.
    pub(super) fn last_position(&self) -> LogPosition {
        LogPosition {
            term: self.entries.last().map_or(Term(0), |entry| entry.term),
            index: LogIndex(self.entries.len() as u64),
        }
    }

    /// Applies an entry and appends it.
    pub(super) fn append(&mut self, entry: LogEntry) -> Result<(), UniqueViolation> {
        let ids = entry.changes.iter().map(Change::id);
        let old: Vec<_> = ids
            .map(|id| (id.clone(), self.records.get(&id).cloned()))
            .collect();
        for change in &entry.changes {
            if let Err(violation) = apply(&mut self.records, change) {
                self.restore(old);
                return Err(violation);
            }
        }
        self.entries.push(entry);
        Ok(())
    }

    /// Takes over entries of the primary, dropping a suffix that differs.
    pub(super) fn follow(&mut self, primary: &[LogEntry]) {
        let common = self
            .entries
            .iter()
            .zip(primary)
            .take_while(|(own, theirs)| own == theirs)
            .count();
        if common < self.entries.len() {
            let kept = self.entries[..common].to_vec();
            *self = Self::default();
            for entry in kept {
                self.replay(entry);
            }
        }
        for entry in &primary[common..] {
            self.replay(entry.clone());
        }
    }

    fn restore(&mut self, old: Vec<((String, String), Option<String>)>) {
        for (id, value) in old {
            match value {
                Some(value) => self.records.insert(id, value),
                None => self.records.remove(&id),
            };
        }
    }

    fn replay(&mut self, entry: LogEntry) {
        for change in &entry.changes {
            // An entry in the log has passed this check at the primary.
            let _ = apply(&mut self.records, change);
        }
        self.entries.push(entry);
    }
}

/// Applies one change to `records`.
pub(super) fn apply(records: &mut Records, change: &Change) -> Result<(), UniqueViolation> {
    match change {
        Change::Insert(table, key, value) => {
            let id = (table.clone(), key.clone());
            if records.contains_key(&id) {
                return Err(UniqueViolation);
            }
            records.insert(id, value.clone());
        }
        Change::Upsert(table, key, value) => {
            records.insert((table.clone(), key.clone()), value.clone());
        }
        Change::Update(table, key, value) => {
            if let Some(old) = records.get_mut(&(table.clone(), key.clone())) {
                old.clone_from(value);
            }
        }
        Change::Add(table, key, amount) => {
            if let Some(old) = records.get_mut(&(table.clone(), key.clone())) {
                let number = old.parse::<i64>().unwrap_or(0) + amount;
                *old = number.to_string();
            }
        }
        Change::Delete(table, key) => {
            records.remove(&(table.clone(), key.clone()));
        }
    }
    Ok(())
}
