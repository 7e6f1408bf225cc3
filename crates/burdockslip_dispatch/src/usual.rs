//! Finds the organisations that send many times their usual.

use std::collections::HashMap;
use std::time::Duration;

use burdockslip_runtime::{Instant, now};
use burdockslip_types::Organisation;

use crate::holdback::{ALL, thousandths};

/// The time between two updates of the averages.
const TICK: Duration = Duration::from_millis(500);

/// The number of ticks over which the usual is averaged.
const USUAL_TICKS: f64 = 240.0;

/// The weight of the newest tick in the recent average.
const RECENT_WEIGHT: f64 = 0.4;

/// The number of ticks with operations before anything is called usual.
const LEARNING_TICKS: u32 = 10;

/// How many times its usual an organisation may send before the rest is beyond it, if all
/// others send as usual.
const TOLERANCE: f64 = 2.0;

/// How far a random number of operations may exceed its mean, in standard deviations.
const DEVIATIONS: f64 = 3.0;

/// The most organisations that are named. More of them are a demand that has grown
/// everywhere.
const MAX_NAMED: usize = 8;

/// The operations of an organisation, each a number for a tick.
#[derive(Debug, Default)]
struct Arrivals {
    current: f64,
    recent: f64,
    usual: f64,
}

/// The usual number of operations of each organisation over all hosts.
///
/// Answers load: one organisation sends many times its usual.
#[derive(Debug)]
pub struct Usual {
    organisations: HashMap<Organisation, Arrivals>,
    ticks: u32,
    updated: Instant,
    excess: Vec<(Organisation, u32)>,
}

impl Default for Usual {
    fn default() -> Self {
        Self {
            organisations: HashMap::new(),
            ticks: 0,
            updated: now(),
            excess: Vec::new(),
        }
    }
}

impl Usual {
    /// Adds the operations that arrived at a host.
    pub fn record(&mut self, arrivals: &[(Organisation, u32)]) {
        for (organisation, count) in arrivals {
            let known = self.organisations.entry(organisation.clone()).or_default();
            known.current += f64::from(*count);
        }
    }

    /// Returns the organisations beyond their usual, with the fraction of their operations
    /// that is beyond it, in thousandths.
    pub fn excess(&mut self) -> &[(Organisation, u32)] {
        if self.updated.elapsed() >= TICK {
            self.updated = now();
            self.update();
        }
        &self.excess
    }

    fn update(&mut self) {
        if self.ticks == 0 && self.organisations.is_empty() {
            return;
        }
        self.ticks = self.ticks.saturating_add(1);
        for known in self.organisations.values_mut() {
            known.recent += RECENT_WEIGHT * (known.current - known.recent);
        }
        let growth = self.median_growth();
        let usual_weight = (1.0 / f64::from(self.ticks)).max(1.0 / USUAL_TICKS);
        let mut excess = Vec::new();
        for (organisation, known) in &mut self.organisations {
            let allowed = known.usual.max(1.0) * TOLERANCE * growth;
            let is_beyond =
                self.ticks > LEARNING_TICKS && known.recent > allowed + DEVIATIONS * allowed.sqrt();
            if is_beyond {
                // Operations that are refused come again, so the number still grows.
                let arriving = known.recent.max(known.current);
                let fraction = (1.0 - allowed / arriving) * f64::from(ALL);
                excess.push((organisation.clone(), thousandths(fraction)));
            } else {
                // What is beyond the usual does not become usual.
                known.usual += usual_weight * (known.current - known.usual);
            }
            known.current = 0.0;
        }
        excess.sort_by(|left, right| right.1.cmp(&left.1).then_with(|| left.0.cmp(&right.0)));
        excess.truncate(MAX_NAMED);
        self.excess = excess;
    }

    /// Returns by how much most organisations have grown, at least one.
    fn median_growth(&self) -> f64 {
        let mut growths: Vec<_> = self
            .organisations
            .values()
            .filter(|known| known.usual >= 1.0)
            .map(|known| known.recent / known.usual)
            .collect();
        growths.sort_by(f64::total_cmp);
        let median = growths.get(growths.len() / 2).copied();
        median.unwrap_or(1.0).max(1.0)
    }
}
