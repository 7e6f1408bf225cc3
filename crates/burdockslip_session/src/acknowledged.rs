//! The positions of commits that were acknowledged to clients.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};

use burdockslip_failover::AcknowledgedCommit;
use burdockslip_types::{GroupName, LogIndex, LogPosition};

/// The last commit of each group that this host has acknowledged to a client.
///
/// The coordinator promotes no member that lacks it; see `docs/platform.md`, "Members that
/// come back empty".
#[derive(Debug, Default)]
pub struct Acknowledged {
    groups: RefCell<HashMap<GroupName, AcknowledgedCommit>>,
    /// The groups with commits since they were last taken for a report.
    changed: RefCell<HashSet<GroupName>>,
}

impl Acknowledged {
    /// Records a commit before its client is told that it is kept: the last position that
    /// the primary had reported before the commit, and the one that it reported with it.
    ///
    /// The later one may cover commits of other clients that no replica has received. The
    /// commit itself comes after `preceding`.
    pub(crate) fn record(&self, group: &GroupName, preceding: LogPosition, position: LogPosition) {
        if preceding.term != position.term {
            return;
        }
        let index = LogIndex(preceding.index.0.saturating_add(1));
        let commit = AcknowledgedCommit {
            lowest: LogPosition { index, ..preceding },
            highest: position,
        };
        let mut groups = self.groups.borrow_mut();
        let known = groups.entry(group.clone()).or_insert(commit);
        *known = commit.max(*known);
        self.changed.borrow_mut().insert(group.clone());
    }

    /// Returns the last commit of each group that has changed since the last call.
    pub fn take_changes(&self) -> Vec<(GroupName, AcknowledgedCommit)> {
        let groups = self.groups.borrow();
        let changed = self.changed.take().into_iter();
        changed
            .filter_map(|group| groups.get(&group).map(|commit| (group, *commit)))
            .collect()
    }

    /// Returns the last commit of each group.
    pub fn latest(&self) -> Vec<(GroupName, AcknowledgedCommit)> {
        let groups = self.groups.borrow();
        let entry = |(group, commit): (&GroupName, &AcknowledgedCommit)| (group.clone(), *commit);
        groups.iter().map(entry).collect()
    }
}
