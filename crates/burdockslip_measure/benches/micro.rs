//! Benchmarks of the individual steps of serving a statement.
//!
//! Times depend on the machine and are only reported. CI checks counts instead,
//! in `tests/counts.rs`.

use std::collections::BTreeSet;
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Duration;

use burdockslip_catalogue::Catalogue;
use burdockslip_dispatch::{Answer, Claim, Observation, Rank, Regulators, TurnQueue};
use burdockslip_keys::{Token, TokenSecrets};
use burdockslip_peer::{PeerPool, PeerServer, Router};
use burdockslip_queue::{FairQueue, Settings, Workload};
use burdockslip_runtime::{block_on, now};
use burdockslip_types::{Exchange, HostId, LogPosition, MemberName, Organisation};
use burdockslip_wire::{PreparedStatements, classify, query, split_frames, sync};
use bytes::{Bytes, BytesMut};
use criterion::{BenchmarkId, Criterion};
use futures::future::ready;

/// Requests in the queue before each queue benchmark.
const WAITING: usize = 10_000;

struct Numbers;

impl Workload for Numbers {
    type Item = u64;
}

struct Echo;

impl Exchange for Echo {
    type Request = Vec<u8>;
    type Reply = Vec<u8>;
    const NAME: &'static str = "echo";
}

fn statements(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("statement");
    for (name, sql) in [
        ("short", "SELECT value FROM records WHERE key = 'k1'"),
        (
            "tagged",
            "SELECT value FROM records WHERE key = 'k1' /*class='browse',request_id='r1'*/",
        ),
        ("write", "UPDATE records SET value = 'x' WHERE key = 'k1'"),
    ] {
        group.bench_function(BenchmarkId::new("classify", name), |bencher| {
            bencher.iter(|| classify(black_box(sql)));
        });
    }
    let frames = split_frames(prepared_unit()).expect("the unit is complete");
    let mut names = PreparedStatements::default();
    group.bench_function("rewrite", |bencher| {
        bencher.iter(|| names.rewrite(black_box(&frames), &BTreeSet::new()));
    });
    let mut many = BytesMut::new();
    for _ in 0..100 {
        many.extend_from_slice(&query("SELECT 1"));
    }
    let many = many.freeze();
    group.bench_function("split_100", |bencher| {
        bencher.iter(|| split_frames(black_box(many.clone())));
    });
    group.finish();
}

/// Builds the `Parse`, `Bind`, `Execute` and `Sync` messages of a named statement.
fn prepared_unit() -> Bytes {
    let mut unit = BytesMut::new();
    for (tag, body) in [
        (
            b'P',
            &b"s1\0SELECT value FROM records WHERE key = $1\0\0\0"[..],
        ),
        (b'B', &b"\0s1\0\0\0\0\x01\0\0\0\x02k1\0\0"[..]),
        (b'E', &b"\0\0\0\0\0"[..]),
    ] {
        let len = u32::try_from(body.len() + 4).expect("the unit is short");
        unit.extend_from_slice(&[tag]);
        unit.extend_from_slice(&len.to_be_bytes());
        unit.extend_from_slice(body);
    }
    unit.extend_from_slice(&sync());
    unit.freeze()
}

fn tokens(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("token");
    let secrets = TokenSecrets::new(&[7; 32], None).expect("the secret is long enough");
    for groups in [1_u64, 8, 32] {
        let token = Token {
            organisation: "airline".into(),
            floors: (0..groups)
                .map(|group| (format!("group-{group}").into(), LogPosition::new(3, group)))
                .collect(),
        };
        let text = token.sign(&secrets).expect("the token is short");
        group.bench_function(BenchmarkId::new("seal", groups), |bencher| {
            bencher.iter(|| black_box(&token).sign(&secrets));
        });
        group.bench_function(BenchmarkId::new("open", groups), |bencher| {
            bencher.iter(|| Token::verify(black_box(&text), "airline", &secrets));
        });
    }
    group.finish();
}

