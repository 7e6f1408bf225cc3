//! Limits the units that run on a database at the same time, and admits them
//! in the order of a fair queue.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use burdockslip_queue::{FairQueue, Settings, Workload};
use burdockslip_runtime::{Instant, now, timeout_at};
use burdockslip_types::{ErrorKind, Organisation, Result};
use error_stack::{Report, bail};
use futures::channel::oneshot;

use crate::options::Options;

/// The estimated cost of a unit before any has been measured.
const FIRST_COST: Duration = Duration::from_millis(1);
/// The inverse weight of the newest cost in the moving average: 8 gives it one eighth.
const MEAN_WEIGHT: u32 = 8;

/// The workload of the fair queue: each item is the sender that wakes the waiting unit.
#[derive(Debug)]
struct UnitWorkload;

impl Workload for UnitWorkload {
    type Item = oneshot::Sender<Result<Admitted, ErrorKind>>;
}

/// An admitted unit and the cost that the queue charged for it.
#[derive(Debug)]
struct Admitted {
    organisation: Organisation,
    estimate: Duration,
}

/// Limits the units that run on a database at the same time.
#[derive(Debug, Clone)]
pub(super) struct AdmissionQueue {
    shared: Rc<Shared>,
}

#[derive(Debug)]
struct Shared {
    queue: RefCell<FairQueue<UnitWorkload>>,
    max_delay: Duration,
    running: Cell<usize>,
    limit: usize,
    mean_cost: Cell<Duration>,
}

/// A slot of the database, freed on drop.
#[derive(Debug)]
pub(super) struct SlotGuard {
    shared: Rc<Shared>,
    admitted: Admitted,
    start: Instant,
}

impl AdmissionQueue {
    /// Creates a queue that admits up to `limit` units at a time.
    pub(super) fn new(limit: usize, options: &Options) -> Self {
        let settings = Settings {
            lane_limit: options.organisation_queue,
            total_limit: options.queue_length,
            ..Settings::default()
        };
        let max_delay = settings.max_delay;
        Self {
            shared: Rc::new(Shared {
                queue: RefCell::new(FairQueue::new(settings)),
                max_delay,
                running: Cell::new(0),
                limit,
                mean_cost: Cell::new(FIRST_COST),
            }),
        }
    }

    /// Sets the weight of an organisation in the queue.
    pub(super) fn set_weight(&self, organisation: &Organisation, weight: u32) {
        let mut queue = self.shared.queue.borrow_mut();
        queue.set_weight(organisation, weight);
    }

    /// Waits until the unit may run.
    ///
    /// # Errors
    ///
    /// Returns `QueueFull` if the queue is full or the unit has waited for the
    /// queue's maximum delay, `DeadlineExceeded` if the deadline passed first. The
    /// unit has not run in either case.
    pub(super) async fn acquire(
        &self,
        organisation: &Organisation,
        priority: u8,
        deadline: Instant,
    ) -> Result<SlotGuard> {
        let (sender, receiver) = oneshot::channel();
        let estimate = self.shared.mean_cost.get();
        let pushed =
            self.shared
                .queue
                .borrow_mut()
                .push(organisation, priority, deadline, estimate, sender);
        if let Err(dropped) = pushed {
            bail!(dropped.cause);
        }
        self.shared.admit_waiting();
        let limit = now() + self.shared.max_delay;
        match timeout_at(deadline.min(limit), receiver).await {
            Ok(Ok(Ok(admitted))) => Ok(SlotGuard {
                shared: Rc::clone(&self.shared),
                admitted,
                start: now(),
            }),
            Ok(Ok(Err(kind))) => Err(Report::new(kind)),
            Ok(Err(_)) => Err(Report::new(ErrorKind::QueueFull)),
            Err(_) if limit < deadline => Err(Report::new(ErrorKind::QueueFull)),
            Err(_) => Err(Report::new(ErrorKind::DeadlineExceeded)),
        }
    }
}

impl Shared {
    /// Rejects expired units, then admits units while slots are free.
    fn admit_waiting(&self) {
        let time = now();
        for dropped in self.queue.borrow_mut().take_dropped(time) {
            // The receiver is gone if the unit's own timeout has fired.
            let _ = dropped.item.send(Err(dropped.cause));
        }
        while self.running.get() < self.limit {
            let Some(ready) = self.queue.borrow_mut().pop(time) else {
                return;
            };
            let admitted = Admitted {
                organisation: ready.organisation,
                estimate: ready.cost,
            };
            match ready.item.send(Ok(admitted)) {
                Ok(()) => self.running.set(self.running.get() + 1),
                Err(Ok(admitted)) => self.finish(&admitted, Duration::ZERO),
                Err(Err(_)) => {}
            }
        }
    }

    fn finish(&self, admitted: &Admitted, measured: Duration) {
        self.queue
            .borrow_mut()
            .finish(&admitted.organisation, admitted.estimate, measured);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let cost = self.start.elapsed();
        let mean = self.shared.mean_cost.get();
        self.shared
            .mean_cost
            .set((mean * (MEAN_WEIGHT - 1) + cost) / MEAN_WEIGHT);
        self.shared.finish(&self.admitted, cost);
        self.shared.running.set(self.shared.running.get() - 1);
        self.shared.admit_waiting();
    }
}
