//! The fair queue.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use burdockslip_runtime::{Instant, now};
use burdockslip_types::{ErrorKind, Organisation};

use crate::calendar::Calendar;
use crate::lane::{Entry, Key, Lane, LaneId, sort_key};
use crate::lengths::Lengths;
use crate::{Settings, Sharing};

/// Defines the type of the items in a [`FairQueue`].
pub trait Workload {
    /// The queued item, usually a request with a channel for its response.
    type Item;
}

/// A request that runs now.
#[derive(Debug)]
pub struct Ready<W: Workload> {
    /// The organisation that is charged.
    pub organisation: Organisation,
    /// The estimated cost, already charged; pass it to [`FairQueue::finish`].
    pub cost: Duration,
    /// How long the request was queued.
    pub delay: Duration,
    /// The item.
    pub item: W::Item,
}

/// A request that was rejected or removed from the queue, and not run.
#[derive(Debug)]
pub struct Dropped<W: Workload> {
    /// The organisation that sent it.
    pub organisation: Organisation,
    /// `DeadlineExceeded`, or `QueueFull` if a limit on length or delay was reached.
    pub cause: ErrorKind,
    /// The item.
    pub item: W::Item,
}

/// Queues the requests of one database and shares its slots among organisations.
///
/// The default policy is deficit round robin (M. Shreedhar and G. Varghese,
/// "Efficient Fair Queuing Using Deficit Round Robin", IEEE/ACM Transactions
/// on Networking 4(3), 1996), charged with the measured execution time: the
/// cost of a statement is unknown before it has run, so a lane may go into debt
/// and then skips rounds until the debt is repaid. See `docs/design.md`,
/// section 4.8.
#[derive(Debug)]
pub struct FairQueue<W: Workload> {
    settings: Settings,
    organisations: HashMap<Organisation, LaneId>,
    names: Vec<Organisation>,
    lanes: Vec<Lane<W::Item>>,
    lengths: Lengths,
    calendar: Calendar,
    expiries: BTreeMap<(Instant, u64), (LaneId, Key)>,
    dropped: Vec<Dropped<W>>,
    work: Duration,
    sequence: u64,
    steps: u64,
}

/// The lane of all organisations under `Sharing::Fifo`.
const SHARED_LANE: LaneId = 0;

impl<W: Workload> FairQueue<W> {
    /// Creates an empty queue.
    pub fn new(settings: Settings) -> Self {
        let mut queue = Self {
            settings,
            organisations: HashMap::new(),
            names: Vec::new(),
            lanes: Vec::new(),
            lengths: Lengths::default(),
            calendar: Calendar::default(),
            expiries: BTreeMap::new(),
            dropped: Vec::new(),
            work: Duration::ZERO,
            sequence: 0,
            steps: 0,
        };
        queue.add_lane(Organisation::from(""));
        queue
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.expiries.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.expiries.is_empty()
    }

    /// Returns the time that the waiting requests are expected to take.
    pub fn work(&self) -> Duration {
        self.work
    }

    /// Returns the number of waiting requests of an organisation.
    pub fn waiting(&self, organisation: &Organisation) -> usize {
        let lane = self.organisations.get(organisation);
        lane.map_or(0, |lane| self.lengths.get(*lane))
    }

    /// Returns the number of waiting requests of the organisation that has most of them.
    pub fn longest(&self) -> usize {
        let longest = self.lengths.longest();
        longest.map_or(0, |lane| self.lengths.get(lane))
    }

    /// Returns the deadline and the cost of the request that [`FairQueue::evict`] would
    /// remove.
    pub fn last_of_longest(&self) -> Option<(Instant, Duration)> {
        let longest = self.lengths.longest()?;
        let entry = self.lanes[longest].entries.values().next_back()?;
        Some((entry.deadline, entry.cost))
    }

    /// Removes and returns the last request of the organisation that has most of them
    /// waiting. Does nothing under `Sharing::Fifo`.
    pub fn evict(&mut self) -> Option<Dropped<W>> {
        let longest = self.lengths.longest()?;
        let is_evicted = self.evict_last(longest);
        is_evicted.then(|| self.dropped.pop()).flatten()
    }

