//! The members under pressure, as the coordinator or a host without one sees them.

use std::collections::HashMap;
use std::time::Duration;

use burdockslip_runtime::{Instant, now};
use burdockslip_types::MemberName;

use crate::{Holdback, Observation, Regulator};

/// How long after the last sign of pressure all answers are asked for, so that the next
/// peak of the same day is met without the delay.
const WATCH_SPAN: Duration = Duration::from_secs(30);

/// The time in which all hosts learn that all answers are asked for. What they report
/// before is one-sided: only hosts that saw pressure report.
const WATCH_DELAY: Duration = Duration::from_millis(450);

/// The regulators of all members.
#[derive(Debug, Default)]
pub struct Regulators {
    members: HashMap<MemberName, Regulator>,
    /// The last sign of pressure, and since when all answers are asked for.
    watch: Option<(Instant, Instant)>,
}

impl Regulators {
    /// Adds what a host reports of members.
    pub fn record(&mut self, members: Vec<(MemberName, Vec<Observation>)>) {
        let has_pressure = |(_, counts): &(MemberName, Vec<Observation>)| {
            counts.iter().any(|counts| counts.shows_pressure())
        };
        if members.iter().any(has_pressure) {
            let since = self.watch.map_or_else(now, |(_, since)| since);
            self.watch = Some((now(), since));
        }
        for (member, observations) in members {
            let regulator = self.members.entry(member).or_default();
            for observation in observations {
                regulator.record(observation);
            }
        }
    }

    /// Returns whether all answers of all members are asked for.
    pub fn is_watched(&self) -> bool {
        self.watch
            .is_some_and(|(last, _)| last.elapsed() < WATCH_SPAN)
    }

    /// Returns the statements to be held back from each member under pressure.
    pub fn decide(&mut self) -> Vec<(MemberName, Holdback)> {
        if !self.is_watched() {
            self.watch = None;
            self.members.clear();
            return Vec::new();
        }
        if self
            .watch
            .is_some_and(|(_, since)| since.elapsed() < WATCH_DELAY)
        {
            self.members.values_mut().for_each(Regulator::restart);
            return Vec::new();
        }
        self.members.retain(|_, regulator| !regulator.is_idle());
        self.members
            .iter_mut()
            .filter_map(|(member, regulator)| Some((member.clone(), regulator.decide()?)))
            .collect()
    }
}
