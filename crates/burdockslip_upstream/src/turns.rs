//! The statements of a host that wait for a member's connections, in their order.

use std::cell::RefCell;
use std::time::Duration;

use burdockslip_dispatch::{Claim, Rank, TurnQueue};
use burdockslip_queue::Workload;
use burdockslip_runtime::{Instant, now, timeout_at};
use burdockslip_types::{ErrorKind, Organisation, Result};
use error_stack::bail;
use futures::channel::oneshot;

/// The waiting statements, each with the sender that wakes it with the charged cost.
#[derive(Debug)]
struct Sleepers;

impl Workload for Sleepers {
    type Item = oneshot::Sender<Duration>;
}

/// What the use of a connection is charged to.
#[derive(Debug)]
pub(crate) struct Charge {
    rank: Rank,
    organisation: Organisation,
    estimate: Duration,
    started: Instant,
    /// How long the statement waited for its turn.
    pub(crate) waited: Duration,
}

/// The turns at the connections of one member.
#[derive(Debug, Default)]
pub(crate) struct Turns(RefCell<TurnQueue<Sleepers>>);

impl Turns {
    /// Returns the number of waiting statements.
    pub(crate) fn len(&self) -> usize {
        self.0.borrow().len()
    }

    /// Returns the charge of a statement that does not have to wait.
    pub(crate) fn start(claim: &Claim) -> Charge {
        Charge {
            rank: claim.rank,
            organisation: claim.organisation.clone(),
            estimate: Duration::ZERO,
            started: now(),
            waited: Duration::ZERO,
        }
    }

    /// Waits for the turn of a statement at connections that run `room` of them at a time.
    ///
    /// # Errors
    ///
    /// Returns `QueueFull` at once if its turn would come too late, and as soon as others
    /// have displaced it.
    pub(crate) async fn wait(&self, claim: &Claim, room: f64) -> Result<Charge> {
        let started = now();
        let (sender, receiver) = oneshot::channel();
        // The senders of refused statements are dropped, which wakes these.
        drop(self.0.borrow_mut().push(claim, room, sender));
        match timeout_at(claim.latest, receiver).await {
            Ok(Ok(estimate)) => Ok(Charge {
                estimate,
                waited: started.elapsed(),
                ..Self::start(claim)
            }),
            Ok(Err(_)) | Err(_) => bail!(ErrorKind::QueueFull),
        }
    }

    /// Wakes the statement whose turn it is.
    pub(crate) fn wake_next(&self) {
        loop {
            let next = self.0.borrow_mut().pop();
            let Some(next) = next else { return };
            // A statement that has been given up does not listen any more.
            if next.item.send(next.cost).is_ok() {
                return;
            }
            let mut queue = self.0.borrow_mut();
            queue.finish(next.rank, &next.organisation, next.cost, Duration::ZERO);
        }
    }

    /// Corrects a charge to the time for which the connection was used.
    pub(crate) fn finish(&self, charge: &Charge) {
        let measured = charge.started.elapsed();
        let mut queue = self.0.borrow_mut();
        queue.finish(charge.rank, &charge.organisation, charge.estimate, measured);
    }
}
