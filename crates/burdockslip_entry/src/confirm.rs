//! Confirms an old configuration with other hosts.
//!
//! A host that reaches neither the store nor the coordinator may reach hosts with a
//! younger configuration. Its age always counts from the store's own confirmation; see
//! `docs/design/duty-under-partition.md`.

use std::time::Duration;

use burdockslip_directory::Directory;
use burdockslip_peer::PeerPool;
use burdockslip_runtime::{Instant, now, sleep, timeout};
use burdockslip_store::Event;
use burdockslip_types::{HostId, PeerClient, Revision, Zone};
use futures::future::join_all;
use tracing::{debug, info};

use crate::messages::{ConfirmExchange, FollowExchange};
use crate::registration::Fleet;
use crate::relay::Relays;
use crate::rival::draw;

/// The age from which other hosts are asked: an attempt to read the store, which starts
/// at 2.2 s, has failed or takes long.
const ASK_AGE: Duration = Duration::from_millis(2_600);

/// How often the age is checked, and other hosts are asked.
const ASK_PERIOD: Duration = Duration::from_millis(400);

/// The period after nobody had a younger configuration, such as in an outage of the store.
const IDLE_PERIOD: Duration = Duration::from_millis(1_200);

/// How many hosts are asked at the same time, besides the relay.
const ASKED_HOSTS: usize = 3;

/// The timeout of a request for the age.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(250);

/// The timeout of a request for changes.
const FOLLOW_TIMEOUT: Duration = Duration::from_secs(1);

/// Keeps the configuration as young as that of the hosts which can be reached.
pub(crate) async fn run(
    directory: Directory,
    host: HostId,
    zone: Zone,
    fleet: Fleet,
    peers: PeerPool,
) {
    let client: PeerClient<ConfirmExchange> = peers.client();
    let changes: PeerClient<FollowExchange> = peers.client();
    let relays = Relays::new(host.clone(), zone, ASK_PERIOD);
    let mut period = ASK_PERIOD;
    loop {
        sleep(period).await;
        period = ASK_PERIOD;
        let Some(age) = directory.configuration_age().filter(|age| *age >= ASK_AGE) else {
            continue;
        };
        let hosts = fleet.hosts();
        let relay = relays.choose(&hosts, None);
        let others = hosts
            .iter()
            .map(|(other, _)| other.clone())
            .filter(|other| *other != host && Some(other) != relay.as_ref());
        let mut asked = draw(others.collect(), ASKED_HOSTS);
        asked.extend(relay);
        let sent = now();
        let calls = asked
            .iter()
            .map(|peer| timeout(CONFIRM_TIMEOUT, client.call(peer, ())));
        let outcomes = join_all(calls).await;
        let answers = asked.iter().zip(outcomes);
        let youngest = answers
            .filter_map(|(peer, outcome)| Some((peer, outcome.ok()?.ok()??)))
            .min_by_key(|(_, (_, age))| *age);
        match youngest {
            Some((peer, (revision, theirs))) if theirs < age => {
                adopt(&directory, &changes, peer, revision, sent - theirs).await;
            }
            _ => period = IDLE_PERIOD,
        }
    }
}

/// Takes over the confirmation of a host that `revision` was the newest configuration at
/// `moment`, and that configuration if it is a later one.
async fn adopt(
    directory: &Directory,
    client: &PeerClient<FollowExchange>,
    peer: &HostId,
    revision: Revision,
    moment: Instant,
) {
    let own = directory.configuration_revision();
    if revision > own {
        match timeout(FOLLOW_TIMEOUT, client.call(peer, own)).await {
            Ok(Ok(changes)) => {
                info!(%peer, revision = revision.0, "received a configuration from a peer");
                for event in changes.events {
                    if let Event::Put(entry) = event {
                        directory.apply(entry);
                    }
                }
            }
            outcome => debug!(%peer, ?outcome, "peer sent no changes"),
        }
    }
    directory.confirm_relayed(revision, moment);
}
