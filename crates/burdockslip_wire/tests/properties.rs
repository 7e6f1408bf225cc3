//! Property tests for the decoders of untrusted bytes.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use burdockslip_runtime::{block_on, spawn};
use burdockslip_wire::{
    Access, ClientStream, Frame, PreparedStatements, classify, decode_error, decode_state,
    split_frames,
};
use bytes::{Bytes, BytesMut};
use monoio::io::{AsyncWriteRent, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};
use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, any, prop_oneof, proptest};
use proptest::test_runner::{Config, RngSeed};
use proptest::{prop_assert, prop_assert_eq};

/// The maximum size of a unit, in bytes.
const LIMIT: usize = 4_096;

/// Fixes the seed, so that every run tests the same cases.
fn config(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..Config::default()
    }
}

fn frame(tag: u8, body: &[u8]) -> Vec<u8> {
    let len = u32::try_from(body.len() + 4).expect("bodies are short");
    [&[tag], &len.to_be_bytes()[..], body].concat()
}

fn frames() -> impl Strategy<Value = Vec<Vec<u8>>> {
    let tag = prop_oneof![
        any::<u8>(),
        proptest::sample::select(b"PBDECSQXHp".to_vec())
    ];
    vec(
        (tag, vec(any::<u8>(), 0..40)).prop_map(|(tag, body)| frame(tag, &body)),
        0..8,
    )
}

/// Sends `bytes` to a client stream and returns the number of units it reads.
/// With `has_startup`, the stream expects a startup and a password message first.
fn serve(bytes: Vec<u8>, has_startup: bool) -> usize {
    block_on(async move {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("binds");
        let address = listener.local_addr().expect("is bound");
        let sender = spawn(async move {
            let mut io = TcpStream::connect(address).await.expect("connects");
            // The stream may reject the bytes and close before all are sent.
            let _ = io.write_all(bytes).await;
            let _ = io.shutdown().await;
            io
        });
        let (io, _) = listener.accept().await.expect("accepts");
        let mut client = ClientStream::new(io, LIMIT);
        if has_startup
            && (client.open(None).await.is_err() || client.read_password().await.is_err())
        {
            return 0;
        }
        let mut units = 0;
        while let Ok(Some(unit)) = client.read_unit().await {
            let size: usize = unit.frames.iter().map(|frame| frame.bytes().len()).sum();
            assert!(size <= LIMIT);
            units += 1;
        }
        drop(sender);
        units
    })
}

/// Returns statements that write.
fn write() -> impl Strategy<Value = &'static str> {
    proptest::sample::select(vec![
        "DELETE FROM records",
        "update records set value = 1",
        "INSERT INTO records VALUES (1)",
        "TRUNCATE records",
        "WITH gone AS (DELETE FROM records RETURNING *) SELECT * FROM gone",
        "EXPLAIN ANALYZE DELETE FROM records",
        "EXPLAIN ANALYSE DELETE FROM records",
        "EXPLAIN (ANALYZE) DELETE FROM records",
        "EXPLAIN (analyse, verbose) UPDATE records SET value = 1",
        "SELECT * INTO copy FROM records",
        "SELECT * FROM records FOR UPDATE",
        "(WITH gone AS (DELETE FROM records RETURNING *) SELECT * FROM gone)",
        "DROP TABLE records",
    ])
}

/// Returns text after which a statement is outside of literals and comments.
fn prefix() -> impl Strategy<Value = &'static str> {
    proptest::sample::select(vec![
        "",
        "SELECT 1; ",
        "SELECT 'it''s'; ",
        "SELECT E'\\''; ",
        "SELECT '\\'; ",
        "SELECT name'\\'; ",
        "SELECT e\"\\\"; ",
        "SELECT \"a\"\"b\"; ",
        "SELECT $$ ' $$; ",
        "SELECT $tag$ $$ $tag$; ",
        "SELECT a$b$; ",
        "SELECT 1 AS é$b$; ",
        "SELECT $1; ",
        "SELECT U&'\\'; ",
        "-- '\n",
        "SELECT 1 -- /*\n; ",
        "SELECT 1 -- /*\r; ",
        "/* ' */ ",
        "/* /* */ ' */ ",
        "SELECT 1 /* /* */ ' */; ",
        "/*/ ' */ ",
        "SELECT '/*'; ",
        "SELECT '--'; ",
    ])
}

/// Returns text that may follow a statement.
fn suffix() -> impl Strategy<Value = &'static str> {
    proptest::sample::select(vec![
        "",
        ";",
        "; SELECT 1",
        "; SELECT '",
        " -- '",
        " /*class='browse'*/",
        "; SELECT 1 AS a$b$",
        "; SELECT '\"'",
        " --'",
    ])
}

