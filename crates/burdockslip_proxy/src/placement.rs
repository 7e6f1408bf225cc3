//! The assignment of databases to the hosts that hold their connections.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_membership::{Membership, View};
use burdockslip_runtime::{Instant, now};
use burdockslip_types::{HostId, MemberName, Zone};

/// How long a host is avoided after it was unreachable. By then, the membership
/// has either confirmed or removed it.
const SUSPECT_TIME: Duration = Duration::from_secs(1);

/// Assigns each member to a holder by rendezvous hashing over the live hosts.
#[derive(Debug)]
pub(crate) struct Placement {
    membership: Membership,
    cached: RefCell<HolderCache>,
    suspects: RefCell<HashMap<HostId, Instant>>,
}

/// The holders computed for one view, cached because ranking computes a hash per host.
#[derive(Debug, Default)]
struct HolderCache {
    view: Rc<View>,
    holders: HashMap<MemberName, HostId>,
}

impl Placement {
    pub(crate) fn new(membership: Membership) -> Self {
        Self {
            membership,
            cached: RefCell::default(),
            suspects: RefCell::default(),
        }
    }

    /// Returns the current view of the membership.
    pub(crate) fn view(&self) -> Rc<View> {
        self.membership.view()
    }

    /// Returns the holder of a member: the highest-ranked host of its zone, or
    /// of all zones if its zone has no live host.
    ///
    /// Hosts that were just unreachable are skipped while others are left.
    pub(crate) fn holder(&self, member: &MemberName, zone: &Zone) -> HostId {
        let view = self.view();
        let holder = self.top_ranked(&view, member, zone);
        if !self.is_suspect(&holder) {
            return holder;
        }
        let ranked = view.rank(member.as_str(), zone);
        let usable = ranked.into_iter().find(|host| !self.is_suspect(host));
        usable.unwrap_or(holder)
    }

    /// Avoids an unreachable host for [`SUSPECT_TIME`].
    pub(crate) fn suspect(&self, host: &HostId) {
        let until = now() + SUSPECT_TIME;
        self.suspects.borrow_mut().insert(host.clone(), until);
    }

    fn is_suspect(&self, host: &HostId) -> bool {
        let suspects = self.suspects.borrow();
        suspects.get(host).is_some_and(|until| !until.is_past())
    }

    fn top_ranked(&self, view: &Rc<View>, member: &MemberName, zone: &Zone) -> HostId {
        let mut cached = self.cached.borrow_mut();
        if !Rc::ptr_eq(&cached.view, view) {
            cached.view = Rc::clone(view);
            cached.holders.clear();
        }
        let find = || {
            let first = view.top_ranked(member.as_str(), zone);
            first.unwrap_or_else(|| self.membership.local_peer().host.clone())
        };
        cached
            .holders
            .entry(member.clone())
            .or_insert_with(find)
            .clone()
    }
}
