//! A fake network between hosts and members, with latency and partitions.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{random_range, sleep};
use burdockslip_types::{ErrorKind, Result};
use error_stack::bail;

use crate::signal::Signal;

/// A network that connects hosts and members by name. Messages between every two
/// of them can be delayed or blocked.
#[derive(Debug, Clone)]
pub struct Network(Rc<Links>);

#[derive(Debug)]
struct Links {
    latency: Cell<Duration>,
    cuts: RefCell<BTreeSet<(String, String)>>,
    delays: RefCell<BTreeMap<(String, String), Duration>>,
    changed: Signal,
}

impl Network {
    /// Builds a network in which a message takes `latency` one way, plus a random
    /// jitter of up to a tenth of it.
    pub fn new(latency: Duration) -> Self {
        Self(Rc::new(Links {
            latency: Cell::new(latency),
            cuts: RefCell::default(),
            delays: RefCell::default(),
            changed: Signal::default(),
        }))
    }

    /// Returns the one-way latency without jitter.
    pub fn latency(&self) -> Duration {
        self.0.latency.get()
    }

    /// Blocks messages between two names in both directions.
    pub fn cut(&self, one: &str, other: &str) {
        self.0.cuts.borrow_mut().insert(pair(one, other));
    }

    /// Blocks messages between every name in `group` and every name in `others`.
    pub fn split(&self, group: &[&str], others: &[&str]) {
        for one in group {
            for other in others {
                self.cut(one, other);
            }
        }
    }

    /// Unblocks messages between two names.
    pub fn heal(&self, one: &str, other: &str) {
        self.0.cuts.borrow_mut().remove(&pair(one, other));
        self.0.changed.notify();
    }

    /// Unblocks all messages.
    pub fn heal_all(&self) {
        self.0.cuts.borrow_mut().clear();
        self.0.changed.notify();
    }

    /// Sets a delay that is added to every message between two names.
    pub fn set_delay(&self, one: &str, other: &str, delay: Duration) {
        self.0.delays.borrow_mut().insert(pair(one, other), delay);
    }

    /// Returns whether messages between two names are blocked.
    pub fn is_cut(&self, one: &str, other: &str) -> bool {
        self.0.cuts.borrow().contains(&pair(one, other))
    }

    /// Waits until a message is delivered.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the message is blocked, but only after
    /// [`Network::heal`]: the sender of a lost message gets no earlier signal.
    pub async fn deliver(&self, from: &str, to: &str) -> Result<()> {
        sleep(self.delay(from, to)).await;
        if !self.is_cut(from, to) {
            return Ok(());
        }
        loop {
            let changed = self.0.changed.listen();
            if !self.is_cut(from, to) {
                bail!(ErrorKind::ConnectionLost);
            }
            // Never fails: the sender lives as long as this network.
            let _ = changed.await;
        }
    }

    fn delay(&self, from: &str, to: &str) -> Duration {
        let extra = self.0.delays.borrow().get(&pair(from, to)).copied();
        let latency = self.0.latency.get();
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        let jitter = Duration::from_micros(random_range(0..micros / 10 + 1));
        latency + jitter + extra.unwrap_or_default()
    }
}

fn pair(one: &str, other: &str) -> (String, String) {
    let (first, second) = if one <= other {
        (one, other)
    } else {
        (other, one)
    };
    (first.to_owned(), second.to_owned())
}
