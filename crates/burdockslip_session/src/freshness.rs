//! A history of the log positions of primaries, which bounds the age of reads at replicas.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use burdockslip_runtime::{Instant, now};
use burdockslip_types::{GroupName, LogPosition};

/// Subtracted from the maximum age of a class, to allow for the time until a read
/// reaches its member.
const AGE_MARGIN: Duration = Duration::from_millis(200);

/// The minimum interval between recorded positions, which bounds the memory used.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// How long positions are kept; longer than the maximum age that classes allow.
const RETENTION: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, Copy)]
struct Sample {
    sent: Instant,
    position: LogPosition,
}

/// Recent log positions of the primaries of all groups, with the times at which they
/// were requested.
#[derive(Debug, Default)]
pub struct PositionHistory {
    groups: RefCell<HashMap<GroupName, VecDeque<Sample>>>,
}

impl PositionHistory {
    /// Records the position in the reply of a primary to a command sent at `sent`.
    ///
    /// The position covers every commit that was acknowledged before `sent`.
    pub fn record(&self, group: &GroupName, sent: Instant, position: LogPosition) {
        let mut groups = self.groups.borrow_mut();
        let samples = groups.entry(group.clone()).or_default();
        if let Some(last) = samples.back_mut()
            && sent.since(last.sent) < MIN_INTERVAL
        {
            return;
        }
        samples.push_back(Sample { sent, position });
        while samples
            .front()
            .is_some_and(|sample| sample.sent.elapsed() > RETENTION)
        {
            samples.pop_front();
        }
    }

    /// Returns the position that the log of a replica must have reached so that its
    /// data is no older than `staleness` and includes the session's `last_commit`.
    ///
    /// The lowest sufficient position is returned, because lagging replicas can
    /// serve it. Without a recent position, the age of a replica is unknown,
    /// regardless of what the session has committed: the result is `None`, and no
    /// replica may be used.
    pub fn floor(
        &self,
        group: &GroupName,
        staleness: Duration,
        last_commit: Option<LogPosition>,
    ) -> Option<LogPosition> {
        let limit = staleness.saturating_sub(AGE_MARGIN);
        let groups = self.groups.borrow();
        let samples = groups.get(group)?;
        let sample = samples
            .iter()
            .find(|sample| sample.sent.elapsed() < limit)?;
        Some(last_commit.map_or(sample.position, |last_commit| {
            last_commit.max(sample.position)
        }))
    }

    /// Returns the latest position of each group with its age. The coordinator sends
    /// them to other hosts.
    pub fn latest(&self) -> Vec<(GroupName, LogPosition, Duration)> {
        let groups = self.groups.borrow();
        let last = |(group, samples): (&GroupName, &VecDeque<Sample>)| {
            let sample = samples.back()?;
            Some((group.clone(), sample.position, sample.sent.elapsed()))
        };
        groups.iter().filter_map(last).collect()
    }

    /// Returns the age of the latest position of a group, or `None` if there is none.
    pub fn age(&self, group: &GroupName) -> Option<Duration> {
        let groups = self.groups.borrow();
        let last = groups.get(group)?.back()?;
        Some(now().since(last.sent))
    }
}
