//! Implements the queue itself.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use burdockslip_runtime::{Instant, now};
use burdockslip_types::{ErrorKind, Organisation};

use crate::calendar::Calendar;
use crate::lane::{Entry, Key, Lane, LaneId, sort_key};
use crate::lengths::Lengths;
use crate::{Settings, Sharing};

/// Names the type of the items that a queue holds.
pub trait Workload {
    /// The queued item, usually a request with the channel for its response.
    type Item;
}

/// Holds a request that is to run now.
#[derive(Debug)]
pub struct Ready<W: Workload> {
    /// The organisation that is charged.
    pub organisation: Organisation,
    /// The estimated cost, already charged; pass it to [`FairQueue::finish`].
    pub cost: Duration,
    /// The time that the request spent in the queue.
    pub delay: Duration,
    /// The item.
    pub item: W::Item,
}

/// Hands back a request that was not run.
#[derive(Debug)]
pub struct Dropped<W: Workload> {
    /// The organisation that sent it.
    pub organisation: Organisation,
    /// `DeadlineExceeded`, or `QueueFull` if a bound on length or delay was hit.
    pub cause: ErrorKind,
    /// The item.
    pub item: W::Item,
}

/// Queues the requests of one database and shares its slots between organisations.
///
/// The default policy is deficit round robin (M. Shreedhar and G. Varghese,
/// "Efficient Fair Queuing Using Deficit Round Robin", IEEE/ACM Transactions
/// on Networking 4(3), 1996), charged with the measured execution time: the
/// cost of a statement is unknown before it has run, so a lane may go into
/// debt and sits out the rounds that pay for it. See `docs/design.md`,
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
    sequence: u64,
    steps: u64,
}

/// The lane that all organisations share under `Sharing::Fifo`.
const COMMON: LaneId = 0;

impl<W: Workload> FairQueue<W> {
    /// Builds an empty queue.
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

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.expiries.is_empty()
    }

    /// Returns the number of lanes visited so far, the cost of the decisions.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// Sets the weight of an organisation from the catalogue; one is the default.
    ///
    /// Only `Sharing::Deficit` uses weights.
    pub fn set_weight(&mut self, organisation: &Organisation, weight: u32) {
        if self.settings.policy.sharing == Sharing::Deficit {
            let lane = self.lane_of(organisation);
            self.lanes[lane].set_weight(weight);
        }
    }

    /// Queues `item`, whose execution is expected to take `cost`.
    ///
    /// A higher `priority` runs first within the organisation under
    /// `Order::Priority`. When the queue is full in total, the last request of
    /// the longest lane gives way unless the caller's lane is as long.
    ///
    /// # Errors
    ///
    /// Hands the item back with `QueueFull` if a bound is reached, or with
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
        if let Some(cause) = self.refusal(owner, deadline, arrival) {
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

    /// Takes the request that runs next.
    ///
    /// Expired requests are never returned; collect them with
    /// [`FairQueue::take_dropped`].
    pub fn pop(&mut self, now: Instant) -> Option<Ready<W>> {
        self.expire(now);
        loop {
            let lane = self.calendar.first()?;
            self.steps += 1;
            if self.lanes[lane].entries.is_empty() {
                self.calendar.remove_first();
                self.lanes[lane].is_scheduled = false;
                self.lanes[lane].forfeit();
            } else if self.lanes[lane].has_credit() {
                return self.serve(lane, now);
            } else {
                self.calendar.remove_first();
                self.schedule(lane);
            }
        }
    }

    /// Returns the requests that expired, were shed or gave way since the last call.
    pub fn take_dropped(&mut self, now: Instant) -> Vec<Dropped<W>> {
        self.expire(now);
        std::mem::take(&mut self.dropped)
    }

    /// Returns when the next request expires, for the caller's timer.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.expiries.keys().next().map(|(expiry, _)| *expiry)
    }

    /// Replaces the estimated cost of a finished request by the measured one.
    pub fn finish(&mut self, organisation: &Organisation, estimate: Duration, measured: Duration) {
        if self.settings.policy.sharing == Sharing::Deficit {
            let lane = self.lane_of(organisation);
            let difference = micros(measured) - micros(estimate);
            let quantum = self.quantum();
            self.lanes[lane].charge(difference, quantum);
        }
    }

    fn refusal(&mut self, owner: LaneId, deadline: Instant, now: Instant) -> Option<ErrorKind> {
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

    /// Hands back the request of `owner` that would run last; the common lane has no such order.
    fn evict_last(&mut self, owner: LaneId) -> bool {
        let Some(key) = self.lanes[owner].entries.keys().next_back().copied() else {
            return false;
        };
        self.discard(owner, key, ErrorKind::QueueFull);
        true
    }

    fn insert(&mut self, key: Key, entry: Entry<W::Item>) {
        let lane = match self.settings.policy.sharing {
            Sharing::Fifo => COMMON,
            Sharing::RoundRobin | Sharing::Deficit => entry.owner,
        };
        self.lengths.grow(entry.owner);
        self.expiries.insert((entry.expiry, key.2), (lane, key));
        self.lanes[lane].entries.insert(key, entry);
        if !self.lanes[lane].is_scheduled {
            self.schedule(lane);
        }
    }

    fn schedule(&mut self, lane: LaneId) {
        let quantum = self.quantum();
        let savings = match self.settings.policy.sharing {
            Sharing::Deficit => micros(self.settings.idle_credit),
            Sharing::Fifo | Sharing::RoundRobin => 0,
        };
        let round = self.lanes[lane].next_round(self.calendar.current(), quantum, savings);
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
