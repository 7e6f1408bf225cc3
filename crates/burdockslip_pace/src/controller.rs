//! The coordinator's side: finds the pace of members and grants permits.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use burdockslip_runtime::{Instant, now};
use burdockslip_types::{HostId, MemberName};

use crate::message::to_rate;
use crate::ramp::Ramp;
use crate::{MemberDemand, PaceGrant, Sighting};

/// How long the suspicions of a host count after its last report.
const REPORT_VALIDITY: Duration = Duration::from_millis(1_300);

/// The minimum time between two looks at all members, of which there may be thousands.
const SCAN_PERIOD: Duration = Duration::from_millis(20);

/// Finds the pace of members and grants permits while this host is the coordinator.
///
/// A controller starts without permits, because those of the previous coordinator may
/// still be in use.
#[derive(Debug, Default)]
pub struct Controller {
    ramps: HashMap<MemberName, Ramp>,
    /// The runs whose ramps have ended while they still count as new.
    finished: HashMap<MemberName, u64>,
    /// The hosts that report, and the members that each of them cannot reach.
    hosts: HashMap<HostId, (Instant, Vec<MemberName>)>,
    /// The number of hosts that cannot reach each member.
    suspicions: HashMap<MemberName, usize>,
    /// The members that most hosts could not reach.
    lost: HashSet<MemberName>,
    /// When all members were last looked at.
    scanned: Option<Instant>,
}

impl Controller {
    /// Processes a host's report: its demand for paced members, and the members that it
    /// cannot reach. Returns its grants, one for each paced member.
    ///
    /// `known` are the members of paced groups as the coordinator knows them.
    pub fn grant(
        &mut self,
        host: &HostId,
        demands: &[MemberDemand],
        suspects: &[MemberName],
        known: &[Sighting],
    ) -> Vec<PaceGrant> {
        self.record_suspects(host, suspects);
        self.start_ramps(known, demands);
        for demand in demands {
            if let Some(ramp) = self.ramp(demand) {
                ramp.record(host, demand);
            }
        }
        let hosts = self.hosts.len();
        let finished = &mut self.finished;
        self.ramps.retain(|name, ramp| {
            let is_over = ramp.step(hosts);
            if is_over {
                finished.insert(name.clone(), ramp.sighting.born);
            }
            !is_over
        });
        let wanted = |ramp: &Ramp| {
            let demand = demands.iter().find(|demand| is_for(demand, ramp));
            // A host without demand may have a statement before its next report.
            demand.map_or((0, 1), |demand| (demand.waiting, demand.prefetch))
        };
        let grant = |ramp: &mut Ramp| {
            let (waiting, prefetch) = wanted(ramp);
            ramp.grant(host, waiting, prefetch)
        };
        self.ramps.values_mut().map(grant).collect()
    }

    /// Returns the number of paced members.
    pub fn paced_count(&self) -> usize {
        self.ramps.len()
    }

    fn ramp(&mut self, demand: &MemberDemand) -> Option<&mut Ramp> {
        let ramp = self.ramps.get_mut(&demand.member)?;
        is_for(demand, ramp).then_some(ramp)
    }

    /// Starts the ramps of members that are new, cold, or reachable again.
    fn start_ramps(&mut self, known: &[Sighting], demands: &[MemberDemand]) {
        let is_due = self.scanned.is_none_or(|at| at.elapsed() >= SCAN_PERIOD);
        if is_due || !self.lost.is_empty() {
            self.scanned = Some(now());
            self.evict_silent();
            self.evict_members(known);
            for sighting in known {
                self.update_ramp(sighting, None);
            }
        }
        // A host may see before the coordinator that a member is cold.
        for demand in demands.iter().filter(|demand| !demand.cold.is_zero()) {
            let is_for = |sighting: &&Sighting| {
                sighting.member == demand.member && sighting.born == demand.born
            };
            if !self.ramps.contains_key(&demand.member)
                && let Some(sighting) = known.iter().find(is_for)
            {
                self.update_ramp(sighting, Some(demand));
            }
        }
    }

    fn update_ramp(&mut self, sighting: &Sighting, demand: Option<&MemberDemand>) {
        let name = &sighting.member;
        let has_recovered = self.has_recovered(name);
        let is_finished = self.finished.get(name) == Some(&sighting.born);
        let reason = if sighting.is_cold() || demand.is_some() {
            "cold"
        } else if has_recovered {
            "reachable again"
        } else if sighting.is_new() && !is_finished {
            "new run"
        } else {
            ""
        };
        if let Some(ramp) = self.ramps.get_mut(name) {
            if ramp.sighting.born != sighting.born {
                ramp.restart(sighting.clone(), "started again");
            } else if has_recovered {
                ramp.restart(sighting.clone(), "reachable again");
            } else {
                ramp.refresh(sighting);
            }
        } else if !reason.is_empty() {
            let latency = demand.map(|demand| to_rate(demand.peers));
            let ramp = Ramp::new(sighting.clone(), latency, reason);
            self.ramps.insert(name.clone(), ramp);
        }
    }

    fn evict_members(&mut self, known: &[Sighting]) {
        let is_in_use =
            !self.ramps.is_empty() || !self.finished.is_empty() || !self.lost.is_empty();
        if is_in_use {
            let names: HashSet<_> = known.iter().map(|sighting| &sighting.member).collect();
            self.ramps.retain(|name, _| names.contains(name));
            self.finished.retain(|name, _| names.contains(name));
            self.lost.retain(|name| names.contains(name));
        }
    }

    /// Records which members a host cannot reach. The counts are kept up to date, because
    /// hundreds of hosts may suspect hundreds of members during a partition.
    fn record_suspects(&mut self, host: &HostId, suspects: &[MemberName]) {
        let is_changed = match self.hosts.get_mut(host) {
            Some((at, known)) => {
                *at = now();
                known != suspects
            }
            None => true,
        };
        if is_changed {
            let report = (now(), suspects.to_vec());
            let previous = self.hosts.insert(host.clone(), report);
            self.forget(previous.into_iter().flat_map(|(_, known)| known));
            for name in suspects {
                *self.suspicions.entry(name.clone()).or_default() += 1;
            }
        }
        for name in suspects {
            if self.is_lost(name) {
                self.lost.insert(name.clone());
            }
        }
    }

    /// Removes the suspicions of hosts that have not reported lately.
    fn evict_silent(&mut self) {
        let is_silent = |at: &Instant| at.elapsed() >= REPORT_VALIDITY;
        let silent = self.hosts.extract_if(|_, (at, _)| is_silent(at));
        let names: Vec<_> = silent.flat_map(|(_, (_, known))| known).collect();
        self.forget(names);
    }

    fn forget(&mut self, names: impl IntoIterator<Item = MemberName>) {
        for name in names {
            if let Some(count) = self.suspicions.get_mut(&name) {
                *count -= 1;
                if *count == 0 {
                    self.suspicions.remove(&name);
                }
            }
        }
    }

    /// Returns whether most hosts that report cannot reach a member.
    fn is_lost(&self, name: &MemberName) -> bool {
        let against = self.suspicions.get(name).copied().unwrap_or_default();
        against * 2 > self.hosts.len()
    }

    /// Returns whether most hosts could not reach a member, and now can.
    fn has_recovered(&mut self, name: &MemberName) -> bool {
        let has_recovered = self.lost.contains(name) && !self.is_lost(name);
        if has_recovered {
            self.lost.remove(name);
        }
        has_recovered
    }
}

fn is_for(demand: &MemberDemand, ramp: &Ramp) -> bool {
    demand.member == ramp.sighting.member && demand.born == ramp.sighting.born
}
