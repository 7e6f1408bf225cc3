//! The commits of a session, which its later reads must include.

use burdockslip_types::{GroupName, LogPosition};

/// The last commit of a session in each group.
///
/// A session commits in several groups when its route changes, or when its transaction
/// outlasts a change. The route may come back, so a commit in one group must not replace
/// that in another. A session uses few groups: a list is smaller than a map.
#[derive(Debug, Default)]
pub(crate) struct OwnCommits {
    positions: Vec<(GroupName, LogPosition)>,
}

impl OwnCommits {
    /// Records a commit that the session may be told of.
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
