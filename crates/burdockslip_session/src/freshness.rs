//! Keeps positions that primaries are known to have held at known times.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use burdockslip_runtime::{Instant, now};
use burdockslip_types::{GroupName, LogPosition};

/// Kept back from a class's greatest age for the way of a read to its member.
const AGE_MARGIN: Duration = Duration::from_millis(200);

/// Spaces the positions that are kept, so that memory is bounded.
const SPACING: Duration = Duration::from_millis(50);

/// How long positions are kept, above the greatest age that classes allow.
const HISTORY: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, Copy)]
struct Sample {
    sent: Instant,
    mark: LogPosition,
}

/// Keeps the positions of all groups.
#[derive(Debug, Default)]
pub struct PositionHistory {
    groups: RefCell<HashMap<GroupName, VecDeque<Sample>>>,
}

impl PositionHistory {
    /// Notes the position in an answer of the primary to a command sent at `sent`.
    ///
    /// The position covers every commit that was acknowledged before `sent`.
    pub fn record(&self, group: &GroupName, sent: Instant, mark: LogPosition) {
        let mut groups = self.groups.borrow_mut();
        let samples = groups.entry(group.clone()).or_default();
        if let Some(last) = samples.back_mut()
            && sent.since(last.sent) < SPACING
        {
            return;
        }
        samples.push_back(Sample { sent, mark });
        while samples
            .front()
            .is_some_and(|sample| sample.sent.elapsed() > HISTORY)
        {
            samples.pop_front();
        }
    }

    /// Returns a position that data has to include that is no older than
    /// `staleness` and has the session's `own` commits.
    ///
    /// The oldest one that will do is returned, since lagging replicas can
    /// serve it. Without a recent position the age of a replica is unknown,
    /// whatever the session has committed, and none may be used.
    pub fn floor(
        &self,
        group: &GroupName,
        staleness: Duration,
        own: Option<LogPosition>,
    ) -> Option<LogPosition> {
        let limit = staleness.saturating_sub(AGE_MARGIN);
        let groups = self.groups.borrow();
        let samples = groups.get(group)?;
        let sample = samples
            .iter()
            .find(|sample| sample.sent.elapsed() < limit)?;
        Some(own.map_or(sample.mark, |own| own.max(sample.mark)))
    }

    /// Returns the latest position of each group with its age, for other hosts.
    pub fn latest(&self) -> Vec<(GroupName, LogPosition, Duration)> {
        let groups = self.groups.borrow();
        let last = |(group, samples): (&GroupName, &VecDeque<Sample>)| {
            let sample = samples.back()?;
            Some((group.clone(), sample.mark, sample.sent.elapsed()))
        };
        groups.iter().filter_map(last).collect()
    }

    /// Returns the age of the latest position.
    pub fn age(&self, group: &GroupName) -> Option<Duration> {
        let groups = self.groups.borrow();
        let last = groups.get(group)?.back()?;
        Some(now().since(last.sent))
    }
}
