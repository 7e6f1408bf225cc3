//! Measures the write gap of a failover.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{Instant, now, paused, random_range, sleep, spawn};
use burdockslip_types::{Term, domain};

use crate::fake::{Cluster, ClusterSettings, Session};
use crate::history::Recorder;

/// The time between two writes started at each host.
const WRITE_INTERVAL: Duration = Duration::from_millis(5);

/// The longest wait for a write. It exceeds the target of 1.5 s, so that a
/// longer gap shows as such and not as the end of the run.
const RUN_TIME: Duration = Duration::from_secs(6);

domain! {
    /// Lists the faults after which the gap is measured.
    #[derive(Copy)]
    pub enum FailoverFault {
        /// The primary stops.
        Kill,
        /// The zone of the primary is cut off, with its host and its clients.
        Cut,
        /// The primary is paused and does not resume.
        Freeze,
        /// The primary announces that it is leaving, and keeps running.
        Leave,
    }

    /// Holds the size of the group and its delays.
    #[derive(Copy)]
    pub struct FailoverSetup {
        /// The number of zones, each with one member and one watcher.
        pub zones: usize,
        /// The latency one way.
        pub latency: Duration,
        /// The time by which entries reach the replicas late.
        pub lag: Duration,
        /// What happens to the primary.
        pub fault: FailoverFault,
    }

    /// Holds the phases of a failover, one after the other.
    #[derive(Copy)]
    pub struct Phases {
        /// From the fault to the start of the promotion that succeeded.
        pub detection: Duration,
        /// Until a majority had granted the term.
        pub fencing: Duration,
        /// Until a majority held the first entry of the term.
        pub promotion: Duration,
        /// Until every host outside of the fault had a write acknowledged.
        pub first_write: Duration,
        /// From the fault to the end of the last phase.
        pub total: Duration,
    }
}

/// Runs one failover and returns its phases, or none if no promotion succeeded
/// or a host had no write acknowledged in time.
pub fn measure_failover(seed: u64, sizes: FailoverSetup) -> Option<Phases> {
    paused::run(seed, run(sizes))
}

async fn run(sizes: FailoverSetup) -> Option<Phases> {
    let settings = ClusterSettings {
        zones: sizes.zones,
        latency: sizes.latency,
        lag: sizes.lag,
        ..ClusterSettings::default()
    };
    let cluster = Cluster::spawn(settings).await;
    let first_host = usize::from(sizes.fault == FailoverFault::Cut);
    let hosts = first_host..sizes.zones;
    let acknowledged: Vec<_> = hosts.map(|host| start_writes(&cluster, host)).collect();
    sleep(Duration::from_micros(random_range(500_000..1_000_000))).await;
    let fault = now();
    let primary = cluster.database.names().swap_remove(0);
    match sizes.fault {
        FailoverFault::Kill => cluster.database.kill(&primary),
        FailoverFault::Cut => cluster.isolate_zone(0),
        FailoverFault::Freeze => cluster.database.freeze(&primary),
        FailoverFault::Leave => cluster.database.set_leaving(&primary, true),
    }
    let is_served = || acknowledged.iter().all(|a| a.borrow().is_some());
    while !is_served() && fault.elapsed() < RUN_TIME {
        sleep(WRITE_INTERVAL).await;
    }
    // A promoter learns of the confirmation at the end of its own step.
    sleep(Duration::from_millis(100)).await;
    let groups = (0..sizes.zones).filter_map(|host| cluster.group(host));
    let times = groups.filter_map(|group| group.last_promotion());
    let times = times.min_by_key(|times| times.confirmed)?;
    let first_writes: Option<Vec<Instant>> = acknowledged.iter().map(|a| *a.borrow()).collect();
    let served = first_writes?.into_iter().max()?.max(times.confirmed);
    Some(Phases {
        detection: times.started.since(fault),
        fencing: times.fenced.since(times.started),
        promotion: times.confirmed.since(times.fenced),
        first_write: served.since(times.confirmed),
        total: served.since(fault),
    })
}

/// Starts writes at a host without waiting for earlier ones, and returns when
/// the first one of a later term was acknowledged.
fn start_writes(cluster: &Cluster, host: usize) -> Rc<RefCell<Option<Instant>>> {
    let acknowledged = Rc::new(RefCell::new(None));
    let (cluster, first) = (cluster.clone(), Rc::clone(&acknowledged));
    let recorder = Recorder::default();
    spawn(async move {
        for value in 0.. {
            let mut session = Session::open(&cluster, &recorder, value, host);
            let first = Rc::clone(&first);
            let write = async move {
                let position = session.write(0, value, None).await;
                if position.is_ok_and(|position| position.term > Term(1)) {
                    first.borrow_mut().get_or_insert_with(now);
                }
            };
            spawn(write).detach();
            sleep(WRITE_INTERVAL).await;
        }
    })
    .detach();
    acknowledged
}
