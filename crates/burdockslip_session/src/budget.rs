//! Limits the memory that clients can occupy with values and prepared statements.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use burdockslip_types::{ErrorKind, Organisation};
use burdockslip_upstream::SessionState;

/// The most that one session may keep, in bytes: one message of the maximum size.
const SESSION_LIMIT: usize = (1 << 20) + (4 << 10);

/// The memory of an entry besides its name and its value or text, in bytes.
const ENTRY_BYTES: usize = 128;

/// The part of the memory for all sessions that one organisation may use.
const ORGANISATION_PART: usize = 4;

/// The memory for the state of all sessions of a host.
#[derive(Debug)]
pub struct StateBudget {
    /// The limit for all sessions together, in bytes.
    limit: usize,
    used: Cell<usize>,
    organisations: RefCell<HashMap<Organisation, usize>>,
}

impl StateBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            used: Cell::new(0),
            organisations: RefCell::default(),
        }
    }

    /// Returns how many bytes the sessions of an organisation use.
    fn used_by(&self, organisation: &Organisation) -> usize {
        let organisations = self.organisations.borrow();
        organisations.get(organisation).copied().unwrap_or_default()
    }

    /// Replaces `old` by `new` bytes of an organisation.
    fn replace(&self, organisation: &Organisation, old: usize, new: usize) {
        self.used.set(self.used.get() - old + new);
        let mut organisations = self.organisations.borrow_mut();
        let used = organisations.entry(organisation.clone()).or_default();
        *used = *used - old + new;
        if *used == 0 {
            organisations.remove(organisation);
        }
    }
}

/// The part of a [`StateBudget`] that a session uses; given back when dropped.
#[derive(Debug)]
pub(crate) struct StateCharge {
    budget: Rc<StateBudget>,
    organisation: Organisation,
    bytes: usize,
}

impl StateCharge {
    /// Creates the charge of a session without state.
    pub(crate) const fn new(budget: Rc<StateBudget>, organisation: Organisation) -> Self {
        Self {
            budget,
            organisation,
            bytes: 0,
        }
    }

    /// Charges an entry that replaces one of `old` bytes, each zero if there is none.
    ///
    /// # Errors
    ///
    /// Returns `TooLarge` if the session would exceed its own limit, and `QueueFull` if its
    /// organisation or all sessions together would exceed theirs. Nothing is charged then.
    pub(crate) fn replace(&mut self, old: usize, new: usize) -> Result<(), ErrorKind> {
        let bytes = self.bytes - old + new;
        if new > old {
            let growth = new - old;
            let budget = &self.budget;
            if bytes > SESSION_LIMIT {
                return Err(ErrorKind::TooLarge);
            }
            let organisation = budget.used_by(&self.organisation) + growth;
            if organisation > budget.limit / ORGANISATION_PART
                || budget.used.get() + growth > budget.limit
            {
                return Err(ErrorKind::QueueFull);
            }
        }
        self.budget.replace(&self.organisation, self.bytes, bytes);
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for StateCharge {
    fn drop(&mut self) {
        self.budget.replace(&self.organisation, self.bytes, 0);
    }
}

/// Returns the bytes of an entry with a name and a value or text.
pub(crate) const fn entry_bytes(name: &[u8], value: &[u8]) -> usize {
    name.len() + value.len() + ENTRY_BYTES
}

/// Returns the bytes of the value under `name`, zero if there is none.
pub(crate) fn value_bytes(state: &SessionState, name: &[u8]) -> usize {
    let value = state.values.get(name);
    value.map_or(0, |value| entry_bytes(name, value))
}

/// Returns the bytes of the prepared statement under `name`, zero if there is none.
pub(crate) fn prepared_bytes(state: &SessionState, name: &[u8]) -> usize {
    let prepared = state.prepared.get(name);
    prepared.map_or(0, |prepared| entry_bytes(name, &prepared.text))
}
