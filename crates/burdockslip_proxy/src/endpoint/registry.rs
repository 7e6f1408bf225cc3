//! The registry of a host's sessions, by which they are cancelled, notified and counted.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use burdockslip_runtime::{Signal, random_u64};
use burdockslip_types::HostId;
use xxhash_rust::xxh3::xxh3_64;

use crate::counter::{CountGuard, Counter};

/// The number of low bits of a process number that number the sessions of a host.
///
/// The bits above are a hash of the host's name, by which any host can forward
/// a cancel request.
const SEQUENCE_BITS: u32 = 16;

/// The sessions of a host.
#[derive(Debug, Default)]
pub(crate) struct Sessions {
    entries: RefCell<HashMap<i32, Rc<SessionEntry>>>,
    next: Cell<u16>,
    count: Counter,
    signal: Rc<Signal>,
}

/// The registry entry of one session.
#[derive(Debug)]
pub(super) struct SessionEntry {
    /// The process number that identifies the session in a cancel request.
    pub(super) process: i32,
    /// The secret that a cancel request has to contain.
    pub(super) secret: i32,
    /// Notified when the session's running statement has to be cancelled.
    pub(super) cancelled: Signal,
}

impl Sessions {
    /// Returns the number of connected clients, including those that are not authenticated yet.
    pub(crate) fn len(&self) -> usize {
        self.count.get()
    }

    /// Counts a client until the returned guard is dropped.
    pub(super) fn count(&self) -> CountGuard {
        self.count.increment()
    }

    /// Makes all sessions check the configuration and the drain state again.
    pub(crate) fn notify_all(&self) {
        self.signal.notify();
    }

    /// Returns the signal that [`Sessions::notify_all`] triggers.
    pub(super) fn signal(&self) -> Rc<Signal> {
        Rc::clone(&self.signal)
    }

    /// Registers a session under an unused process number.
    pub(super) fn add(&self, host: &HostId) -> Rc<SessionEntry> {
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
        let entry = Rc::new(SessionEntry {
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

    /// Cancels the running statement of a session; returns whether the session
    /// exists and the secret is right.
    pub(super) fn cancel(&self, process: i32, secret: i32) -> bool {
        let entries = self.entries.borrow();
        let Some(entry) = entries.get(&process) else {
            return false;
        };
        // The comparison need not take constant time: each guess at the 32 bits
        // costs a new connection.
        let is_right = entry.secret == secret;
        if is_right {
            entry.cancelled.notify();
        }
        is_right
    }
}

/// Returns the prefix of the process numbers of a host's sessions: a 15-bit hash of its name.
pub(super) fn host_prefix(host: &HostId) -> i16 {
    let hash = xxh3_64(host.as_str().as_bytes());
    i16::try_from(hash & 0x7fff).unwrap_or_default()
}

/// Returns the host prefix of a process number.
pub(super) fn process_prefix(process: i32) -> i16 {
    i16::try_from(process >> SEQUENCE_BITS).unwrap_or_default()
}