    /// Returns the number of lanes visited so far, as a measure of the cost of decisions.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// Sets the weight of an organisation, from the catalogue; the default is one.
    ///
    /// Has an effect only under `Sharing::Deficit`.
    pub fn set_weight(&mut self, organisation: &Organisation, weight: u32) {
        if self.settings.policy.sharing == Sharing::Deficit {
            let lane = self.lane_of(organisation);
            self.lanes[lane].set_weight(weight);
        }
    }

    /// Queues `item`, whose execution is expected to take `cost`.
    ///
    /// Under `Order::Priority`, requests of an organisation with a higher
    /// `priority` run first. If the queue is at its total limit, the last request
    /// of the longest lane is dropped instead, unless the organisation's own lane
    /// would become as long.
    ///
    /// # Errors
    ///
    /// Returns the item with `QueueFull` if a limit is reached, or with
    /// `DeadlineExceeded` if the deadline has passed.
    pub fn push(
        &mut self,
        organisation: &Organisation,
        priority: u8,
        deadline: Instant,
        cost: Duration,
        item: W::Item,
    ) -> Result<(), Dropped<W>> {
        let arrival = now();
        let owner = self.lane_of(organisation);
        if let Some(cause) = self.check_limits(owner, deadline, arrival) {
            return Err(Dropped {
                organisation: organisation.clone(),
                cause,
                item,
            });
        }
        self.sequence += 1;
        let entry = Entry {
            owner,
            cost,
            deadline,
            expiry: deadline.min(arrival + self.settings.max_delay),
            arrival,
            item,
        };
        self.insert(
            sort_key(
                self.settings.policy.order,
                priority,
                deadline,
                self.sequence,
            ),
            entry,
        );
        Ok(())
    }

    /// Removes and returns the request that runs next.
    ///
    /// Expired requests are never returned here, but by
    /// [`FairQueue::take_dropped`].
    pub fn pop(&mut self, now: Instant) -> Option<Ready<W>> {
        self.expire(now);
        loop {
            let lane = self.calendar.first()?;
            self.steps += 1;
            if self.lanes[lane].entries.is_empty() {
                self.calendar.remove_first();
                self.lanes[lane].is_scheduled = false;
                self.lanes[lane].discard_credit();
            } else if self.lanes[lane].has_credit() {
                return self.serve(lane, now);
            } else {
                self.calendar.remove_first();
                self.schedule(lane);
            }
        }
    }

    /// Returns the requests that expired or were evicted since the last call.
    pub fn take_dropped(&mut self, now: Instant) -> Vec<Dropped<W>> {
        self.expire(now);
        std::mem::take(&mut self.dropped)
    }

