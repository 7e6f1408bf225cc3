//! End-to-end tests with a standard PostgreSQL client.

mod support;

use burdockslip_keys::{Token, TokenSecrets};
use burdockslip_types::{GroupName, LogPosition};
use postgres::NoTls;
use support::raw::{Raw, tagged};
use support::{sqlstate, start, value};

/// Guards read-your-writes when a client moves to another host with its session token.
#[test]
fn session_reads_its_write_on_another_host() {
    let site = start();
    let mut first = site.connect(0);
    first
        .batch_execute("INSERT INTO records (key, value) VALUES ('a', '1')")
        .expect("write runs");
    let token = value(&mut first, "SHOW burdockslip.token").expect("token");
    drop(first);
    let mut second = site.connect_with_token(1, &token);
    let read = value(&mut second, "SELECT value FROM records WHERE key = 'a'");
    assert_eq!(read.as_deref(), Some("1"));
}

/// Guards against prepared statements that are missing on the pooled connection
/// that happens to run them.
#[test]
fn prepared_statements_work_on_any_connection() {
    let site = start();
    let mut client = site.connect(2);
    let insert = client
        .prepare("INSERT INTO records (key, value) VALUES ($1, $2)")
        .expect("prepare");
    let select = client
        .prepare("SELECT value FROM records WHERE key = $1")
        .expect("prepare");
    for n in 0..20 {
        let (key, text) = (format!("k{n}"), format!("v{n}"));
        assert_eq!(client.execute(&insert, &[&key, &text]).expect("insert"), 1);
        let row = client.query_one(&select, &[&key]).expect("select");
        assert_eq!(row.get::<_, String>(0), text);
    }
}

/// Guards against a transaction whose statements run on different connections,
/// so that a rollback would miss some of them.
#[test]
fn transactions_commit_and_roll_back() {
    let site = start();
    let mut client = site.connect(0);
    let mut transaction = client.transaction().expect("begin");
    transaction
        .execute("INSERT INTO records (key, value) VALUES ('t', '1')", &[])
        .expect("insert");
    transaction.rollback().expect("rollback");
    assert_eq!(
        value(&mut client, "SELECT value FROM records WHERE key = 't'"),
        None
    );
    let mut transaction = client.transaction().expect("begin");
    transaction
        .execute("INSERT INTO records (key, value) VALUES ('t', '2')", &[])
        .expect("insert");
    transaction.commit().expect("commit");
    let read = value(&mut client, "SELECT value FROM records WHERE key = 't'");
    assert_eq!(read.as_deref(), Some("2"));
}

