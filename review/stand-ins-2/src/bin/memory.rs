//! A client that sets many session values; see `claim.txt` of the case.

#[path = "../edge.rs"]
#[allow(dead_code, reason = "not every script uses every item")]
mod edge;
#[path = "../../../../platform/tests/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use edge::{Counts, Edge, MEMORY_MB, Record, run_client};
use support::client::Client;
use support::host::is_ready;
use support::world::{World, wait_for};

/// The length of a value, about half of what a message may have.
const VALUE: usize = 560_000;

/// How many values the client sets in its session.
const VALUES: u32 = 240;

/// How often the disruption comes in each zone.
const ROUNDS: u32 = 3;

/// How long the peers of a round stay; 6.5 s in the site files.
const STAY: Duration = Duration::from_millis(6_500);

/// Opens a session and sets values in it, one after the other; each `SET` is sent when
/// the one before has been answered. Counts the answers.
fn set_values(front: SocketAddr, answers: &AtomicU32, is_done: &AtomicBool) {
    let Ok(mut client) = Client::connect(front, "strong", "key-b") else {
        return;
    };
    let value = "x".repeat(VALUE);
    for number in 0..VALUES {
        match client.query(&format!("SET v{number} {value}")) {
            Some(answer) if answer.is_ok() => {
                answers.fetch_add(1, Ordering::SeqCst);
            }
            _ => return,
        }
    }
    // The session stays open.
    while !is_done.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn main() {
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let mut arguments = std::env::args().skip(1).map(PathBuf::from);
    let (Some(path), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: memory RECORD FOLDER");
        std::process::exit(2);
    };
    let record = Record::create(&path);
    let world = World::start();
    let mut edges = ["edge-a-1", "edge-b-1"].map(|name| Edge::start(name, &world, &folder));
    wait_for("both hosts are ready", || edges.iter().all(|edge| is_ready(edge.ready)));
    std::thread::sleep(Duration::from_secs(2));
    let (stop, counts) = (Arc::new(AtomicBool::new(false)), Arc::new(Counts::default()));
    let clients: Vec<_> = edges
        .iter()
        .flat_map(|edge| [edge.front; 5])
        .map(|front| {
            let (stop, counts) = (Arc::clone(&stop), Arc::clone(&counts));
            std::thread::spawn(move || run_client(front, &stop, &counts))
        })
        .collect();
    let mut exceeded = [0_u32; 2];
    for round in 1..=ROUNDS {
        record.note(&format!("round {round}"));
        let answers: [Arc<AtomicU32>; 2] = Default::default();
        let is_done = Arc::new(AtomicBool::new(false));
        if is_troubled {
            for (edge, answers) in edges.iter().zip(&answers) {
                let (front, answers, is_done) =
                    (edge.front, Arc::clone(answers), Arc::clone(&is_done));
                std::thread::spawn(move || set_values(front, &answers, &is_done));
            }
            record.note(&format!(
                "a client at each host sets {VALUES} values of {VALUE} bytes in its session"
            ));
        }
        let until = Instant::now() + STAY;
        let mut highest = [0_u64; 2];
        let mut is_over = [false; 2];
        while Instant::now() < until {
            for (index, edge) in edges.iter_mut().enumerate() {
                let memory = edge.memory();
                highest[index] = highest[index].max(memory);
                if memory > MEMORY_MB << 20 && !is_over[index] {
                    is_over[index] = true;
                    exceeded[index] += 1;
                    record.note(&format!(
                        "{} uses more than {MEMORY_MB} MB ({:.1} MB): killed by the platform",
                        edge.name,
                        memory as f64 / f64::from(1 << 20)
                    ));
                    edge.restart();
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        is_done.store(true, Ordering::SeqCst);
        record.note(&format!(
            "SET acknowledged: {} and {}; highest memory in MB: {} and {}",
            answers[0].load(Ordering::SeqCst),
            answers[1].load(Ordering::SeqCst),
            highest[0] >> 20,
            highest[1] >> 20
        ));
        wait_for("both hosts are ready", || edges.iter().all(|edge| is_ready(edge.ready)));
        std::thread::sleep(Duration::from_secs(2));
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    record.note(&format!(
        "ordinary statements: {} sent, {} succeeded, {} without an answer; longest {} ms",
        counts.sent.load(Ordering::SeqCst),
        counts.succeeded.load(Ordering::SeqCst),
        counts.unanswered.load(Ordering::SeqCst),
        counts.longest_ms.load(Ordering::SeqCst)
    ));
    record.note(&format!("times over the memory: {} and {}", exceeded[0], exceeded[1]));
    let is_broken = exceeded.iter().all(|count| *count >= ROUNDS);
    record.note(if is_broken { "BROKEN: Fault" } else { "held" });
    drop(edges);
    std::process::exit(i32::from(is_broken));
}
