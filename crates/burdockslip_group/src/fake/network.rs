//! Carries messages between hosts and members with latency and cuts.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{random_range, sleep};
use burdockslip_types::{ErrorKind, Result};
use error_stack::bail;

use crate::signal::Signal;

/// Joins hosts and members by name; every pair can be cut or delayed.
#[derive(Debug, Clone)]
pub struct Network(Rc<Paths>);

#[derive(Debug)]
struct Paths {
    latency: Cell<Duration>,
    cuts: RefCell<BTreeSet<(String, String)>>,
    delays: RefCell<BTreeMap<(String, String), Duration>>,
    changed: Signal,
}

impl Network {
    /// Builds a network in which every message takes `latency` one way, and up
    /// to a tenth more at random.
    pub fn new(latency: Duration) -> Self {
        Self(Rc::new(Paths {
            latency: Cell::new(latency),
            cuts: RefCell::default(),
            delays: RefCell::default(),
            changed: Signal::default(),
        }))
    }

    /// Returns the latency one way.
    pub fn latency(&self) -> Duration {
        self.0.latency.get()
    }

    /// Stops messages between two names in both directions.
    pub fn cut(&self, one: &str, other: &str) {
        self.0.cuts.borrow_mut().insert(pair(one, other));
    }

    /// Stops messages between every name of one group and every name of another.
    pub fn split(&self, group: &[&str], others: &[&str]) {
        for one in group {
            for other in others {
                self.cut(one, other);
            }
        }
    }

    /// Lets messages between two names pass again.
    pub fn heal(&self, one: &str, other: &str) {
        self.0.cuts.borrow_mut().remove(&pair(one, other));
        self.0.changed.notify();
    }

    /// Lets all messages pass again.
    pub fn heal_all(&self) {
        self.0.cuts.borrow_mut().clear();
        self.0.changed.notify();
    }

    /// Adds a delay to every message between two names.
    pub fn set_delay(&self, one: &str, other: &str, delay: Duration) {
        self.0.delays.borrow_mut().insert(pair(one, other), delay);
    }

    /// Returns whether messages between two names are stopped.
    pub fn is_cut(&self, one: &str, other: &str) -> bool {
        self.0.cuts.borrow().contains(&pair(one, other))
    }

    /// Waits for the time that a message takes.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionLost` if the path is cut, but only once it is healed,
    /// as the sender of a lost message learns nothing earlier.
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
            // The sender lives as long as this network.
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
