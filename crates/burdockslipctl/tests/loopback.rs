//! Tests whole command lines against a store and hosts on loopback.

use std::cell::Cell;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use burdockslip_runtime::block_on;
use burdockslip_telemetry::{Admin, AdminServer, HostStatus, Metrics, serve_admin};
use burdockslip_testkit::StoreServer;
use burdockslip_types::Revision;
use burdockslipctl::args::Burdockslipctl;
use burdockslipctl::{ExitStatus, Outcome, run};

const EXAMPLE: &str =
    include_str!("../../burdockslip_catalogue/tests/fixtures/catalogue.example.jsonc");

/// Runs the command line `words` against the store.
async fn run_program(store: SocketAddr, words: &[&str]) -> Outcome {
    let store = store.to_string();
    let words = ["--store", &store].into_iter().chain(words.iter().copied());
    let args = Burdockslipctl::from_vec(words.map(OsString::from).collect());
    run(args.expect("the line is valid")).await
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Serves the admin endpoint of a host that has `revision` in force, and lists
/// the host in the store.
fn host(server: &StoreServer, name: &'static str, revision: &Rc<Cell<u64>>) -> AdminServer {
    let revision = Rc::clone(revision);
    let admin = Admin {
        metrics: Metrics::new().expect("the exporter starts"),
        status: Rc::new(move || HostStatus {
            host: name.into(),
            zone: "a".into(),
            is_ready: true,
            revision: Revision(revision.get()),
            age_millis: 5,
            connections: 0,
            evacuated: Vec::new(),
        }),
    };
    let admin = serve_admin(any_port(), admin).expect("a port is free");
    let value = format!(
        "{{\"zone\":\"a\",\"address\":\"127.0.0.1:1\",\"admin\":\"{}\",\"status\":\"live\"}}",
        admin.address()
    );
    let key = format!("platform/hosts/{name}");
    server.memory().put(&key, value.as_bytes());
    admin
}

/// Returns an empty directory for one test.
fn directory(name: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    if path.exists() {
        std::fs::remove_dir_all(&path).expect("it can be removed");
    }
    std::fs::create_dir_all(&path).expect("it can be made");
    path
}

/// Guards against commands that work alone and fail in sequence: an operator
/// shows the catalogue, edits it twice, waits for the hosts and issues a key.
#[test]
fn operator_edits_the_catalogue() {
    block_on(async {
        let server = StoreServer::bind(any_port()).expect("a port is free");
        let store = server.address();
        let directory = directory("edits");
        let first = directory.join("first.jsonc");
        std::fs::write(&first, EXAMPLE).expect("it can be written");
        let first = first.to_str().expect("it is text");
        let outcome = run_program(store, &["apply", first]).await;
        assert_eq!(outcome.text, "applied, revision 1");

        let file = directory.join("copy.jsonc");
        let file = file.to_str().expect("it is text");
        let outcome = run_program(store, &["show", "--output", file]).await;
        assert_eq!(outcome.status, ExitStatus::Success, "{}", outcome.text);
        let revision = Rc::new(Cell::new(9));
        let _admin = host(&server, "h1", &revision);
        for weight in [5, 6] {
            let text = EXAMPLE.replace("\"weight\": 4", &format!("\"weight\": {weight}"));
            std::fs::write(file, &text).expect("it can be written");
            let outcome = run_program(store, &["diff", file]).await;
            assert_eq!(outcome.status, ExitStatus::Different);
            let outcome = run_program(store, &["apply", file, "--wait"]).await;
            assert_eq!(outcome.status, ExitStatus::Success, "{}", outcome.text);
            assert!(
                outcome.text.ends_with("in force on 1 hosts"),
                "{}",
                outcome.text
            );
        }
        let outcome = run_program(store, &["apply", first]).await;
        assert_eq!(outcome.status, ExitStatus::Conflict);

        let outcome = run_program(store, &["status"]).await;
        assert_eq!(outcome.status, ExitStatus::Success, "{}", outcome.text);
        revision.set(1);
        let outcome = run_program(store, &["status"]).await;
        assert_eq!(outcome.status, ExitStatus::Incomplete);

        let outcome = run_program(store, &["key", "issue", "visitor"]).await;
        assert_eq!(outcome.status, ExitStatus::Success, "{}", outcome.text);
        let id = outcome.json["id"].as_str().expect("it has an id");
        let outcome = run_program(store, &["key", "withdraw", "visitor", id]).await;
        assert_eq!(outcome.status, ExitStatus::Success, "{}", outcome.text);
    });
}
