//! The members and their availability zones in the local copy of the store.

use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{Instant, now};
use burdockslip_store::Entry;
use burdockslip_types::Zone;
use tracing::{info, warn};

use crate::cold::ColdTime;
use crate::directory::Shared;
use crate::{Member, MemberRecord};

/// How long a member stays usable after its record was deleted. Records that expire
/// during an outage of the store are back within about 2 s.
const MISSING_GRACE: Duration = Duration::from_millis(2_500);

/// The maximum number of members whose last run is remembered.
const MAX_RUNS: usize = 4_096;

/// A member and whether its record still exists.
pub(crate) struct KnownMember {
    pub(crate) member: Rc<Member>,
    /// The era of the store in which its record was last read.
    pub(crate) era: u64,
    /// The moment at which the record was found to be missing.
    pub(crate) missing_since: Option<Instant>,
    /// The moment from which the member was known to be about to leave.
    pub(crate) draining_since: Option<Instant>,
    /// When this run was first seen; `None` if it was there when the store was first read.
    pub(crate) seen: Option<Instant>,
    pub(crate) cold: ColdTime,
}

impl KnownMember {
    pub(crate) fn is_usable(&self) -> bool {
        self.missing_since
            .is_none_or(|at| at.elapsed() < MISSING_GRACE)
    }
}

impl Shared {
    pub(crate) fn apply_member(&self, name: &str, entry: &Entry) {
        match (self.schema.read_member)(name, &entry.value) {
            Ok(MemberRecord { mut member, cold }) => {
                let mut members = self.members.borrow_mut();
                if let Some(known) = members.get_mut(&member.name)
                    && known.era < entry.revision.era()
                {
                    // The copy may be older than what the member has reported since.
                    if member.born < known.member.born {
                        return;
                    }
                    member.is_draining |=
                        known.member.is_draining && known.member.is_same_run(&member);
                    known.era = entry.revision.era();
                }
                let known = members.get_mut(&member.name);
                let is_new_run = self.record_run(&member);
                let seen = match &known {
                    Some(known) if known.member.born == member.born => known.seen,
                    _ => (is_new_run && self.is_loaded()).then(now),
                };
                if let Some(known) = known
                    && *known.member == member
                    && known.missing_since.is_none()
                {
                    known.cold.set(&member.name, cold);
                    return;
                }
                let known = members.get(&member.name);
                info!(
                    member = name,
                    group = %member.group,
                    address = %member.address,
                    role = ?member.role,
                    draining = member.is_draining,
                    born = member.born,
                    "member record changed"
                );
                let drained_before = known
                    .filter(|known| known.member.born == member.born)
                    .and_then(|known| known.draining_since);
                let mut known = KnownMember {
                    seen,
                    cold: known.map(|known| known.cold).unwrap_or_default(),
                    draining_since: member
                        .is_draining
                        .then(|| drained_before.unwrap_or_else(now)),
                    member: Rc::new(member),
                    era: entry.revision.era(),
                    missing_since: None,
                };
                known.cold.set(&known.member.name, cold);
                members.insert(known.member.name.clone(), known);
            }
            Err(error) => {
                warn!(member = name, ?error, "member record unreadable");
                self.mark_missing(name);
            }
        }
    }

    pub(crate) fn apply_evacuation(&self, zone: &str, value: &[u8]) {
        let newest_at = self.recency.age().map(|age| now() - age);
        let read = (self.schema.read_evacuation)(value);
        self.evacuations.begin(zone, read, newest_at);
        // The members may not have been read yet.
        if self.is_loaded() {
            self.log_evacuations();
        }
    }

    pub(crate) fn log_evacuations(&self) {
        let members = self.members.borrow();
        let count = |zone: &Zone| {
            let standing = members.values().filter(|known| known.member.zone == *zone);
            standing.filter(|known| known.is_usable()).count()
        };
        self.evacuations.log_new(count);
    }

    /// Records the run of a member and returns whether it was unknown. The records of
    /// members that run on may be gone for some time.
    fn record_run(&self, member: &Member) -> bool {
        let mut runs = self.runs.borrow_mut();
        if runs.len() >= MAX_RUNS {
            runs.clear();
        }
        runs.insert(member.name.clone(), member.born) != Some(member.born)
    }

    pub(crate) fn mark_missing(&self, name: &str) {
        let mut members = self.members.borrow_mut();
        members.retain(|_, known| known.is_usable());
        if let Some(known) = members.get_mut(name)
            && known.missing_since.is_none()
        {
            info!(member = name, "member record gone");
            known.missing_since = Some(now());
        }
    }
}
