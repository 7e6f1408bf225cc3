//! What a host knows about pressure, and what it refuses because of it.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use burdockslip_runtime::{Instant, now, random_range};
use burdockslip_types::{MemberName, Organisation};

use crate::holdback::ALL;
use crate::{
    Answer, Holdback, Observation, Observer, PressureReply, PressureReport, Rank, Regulator,
    Regulators, TimerLag,
};

/// How long the coordinator's word counts. Afterwards the host regulates on its own.
const WORD_VALIDITY: Duration = Duration::from_millis(1_500);

/// The pressure as a host knows it. While it is off, nothing is counted or held back.
#[derive(Debug)]
pub struct HostPressure {
    is_on: bool,
    observer: RefCell<Observer>,
    arrivals: RefCell<BTreeMap<Organisation, u32>>,
    is_watched: Cell<bool>,
    holdbacks: RefCell<HashMap<MemberName, Holdback>>,
    excess: RefCell<HashMap<Organisation, u32>>,
    /// When the coordinator last answered.
    told: Cell<Instant>,
    /// Regulates while there is no coordinator.
    own: RefCell<Regulators>,
    /// Regulates the host's processor time.
    processor: RefCell<Regulator>,
    lag: RefCell<TimerLag>,
}

impl HostPressure {
    /// Creates a state without pressure.
    pub fn new(is_on: bool) -> Self {
        Self {
            is_on,
            observer: RefCell::default(),
            arrivals: RefCell::default(),
            is_watched: Cell::new(false),
            holdbacks: RefCell::default(),
            excess: RefCell::default(),
            told: Cell::new(now()),
            own: RefCell::default(),
            processor: RefCell::default(),
            lag: RefCell::default(),
        }
    }

    /// Returns whether statements are served by priority.
    pub const fn is_on(&self) -> bool {
        self.is_on
    }

    /// Counts an operation that arrives, and returns its rank.
    pub fn rank(&self, organisation: &Organisation, priority: u8) -> Rank {
        if !self.is_on {
            return Rank::of_priority(priority);
        }
        *self
            .arrivals
            .borrow_mut()
            .entry(organisation.clone())
            .or_default() += 1;
        let excess = self.excess.borrow().get(organisation).copied();
        if excess.is_some_and(|fraction| draw() < fraction) {
            Rank::EXCESS
        } else {
            Rank::of_priority(priority)
        }
    }

    /// Returns the fraction of statements of `rank` that a member should not get, in
    /// thousandths.
    pub fn held(&self, member: &MemberName, rank: Rank) -> u32 {
        let holdbacks = self.holdbacks.borrow();
        holdbacks
            .get(member)
            .map_or(0, |holdback| holdback.held(rank))
    }

    /// Returns whether statements are held back from a member.
    pub fn is_pressed(&self, member: &MemberName) -> bool {
        self.holdbacks.borrow().contains_key(member)
    }

    /// Decides whether a read leaves the primary to statements that only it can serve: the
    /// primary is under pressure, and one of `replicas` answers soon enough.
    ///
    /// `replicas` are the members that hold recent enough data, each with its usual latency,
    /// and `limit` is the longest latency that the read allows.
    pub fn spares_primary(
        &self,
        primary: &MemberName,
        replicas: impl IntoIterator<Item = (MemberName, Duration)>,
        rank: Rank,
        limit: Duration,
    ) -> bool {
        let can_serve = |(replica, latency): (MemberName, Duration)| {
            latency < limit && self.held(&replica, rank) < ALL / 2
        };
        self.is_pressed(primary) && replicas.into_iter().any(can_serve)
    }

    /// Decides whether an operation may go to one of `members`, and counts it as held back
    /// otherwise. Without members the decision is left to others.
    pub fn admits(&self, members: &[MemberName], rank: Rank) -> bool {
        let held = |member: &MemberName| self.held(member, rank);
        let Some(least) = members.iter().min_by_key(|member| held(member)) else {
            return true;
        };
        if draw() >= held(least) {
            return true;
        }
        self.record(least, rank, Answer::Held);
        false
    }

    /// Decides whether the host's processor time allows an operation.
    ///
    /// `objective` is the shortest latency objective of all routes. Tasks that wait for a
    /// quarter of it leave too little for the members.
    pub fn admits_here(&self, rank: Rank, objective: Duration) -> bool {
        if !self.is_on {
            return true;
        }
        let is_slow = self.lag.borrow().average() > objective / 4;
        let mut processor = self.processor.borrow_mut();
        let held = processor.decide().map_or(0, |holdback| holdback.held(rank));
        let is_admitted = draw() >= held;
        // All operations take about the same processor time here.
        let answer = match (is_admitted, is_slow) {
            (false, _) => Answer::Held,
            (true, true) => Answer::Late,
            (true, false) => Answer::InTime(Duration::from_millis(1)),
        };
        processor.record(Observation::of(rank, answer));
        is_admitted
    }

    /// Adds a sample of the delay of timers.
    pub fn record_lag(&self, planned: Duration, actual: Duration) {
        self.lag.borrow_mut().record(planned, actual);
    }

    /// Returns the average delay of timers.
    pub fn lag(&self) -> Duration {
        self.lag.borrow().average()
    }

    /// Returns what is held back because the host lacks processor time.
    pub fn own_holdback(&self) -> Option<Holdback> {
        self.processor.borrow().holdback()
    }

    /// Counts what became of a statement to a member.
    pub fn record(&self, member: &MemberName, rank: Rank, answer: Answer) {
        if self.is_on {
            self.observer.borrow_mut().record(member, rank, answer);
        }
    }

    /// Removes and returns the counts for a report to the coordinator.
    pub fn take_report(&self) -> PressureReport {
        let arrivals = std::mem::take(&mut *self.arrivals.borrow_mut());
        let is_alone = self.is_alone();
        let members = self
            .observer
            .borrow_mut()
            .take(self.is_watched.get() || is_alone);
        if is_alone {
            let mut own = self.own.borrow_mut();
            own.record(members.clone());
            *self.holdbacks.borrow_mut() = own.decide().into_iter().collect();
        }
        PressureReport {
            members,
            arrivals: arrivals.into_iter().collect(),
        }
    }

    /// Applies a reply of the coordinator.
    pub fn apply(&self, reply: PressureReply) {
        self.told.set(now());
        self.is_watched.set(reply.is_watched);
        *self.holdbacks.borrow_mut() = reply.members.into_iter().collect();
        *self.excess.borrow_mut() = reply.excess.into_iter().collect();
    }

    /// Returns the members from which statements are held back.
    pub fn holdbacks(&self) -> BTreeMap<MemberName, Holdback> {
        let holdbacks = self.holdbacks.borrow();
        holdbacks
            .iter()
            .map(|(member, holdback)| (member.clone(), *holdback))
            .collect()
    }

    /// Returns whether the coordinator has not answered for a while.
    fn is_alone(&self) -> bool {
        self.is_on && self.told.get().elapsed() > WORD_VALIDITY
    }
}

/// Draws a number of thousandths.
fn draw() -> u32 {
    u32::try_from(random_range(0..u64::from(ALL))).unwrap_or_default()
}