    /// Returns when the next request expires, for the caller's timer.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.expiries.keys().next().map(|(expiry, _)| *expiry)
    }

    /// Corrects the charge for a finished request from the estimated to the measured cost.
    pub fn finish(&mut self, organisation: &Organisation, estimate: Duration, measured: Duration) {
        if self.settings.policy.sharing == Sharing::Deficit {
            let lane = self.lane_of(organisation);
            let difference = micros(measured) - micros(estimate);
            let quantum = self.quantum();
            self.lanes[lane].charge(difference, quantum);
        }
    }

    fn check_limits(
        &mut self,
        owner: LaneId,
        deadline: Instant,
        now: Instant,
    ) -> Option<ErrorKind> {
        if deadline <= now {
            return Some(ErrorKind::DeadlineExceeded);
        }
        self.expire(now);
        let length = self.lengths.get(owner);
        if length >= self.settings.lane_limit {
            return Some(ErrorKind::QueueFull);
        }
        if self.len() < self.settings.total_limit {
            return None;
        }
        let longest = self.lengths.longest()?;
        if self.lengths.get(longest) <= length + 1 || !self.evict_last(longest) {
            return Some(ErrorKind::QueueFull);
        }
        None
    }

    /// Drops the request of `owner` that would run last.
    ///
    /// Returns `false` under `Sharing::Fifo`, where the lane of `owner` is empty.
    fn evict_last(&mut self, owner: LaneId) -> bool {
        let Some(key) = self.lanes[owner].entries.keys().next_back().copied() else {
            return false;
        };
        self.discard(owner, key, ErrorKind::QueueFull);
        true
    }

    fn insert(&mut self, key: Key, entry: Entry<W::Item>) {
        let lane = match self.settings.policy.sharing {
            Sharing::Fifo => SHARED_LANE,
            Sharing::RoundRobin | Sharing::Deficit => entry.owner,
        };
        self.lengths.grow(entry.owner);
        self.work += entry.cost;
        self.expiries.insert((entry.expiry, key.2), (lane, key));
        self.lanes[lane].entries.insert(key, entry);
        if !self.lanes[lane].is_scheduled {
            self.schedule(lane);
        }
    }

    fn schedule(&mut self, lane: LaneId) {
        let quantum = self.quantum();
        let idle_credit = match self.settings.policy.sharing {
            Sharing::Deficit => micros(self.settings.idle_credit),
            Sharing::Fifo | Sharing::RoundRobin => 0,
        };
        let round = self.lanes[lane].next_round(self.calendar.current(), quantum, idle_credit);
        self.calendar.insert(round, lane);
        self.lanes[lane].is_scheduled = true;
    }

    fn serve(&mut self, lane: LaneId, now: Instant) -> Option<Ready<W>> {
        let key = self.lanes[lane].entries.keys().next().copied()?;
        let entry = self.remove(lane, key)?;
        let charge = match self.settings.policy.sharing {
            Sharing::Deficit => micros(entry.cost),
            Sharing::Fifo | Sharing::RoundRobin => 1,
        };
        let quantum = self.quantum();
        self.lanes[lane].charge(charge, quantum);
        Some(Ready {
            organisation: self.names[entry.owner].clone(),
            cost: entry.cost,
            delay: now.since(entry.arrival),
            item: entry.item,
        })
    }

    fn expire(&mut self, now: Instant) {
        while let Some((&(expiry, _), &(lane, key))) = self.expiries.first_key_value()
            && expiry <= now
        {
            let cause = match self.lanes[lane].entries.get(&key) {
                Some(entry) if entry.deadline > now => ErrorKind::QueueFull,
                _ => ErrorKind::DeadlineExceeded,
            };
            self.discard(lane, key, cause);
        }
    }

    fn discard(&mut self, lane: LaneId, key: Key, cause: ErrorKind) {
        if let Some(entry) = self.remove(lane, key) {
            self.dropped.push(Dropped {
                organisation: self.names[entry.owner].clone(),
                cause,
                item: entry.item,
            });
        }
    }

    fn remove(&mut self, lane: LaneId, key: Key) -> Option<Entry<W::Item>> {
        let entry = self.lanes[lane].entries.remove(&key)?;
        self.expiries.remove(&(entry.expiry, key.2));
        self.lengths.shrink(entry.owner);
        self.work = self.work.saturating_sub(entry.cost);
        Some(entry)
    }

    fn lane_of(&mut self, organisation: &Organisation) -> LaneId {
        if let Some(lane) = self.organisations.get(organisation) {
            return *lane;
        }
        let lane = self.add_lane(organisation.clone());
        self.organisations.insert(organisation.clone(), lane);
        lane
    }

    fn add_lane(&mut self, name: Organisation) -> LaneId {
        self.lanes.push(Lane::new());
        self.lengths.add_lane();
        self.names.push(name);
        self.lanes.len() - 1
    }

    fn quantum(&self) -> i64 {
        match self.settings.policy.sharing {
            Sharing::Deficit => micros(self.settings.quantum),
            Sharing::Fifo | Sharing::RoundRobin => 1,
        }
    }
}

fn micros(span: Duration) -> i64 {
    i64::try_from(span.as_micros())
        .unwrap_or(i64::MAX / 4)
        .min(i64::MAX / 4)
}
