//! The commits of a session, which its later reads must include.

use burdockslip_types::{GroupName, LogPosition};

/// The last commit of a session in each group.
///
/// A session commits in several groups if its route moves, and the route may come back: see
/// `docs/incidents/own-commits.md`. There are few of them, so a list is smaller than a map.
#[derive(Debug, Default)]
pub(crate) struct OwnCommits {
    positions: Vec<(GroupName, LogPosition)>,
}

impl OwnCommits {
    /// Records a commit that is acknowledged to the session.
    pub(crate) fn record(&mut self, group: &GroupName, position: LogPosition) {
        let mut positions = self.positions.iter_mut();
        match positions.find(|(known, _)| known == group) {
            Some((_, last)) => *last = position.max(*last),
            None => self.positions.push((group.clone(), position)),
        }
    }

    /// Returns the position of the last commit in a group, or `None` if there is none.
    pub(crate) fn last(&self, group: &GroupName) -> Option<LogPosition> {
        let mut positions = self.positions.iter();
        let (_, last) = positions.find(|(known, _)| known == group)?;
        Some(*last)
    }
}
