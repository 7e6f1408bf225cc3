//! Finds the host that holds the connections of a database.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_membership::{Membership, View};
use burdockslip_runtime::{Instant, now};
use burdockslip_types::{HostId, MemberName, Zone};

/// Time for which a host is avoided after it could not be reached; membership
/// has decided about it by then.
const SUSPECT_TIME: Duration = Duration::from_secs(1);

/// Finds holders by rendezvous hashing over the live hosts.
#[derive(Debug)]
pub(crate) struct Placement {
    membership: Membership,
    cached: RefCell<Cached>,
    suspects: RefCell<HashMap<HostId, Instant>>,
}

/// Holds the holders found in one view, because ranking costs a hash per host.
#[derive(Debug, Default)]
struct Cached {
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

    /// Returns the current host list.
    pub(crate) fn view(&self) -> Rc<View> {
        self.membership.view()
    }

    /// Returns the holder of a member: the highest-ranked host of its zone, or
    /// of all zones if that one has no live host.
    pub(crate) fn holder(&self, member: &MemberName, zone: &Zone) -> HostId {
        let view = self.view();
        let holder = self.first(&view, member, zone);
        if !self.is_suspect(&holder) {
            return holder;
        }
        let ranked = view.rank(member.as_str(), zone);
        let usable = ranked.into_iter().find(|host| !self.is_suspect(host));
        usable.unwrap_or(holder)
    }

    /// Avoids a host that could not be reached.
    pub(crate) fn suspect(&self, host: &HostId) {
        let until = now() + SUSPECT_TIME;
        self.suspects.borrow_mut().insert(host.clone(), until);
    }

    fn is_suspect(&self, host: &HostId) -> bool {
        let suspects = self.suspects.borrow();
        suspects.get(host).is_some_and(|until| !until.is_past())
    }

    fn first(&self, view: &Rc<View>, member: &MemberName, zone: &Zone) -> HostId {
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
