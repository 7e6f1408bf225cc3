//! A primary starts again under its id and holds nothing, while the replicas are out of
//! the hosts' reach; see `claim.txt` of the case.

#[allow(dead_code, reason = "not every script uses every item")]
#[path = "../edge.rs"]
mod edge;
#[path = "../../../../platform/tests/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use edge::{Edge, Record};
use serde_json::json;
use support::client::Client;
use support::host::is_ready;
use support::world::{SERVICE, World, wait_for};

/// How long the replicas are cut off from the hosts.
const CUT: Duration = Duration::from_millis(5_500);

/// When the primary goes down, after the start of the cut.
const DOWN_AFTER: Duration = Duration::from_millis(500);

/// How long the primary is down.
const DOWN: Duration = Duration::from_millis(2_000);

/// How long the group is watched after the cut.
const AFTERWARDS: Duration = Duration::from_secs(10);

/// Writes values one after the other; keeps those that were acknowledged.
fn write_values(front: SocketAddr, tag: &str, stop: &AtomicBool, kept: &Mutex<Vec<String>>) {
    for number in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let value = format!("{tag}-{number}");
        if let Ok(mut client) = Client::connect(front, "strong", "key-a")
            && let Some(answer) = client.query(&format!("WRITE {tag} {value}"))
            && answer.is_ok()
        {
            kept.lock().expect("no thread panics").push(value);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Starts a member that is down again under its id. It holds nothing and follows.
fn start_again(world: &World, name: &str) {
    let mut cluster = world.group.cluster();
    let node = cluster.nodes.get_mut(name).expect("it exists");
    node.log.clear();
    node.is_primary = false;
    node.held = 0;
    node.restarts += 1;
    node.is_up = true;
    drop(cluster);
    let known = world.member(name);
    let record = json!({
        "service": SERVICE, "address": known.address.to_string(), "zone": "zone-a",
        "version": "v1", "slots": 3, "serverState": "ready", "coldLeftMs": 0, "sequence": 1,
        "born": known.born + 1, "dbRole": "replica",
    });
    world.store.put(&format!("servers/{name}"), record.to_string().as_bytes());
}

/// Returns the number of commits in the log of each member.
fn logs(world: &World) -> String {
    let cluster = world.group.cluster();
    let log = |node: &support::cluster::Node| {
        let role = if node.is_primary { "primary" } else { "replica" };
        format!("{} ({role}, term {}): {} commits", node.name, node.term, node.log.len())
    };
    cluster.nodes.values().map(log).collect::<Vec<_>>().join("; ")
}

fn main() {
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let mut arguments = std::env::args().skip(1).map(PathBuf::from);
    let (Some(path), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: emptied RECORD FOLDER");
        std::process::exit(2);
    };
    let record = Record::create(&path);
    let world = World::with_relays(3);
    let names = ["edge-a-1", "edge-b-1", "edge-c-1"];
    let edges = names.map(|name| {
        let edge = Edge::start(name, &world, &folder);
        world.network.register_host(name, edge.process());
        edge
    });
    wait_for("all hosts are ready", || edges.iter().all(|edge| is_ready(edge.ready)));
    std::thread::sleep(Duration::from_secs(8));
    let stop = Arc::new(AtomicBool::new(false));
    let kept: Arc<Mutex<Vec<String>>> = Arc::default();
    let writers: Vec<_> = edges
        .iter()
        .map(|edge| {
            let (front, tag) = (edge.front, edge.name.clone());
            let (stop, kept) = (Arc::clone(&stop), Arc::clone(&kept));
            std::thread::spawn(move || write_values(front, &tag, &stop, &kept))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(3));
    let count = || kept.lock().expect("no thread panics").len();
    record.note(&format!("{} writes acknowledged; {}", count(), logs(&world)));
    if is_troubled {
        world.network.cut(&names, &["i-2", "i-3"]);
        record.note("i-2 and i-3 are cut off from the hosts, not from i-1 and the store");
        std::thread::sleep(DOWN_AFTER);
        world.group.cluster().nodes.get_mut("i-1").expect("it exists").is_up = false;
        record.note(&format!("{} writes acknowledged; i-1 goes down", count()));
        std::thread::sleep(DOWN);
        record.note(&format!("before i-1 is back: {}", logs(&world)));
        start_again(&world, "i-1");
        record.note("i-1 starts again under its id and holds nothing");
        std::thread::sleep(CUT - DOWN_AFTER - DOWN);
        record.note(&format!("the cut ends: {}", logs(&world)));
        world.network.heal_all();
    }
    std::thread::sleep(AFTERWARDS);
    stop.store(true, Ordering::SeqCst);
    for writer in writers {
        let _ = writer.join();
    }
    for order in world.orders.lock().expect("no thread panics").iter() {
        record.note(&format!("ordered by {}: promote {}", order.holder, order.member));
    }
    record.note(&format!("at the end: {}", logs(&world)));
    let kept = kept.lock().expect("no thread panics").clone();
    let cluster = world.group.cluster();
    let Some(primary) = cluster.primary() else {
        record.note("no primary leads; no member was promoted: held");
        std::process::exit(0);
    };
    let writes = primary.log.iter().flat_map(|commit| &commit.writes);
    let present: Vec<&String> = writes.map(|(_, value)| value).collect();
    let lost: Vec<_> = kept.iter().filter(|value| !present.contains(value)).collect();
    record.note(&format!(
        "{} leads; {} writes acknowledged, {} of them are not in its log; the first: {:?}",
        primary.name,
        kept.len(),
        lost.len(),
        lost.first()
    ));
    let is_broken = !lost.is_empty();
    record.note(if is_broken { "BROKEN: LOST" } else { "held" });
    if kept.len() < 50 {
        std::process::exit(2);
    }
    drop(edges);
    std::process::exit(i32::from(is_broken));
}
