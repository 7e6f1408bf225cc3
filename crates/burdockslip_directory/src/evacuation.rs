//! The availability zones that the operators evacuate.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use burdockslip_runtime::{Instant, now};
use burdockslip_types::{Result, Zone};
use tracing::{info, warn};

/// How long an evacuation goes on whose record the store has lost. The operators write again
/// what is lost; see `docs/design/store-era.md`.
const RESTORED_SPAN: Duration = Duration::from_secs(10);

/// A request to send nothing to the members of an availability zone.
#[derive(Debug)]
struct Evacuation {
    /// The last moment at which the local copy was the newest state of the store and did
    /// not have the request; `None` if there was no such moment.
    unknown_at: Option<Instant>,
    is_logged: bool,
    /// When it ends unless its record is written again, as the store has lost the record.
    ends_at: Option<Instant>,
}

impl Evacuation {
    fn age(&self) -> Duration {
        self.unknown_at.map_or(Duration::MAX, Instant::elapsed)
    }

    fn is_over(&self) -> bool {
        self.ends_at.is_some_and(Instant::is_past)
    }
}

/// The zones that are evacuated, by the records in the store.
///
/// The operators count from the acknowledgement of their record, which hosts do not see.
/// So its age counts from the last moment at which a host knew that there was none, and
/// is never too small; see `docs/design/evacuation.md`.
#[derive(Debug, Default)]
pub(crate) struct Evacuations {
    zones: RefCell<BTreeMap<Zone, Evacuation>>,
}

impl Evacuations {
    /// Applies the record of a zone, whose value was read with the result `read`;
    /// `newest_at` is the last moment at which the copy without it was the newest state.
    pub(crate) fn begin(&self, zone: &str, read: Result<()>, newest_at: Option<Instant>) {
        if zone.is_empty() {
            warn!("evacuation without the name of an availability zone ignored");
            return;
        }
        if let Err(error) = read {
            warn!(zone, ?error, "evacuation unreadable, ignored");
            return;
        }
        let mut zones = self.zones.borrow_mut();
        let known = zones.entry(Zone::from(zone)).or_insert(Evacuation {
            unknown_at: newest_at,
            is_logged: false,
            ends_at: None,
        });
        known.ends_at = None;
    }

    /// Ends the evacuation of a zone later, because the store has come back without its
    /// record.
    pub(crate) fn end_unless_renewed(&self, zone: &str) {
        if let Some(known) = self.zones.borrow_mut().get_mut(&Zone::from(zone)) {
            warn!(
                zone,
                "record of an evacuation lost by the store, kept for a while"
            );
            known.ends_at = Some(now() + RESTORED_SPAN);
        }
    }

    /// Ends the evacuation of a zone whose record is gone.
    pub(crate) fn end(&self, zone: &str) {
        if let Some(ended) = self.zones.borrow_mut().remove(&Zone::from(zone)) {
            info!(
                zone,
                after_ms = millis(&ended),
                "evacuation of availability zone ended"
            );
        }
    }

    /// Logs the evacuations that have begun, with the number of members in each zone.
    pub(crate) fn log_new(&self, count_members: impl Fn(&Zone) -> usize) {
        for (zone, known) in self.zones.borrow_mut().iter_mut() {
            if std::mem::replace(&mut known.is_logged, true) {
                continue;
            }
            let members = count_members(zone);
            let known_ms = millis(known);
            if members == 0 {
                warn!(%zone, known_ms, "availability zone to be evacuated has no members");
            } else {
                info!(%zone, members, known_ms, "availability zone is evacuated");
            }
        }
    }

    /// Returns how long ago, at most, the evacuation of a zone was requested.
    pub(crate) fn age(&self, zone: &Zone) -> Option<Duration> {
        let zones = self.zones.borrow();
        let known = zones.get(zone).filter(|known| !known.is_over());
        known.map(Evacuation::age)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.zones.borrow().values().all(Evacuation::is_over)
    }

    /// Returns the evacuated zones, sorted.
    pub(crate) fn zones(&self) -> Vec<Zone> {
        let zones = self.zones.borrow();
        let lasting = zones.iter().filter(|(_, known)| !known.is_over());
        lasting.map(|(zone, _)| zone.clone()).collect()
    }
}

/// Returns the age in milliseconds for log lines, or `None` if it is not known.
fn millis(known: &Evacuation) -> Option<u128> {
    known.unknown_at.map(|at| at.elapsed().as_millis())
}
