//! A replica restarts while it is cut off from the store; see `claim.txt` of the case.

#[allow(dead_code, reason = "not every script uses every item")]
#[path = "../edge.rs"]
mod edge;
#[path = "../../../../platform/tests/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use edge::{Edge, Record};
use support::client::Client;
use support::host::is_ready;
use support::world::{World, wait_for};

/// An entry is removed after three heartbeat intervals of silence, 1.2 s each.
const LAPSE: Duration = Duration::from_millis(3_600);

/// When the second replica stops receiving, after the start of the first one's cut. The
/// cut lasts three times 5 s.
const DEAF_AT: Duration = Duration::from_millis(9_800);

/// When the primary crashes; it is not back before the end of the script.
const CRASH_AT: Duration = Duration::from_millis(11_000);

/// When the script ends, before the cut does.
const END_AT: Duration = Duration::from_millis(14_800);

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

/// Restarts a member with its log under another name, without an entry in the store.
fn restart_unregistered(world: &World, name: &str, new_name: &str) {
    let mut cluster = world.group.cluster();
    let mut node = cluster.nodes.remove(name).expect("it exists");
    new_name.clone_into(&mut node.name);
    node.held = 0;
    node.restarts += 1;
    cluster.nodes.insert(new_name.to_owned(), node);
    drop(cluster);
    let mut renamed = world.group.renamed.lock().expect("no thread panics");
    renamed.insert(name.to_owned(), new_name.to_owned());
}

/// Returns the values in the log of a member.
fn values(world: &World, name: &str) -> Vec<String> {
    let cluster = world.group.cluster();
    let log = cluster.nodes[name].log.iter();
    log.flat_map(|commit| commit.writes.iter().map(|(_, value)| value.clone())).collect()
}

fn main() {
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let mut arguments = std::env::args().skip(1).map(PathBuf::from);
    let (Some(path), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: roster RECORD FOLDER");
        std::process::exit(2);
    };
    let record = Record::create(&path);
    let world = World::with_relays(3);
    let edges = ["edge-a-1", "edge-b-1", "edge-c-1"].map(|name| {
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
    std::thread::sleep(Duration::from_secs(2));
    let started = Instant::now();
    let wait_until = |at: Duration| std::thread::sleep(at.saturating_sub(started.elapsed()));
    let mut elsewhere = Vec::new();
    let count = || kept.lock().expect("no thread panics").len();
    record.note(&format!("{} writes acknowledged; i-1 is the primary", count()));
    if is_troubled {
        record.note("i-2 is cut off from the store, restarts as i-2b at its address, with its log");
        restart_unregistered(&world, "i-2", "i-2b");
        wait_until(LAPSE);
        record.note("the store removes the entry of i-2");
        world.remove_record("i-2");
        wait_until(DEAF_AT);
        world.network.cut(&["i-1"], &["i-3"]);
        record.note(&format!("{} writes acknowledged; i-3 receives nothing from here on", count()));
        wait_until(CRASH_AT);
        world.group.cluster().nodes.get_mut("i-1").expect("it exists").is_up = false;
        record.note(&format!("{} writes acknowledged; i-1 crashes", count()));
        elsewhere = values(&world, "i-2b");
    }
    wait_until(END_AT);
    stop.store(true, Ordering::SeqCst);
    for writer in writers {
        let _ = writer.join();
    }
    for order in world.orders.lock().expect("no thread panics").iter() {
        record.note(&format!("ordered by {}: promote {}", order.holder, order.member));
    }
    let primary = world.group.cluster().primary().map(|node| node.name.clone());
    let Some(primary) = primary else {
        record.note("no primary leads; no member was promoted: held");
        std::process::exit(0);
    };
    let present = values(&world, &primary);
    let kept = kept.lock().expect("no thread panics").clone();
    let lost: Vec<_> = kept.iter().filter(|value| !present.contains(value)).collect();
    record.note(&format!(
        "{primary} leads; {} writes acknowledged, {} of them are not in its log, {} of these were \
         in the log of i-2b when i-1 crashed; the first: {:?}",
        kept.len(),
        lost.len(),
        lost.iter().filter(|value| elsewhere.contains(value)).count(),
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