/// Guards against a session that does not read its own commit, because its transaction has
/// outlasted a change of its route and the commit counts for the new group.
#[test]
fn commit_counts_for_the_group_of_its_transaction() {
    let site = start();
    let mut client = site.connect(0);
    let mut transaction = client.transaction().expect("begin");
    transaction
        .execute("INSERT INTO records (key, value) VALUES ('t', '1')", &[])
        .expect("insert");
    site.with(|site| {
        let archive = r#""groups": { "archive": {
            "owner": "test", "user": "burdockslip", "database": "records",
            "members": { "ar-a": {
                "zone": "a", "address": "127.0.0.1:1", "connections": 20, "slots": 3,
            } },
        },"#;
        site.edit_catalogue(r#""groups": {"#, archive);
        site.edit_catalogue(r#""group": "records""#, r#""group": "archive""#);
    });
    transaction.commit().expect("commit");
    let token = value(&mut client, "SHOW burdockslip.token").expect("token");
    let secrets = TokenSecrets::new(&[7; 32], None).expect("the secret is long enough");
    let token = Token::verify(&token, "airline", &secrets).expect("the host has signed it");
    let groups: Vec<_> = token.floors.keys().map(GroupName::as_str).collect();
    assert_eq!(groups, ["records"]);
}

/// Guards against a client that goes on with a token which lacks its last commit, because the
/// session has used more groups than a token can name.
#[test]
fn token_that_cannot_be_replaced_is_taken_back() {
    let site = start();
    let (mut client, _) = Raw::sign_in(&site, 0);
    let secrets = TokenSecrets::new(&[7; 32], None).expect("the secret is long enough");
    let sign = |numbers: std::ops::Range<u64>| {
        let floor = |number| {
            let group = GroupName::from(format!("group-{number}").as_str());
            (group, LogPosition::default())
        };
        let token = Token {
            organisation: "airline".into(),
            floors: numbers.map(floor).collect(),
        };
        token.sign(&secrets).expect("it is small")
    };
    let mut run = |text: &str| {
        client.send(&tagged(b'Q', format!("{text}\0").as_bytes()));
        let mut statuses = Vec::new();
        loop {
            let frame = client.frame();
            match frame.tag() {
                b'S' => statuses.push(frame.body().to_vec()),
                b'Z' => return statuses,
                b'C' => {}
                tag => panic!("unexpected message {}", char::from(tag)),
            }
        }
    };
    let taken_back = [b"burdockslip.token\0\0"];
    let first = run("INSERT INTO records (key, value) VALUES ('a', '1')");
    assert!(first.len() == 1 && first != taken_back);
    run(&format!("SET burdockslip.token = '{}'", sign(0..20)));
    run(&format!("SET burdockslip.token = '{}'", sign(20..40)));
    let second = run("INSERT INTO records (key, value) VALUES ('b', '1')");
    assert_eq!(second, taken_back);
}

/// Guards against access with an invalid key, with another organisation's key or to
/// a route that the organisation may not use, and against keys that reach a database.
#[test]
fn wrong_keys_and_routes_are_refused() {
    let site = start();
    let refusal = |config: &postgres::Config| match config.connect(NoTls) {
        Ok(_) => panic!("connection was accepted"),
        Err(error) => sqlstate(&error),
    };
    let mut config = site.config(0);
    assert_eq!(refusal(config.password("not a key")), "28P01");
    assert_eq!(refusal(config.password(&site.club)), "28P01");
    assert_eq!(refusal(config.user("club")), "42501");
    let texts = site.with(|site| site.group.received_texts());
    let is_seen = texts.iter().any(|text| text.contains(&site.airline));
    assert!(!is_seen, "a key reached a database");
}

/// Guards against an open route that demands a key or allows writes without one.
#[test]
fn open_route_serves_reads_without_a_key() {
    let site = start();
    let mut config = site.config(0);
    let mut client = config
        .user("anyone")
        .password("")
        .dbname("open")
        .connect(NoTls)
        .expect("client connects");
    assert_eq!(value(&mut client, "SELECT 7").as_deref(), Some("7"));
    let error = client
        .batch_execute("INSERT INTO records (key, value) VALUES ('x', '1')")
        .expect_err("write is refused");
    assert_eq!(sqlstate(&error), "0A000");
}

/// Guards against a request that runs twice when a client retries it at another host.
#[test]
fn request_id_runs_at_most_once_on_any_host() {
    let site = start();
    let sql = "/*request_id='r1'*/ INSERT INTO records (key, value) VALUES ('once', '1') \
               ON CONFLICT (key) DO UPDATE SET value = '2'";
    site.connect(0).batch_execute(sql).expect("first run");
    let error = site.connect(1).batch_execute(sql).expect_err("second run");
    assert_eq!(sqlstate(&error), "23505");
    let mut client = site.connect(2);
    let read = value(&mut client, "SELECT value FROM records WHERE key = 'once'");
    assert_eq!(read.as_deref(), Some("1"));
}

/// Guards against a request marker that commits the client's own transaction
/// early, or that survives its rollback.
#[test]
fn request_id_inside_a_transaction_shares_its_fate() {
    let site = start();
    let mut client = site.connect(0);
    let error = client
        .batch_execute("/*request_id='t1'*/ BEGIN")
        .expect_err("request id on BEGIN is refused");
    assert_eq!(sqlstate(&error), "0A000");
    let write = "/*request_id='t1'*/ INSERT INTO records (key, value) VALUES ('t', '1')";
    client.batch_execute("BEGIN").expect("begin");
    client.batch_execute(write).expect("write");
    client.batch_execute("ROLLBACK").expect("rollback");
    client.batch_execute("BEGIN").expect("begin");
    client.batch_execute(write).expect("write after rollback");
    client.batch_execute("COMMIT").expect("commit");
    let error = client.batch_execute(write).expect_err("write runs again");
    assert_eq!(sqlstate(&error), "23505");
}

/// Guards against a statement that runs in the transaction of another client.
#[test]
fn transactions_of_many_clients_do_not_mix() {
    let site = start();
    let clients: Vec<_> = (0..12).map(|n| site.connect(n % 3)).collect();
    let threads: Vec<_> = clients
        .into_iter()
        .enumerate()
        .map(|(n, mut client)| {
            std::thread::spawn(move || {
                for round in 0..5 {
                    let mut transaction = client.transaction().expect("begin");
                    for part in 0..3 {
                        let key = format!("c{n}-{round}-{part}");
                        transaction
                            .execute("INSERT INTO records (key, value) VALUES ($1, 'x')", &[&key])
                            .expect("insert");
                    }
                    if round % 2 == 0 {
                        transaction.commit().expect("commit");
                    } else {
                        transaction.rollback().expect("rollback");
                    }
                }
            })
        })
        .collect();
    for thread in threads {
        thread.join().expect("client thread");
    }
    let entries = site.with(|site| {
        let primary = site.group.primary();
        site.group.entries(primary)
    });
    let commits: Vec<_> = entries
        .iter()
        .filter(|entry| !entry.changes.is_empty())
        .collect();
    assert_eq!(commits.len(), 12 * 3);
    for entry in commits {
        let owners: std::collections::BTreeSet<String> = entry
            .changes
            .iter()
            .map(|change| {
                change
                    .id()
                    .1
                    .rsplit_once('-')
                    .expect("key has parts")
                    .0
                    .to_owned()
            })
            .collect();
        assert_eq!((entry.changes.len(), owners.len()), (3, 1), "{entry:?}");
    }
}

/// Guards against large answers that are truncated, or mixed with those of other
/// sessions.
#[test]
fn large_answers_arrive_whole() {
    let site = start();
    let threads: Vec<_> = (0..3)
        .map(|n| {
            let mut client = site.connect(n);
            std::thread::spawn(move || {
                let sql = format!("SELECT fill({}, 1000)", 1000 * (n + 1));
                let rows = client.simple_query(&sql).expect("query runs");
                let count = rows
                    .iter()
                    .filter(|row| match row {
                        postgres::SimpleQueryMessage::Row(row) => {
                            row.get(0).is_some_and(|text| text.len() == 1000)
                        }
                        _ => false,
                    })
                    .count();
                assert_eq!(count, 1000 * (n + 1));
            })
        })
        .collect();
    for thread in threads {
        thread.join().expect("client thread");
    }
}
