//! Knows the sessions of a host, to cancel, notify and count them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use burdockslip_runtime::{Signal, random_u64};
use burdockslip_types::HostId;
use xxhash_rust::xxh3::xxh3_64;

use crate::counter::{Counted, Counter};

/// Number of bits of a process number that count the sessions of a host.
///
/// The bits above name the host, so that any host can pass a cancel request on.
const SEQUENCE_BITS: u32 = 16;

/// Knows the sessions of a host.
#[derive(Debug, Default)]
pub(crate) struct Sessions {
    entries: RefCell<HashMap<i32, Rc<Entry>>>,
    next: Cell<u16>,
    count: Counter,
    signal: Rc<Signal>,
}

/// Holds what is known of one session.
#[derive(Debug)]
pub(super) struct Entry {
    /// The number by which the client names the session in a cancel request.
    pub(super) process: i32,
    /// The secret that proves the right to cancel.
    pub(super) secret: i32,
    /// Wakes the session when a statement of it is to be cancelled.
    pub(super) cancelled: Signal,
}

impl Sessions {
    /// Returns the number of connected clients.
    pub(crate) fn len(&self) -> usize {
        self.count.get()
    }

    /// Counts one more client.
    pub(super) fn count(&self) -> Counted {
        self.count.count()
    }

    /// Makes all sessions look at the configuration and at the drain state.
    pub(crate) fn notify_all(&self) {
        self.signal.notify();
    }

    /// Returns the signal that [`Sessions::notify_all`] raises.
    pub(super) fn signal(&self) -> Rc<Signal> {
        Rc::clone(&self.signal)
    }

    /// Adds a session under a free process number.
    pub(super) fn add(&self, host: &HostId) -> Rc<Entry> {
        let mut entries = self.entries.borrow_mut();
        let prefix = i32::from(host_prefix(host)) << SEQUENCE_BITS;
        let process = loop {
            let sequence = self.next.get();
            self.next.set(sequence.wrapping_add(1));
            let process = prefix | i32::from(sequence);
            if process != 0 && !entries.contains_key(&process) {
                break process;
            }
        };
        let secret = (random_u64() >> 32) as u32;
        let entry = Rc::new(Entry {
            process,
            secret: secret.cast_signed(),
            cancelled: Signal::default(),
        });
        entries.insert(process, Rc::clone(&entry));
        entry
    }

    pub(super) fn remove(&self, process: i32) {
        self.entries.borrow_mut().remove(&process);
    }

    /// Cancels the running statement of a session if the secret is right.
    pub(super) fn cancel(&self, process: i32, secret: i32) -> bool {
        let entries = self.entries.borrow();
        let Some(entry) = entries.get(&process) else {
            return false;
        };
        // A guess costs one connection and has 32 bits to find, so the time
        // that the comparison takes gives nothing away.
        let is_right = entry.secret == secret;
        if is_right {
            entry.cancelled.notify();
        }
        is_right
    }
}

/// Returns the part of process numbers that names a host.
pub(super) fn host_prefix(host: &HostId) -> i16 {
    let hash = xxh3_64(host.as_str().as_bytes());
    i16::try_from(hash & 0x7fff).unwrap_or_default()
}

/// Returns the host part of a process number.
pub(super) fn prefix_of(process: i32) -> i16 {
    i16::try_from(process >> SEQUENCE_BITS).unwrap_or_default()
}
