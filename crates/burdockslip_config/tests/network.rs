//! Tests the host list and the configuration over loopback sockets.

use std::cell::OnceCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_config::{Config, Distribution};
use burdockslip_membership::{Gossip, Membership, Peer};
use burdockslip_peer::{PeerPool, PeerServer, Router};
use burdockslip_runtime::{block_on, sleep, timeout};
use burdockslip_store::Store;
use burdockslip_testkit::StoreServer;
use burdockslip_types::{HostId, Zone};

/// Ends a test that hangs; not a limit on speed.
const LIMIT: Duration = Duration::from_mins(1);

const STEP: Duration = Duration::from_millis(20);

struct Host {
    membership: Membership,
    config: Config,
    _server: PeerServer,
}

type Parts = Rc<OnceCell<(Membership, Config)>>;

fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Starts a host. Nothing yields before the host is complete, so no request can
/// arrive earlier.
fn start(name: &str, zone: &str, seeds: Vec<SocketAddr>, store: SocketAddr) -> Host {
    let parts = Parts::default();
    let (gossip, distribution) = (Rc::clone(&parts), Rc::clone(&parts));
    let router = Router::default()
        .on(Gossip, move |_, request| {
            let parts = Rc::clone(&gossip);
            async move { Ok(parts.get().expect("the host is complete").0.handle(request)) }
        })
        .on(Distribution, move |_, request| {
            let parts = Rc::clone(&distribution);
            async move {
                let (_, config) = parts.get().expect("the host is complete");
                Ok(config.handle(request).await)
            }
        });
    let server = PeerServer::bind(any(), router).expect("a port is free");
    let own = Peer {
        host: HostId::from(name),
        zone: Zone::from(zone),
        address: server.address(),
    };
    let resolver = Rc::clone(&parts);
    let pool = PeerPool::new(own.host.clone(), move |host| {
        resolver.get().and_then(|parts| parts.0.resolve(host))
    });
    let membership = Membership::spawn(own, seeds, pool.client());
    let store = Store::connect(&[store], Duration::from_secs(2));
    let config = Config::spawn(membership.clone(), store, pool.client());
    assert!(parts.set((membership.clone(), config.clone())).is_ok());
    Host {
        membership,
        config,
        _server: server,
    }
}

/// Guards against messages that work only in memory, and against hosts that do
/// not find each other from the address of one seed.
#[test]
fn hosts_find_each_other_and_the_configuration() {
    let test = async {
        let store = StoreServer::bind(any()).expect("a port is free");
        store.memory().put("burdockslip/catalogue", b"first");
        let first = start("h0", "a", Vec::new(), store.address());
        let seed = vec![first.membership.local_peer().address];
        let others = ["b", "c", "a"].into_iter().enumerate();
        let mut hosts: Vec<_> = others
            .map(|(n, zone)| start(&format!("h{}", n + 1), zone, seed.clone(), store.address()))
            .collect();
        hosts.push(first);
        while hosts
            .iter()
            .any(|h| h.membership.view().live().count() < hosts.len())
        {
            sleep(STEP).await;
        }
        let revision = store.memory().put("burdockslip/keys/org/1", b"revoked");
        while hosts.iter().any(|h| h.config.revision() < revision) {
            sleep(STEP).await;
        }
        assert!(hosts.iter().all(|h| h.config.is_ready()));
    };
    block_on(async { timeout(LIMIT, test).await.expect("the test must not hang") });
}
