//! Limits the work of individual steps by counts, which do not depend on the machine.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use burdockslip_keys::{Token, TokenSecrets};
use burdockslip_queue::{FairQueue, Settings, Workload};
use burdockslip_runtime::now;
use burdockslip_types::{LogPosition, Organisation};
use burdockslip_wire::{PreparedStatements, query, split_frames};
use bytes::BytesMut;

struct Numbers;

impl Workload for Numbers {
    type Item = u32;
}

fn steps(organisations: u32) -> u64 {
    let names: Vec<Organisation> = (0..organisations)
        .map(|index| format!("organisation-{index}").into())
        .collect();
    let cost = Duration::from_millis(4);
    let deadline = now() + Duration::from_hours(1);
    let mut queue = FairQueue::<Numbers>::new(Settings {
        lane_limit: 20_000,
        max_delay: Duration::from_hours(1),
        ..Settings::default()
    });
    for number in 0..20_000 {
        let name = &names[(number % organisations) as usize];
        let pushed = queue.push(name, 0, deadline, cost, number);
        assert!(pushed.is_ok());
    }
    let before = queue.steps();
    for _ in 0..10_000 {
        let ready = queue.pop(now()).expect("the queue is not empty");
        queue.finish(&ready.organisation, ready.cost, cost);
    }
    queue.steps() - before
}

/// Guards against a queue decision that visits more lanes as organisations are added.
#[test]
fn a_queue_decision_visits_few_lanes() {
    for organisations in [8, 100, 1_000, 10_000] {
        let steps = steps(organisations);
        assert!(
            steps <= 21_000,
            "{organisations} organisations: {steps} steps for 10,000 decisions"
        );
    }
}

/// Guards against a session token that no longer fits into a startup option as groups are added.
#[test]
fn a_token_grows_by_few_bytes_for_each_group() {
    let secrets = TokenSecrets::new(&[7; 32], None).expect("the secret is long enough");
    let len = |groups: u64| {
        let floors: BTreeMap<_, _> = (0..groups)
            .map(|group| {
                (
                    format!("group-{group:02}").into(),
                    LogPosition::new(3, 1_000),
                )
            })
            .collect();
        let organisation = "airline".into();
        let token = Token {
            organisation,
            floors,
        };
        token.sign(&secrets).expect("the token is short").len()
    };
    assert!(len(1) <= 100, "{}", len(1));
    assert!(len(32) - len(1) <= 31 * 24, "{}", len(32) - len(1));
}

/// Guards against a unit that parses statements it does not use, in which case the bytes sent
/// upstream would grow with the number of statements in the session.
#[test]
fn a_unit_carries_only_the_statements_it_uses() {
    let mut names = PreparedStatements::default();
    let parse = |name: &str| {
        let body = format!("{name}\0SELECT value FROM records\0\0\0");
        let len = u32::try_from(body.len() + 4).expect("the message is short");
        [b"P", &len.to_be_bytes()[..], body.as_bytes()].concat()
    };
    for number in 0..500 {
        let frames =
            split_frames(parse(&format!("s{number}")).into()).expect("the frames are complete");
        names
            .rewrite(&frames, &BTreeSet::new())
            .expect("the unit is accepted");
    }
    let bind = b"B\0\0\0\x0f\0s77\0\0\0\0\0\0\0".to_vec();
    let frames = split_frames(bind.clone().into()).expect("the frames are complete");
    let rewritten = names
        .rewrite(&frames, &BTreeSet::new())
        .expect("the unit is accepted");
    assert_eq!(rewritten.injected, 1);
    assert_eq!(rewritten.frames.len(), parse("s77").len() + bind.len());
}

/// Guards against copying the input when it is split into frames.
#[test]
fn frames_share_the_bytes_they_were_split_from() {
    let mut bytes = BytesMut::new();
    for _ in 0..3 {
        bytes.extend_from_slice(&query("SELECT 1"));
    }
    let bytes = bytes.freeze();
    let range = bytes.as_ptr_range();
    for frame in split_frames(bytes.clone()).expect("the frames are complete") {
        assert!(range.contains(&frame.bytes().as_ptr()));
    }
}
