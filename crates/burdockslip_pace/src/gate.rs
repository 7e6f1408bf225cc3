//! A host's side: admits statements to paced members with permits of the coordinator.

use std::collections::HashMap;
use std::time::Duration;

use burdockslip_runtime::{Instant, now};
use burdockslip_types::MemberName;

use crate::message::{DEMAND_WINDOW, to_rate, to_single, to_whole};
use crate::{MemberDemand, PERMIT_LIFETIME, PaceGrant, Sighting};

/// Lower demand is not reported, in statements a second.
const MIN_DEMAND: f64 = 0.02;

/// How long after the coordinator's last answer a host counts as without one.
const FALLBACK_AFTER: Duration = Duration::from_millis(900);

/// How long after the coordinator named a member a host without one still paces it.
const LISTING_LIFETIME: Duration = Duration::from_secs(5);

/// The fraction of the last known rate that all hosts without a coordinator use together.
const FALLBACK_FRACTION: f64 = 0.25;

/// The last known rate of a member that the coordinator has not named yet, in statements
/// a second.
const DEFAULT_RATE: f64 = 50.0;

/// How long a host remembers that the coordinator had no permit for a statement.
const DENIAL_PERIOD: Duration = Duration::from_millis(100);

/// The minimum time between reports for statements that were not sent for want of a
/// permit, and the most hosts of a fleet in which they are reported at once.
const URGENT_PERIOD: Duration = Duration::from_millis(100);
const MAX_URGENT_HOSTS: usize = 60;

/// Whether a member is paced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The member gets what hosts choose to send.
    Free,
    /// It gets what the coordinator permits; without one, each host sends it a little.
    Paced,
    /// It gets what the coordinator permits, and nothing without one.
    Limited,
}

/// The result of a request for permits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The statement may be sent at once.
    Granted,
    /// There is no permit, but the coordinator may grant one.
    Wait,
    /// There is no permit, and none can be expected soon.
    Refused,
}

/// How a statement to a paced member ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered after this time.
    Answered(Duration),
    /// It was refused because the member was busy.
    Busy,
    /// It failed, or was not answered.
    Failed,
}

/// What a host knows about one paced member.
#[derive(Debug)]
struct Entry {
    sighting: Sighting,
    /// When the coordinator last named the member.
    listed: Option<Instant>,
    /// Whether the coordinator last took the member for cold, within a limit.
    is_limited: bool,
    /// The permits, with the moments at which they expire.
    permits: Vec<(Instant, u32)>,
    /// The statements a second that all hosts may send, and this host's part.
    rate: f64,
    share: f64,
    /// The statements that may be sent without a coordinator.
    spare: f64,
    refilled: Instant,
    demand: f64,
    measured: Instant,
    waiting: u32,
    /// The permits for statements that waited at the time of the last report.
    requested: u32,
    denied: Option<Instant>,
    answered: u32,
    busy: u32,
    failed: u32,
    latency: Duration,
}

/// Admits statements to paced members.
#[derive(Debug)]
pub struct Gate {
    entries: HashMap<MemberName, Entry>,
    hosts: usize,
    /// When the last report was sent that the coordinator answered, and when it did.
    last_report: Option<(Instant, Instant)>,
    is_disconnected: bool,
}

impl Default for Gate {
    fn default() -> Self {
        Self {
            entries: HashMap::new(),
            hosts: 1,
            last_report: None,
            is_disconnected: false,
        }
    }
}

impl Gate {
    /// Sets the number of hosts, among which the rate is divided without a coordinator.
    pub fn set_host_count(&mut self, hosts: usize) {
        self.hosts = hosts.max(1);
    }

    /// Returns whether a member is paced.
    pub fn condition(&self, sighting: &Sighting) -> Condition {
        if sighting.is_limited() {
            return Condition::Limited;
        }
        let entry = self.entries.get(&sighting.member);
        let entry = entry.filter(|entry| entry.sighting.born == sighting.born);
        let is_recent = |at: Instant| at.elapsed() < LISTING_LIFETIME;
        let listed = entry.filter(|entry| entry.listed.is_some_and(is_recent));
        if listed.is_some_and(|entry| entry.is_limited) {
            return Condition::Limited;
        }
        // The coordinator may not have seen the run when it last answered.
        let is_unasked = sighting.is_new()
            && sighting
                .seen
                .is_some_and(|seen| self.last_report.is_none_or(|(sent, _)| sent <= seen));
        if sighting.is_cold() || listed.is_some() || is_unasked {
            Condition::Paced
        } else {
            Condition::Free
        }
    }

    /// Returns whether a statement to a member could be sent now.
    pub fn has_permit(&mut self, sighting: &Sighting) -> bool {
        let condition = self.condition(sighting);
        if condition == Condition::Free {
            return true;
        }
        let is_fallback = self.is_fallback();
        let hosts = to_float(self.hosts);
        let entry = self.entry(sighting);
        entry.permits() > 0
            || is_fallback && condition == Condition::Paced && entry.refill(hosts) >= 1.0
    }

