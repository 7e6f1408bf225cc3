//! Replaces a primary in a planned way.

use burdockslip_runtime::{Instant, timeout_at};
use burdockslip_types::{ErrorKind, MemberName, Result};
use error_stack::bail;

use crate::Primary;
use crate::shared::Shared;

/// Accepts writes again when a switchover ends, also if it is dropped midway.
struct Switching<'a>(&'a Shared);

impl Drop for Switching<'_> {
    fn drop(&mut self) {
        self.0.is_switching.set(false);
    }
}

impl Shared {
    pub(crate) async fn switch_over(
        &self,
        target: Option<&MemberName>,
        drained: impl Future<Output = ()>,
        deadline: Instant,
    ) -> Result<Primary> {
        let Some((old, _)) = self.view.borrow().primary() else {
            bail!(ErrorKind::NoPrimary);
        };
        self.is_switching.set(true);
        let _switching = Switching(self);
        // Units that outlast the deadline learn from the fence that they failed.
        let _ = timeout_at(deadline, drained).await;
        loop {
            // Another watcher may have replaced the primary meanwhile.
            if let Some(primary) = self.successor(old) {
                return Ok(primary);
            }
            let target = self.caught_up(old, target, deadline).await?;
            let primary = self.promote(Some(target)).await?;
            // A write that came through another host may have kept the old
            // primary ahead; it was then promoted again to keep that write.
            if primary.member != self.members[old].name {
                return Ok(primary);
            }
            if deadline.is_past() {
                bail!(ErrorKind::NoPrimary);
            }
        }
    }

    /// Returns the primary if it is another member than `old`.
    fn successor(&self, old: usize) -> Option<Primary> {
        let (index, term) = self.view.borrow().primary()?;
        (index != old).then(|| Primary {
            member: self.members[index].name.clone(),
            term,
        })
    }

    /// Waits until the target, or any other member, holds the primary's log.
    async fn caught_up(
        &self,
        old: usize,
        target: Option<&MemberName>,
        deadline: Instant,
    ) -> Result<usize> {
        loop {
            let changed = self.changed.listen();
            let found = (0..self.members.len())
                .filter(|&index| target.is_none_or(|name| self.members[index].name == *name))
                .find(|&index| index != old && self.is_level(index, old));
            if let Some(index) = found {
                return Ok(index);
            }
            self.wanted.notify();
            if timeout_at(deadline, changed).await.is_err() {
                bail!(ErrorKind::NoPrimary);
            }
        }
    }

    fn is_level(&self, index: usize, primary: usize) -> bool {
        let view = self.view.borrow();
        match (view.report(index), view.report(primary)) {
            (Some(member), Some(primary)) => {
                !member.status.is_leaving && member.status.position >= primary.status.position
            }
            _ => false,
        }
    }
}
