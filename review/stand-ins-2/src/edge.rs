//! Hosts as the platform runs them, the record of a run, and ordinary clients.

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::support::client::Client;
use crate::support::world::World;

/// The smallest machine of `grown/LATER.md`: 0.084 cores, 112 MB, 3,080 descriptors.
pub const MEMORY_MB: u64 = 112;

/// The pause of the platform before it starts a process again.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

/// The record of a run.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Writes a line with the time since the start, in seconds.
    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.started.elapsed().as_secs_f64());
        print!("{line}");
        let mut file = self.file.lock().expect("no thread panics");
        file.write_all(line.as_bytes()).expect("the record can be written");
    }
}

/// A host as the platform runs it.
pub struct Edge {
    pub name: String,
    settings: PathBuf,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

impl Edge {
    pub fn start(name: &str, world: &World, folder: &Path) -> Self {
        // Four free ports in a row.
        let first = loop {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
            let port = listener.local_addr().expect("it has an address").port();
            let rest: Vec<_> =
                (1..4).map(|step| TcpListener::bind(("127.0.0.1", port + step))).collect();
            if rest.iter().all(Result::is_ok) {
                break port;
            }
        };
        let at = |step: u16| SocketAddr::from(([127, 0, 0, 1], first + step));
        let settings = folder.join(format!("{name}.toml"));
        let text = format!(
            "nodeName = \"{name}\"\nip = \"127.0.0.1\"\nzone = \"zone-of-{name}\"\n\
             innerPortRange = [{}, {}]\n[listen]\nfront = \"{}\"\nready = \"{}\"\n\
             [limits]\ncpuShare = 0.084\ncores = 1\nmemoryMb = {MEMORY_MB}\nmaxFds = 3080\n\
             [bounds]\ngraceS = 6\nquotaSlack = 20\n[platform]\naddress = \"{}\"\n\
             [cloudApi]\naddress = \"{}\"\n",
            first + 2, first + 3, at(0), at(1),
            world.store_address(), world.cloud_api_address()
        );
        std::fs::write(&settings, text).expect("the settings can be written");
        let child = spawn(&settings);
        Self { name: name.to_owned(), settings, front: at(0), ready: at(1), child }
    }

    /// Returns the process id.
    pub fn process(&self) -> u32 {
        self.child.id()
    }

    /// Returns the resident memory in bytes; zero if the process has ended.
    pub fn memory(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kilobytes.unwrap_or_default() * 1024
    }

    pub fn restart(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        std::thread::sleep(RESTART_PAUSE);
        self.child = spawn(&self.settings);
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs the command of the deploy file.
fn spawn(settings: &Path) -> Child {
    Command::new("target/release/burdockslip-edge")
        .env("BURDOCKSLIP_BOOT", settings)
        .env_remove("RUST_BACKTRACE")
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("the program starts")
}

/// What ordinary clients have sent, and what became of it.
#[derive(Default)]
pub struct Counts {
    pub sent: AtomicU64,
    pub succeeded: AtomicU64,
    pub unanswered: AtomicU64,
    /// The longest time until an answer or the end of the wait, in milliseconds.
    pub longest_ms: AtomicU64,
}

/// Reads and writes small items in short sessions until told to stop.
pub fn run_client(front: SocketAddr, stop: &AtomicBool, counts: &Counts) {
    while !stop.load(Ordering::SeqCst) {
        if let Ok(mut client) = Client::connect(front, "strong", "key-a") {
            for number in 0..20 {
                counts.sent.fetch_add(1, Ordering::SeqCst);
                let text = if number % 5 == 0 { "WRITE a small" } else { "READ a" };
                let sent = Instant::now();
                let answer = client.query(text);
                let took = u64::try_from(sent.elapsed().as_millis()).unwrap_or(u64::MAX);
                counts.longest_ms.fetch_max(took, Ordering::SeqCst);
                match answer {
                    Some(answer) if answer.is_ok() => {
                        counts.succeeded.fetch_add(1, Ordering::SeqCst);
                    }
                    Some(_) => {}
                    None => {
                        counts.unanswered.fetch_add(1, Ordering::SeqCst);
                        break;
                    }
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        std::thread::sleep(Duration::from_millis(100));
    }
}
