//! The queue of statements that wait for the room of one resource.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use burdockslip_queue::{Dropped, FairQueue, Order, Policy, Settings, Sharing, Workload};
use burdockslip_runtime::{Instant, now};
use burdockslip_types::{ErrorKind, Organisation};

use crate::Rank;

/// What a statement needs of a resource.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Its rank.
    pub rank: Rank,
    /// The organisation that is charged.
    pub organisation: Organisation,
    /// The latest start that is of use to its client.
    pub latest: Instant,
    /// The time that it is expected to take.
    pub cost: Duration,
}

/// A statement whose turn has come.
#[derive(Debug)]
pub struct Waiting<W: Workload> {
    /// Its rank.
    pub rank: Rank,
    /// The organisation that is charged.
    pub organisation: Organisation,
    /// The estimated cost, already charged; pass it to [`TurnQueue::finish`].
    pub cost: Duration,
    /// How long the statement waited.
    pub delay: Duration,
    /// The item.
    pub item: W::Item,
}

/// Queues statements for one resource by rank, within a rank by deficit round robin
/// between organisations, and within an organisation by the time that is left.
///
/// A statement that would not start in time behind those before it is refused at once, or
/// displaces the last one of the organisation that has most waiting. Statements of higher
/// ranks displace the last ones of lower ranks.
pub struct TurnQueue<W: Workload> {
    levels: BTreeMap<Rank, FairQueue<W>>,
}

impl<W: Workload> fmt::Debug for TurnQueue<W> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TurnQueue")
            .field("len", &self.len())
            .finish()
    }
}

impl<W: Workload> Default for TurnQueue<W> {
    fn default() -> Self {
        Self {
            levels: BTreeMap::new(),
        }
    }
}

impl<W: Workload> TurnQueue<W> {
    /// Returns the number of waiting statements.
    pub fn len(&self) -> usize {
        self.levels.values().map(FairQueue::len).sum()
    }

    /// Returns whether no statement waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Queues a statement for a resource that runs `room` of them at a time. Returns the
    /// statements that are refused for it, which may include itself; none of them ran.
    pub fn push(&mut self, claim: &Claim, room: f64, item: W::Item) -> Vec<Dropped<W>> {
        let room = room.max(1.0);
        let mut refused = self.take_expired();
        while now() + self.wait(claim.rank, room) >= claim.latest {
            if let Some(dropped) = self.displace(claim) {
                refused.push(dropped);
            } else {
                refused.push(Dropped {
                    organisation: claim.organisation.clone(),
                    cause: ErrorKind::QueueFull,
                    item,
                });
                return refused;
            }
        }
        let level = self.levels.entry(claim.rank).or_insert_with(new_level);
        let pushed = level.push(&claim.organisation, 0, claim.latest, claim.cost, item);
        refused.extend(pushed.err());
        refused.extend(self.displace_below(claim.rank, room));
        refused
    }

    /// Removes and returns the statement that runs next.
    pub fn pop(&mut self) -> Option<Waiting<W>> {
        let moment = now();
        self.levels.iter_mut().find_map(|(rank, level)| {
            let ready = level.pop(moment)?;
            Some(Waiting {
                rank: *rank,
                organisation: ready.organisation,
                cost: ready.cost,
                delay: ready.delay,
                item: ready.item,
            })
        })
    }

    /// Removes and returns the statements that cannot start in time any more.
    pub fn take_expired(&mut self) -> Vec<Dropped<W>> {
        let moment = now();
        self.levels
            .values_mut()
            .flat_map(|level| level.take_dropped(moment))
            .collect()
    }

    /// Corrects the charge of a finished statement to the measured time. The estimate is
    /// zero for a statement that did not have to wait.
    pub fn finish(
        &mut self,
        rank: Rank,
        organisation: &Organisation,
        estimate: Duration,
        measured: Duration,
    ) {
        let level = self.levels.entry(rank).or_insert_with(new_level);
        level.finish(organisation, estimate, measured);
    }

    /// Returns the expected time until a statement of `rank` that arrives now starts.
    fn wait(&self, rank: Rank, room: f64) -> Duration {
        let ahead: Duration = self
            .levels
            .range(..=rank)
            .map(|(_, level)| level.work())
            .sum();
        ahead.div_f64(room)
    }

    /// Removes the last statement of the organisation that has most waiting at the rank
    /// of `claim`, unless that is the one of `claim`.
    fn displace(&mut self, claim: &Claim) -> Option<Dropped<W>> {
        let level = self.levels.get_mut(&claim.rank)?;
        let is_longest = level.waiting(&claim.organisation) + 1 >= level.longest();
        if is_longest { None } else { level.evict() }
    }

    /// Removes statements of ranks below `rank` that will not start in time, the lowest
    /// rank first.
    fn displace_below(&mut self, rank: Rank, room: f64) -> Vec<Dropped<W>> {
        let mut dropped = Vec::new();
        let below: Vec<_> = self
            .levels
            .keys()
            .copied()
            .filter(|known| *known > rank)
            .collect();
        for rank in below.into_iter().rev() {
            while let Some((latest, cost)) = self.last(rank)
                && now() + self.wait(rank, room).saturating_sub(cost.div_f64(room)) >= latest
            {
                let evicted = self.levels.get_mut(&rank).and_then(FairQueue::evict);
                dropped.extend(evicted);
            }
        }
        dropped
    }

    fn last(&self, rank: Rank) -> Option<(Instant, Duration)> {
        self.levels.get(&rank)?.last_of_longest()
    }
}

fn new_level<W: Workload>() -> FairQueue<W> {
    FairQueue::new(Settings {
        policy: Policy {
            sharing: Sharing::Deficit,
            order: Order::Deadline,
        },
        ..Settings::default()
    })
}