    /// Takes permits for `count` commands to a member, if it is paced.
    pub fn take(&mut self, sighting: &Sighting, count: u32) -> Admission {
        let condition = self.condition(sighting);
        if condition == Condition::Free {
            return Admission::Granted;
        }
        let is_fallback = self.is_fallback();
        let hosts = to_float(self.hosts);
        let entry = self.entry(sighting);
        if entry.take(count) {
            return Admission::Granted;
        }
        match condition {
            Condition::Limited if is_fallback => Admission::Refused,
            Condition::Paced if is_fallback && entry.refill(hosts) >= f64::from(count) => {
                entry.spare -= f64::from(count);
                Admission::Granted
            }
            _ => Admission::Wait,
        }
    }

    /// Returns whether a statement that may wait for `wait` cannot expect a permit: the
    /// coordinator had none, and the host's part of the rate yields none in time.
    pub fn is_hopeless(&self, sighting: &Sighting, wait: Duration) -> bool {
        let condition = self.condition(sighting);
        if condition == Condition::Free {
            return false;
        }
        let Some(entry) = self.entries.get(&sighting.member) else {
            return condition == Condition::Limited && self.is_fallback();
        };
        if entry.permits() > 0 {
            return false;
        }
        if self.is_fallback() {
            return condition == Condition::Limited;
        }
        let expected = f64::from(entry.waiting.max(1)) / entry.share.max(f64::MIN_POSITIVE);
        entry.is_denied() && expected > wait.as_secs_f64()
    }

    /// Returns whether the coordinator has recently had no permit for a statement that
    /// waited.
    pub fn is_denied(&self, sighting: &Sighting) -> bool {
        let entry = self.entries.get(&sighting.member);
        entry.is_some_and(Entry::is_denied)
    }

    /// Returns whether the lack of a permit is worth a report before the next regular one.
    /// In large fleets the regular reports keep the coordinator busy.
    pub fn is_urgent(&self) -> bool {
        let is_recent = |(sent, _): (Instant, Instant)| sent.elapsed() < URGENT_PERIOD;
        self.hosts <= MAX_URGENT_HOSTS && !self.last_report.is_some_and(is_recent)
    }

    /// Counts a statement that the host would send to a member.
    pub fn record_demand(&mut self, sighting: &Sighting) {
        if self.condition(sighting) != Condition::Free {
            let entry = self.entry(sighting);
            entry.demand = entry.current_demand() + 1.0 / DEMAND_WINDOW;
            entry.measured = now();
        }
    }

    /// Adds `count` permits to those that statements wait for.
    pub fn begin_wait(&mut self, sighting: &Sighting, count: u32) {
        let entry = self.entry(sighting);
        entry.waiting = entry.waiting.saturating_add(count);
    }

    /// Removes `count` permits from those that statements wait for.
    pub fn end_wait(&mut self, member: &MemberName, count: u32) {
        if let Some(entry) = self.entries.get_mut(member) {
            entry.waiting = entry.waiting.saturating_sub(count);
        }
    }

    /// Records how a statement ended, if its member is paced.
    pub fn record_outcome(&mut self, member: &MemberName, outcome: Outcome) {
        let Some(entry) = self.entries.get_mut(member) else {
            return;
        };
        match outcome {
            Outcome::Answered(latency) => {
                entry.answered += 1;
                entry.latency += latency;
            }
            Outcome::Busy => entry.busy += 1,
            Outcome::Failed => entry.failed += 1,
        }
    }

    /// Returns the members that are paced, or were lately.
    pub fn members(&self) -> Vec<MemberName> {
        self.entries.keys().cloned().collect()
    }

    /// Returns the demands for the next report; `peers` returns the latency of the other
    /// members of a member's group, in milliseconds.
    pub fn demands(&mut self, peers: impl Fn(&MemberName) -> f64) -> Vec<MemberDemand> {
        let report = |entry: &mut Entry| entry.report(&peers);
        self.entries.values_mut().filter_map(report).collect()
    }

    /// Applies the coordinator's grants, a list of all paced members, to a report that was
    /// sent at `sent`. Returns the number of permits.
    pub fn apply(&mut self, sent: Instant, grants: &[PaceGrant]) -> u32 {
        self.last_report = Some((sent, now()));
        self.is_disconnected = false;
        self.entries.retain(|name, entry| {
            let is_for =
                |grant: &PaceGrant| grant.member == *name && grant.born == entry.sighting.born;
            match grants.iter().find(|grant| is_for(grant)) {
                Some(grant) => entry.apply(sent, grant),
                None => entry.clear(),
            }
            entry.is_in_use()
        });
        grants.iter().map(|grant| grant.permits).sum()
    }

    /// Records a paced member that the coordinator has named, so that the host paces it
    /// even if it knows no reason to.
    pub fn record_listed(&mut self, sighting: &Sighting) {
        self.entry(sighting).listed = Some(now());
    }

    /// Records that the coordinator did not answer.
    pub fn mark_disconnected(&mut self) {
        self.is_disconnected = true;
    }

    /// Returns the number of members that this host paces.
    pub fn paced_count(&self) -> usize {
        let is_paced = |entry: &&Entry| self.condition(&entry.sighting) != Condition::Free;
        self.entries.values().filter(is_paced).count()
    }