proptest! {
    #![proptest_config(config(2_000))]

    /// Guards against a write that is mistaken for part of a literal or comment
    /// and then runs at a replica, or in a class that only reads.
    #[test]
    fn text_with_a_write_is_never_a_read(prefix in prefix(), write in write(), suffix in suffix()) {
        let text = format!("{prefix}{write}{suffix}");
        prop_assert_eq!(classify(&text).access(), Access::Write, "{}", text);
    }

    /// Guards against a panic, for example when text is cut within a character.
    #[test]
    fn any_text_is_classified(
        parts in vec(prop_oneof![
            proptest::sample::select(vec![
                "'", "\"", "$", "$$", "/*", "*/", "--", "\n", ";", "\\", "E'", "SELECT ",
                "SET ", "set é", "SET a=", "=", "é", "\u{1F600}", "class='", ",", "TO ",
            ]).prop_map(str::to_owned),
            any::<String>(),
        ], 0..12),
    ) {
        classify(&parts.concat());
    }

    /// Guards against frames that lose, repeat or add bytes.
    #[test]
    fn split_frames_keep_all_bytes(bytes in vec(any::<u8>(), 0..200)) {
        if let Some(frames) = split_frames(Bytes::from(bytes.clone())) {
            let joined: Vec<u8> = frames.iter().flat_map(|f| f.bytes().to_vec()).collect();
            prop_assert_eq!(joined, bytes);
        }
    }

    /// Guards against complete messages that are not split correctly.
    #[test]
    fn complete_messages_are_split(parts in frames()) {
        let split = split_frames(Bytes::from(parts.concat()));
        let split = split.map(|frames| frames.iter().map(|f| f.bytes().to_vec()).collect::<Vec<_>>());
        prop_assert_eq!(split, Some(parts));
    }

    /// Guards against a panic in a decoder of single messages.
    #[test]
    fn any_message_is_decoded_or_rejected(tag in any::<u8>(), body in vec(any::<u8>(), 0..60)) {
        let frame = Frame::new(Bytes::from(frame(tag, &body))).expect("the header fits");
        let _ = decode_state(&frame);
        let _ = decode_error(&frame);
    }

    /// Guards against a rewritten unit that drops or changes a message of the client.
    #[test]
    fn rewritten_unit_ends_with_the_original_messages(parts in frames()) {
        let bytes = Bytes::from(parts.concat());
        let frames = split_frames(bytes.clone()).expect("messages are whole");
        let mut statements = PreparedStatements::default();
        if let Ok(rewritten) = statements.rewrite(&frames, &BTreeSet::new()) {
            prop_assert!(rewritten.frames.ends_with(&bytes));
            prop_assert_eq!(rewritten.injected, 0);
        }
    }

    /// Guards against a parsed statement, in particular the unnamed one, that a
    /// later unit does not find, and against a write that is classified as a
    /// read when it is executed.
    #[test]
    fn prepared_write_stays_a_write(write in write(), name in "[a-z]{0,8}") {
        let mut statements = PreparedStatements::default();
        let parse = frame(b'P', format!("{name}\0{write}\0\0\0").as_bytes());
        let bind = frame(b'B', format!("\0{name}\0\0\0\0\0\0\0").as_bytes());
        let parse = split_frames(parse.into()).expect("is whole");
        let bind = split_frames(bind.into()).expect("is whole");
        prop_assert!(statements.rewrite(&parse, &BTreeSet::new()).is_ok());
        let rewritten = statements.rewrite(&bind, &BTreeSet::new()).expect("is prepared");
        prop_assert_eq!(rewritten.statement.access(), Access::Write);
        prop_assert_eq!(rewritten.injected, 1);
    }
}

proptest! {
    #![proptest_config(config(200))]

    /// Guards against a panic or an endless wait on any bytes from a client.
    #[test]
    fn any_units_are_read_or_rejected(parts in frames(), cut in any::<proptest::sample::Index>()) {
        let mut bytes = parts.concat();
        bytes.truncate(cut.index(bytes.len() + 1));
        serve(bytes, false);
    }

    /// Guards against a panic or an endless wait on any startup message.
    #[test]
    fn any_startup_is_read_or_rejected(
        code in prop_oneof![
            Just(196_608_u32), Just(80_877_102), Just(80_877_103), any::<u32>()
        ],
        body in vec(any::<u8>(), 0..60),
        rest in vec(any::<u8>(), 0..60),
    ) {
        let len = u32::try_from(body.len() + 8).expect("bodies are short");
        let mut bytes = BytesMut::new();
        bytes.extend_from_slice(&len.to_be_bytes());
        bytes.extend_from_slice(&code.to_be_bytes());
        bytes.extend_from_slice(&body);
        bytes.extend_from_slice(&rest);
        serve(bytes.to_vec(), true);
    }
}