fn lookups(criterion: &mut Criterion) {
    let text = include_str!("../src/catalogue.jsonc").replace(
        "\"MEMBERS\"",
        r#""db-a": { "zone": "a", "address": "127.0.0.1:5432", "connections": 40, "slots": 3 }"#,
    );
    let catalogue = Catalogue::parse(&text).unwrap_or_else(|faults| panic!("{faults}"));
    criterion.bench_function("catalogue/route_and_class", |bencher| {
        bencher.iter(|| {
            let route = catalogue
                .route_for(black_box("airline"), "records")
                .expect("the route is allowed");
            catalogue
                .class_for(route, Some("browse"))
                .expect("the class exists")
                .1
                .priority
        });
    });
}

fn queues(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("queue");
    let cost = Duration::from_millis(4);
    for organisations in [8, 10_000] {
        let names: Vec<Organisation> = (0..organisations)
            .map(|index| format!("organisation-{index}").into())
            .collect();
        let mut queue = FairQueue::<Numbers>::new(Settings {
            lane_limit: 2 * WAITING,
            max_delay: Duration::from_hours(1),
            ..Settings::default()
        });
        let deadline = now() + Duration::from_hours(1);
        for index in 0..WAITING {
            // These settings never reject a request.
            let _ = queue.push(&names[index % organisations], 0, deadline, cost, 0);
        }
        let mut index = 0;
        group.bench_function(BenchmarkId::new("push_pop", organisations), |bencher| {
            bencher.iter(|| {
                index = (index + 1) % organisations;
                let _ = queue.push(&names[index], 0, deadline, cost, 0);
                if let Some(ready) = queue.pop(now()) {
                    queue.finish(&ready.organisation, ready.cost, cost);
                }
            });
        });
    }
    group.finish();
}

/// Measures the decisions under pressure: a turn at a member's connections, and a report of
/// a host at the coordinator.
fn pressure(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("pressure");
    let mut queue = TurnQueue::<Numbers>::default();
    let claim = |priority: u8| Claim {
        rank: Rank::of_priority(priority),
        organisation: Organisation::from("organisation"),
        latest: now() + Duration::from_hours(1),
        cost: Duration::from_millis(4),
    };
    let claims = [claim(0), claim(1), claim(2)];
    for (number, claim) in (0_u64..100).zip(claims.iter().cycle()) {
        drop(queue.push(claim, 4.0, number));
    }
    group.bench_function("turn", |bencher| {
        bencher.iter(|| {
            drop(queue.push(&claims[1], 4.0, 0));
            black_box(queue.pop());
        });
    });
    let answer = Answer::InTime(Duration::from_millis(4));
    let observation = Observation::of(Rank::of_priority(1), answer);
    let report: Vec<_> = (0..24)
        .map(|index| {
            (
                MemberName::from(format!("member-{index}")),
                vec![observation],
            )
        })
        .collect();
    let mut regulators = Regulators::default();
    group.bench_function("report", |bencher| {
        bencher.iter(|| {
            regulators.record(report.clone());
            black_box(regulators.decide());
        });
    });
    group.finish();
}

/// Measures a round trip between hosts: the request and the reply are each encoded, sent and
/// decoded.
fn peers(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("peer");
    for len in [100, 10_000] {
        group.bench_function(BenchmarkId::new("echo", len), |bencher| {
            bencher.iter_custom(|count| block_on(echo(len, count)));
        });
    }
    group.finish();
}

async fn echo(len: usize, count: u64) -> Duration {
    let router = Router::default().on(Echo, |_, bytes| ready(Ok(bytes)));
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = PeerServer::bind(any, router).expect("the address is free");
    let address = server.address();
    let pool = PeerPool::new("client".into(), move |_| Some(address));
    let host = HostId::from("server");
    let message = vec![1; len];
    pool.call::<Echo>(&host, &message)
        .await
        .expect("the server answers");
    let start = now();
    for _ in 0..count {
        let reply = pool.call::<Echo>(&host, black_box(&message)).await;
        black_box(reply.expect("the server answers"));
    }
    start.elapsed()
}

fn main() {
    let mut criterion = Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1))
        .configure_from_args();
    statements(&mut criterion);
    tokens(&mut criterion);
    lookups(&mut criterion);
    queues(&mut criterion);
    pressure(&mut criterion);
    peers(&mut criterion);
    criterion.final_summary();
}
