//! Tests `status` and `apply --wait`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::support::{EXAMPLE, Network, edit, seed};
use burdockslip_runtime::{now, paused, sleep, spawn};
use burdockslip_store::{Faults, MemoryStore};
use burdockslip_telemetry::HostStatus;
use burdockslip_types::{ErrorKind, Revision};
use burdockslipctl::commands::apply::{Wait, apply};
use burdockslipctl::commands::status;
use burdockslipctl::{DEFAULT_ADMIN_PORT, ExitStatus, Fetch};
use error_stack::Report;
use futures::FutureExt;

/// The second from which each host has revision 1 in force; a host with `None`
/// never responds.
type Fleet = BTreeMap<SocketAddr, Option<u64>>;

fn fetch(fleet: Fleet) -> Fetch {
    Rc::new(move |address| {
        let starts = fleet.get(&address).copied().flatten();
        async move {
            sleep(Duration::from_millis(10)).await;
            let Some(second) = starts else {
                return Err(Report::new(ErrorKind::ConnectionLost));
            };
            let is_ready = now().micros() >= second * 1_000_000;
            let status = HostStatus {
                host: "h".into(),
                zone: "a".into(),
                is_ready,
                revision: Revision(u64::from(is_ready)),
                age_millis: 0,
                connections: 0,
                evacuated: Vec::new(),
            };
            Ok(serde_json::to_string(&status).expect("it is text"))
        }
        .boxed_local()
    })
}

fn host(store: &MemoryStore, name: &str, admin: &str, status: &str) {
    let value = format!(
        "{{\"zone\":\"a\",\"address\":\"10.0.0.1:7400\",\"admin\":{admin},\"status\":\"{status}\"}}"
    );
    store.put(&format!("platform/hosts/{name}"), value.as_bytes());
}

fn address(text: &str) -> SocketAddr {
    text.parse().expect("it is an address")
}

fn wait(fleet: &[(&str, Option<u64>)]) -> Wait {
    let fleet = fleet.iter().map(|(text, second)| (address(text), *second));
    Wait {
        fetch: fetch(fleet.collect()),
        admin_port: DEFAULT_ADMIN_PORT,
        timeout: Duration::from_secs(10),
    }
}

/// Guards against a wait that ends before the last host has the revision.
#[test]
fn wait_ends_when_all_hosts_have_the_revision() {
    paused::run(1, async {
        let network = Network::new(&[]);
        let store = network.client();
        seed(&store).await;
        host(&network.store, "h1", "null", "live");
        host(&network.store, "h2", "\"10.0.0.2:80\"", "leaving");
        let wait = wait(&[("10.0.0.1:7401", Some(0)), ("10.0.0.2:80", Some(3))]);
        let outcome = apply(&store, edit(EXAMPLE, None), Some(&wait)).await;
        let outcome = outcome.expect("it answers");
        assert_eq!(outcome.status, ExitStatus::Success);
        assert_eq!(
            outcome.text,
            "already in the store, revision 1\nin force on 2 hosts"
        );
        assert!(now().micros() >= 3_000_000);
    });
}

/// Guards against reporting a revision as in force on hosts that are behind,
/// unreachable or malformed in the host list.
#[test]
fn wait_names_hosts_that_are_behind_or_unreachable() {
    paused::run(1, async {
        let network = Network::new(&[]);
        let store = network.client();
        seed(&store).await;
        host(&network.store, "h1", "null", "live");
        host(&network.store, "h2", "\"10.0.0.2:80\"", "live");
        host(&network.store, "h3", "\"10.0.0.3:80\"", "live");
        network.store.put("platform/hosts/h4", b"{}");
        let wait = wait(&[("10.0.0.1:7401", Some(0)), ("10.0.0.2:80", Some(60))]);
        let outcome = apply(&store, edit(EXAMPLE, None), Some(&wait)).await;
        let outcome = outcome.expect("it answers");
        assert_eq!(outcome.status, ExitStatus::Incomplete);
        let lines: Vec<_> = outcome.text.lines().skip(1).collect();
        assert_eq!(
            lines[..3],
            [
                "in force on 1 hosts",
                "not yet in force: h2 zone a live revision 0",
                "h3 zone a live unreachable: connection lost before start, not run at 10.0.0.3:80",
            ]
        );
        assert_eq!(
            lines[3],
            "h4 unreachable: the platform's entry is malformed"
        );
        assert_eq!(outcome.json["hosts"]["unreachable"][0]["host"], "h3");
    });
}

/// Guards against an apply that is reported as failed because the store became
/// unreachable while the program waited for hosts.
#[test]
fn store_outage_during_the_wait_does_not_fail_the_apply() {
    paused::run(1, async {
        let network = Network::new(&[]);
        let store = network.client();
        let wait = wait(&[("10.0.0.1:7401", Some(60))]);
        host(&network.store, "h1", "null", "live");
        let outage = network.store.clone();
        let task = spawn(async move {
            sleep(Duration::from_secs(2)).await;
            let is_down = true;
            outage.set_faults(Faults {
                is_down,
                ..Faults::default()
            });
        });
        let outcome = apply(&store, edit(EXAMPLE, None), Some(&wait)).await;
        drop(task);
        let outcome = outcome.expect("the apply took effect");
        assert_eq!(outcome.status, ExitStatus::Incomplete);
        assert_eq!(
            outcome.text,
            "applied, revision 2\nthe host list cannot be read: store unavailable"
        );
    });
}

/// Guards against a status that omits hosts which do not respond.
#[test]
fn status_lists_all_hosts() {
    paused::run(1, async {
        let network = Network::new(&[]);
        let store = network.client();
        seed(&store).await;
        host(&network.store, "h1", "null", "live");
        let Wait {
            fetch, admin_port, ..
        } = wait(&[("10.0.0.1:7401", Some(0))]);
        let outcome = status::status(&store, &fetch, admin_port)
            .await
            .expect("it answers");
        assert_eq!(outcome.status, ExitStatus::Success);
        assert_eq!(
            outcome.text,
            "catalogue revision 1, 1 hosts\nh1 zone a live revision 1"
        );
        host(&network.store, "h2", "\"10.0.0.2:80\"", "live");
        let outcome = status::status(&store, &fetch, admin_port)
            .await
            .expect("it answers");
        assert_eq!(outcome.status, ExitStatus::Incomplete);
        assert!(outcome.json["hosts"][1]["error"].is_string());
    });
}
