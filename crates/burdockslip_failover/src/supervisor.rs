//! Watches the groups while this host holds the duty.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::Directory;
use burdockslip_runtime::{Instant, Task, now, sleep, spawn};
use burdockslip_store::Entry;
use burdockslip_types::{GroupName, HostId, MemberName, Result};
use burdockslip_upstream::Pools;
use tracing::{debug, info, warn};

use crate::promotion::{PromoteFn, Promotion};
use crate::records::{GroupRecord, keys};
use crate::{Duty, Votes, roster};

/// How often the groups are looked at.
const TICK: Duration = Duration::from_millis(60);

/// How often the lease behind all permissions is looked at, in ticks.
const FENCE_TICKS: u32 = 8;

/// How long a change may take to replace the lease: four calls to the store.
const FENCE_SPAN: Duration = Duration::from_secs(3);

/// Pauses between updates of a group, each of which takes a slot of the primary
/// and of its replicas.
const UPDATE_PAUSE: Duration = Duration::from_secs(1);

/// Pauses after a change that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

struct Shared {
    promotion: Promotion,
    votes: RefCell<Votes>,
    /// The changes that are running, and when they began.
    changes: RefCell<HashMap<GroupName, (Instant, Task<()>)>>,
    /// The updates of rosters, which a change of primary ends.
    updates: RefCell<HashMap<GroupName, Task<()>>>,
    /// The groups whose replicas have all said in this tenure that they receive.
    receiving: RefCell<HashSet<GroupName>>,
}

/// Watches the groups; clones share the state.
#[derive(Clone)]
pub struct Supervisor {
    shared: Rc<Shared>,
    _running: Rc<Task<()>>,
}

impl Supervisor {
    /// Starts to watch; nothing is done while another host holds the duty.
    pub fn spawn(directory: Directory, pools: Pools, duty: Duty, promote: PromoteFn) -> Self {
        let shared = Rc::new(Shared {
            promotion: Promotion {
                directory,
                pools,
                duty,
                promote,
                failed_orders: Rc::default(),
            },
            votes: RefCell::default(),
            changes: RefCell::default(),
            updates: RefCell::default(),
            receiving: RefCell::default(),
        });
        Self {
            _running: Rc::new(spawn(run(Rc::clone(&shared)))),
            shared,
        }
    }

    /// Takes in which members a host cannot reach.
    pub fn report(&self, host: HostId, suspects: Vec<MemberName>) {
        self.shared.votes.borrow_mut().record(host, suspects);
    }

    /// Returns the members that some hosts cannot reach and others should look at.
    pub fn suspected(&self) -> Vec<MemberName> {
        self.shared.votes.borrow().suspected()
    }
}

impl fmt::Debug for Supervisor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Supervisor")
    }
}

async fn run(shared: Rc<Shared>) {
    let mut ticks = 0_u32;
    loop {
        sleep(TICK).await;
        if shared.promotion.duty.tenure().is_none() {
            shared.changes.borrow_mut().clear();
            shared.updates.borrow_mut().clear();
            shared.receiving.borrow_mut().clear();
            continue;
        }
        if ticks.is_multiple_of(FENCE_TICKS)
            && !shared.is_fencing()
            && let Err(error) = shared.promotion.ensure_fence().await
        {
            info!(?error, "permission lease not checked");
        }
        ticks = ticks.wrapping_add(1);
        let Some(configuration) = shared.promotion.directory.configuration() else {
            continue;
        };
        for group in configuration.groups.keys() {
            shared.look_at(group);
        }
    }
}

impl Shared {
    /// Returns whether a change may be replacing the lease behind all permissions.
    /// A change that waits for members has done so long before.
    fn is_fencing(&self) -> bool {
        let changes = self.changes.borrow();
        changes
            .values()
            .any(|(begun, _)| begun.elapsed() < FENCE_SPAN)
    }

    fn look_at(self: &Rc<Self>, group: &GroupName) {
        if self.changes.borrow().contains_key(group) {
            return;
        }
        let Some(entry) = self.promotion.directory.record(&keys::group(group)) else {
            self.start(group, None, "no record");
            return;
        };
        let record = match GroupRecord::read(&entry.value) {
            Ok(record) => record,
            Err(error) => {
                warn!(%group, ?error, "group record unreadable");
                return;
            }
        };
        if let Some(reason) = self.reason(&record) {
            self.start(group, Some(entry), reason);
            return;
        }
        let is_current = roster::is_current(&record.roster, &self.promotion.present(group));
        if !is_current || !self.receiving.borrow().contains(group) {
            self.update(group, entry);
        }
    }

    /// Brings the roster up to date and resumes stopped replicas, as a task of its
    /// own, one at a time.
    fn update(self: &Rc<Self>, group: &GroupName, entry: Entry) {
        if self.updates.borrow().contains_key(group) {
            return;
        }
        let (shared, name) = (Rc::clone(self), group.clone());
        let task = spawn(async move {
            match shared.run_update(&name, entry).await {
                Ok(true) => {}
                Ok(false) => sleep(UPDATE_PAUSE).await,
                Err(error) => {
                    info!(group = %name, ?error, "roster not updated");
                    sleep(RETRY_PAUSE).await;
                }
            }
            shared.updates.borrow_mut().remove(&name);
        });
        self.updates.borrow_mut().insert(group.clone(), task);
    }

    /// Returns whether nothing is left to do.
    async fn run_update(&self, group: &GroupName, entry: Entry) -> Result<bool> {
        let kept = self.promotion.update_roster(group, entry).await?;
        if !kept.is_empty() {
            debug!(%group, kept = %roster::join(&kept), "absent members stay on the roster");
        }
        let is_receiving = self.promotion.resume_stopped(group).await?;
        if is_receiving {
            self.receiving.borrow_mut().insert(group.clone());
        }
        Ok(is_receiving && kept.is_empty())
    }

    /// Returns why the primary has to be replaced, if so.
    fn reason(&self, record: &GroupRecord) -> Option<&'static str> {
        if !record.is_stable() {
            return Some("unfinished change");
        }
        let Some(primary) = self.promotion.directory.member(&record.primary) else {
            return Some("primary gone");
        };
        if primary.is_draining {
            return Some("primary leaves");
        }
        let (against, total) = self.votes.borrow().count(&record.primary);
        let hosts = self.promotion.directory.records(keys::HOSTS).len();
        if total > 0 && self.votes.borrow().is_lost(&record.primary, hosts) {
            info!(primary = %record.primary, against, total, hosts,
                "primary unreachable for most hosts");
            return Some("primary unreachable");
        }
        None
    }

    /// Runs a change of the group's record as a task of its own.
    fn start(self: &Rc<Self>, group: &GroupName, entry: Option<Entry>, reason: &'static str) {
        // An update could resume what the change stops.
        self.updates.borrow_mut().remove(group);
        self.receiving.borrow_mut().remove(group);
        let (shared, name) = (Rc::clone(self), group.clone());
        let task = spawn(async move {
            let outcome = match entry {
                Some(entry) => shared.promotion.run(&name, entry, reason).await,
                None => shared.promotion.adopt(&name).await,
            };
            if let Err(error) = outcome {
                info!(group = %name, reason, ?error, "change of primary not finished");
                sleep(RETRY_PAUSE).await;
            }
            shared.changes.borrow_mut().remove(&name);
        });
        let change = (now(), task);
        self.changes.borrow_mut().insert(group.clone(), change);
    }
}
