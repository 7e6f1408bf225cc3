//! The planned switchover to another primary.

use burdockslip_runtime::{Instant, timeout_at};
use burdockslip_types::{ErrorKind, MemberName, Result};
use error_stack::bail;

use crate::Primary;
use crate::shared::Shared;

/// Makes the host accept writes again when dropped, so that this also happens if
/// a switchover is cancelled.
struct SwitchGuard<'a>(&'a Shared);

impl Drop for SwitchGuard<'_> {
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
        let _guard = SwitchGuard(self);
        // Units that are still in flight at the deadline fail when the old primary
        // is fenced.
        let _ = timeout_at(deadline, drained).await;
        loop {
            // Another watcher may have replaced the primary meanwhile.
            if let Some(primary) = self.successor(old) {
                return Ok(primary);
            }
            let target = self.wait_caught_up(old, target, deadline).await?;
            let primary = self.promote(Some(target)).await?;
            // If a write through another host has put the old primary ahead, it is
            // promoted again, so that the write is not lost.
            if primary.member != self.members[old].name {
                return Ok(primary);
            }
            if deadline.is_past() {
                bail!(ErrorKind::NoPrimary);
            }
        }
    }

    /// Returns the primary if it is a member other than `old`.
    fn successor(&self, old: usize) -> Option<Primary> {
        let (index, term) = self.view.borrow().primary()?;
        (index != old).then(|| Primary {
            member: self.members[index].name.clone(),
            term,
        })
    }

    /// Waits until `target`, or any member if it is `None`, holds the log of the
    /// old primary, and returns the member's index.
    async fn wait_caught_up(
        &self,
        old: usize,
        target: Option<&MemberName>,
        deadline: Instant,
    ) -> Result<usize> {
        loop {
            let changed = self.view_changed.listen();
            let found = (0..self.members.len())
                .filter(|&index| target.is_none_or(|name| self.members[index].name == *name))
                .find(|&index| index != old && self.is_caught_up(index, old));
            if let Some(index) = found {
                return Ok(index);
            }
            self.poll_requested.notify();
            if timeout_at(deadline, changed).await.is_err() {
                bail!(ErrorKind::NoPrimary);
            }
        }
    }

    fn is_caught_up(&self, index: usize, primary: usize) -> bool {
        let view = self.view.borrow();
        match (view.report(index), view.report(primary)) {
            (Some(member), Some(primary)) => {
                !member.status.is_leaving && member.status.position >= primary.status.position
            }
            _ => false,
        }
    }
}