    fn is_fallback(&self) -> bool {
        let is_silent = |(_, answered): (Instant, Instant)| answered.elapsed() > FALLBACK_AFTER;
        self.is_disconnected || self.last_report.is_none_or(is_silent)
    }

    /// Returns the entry of a member, a new one if another run of it is known.
    fn entry(&mut self, sighting: &Sighting) -> &mut Entry {
        let entry = self
            .entries
            .entry(sighting.member.clone())
            .or_insert_with(|| Entry::new(sighting.clone()));
        if entry.sighting.born == sighting.born {
            if sighting.is_limited() && !entry.sighting.is_limited() && !entry.is_limited {
                // These permits are not within the limit.
                entry.permits.clear();
            }
            entry.sighting.cold_until = sighting.cold_until;
        } else {
            let waiting = entry.waiting;
            *entry = Entry::new(sighting.clone());
            entry.waiting = waiting;
        }
        entry
    }
}

impl Entry {
    fn new(sighting: Sighting) -> Self {
        Self {
            sighting,
            listed: None,
            is_limited: false,
            permits: Vec::new(),
            rate: DEFAULT_RATE,
            share: 0.0,
            spare: 0.0,
            refilled: now(),
            demand: 0.0,
            measured: now(),
            waiting: 0,
            requested: 0,
            denied: None,
            answered: 0,
            busy: 0,
            failed: 0,
            latency: Duration::ZERO,
        }
    }

    /// Returns the number of permits that have not expired.
    fn permits(&self) -> u32 {
        let valid = self.permits.iter().filter(|(until, _)| !until.is_past());
        valid.map(|(_, count)| count).sum()
    }

    /// Takes permits, those that expire first before others.
    fn take(&mut self, count: u32) -> bool {
        self.permits
            .retain(|(until, count)| !until.is_past() && *count > 0);
        if self.permits() < count {
            return false;
        }
        let mut missing = count;
        for (_, held) in &mut self.permits {
            let taken = missing.min(*held);
            *held -= taken;
            missing -= taken;
        }
        true
    }

    /// Adds what accrued without a coordinator, and returns the statements that may be sent.
    fn refill(&mut self, hosts: f64) -> f64 {
        let elapsed = self.refilled.elapsed().as_secs_f64();
        self.refilled = now();
        let rate = self.rate * FALLBACK_FRACTION / hosts;
        self.spare = (self.spare + elapsed * rate).min(rate.max(1.0));
        self.spare
    }

    fn is_denied(&self) -> bool {
        self.denied.is_some_and(|at| at.elapsed() < DENIAL_PERIOD)
    }

    fn current_demand(&self) -> f64 {
        self.demand * (-self.measured.elapsed().as_secs_f64() / DEMAND_WINDOW).exp()
    }

    fn report(&mut self, peers: &impl Fn(&MemberName) -> f64) -> Option<MemberDemand> {
        let rate = self.current_demand();
        let answers = self.answered + self.busy + self.failed;
        if rate < MIN_DEMAND && self.waiting == 0 && answers == 0 {
            return None;
        }
        let held = self.permits();
        self.requested = self.waiting.saturating_sub(held);
        let expected = (rate * PERMIT_LIFETIME.as_secs_f64()).ceil();
        let latency = self.latency.as_secs_f64() * 1000.0 / f64::from(self.answered.max(1));
        let demand = MemberDemand {
            member: self.sighting.member.clone(),
            born: self.sighting.born,
            cold: self.sighting.cold_left(),
            rate: to_single(rate),
            waiting: self.requested,
            prefetch: to_whole(expected).saturating_sub(held),
            answered: self.answered,
            busy: self.busy,
            failed: self.failed,
            latency: to_single(latency),
            peers: to_single(peers(&self.sighting.member)),
        };
        (self.answered, self.busy, self.failed) = (0, 0, 0);
        self.latency = Duration::ZERO;
        Some(demand)
    }

    fn apply(&mut self, sent: Instant, grant: &PaceGrant) {
        self.listed = Some(now());
        self.rate = to_rate(grant.rate);
        self.share = to_rate(grant.share);
        self.spare = 0.0;
        self.refilled = now();
        let until = sent + PERMIT_LIFETIME;
        if self.sighting.is_limited() && !grant.is_limited {
            // The coordinator does not know yet that the member is cold.
            self.permits.clear();
        } else if grant.permits > 0 && !until.is_past() {
            self.permits.push((until, grant.permits));
        }
        self.is_limited = grant.is_limited;
        let requested = std::mem::take(&mut self.requested);
        self.denied = (grant.permits < requested).then(now);
    }

    /// Ends the pace of a member that the coordinator does not name.
    fn clear(&mut self) {
        self.listed = None;
        self.share = 0.0;
        let requested = std::mem::take(&mut self.requested);
        self.denied = (requested > 0).then(now);
    }

    fn is_in_use(&self) -> bool {
        self.listed.is_some() || self.waiting > 0 || self.current_demand() >= MIN_DEMAND
    }
}

fn to_float(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}
