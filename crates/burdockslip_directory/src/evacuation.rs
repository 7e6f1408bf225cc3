//! The availability zones that the operators evacuate.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use burdockslip_runtime::Instant;
use burdockslip_types::{Result, Zone};
use tracing::{info, warn};

/// A request to send nothing to the members of an availability zone.
#[derive(Debug)]
struct Evacuation {
    /// The last moment at which the local copy was the newest state of the store and did
    /// not have the request; `None` if there was no such moment.
    unknown_at: Option<Instant>,
    is_logged: bool,
}

impl Evacuation {
    fn age(&self) -> Duration {
        self.unknown_at.map_or(Duration::MAX, Instant::elapsed)
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
        self.zones
            .borrow_mut()
            .entry(Zone::from(zone))
            .or_insert(Evacuation {
                unknown_at: newest_at,
                is_logged: false,
            });
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
        self.zones.borrow().get(zone).map(Evacuation::age)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.zones.borrow().is_empty()
    }

    /// Returns the evacuated zones, sorted.
    pub(crate) fn zones(&self) -> Vec<Zone> {
        self.zones.borrow().keys().cloned().collect()
    }
}

/// Returns the age in milliseconds for log lines, or `None` if it is not known.
fn millis(known: &Evacuation) -> Option<u128> {
    known.unknown_at.map(|at| at.elapsed().as_millis())
}
