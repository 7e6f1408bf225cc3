//! One client that sends broken statements without a pause; see `claim.txt` of the case.

#[path = "../edge.rs"]
#[allow(dead_code, reason = "not every script uses every item")]
mod edge;
#[path = "../../../../platform/tests/support/mod.rs"]
mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use edge::{Counts, Edge, Record, run_client};
use support::host::is_ready;
use support::world::{World, wait_for};

/// How long the client floods the host.
const FLOOD: Duration = Duration::from_secs(30);

/// How long a host may leave all questions of the platform and of clients unanswered
/// before it counts as hung. Statements time out after 1 s, and the platform asks each
/// second.
const HANG: Duration = Duration::from_secs(20);

/// A statement that no page knows; the host answers `MALFORMED`.
const BROKEN: &[u8] = b"QUERY 1 X\r\n";

/// Sends broken statements and reads the answers, over one connection.
fn flood(front: SocketAddr, stop: &Arc<AtomicBool>, bytes: &Arc<[AtomicU64; 2]>) {
    let mut stream = TcpStream::connect(front).expect("the host accepts connections");
    stream.write_all(b"CONNECT strong key-b\r\n").expect("the host reads");
    let mut reader = stream.try_clone().expect("the socket can be shared");
    let reading = Arc::clone(bytes);
    std::thread::spawn(move || {
        let mut chunk = vec![0; 1 << 18];
        while let Ok(count) = reader.read(&mut chunk) {
            if count == 0 {
                return;
            }
            reading[1].fetch_add(u64::try_from(count).unwrap_or_default(), Ordering::SeqCst);
        }
    });
    let (stop, bytes) = (Arc::clone(stop), Arc::clone(bytes));
    std::thread::spawn(move || {
        let batch = BROKEN.repeat(4_000);
        while !stop.load(Ordering::SeqCst) && stream.write_all(&batch).is_ok() {
            let count = u64::try_from(batch.len()).unwrap_or_default();
            bytes[0].fetch_add(count, Ordering::SeqCst);
        }
        let _ = stream.shutdown(std::net::Shutdown::Both);
    });
}

/// Asks a host each second whether it is ready, as the platform does; keeps the time of
/// the last answer, in milliseconds since `started`, and the longest time without one.
fn probe(ready: SocketAddr, started: Instant, stop: &AtomicBool, times: &[AtomicU64; 2]) {
    let elapsed = || u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
    times[0].store(elapsed(), Ordering::SeqCst);
    while !stop.load(Ordering::SeqCst) {
        // Waits for 2 s at most.
        let is_answered = is_ready(ready);
        let silent = elapsed() - times[0].load(Ordering::SeqCst);
        times[1].fetch_max(silent, Ordering::SeqCst);
        if is_answered {
            times[0].store(elapsed(), Ordering::SeqCst);
        }
        std::thread::sleep(Duration::from_secs(1));
    }
}

fn main() {
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let mut arguments = std::env::args().skip(1).map(PathBuf::from);
    let (Some(path), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: flood RECORD FOLDER");
        std::process::exit(2);
    };
    let record = Record::create(&path);
    let world = World::start();
    let edges = ["edge-a-1", "edge-b-1"].map(|name| Edge::start(name, &world, &folder));
    wait_for("both hosts are ready", || edges.iter().all(|edge| is_ready(edge.ready)));
    std::thread::sleep(Duration::from_secs(3));
    let started = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    let counts: [Arc<Counts>; 2] = Default::default();
    let times: [Arc<[AtomicU64; 2]>; 2] = Default::default();
    let mut threads = Vec::new();
    for index in 0..2 {
        let (front, ready) = (edges[index].front, edges[index].ready);
        for _ in 0..5 {
            let (stop, counts) = (Arc::clone(&stop), Arc::clone(&counts[index]));
            threads.push(std::thread::spawn(move || run_client(front, &stop, &counts)));
        }
        let (stop, times) = (Arc::clone(&stop), Arc::clone(&times[index]));
        threads.push(std::thread::spawn(move || probe(ready, started, &stop, &times)));
    }
    std::thread::sleep(Duration::from_secs(3));
    let bytes: Arc<[AtomicU64; 2]> = Arc::default();
    let flood_stop = Arc::new(AtomicBool::new(false));
    if is_troubled {
        record.note("one client starts to send broken statements to edge-a-1");
        flood(edges[0].front, &flood_stop, &bytes);
    }
    let until = Instant::now() + FLOOD;
    let load = |value: &AtomicU64| value.load(Ordering::SeqCst);
    while Instant::now() < until {
        std::thread::sleep(Duration::from_secs(2));
        let line: Vec<_> = (0..2)
            .map(|index| {
                let now = u64::try_from(started.elapsed().as_millis()).unwrap_or_default();
                format!(
                    "{}: {} statements succeeded, last answer to the platform {} ms ago",
                    edges[index].name,
                    load(&counts[index].succeeded),
                    now - load(&times[index][0])
                )
            })
            .collect();
        record.note(&format!(
            "{}; flood: {} KB sent, {} KB answered",
            line.join("; "),
            load(&bytes[0]) >> 10,
            load(&bytes[1]) >> 10
        ));
    }
    flood_stop.store(true, Ordering::SeqCst);
    record.note("the flood ends");
    std::thread::sleep(Duration::from_secs(6));
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    for index in 0..2 {
        record.note(&format!(
            "{}: {} statements sent, {} succeeded, {} without an answer; \
             longest time without an answer to the platform {} ms",
            edges[index].name,
            load(&counts[index].sent),
            load(&counts[index].succeeded),
            load(&counts[index].unanswered),
            load(&times[index][1])
        ));
    }
    let is_broken = u128::from(load(&times[0][1])) >= HANG.as_millis();
    record.note(if is_broken { "BROKEN: Fault" } else { "held" });
    drop(edges);
    std::process::exit(i32::from(is_broken));
}
