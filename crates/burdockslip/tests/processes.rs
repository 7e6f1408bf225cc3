//! Tests the built program: hosts run as separate processes, and the stand-ins
//! of store and databases in the test process.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use burdockslip_keys::{Key, KeyPath, KeyRecord, KeyState};
use burdockslip_runtime::block_on;
use burdockslip_testkit::StoreServer;
use burdockslip_testkit::database::{DatabaseGroup, MemberOptions};
use futures::StreamExt;
use futures::channel::mpsc;
use postgres::{Client, NoTls, SimpleQueryMessage};

const ZONES: [&str; 3] = ["a", "b", "c"];
/// The interval between two checks of a condition that a test waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Returns a loopback address that no other test process uses.
fn local(index: usize, port: u16) -> SocketAddr {
    let process = u8::try_from(std::process::id() % 200).expect("below 200");
    let last = u8::try_from(index).expect("few hosts");
    SocketAddr::from(([127, process + 20, 250, last + 1], port))
}

fn key_path(key: &Key) -> String {
    KeyPath {
        organisation: "airline".into(),
        id: key.id(),
    }
    .render()
}

fn catalogue(members: &[MemberOptions]) -> String {
    let members: Vec<String> = members
        .iter()
        .map(|member| {
            format!(
                r#""{}": {{ "zone": "{}", "address": "{}", "connections": 40, "slots": 3 }}"#,
                member.name, member.zone, member.address
            )
        })
        .collect();
    include_str!("../examples/quickstart/catalogue.jsonc")
        .replace("\"MEMBERS\"", &members.join(","))
}

/// Runs the stand-ins until the sender of `commands` is dropped. Each command
/// withdraws the key.
fn run_stand_ins(
    key: Key,
    mut commands: mpsc::UnboundedReceiver<()>,
    ready: std::sync::mpsc::Sender<()>,
) {
    block_on(async move {
        let members: Vec<_> = ZONES
            .iter()
            .enumerate()
            .map(|(index, zone)| {
                MemberOptions::new(&format!("db-{zone}"), zone, local(index, 5432))
            })
            .collect();
        let store = StoreServer::bind(local(0, 2379)).expect("store starts");
        let memory = store.memory();
        memory.put("burdockslip/catalogue", catalogue(&members).as_bytes());
        memory.put(&key_path(&key), &KeyRecord::live(&key).render());
        let _group = DatabaseGroup::bind(members).expect("members start");
        ready.send(()).expect("the test waits");
        while commands.next().await.is_some() {
            let mut record = KeyRecord::live(&key);
            record.state = KeyState::Revoked;
            memory.put(&key_path(&key), &record.render());
        }
    });
}

/// A host in a process of its own, which is killed when this is dropped.
struct HostProcess {
    child: Child,
    admin: SocketAddr,
    client: SocketAddr,
}

