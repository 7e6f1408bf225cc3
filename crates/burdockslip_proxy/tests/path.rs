//! Drives the whole path with an ordinary PostgreSQL client.

mod support;

use postgres::NoTls;
use support::{sqlstate, start, value};

/// Guards read-your-writes when a session moves to another host.
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

/// Guards the extended protocol with named statements on pooled connections.
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

/// Guards transactions: they hold one connection and are rolled back as a whole.
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

/// Guards keys: a wrong key, another organisation's key and a foreign route are refused.
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

/// Guards the route that is open to all against needing a key or allowing writes.
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

/// Guards against a retried request that runs twice.
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
