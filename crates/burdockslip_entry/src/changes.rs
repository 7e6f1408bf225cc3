//! Receives changes of the store from the relay of the zone or from the coordinator.
//!
//! See `docs/platform.md`, "Relays".

use std::rc::Rc;
use std::time::Duration;

use burdockslip_directory::{Changes, Relay};
use burdockslip_failover::Registration;
use burdockslip_peer::PeerPool;
use burdockslip_runtime::{sleep, timeout};
use burdockslip_types::{ErrorKind, HostId, PeerClient, Result, Revision, Zone};
use error_stack::{bail, ensure};
use futures::FutureExt;
use tracing::info;

use crate::coordinator::Coordinator;
use crate::messages::{DutyExchange, FollowExchange};
use crate::registration::Fleet;
use crate::relay::{MAX_RELAYED_AGE, Relays};

/// The timeout of a request for changes to the coordinator, which answers within 1 s
/// even without changes.
const FOLLOW_TIMEOUT: Duration = Duration::from_millis(1_400);

/// How many times a relay is asked for the coordinator. An election takes up to 1.5 s.
const DUTY_REQUESTS: u32 = 12;

/// The pause between two of these requests.
const DUTY_PAUSE: Duration = Duration::from_millis(150);

/// The timeout of one of these requests.
const DUTY_TIMEOUT: Duration = Duration::from_millis(150);

/// How long a relay that did not answer, or was behind, is not asked for changes.
const AVOID_SPAN: Duration = Duration::from_secs(5);

/// The timeout of a request for changes to a relay, which may also wait for its turn
/// on the link.
const RELAY_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns the relay that requests changes from a host of the own availability zone or
/// from the coordinator.
pub(crate) fn relay(
    coordinator: Coordinator,
    host: HostId,
    zone: Zone,
    fleet: Fleet,
    peers: &PeerPool,
) -> Relay {
    let client: PeerClient<FollowExchange> = peers.client();
    let duties: PeerClient<DutyExchange> = peers.client();
    let relays = Rc::new(Relays::new(host.clone(), zone, AVOID_SPAN));
    Rc::new(move |revision| {
        let holder = coordinator.duty.holder();
        let (client, duties, relays) = (client.clone(), duties.clone(), Rc::clone(&relays));
        let (coordinator, host) = (coordinator.clone(), host.clone());
        let hosts = fleet.hosts();
        async move {
            let holder = match holder {
                Some(holder) => holder,
                None => learn_coordinator(&coordinator, &relays, &hosts, &duties).await?,
            };
            ensure!(holder != host, ErrorKind::Conflict);
            if let Some(relay) = relays.choose(&hosts, Some(&holder)) {
                match follow(&client, &relay, revision, RELAY_TIMEOUT).await {
                    Ok(changes) if changes.age < MAX_RELAYED_AGE => return Ok(changes),
                    Ok(changes) => info!(%relay, age_ms = changes.age.as_millis(),
                        "relay is behind, following the coordinator"),
                    Err(error) => info!(%relay, error = ?error.current_context(),
                        "relay failed, following the coordinator"),
                }
                relays.avoid(relay);
            }
            let changes = follow(&client, &holder, revision, FOLLOW_TIMEOUT).await?;
            // A former coordinator relays what it knows, and the watch of a coordinator
            // may be silent.
            ensure!(changes.age < MAX_RELAYED_AGE, ErrorKind::Conflict);
            Ok(changes)
        }
        .boxed_local()
    })
}

/// Waits until the relay names a coordinator, so that not every host watches its record
/// at the store.
///
/// Fails with `NoPrimary` if this host has no relay, or if there is no coordinator for
/// too long.
async fn learn_coordinator(
    coordinator: &Coordinator,
    relays: &Relays,
    hosts: &[(HostId, Registration)],
    client: &PeerClient<DutyExchange>,
) -> Result<HostId> {
    for _ in 0..DUTY_REQUESTS {
        let Some(relay) = relays.choose(hosts, None) else {
            break;
        };
        match timeout(DUTY_TIMEOUT, client.call(&relay, ())).await {
            Ok(Ok(Some(entry))) => coordinator.directory.apply(entry),
            Ok(Ok(None)) => {}
            _ => relays.avoid(relay),
        }
        if let Some(holder) = coordinator.duty.holder() {
            return Ok(holder);
        }
        sleep(DUTY_PAUSE).await;
    }
    bail!(ErrorKind::NoPrimary)
}

async fn follow(
    client: &PeerClient<FollowExchange>,
    host: &HostId,
    revision: Revision,
    limit: Duration,
) -> Result<Changes> {
    match timeout(limit, client.call(host, revision)).await {
        Ok(changes) => changes,
        Err(_) => bail!(ErrorKind::ConnectionLost),
    }
}
