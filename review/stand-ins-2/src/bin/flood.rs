//! Clients that send broken statements without a pause, one at a time; see `claim.txt` of the case.

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

/// How long one client floods the host: `rude` has 6.1 to 7.1 s in the grown site files.
const FLOOD: Duration = Duration::from_millis(6_500);

/// How many clients do so, one after the other.
const FLOODS: usize = 5;

/// In how many floods the host has to hang for the rule to count as broken.
const MIN_HANGS: usize = 3;

/// How long a host may leave all questions of the platform and of clients unanswered in
/// each flood before it counts as hung. Statements time out after 1 s, and the platform
/// asks each second.
const HANG: Duration = Duration::from_secs(5);

/// A statement that no page knows; the host answers `MALFORMED`.
const BROKEN: &[u8] = b"QUERY 1 X\r\n";

/// Opens a session; tries again if the host refuses it, as it does for a moment after it
/// has been out of touch.
fn open(front: SocketAddr) -> TcpStream {
    for _ in 0..200 {
        let mut stream = TcpStream::connect(front).expect("the host accepts connections");
        stream.write_all(b"CONNECT strong key-b\r\n").expect("the host reads");
        let mut greeting = [0; 5];
        if stream.read_exact(&mut greeting).is_ok() && greeting == *b"READY" {
            return stream;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("the host opens no session");
}

/// Sends broken statements and reads the answers, over one session.
fn flood(front: SocketAddr, stop: &Arc<AtomicBool>, bytes: &Arc<[AtomicU64; 2]>) {
    let mut stream = open(front);
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
/// the last answer, in milliseconds since `started`.
fn probe(ready: SocketAddr, started: Instant, stop: &AtomicBool, answered: &AtomicU64) {
    while !stop.load(Ordering::SeqCst) {
        // Waits for 2 s at most.
        if is_ready(ready) {
            answered.store(millis(started), Ordering::SeqCst);
        }
        std::thread::sleep(Duration::from_secs(1));
    }
}

fn millis(started: Instant) -> u64 {
    u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX)
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
    let answered: [Arc<AtomicU64>; 2] = Default::default();
    let mut threads = Vec::new();
    for index in 0..2 {
        let (front, ready) = (edges[index].front, edges[index].ready);
        for _ in 0..5 {
            let (stop, counts) = (Arc::clone(&stop), Arc::clone(&counts[index]));
            threads.push(std::thread::spawn(move || run_client(front, &stop, &counts)));
        }
        let (stop, answered) = (Arc::clone(&stop), Arc::clone(&answered[index]));
        threads.push(std::thread::spawn(move || probe(ready, started, &stop, &answered)));
    }
    std::thread::sleep(Duration::from_secs(3));
    let load = |value: &AtomicU64| value.load(Ordering::SeqCst);
    let succeeded = |index: usize| load(&counts[index].succeeded);
    let mut hangs = 0;
    for number in 1..=FLOODS {
        let bytes: Arc<[AtomicU64; 2]> = Arc::default();
        let flood_stop = Arc::new(AtomicBool::new(false));
        if is_troubled {
            flood(edges[0].front, &flood_stop, &bytes);
        }
        let begun = Instant::now();
        // What the host was still doing at the start of the flood does not count.
        std::thread::sleep(Duration::from_secs(1));
        let before = [succeeded(0), succeeded(1)];
        let from = millis(started);
        std::thread::sleep(FLOOD.saturating_sub(begun.elapsed()));
        let served = [succeeded(0) - before[0], succeeded(1) - before[1]];
        let is_probed = answered.each_ref().map(|answered| load(answered) >= from);
        let silent = Duration::from_millis(millis(started) - from);
        let is_hung = served[0] == 0 && !is_probed[0] && silent >= HANG;
        hangs += usize::from(is_hung);
        record.note(&format!(
            "flood {number}, seconds 1 to {:.1}: {} answered {} statements of others and {} \
             questions of the platform; {} answered {} and {}; the flood: {} KB sent, {} KB \
             answered{}",
            FLOOD.as_secs_f64(),
            edges[0].name,
            served[0],
            if is_probed[0] { "some" } else { "no" },
            edges[1].name,
            served[1],
            if is_probed[1] { "some" } else { "no" },
            load(&bytes[0]) >> 10,
            load(&bytes[1]) >> 10,
            if is_hung { "; hung" } else { "" }
        ));
        flood_stop.store(true, Ordering::SeqCst);
    }
    std::thread::sleep(Duration::from_secs(6));
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    for index in 0..2 {
        record.note(&format!(
            "{}: {} statements sent, {} succeeded, {} without an answer in 5 s",
            edges[index].name,
            load(&counts[index].sent),
            load(&counts[index].succeeded),
            load(&counts[index].unanswered)
        ));
    }
    let is_broken = hangs >= MIN_HANGS;
    record.note(if is_broken { "BROKEN: Fault" } else { "held" });
    drop(edges);
    std::process::exit(i32::from(is_broken));
}