impl HostProcess {
    fn start(index: usize) -> Self {
        let settings = include_str!("../examples/quickstart/host.jsonc")
            .replace("ZONE", ZONES[index])
            .replace("CLIENT", &local(index, 6432).to_string())
            .replace("PEER", &local(index, 7432).to_string())
            .replace("ADMIN", &local(index, 8432).to_string())
            .replace("SEED", &local((index + 1) % 3, 7432).to_string())
            .replace("STORE", &local(0, 2379).to_string());
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("host-{index}-{}.jsonc", std::process::id()));
        std::fs::write(&path, settings).expect("settings are written");
        let child = Command::new(env!("CARGO_BIN_EXE_burdockslip"))
            .arg("run")
            .arg(&path)
            .stdout(Stdio::null())
            .spawn()
            .expect("program starts");
        Self {
            child,
            admin: local(index, 8432),
            client: local(index, 6432),
        }
    }

    /// Requests `/ready` of the admin endpoint.
    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.admin) else {
            return false;
        };
        let request = format!("GET /ready HTTP/1.1\r\nHost: {}\r\n\r\n", self.admin);
        let mut answer = String::new();
        stream.write_all(request.as_bytes()).is_ok()
            && stream.read_to_string(&mut answer).is_ok()
            && answer.starts_with("HTTP/1.1 200")
    }

    fn wait_until_ready(&mut self) {
        while !self.is_ready() {
            let ended = self.child.try_wait().expect("process is known");
            assert!(ended.is_none(), "host ended: {ended:?}");
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Sends SIGTERM and waits until the process exits.
    fn stop(&mut self) -> ExitStatus {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill")
            .arg(pid)
            .status()
            .expect("signal is sent");
        assert!(sent.success());
        self.child.wait().expect("process ends")
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn config(process: &HostProcess, key: &str) -> postgres::Config {
    let mut config = postgres::Config::new();
    config
        .host(&process.client.ip().to_string())
        .port(process.client.port())
        .user("airline")
        .password(key)
        .dbname("records");
    config
}

fn query_value(client: &mut Client, sql: &str) -> Option<String> {
    let messages = client.simple_query(sql).expect("query runs");
    messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    })
}

/// Guards against hosts that fail when they run as separate processes, although
/// each part passes its own tests: configuration from the store, gossip,
/// relays, rates, connection holders, session tokens, a killed host, a planned
/// stop and a withdrawn key.
#[test]
fn session_moves_between_processes() {
    let key = Key::generate();
    let text = key.reveal().to_string();
    let (commands, receiver) = mpsc::unbounded();
    let (ready, started) = std::sync::mpsc::channel();
    let servers = std::thread::spawn(move || run_stand_ins(key, receiver, ready));
    started.recv().expect("stand-ins start");
    let mut hosts: Vec<HostProcess> = (0..3).map(HostProcess::start).collect();
    for host in &mut hosts {
        host.wait_until_ready();
    }

    let mut first = config(&hosts[0], &text).connect(NoTls).expect("connect");
    first
        .batch_execute("INSERT INTO records (key, value) VALUES ('a', '1')")
        .expect("write runs");
    let token = query_value(&mut first, "SHOW burdockslip.token").expect("token");
    let mut second = config(&hosts[1], &text)
        .options(&format!("-c burdockslip.token={token}"))
        .connect(NoTls)
        .expect("connect");
    let sql = "/*class='browse'*/ SELECT value FROM records WHERE key = 'a'";
    assert_eq!(query_value(&mut second, sql).as_deref(), Some("1"));

    // Host 2 held the connections to the member in its zone.
    hosts[2].child.kill().expect("host is killed");
    for n in 0..20 {
        let sql = format!("INSERT INTO records (key, value) VALUES ('b{n}', '1')");
        second
            .batch_execute(&sql)
            .expect("write runs without host 2");
    }

    assert_eq!(hosts[0].stop().code(), Some(0), "planned stop");
    let sql = "SELECT value FROM records WHERE key = 'b19'";
    assert_eq!(query_value(&mut second, sql).as_deref(), Some("1"));

    commands.unbounded_send(()).expect("stand-ins run");
    while second.simple_query("SELECT 1").is_ok() {
        std::thread::sleep(POLL_INTERVAL);
    }
    assert!(config(&hosts[1], &text).connect(NoTls).is_err());
    drop(commands);
    servers.join().expect("stand-ins end");
}

/// Guards against `check` missing a fault or its location, and against wrong exit statuses.
#[test]
fn check_reports_faults_with_their_location() {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("bad.jsonc");
    std::fs::write(&path, "{ \"host\": 7, \"unknown\": true }").expect("file is written");
    let output = Command::new(env!("CARGO_BIN_EXE_burdockslip"))
        .arg("check")
        .arg(&path)
        .output()
        .expect("program runs");
    assert_eq!(output.status.code(), Some(3));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains(":1:3: host: seen 7"), "{text}");
    assert!(text.contains(":1:14: unknown: seen"), "{text}");
    let usage = Command::new(env!("CARGO_BIN_EXE_burdockslip"))
        .arg("fly")
        .output()
        .expect("program runs");
    assert_eq!(usage.status.code(), Some(2));
}
