//! Tests connections to members against a member that answers as the test says.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use burdockslip_directory::{Member, Role};
use burdockslip_runtime::{block_on, now, sleep};
use burdockslip_statement::{Codec, Command, MemberError, MemberMessage, TransactionStatus};
use burdockslip_types::{ErrorKind, Result, Zone};
use burdockslip_upstream::{MemberPool, SessionState};
use bytes::{Buf, BytesMut};
use error_stack::{Report, bail};

/// A protocol of lines, of which only the part between a host and a member is used.
const CODEC: Codec = Codec {
    read_client: |_| Ok(None),
    write_greeting: |_, _| {},
    write_response: |_, _| {},
    write_command: |command, buffer| {
        let is_connect = matches!(command, Command::Connect { .. });
        buffer.extend_from_slice(if is_connect { b"connect\n" } else { b"other\n" });
    },
    read_member,
    read_status: |_| Err(Report::new(ErrorKind::Protocol)),
};

fn read_member(buffer: &mut BytesMut) -> Result<Option<MemberMessage>> {
    let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
        return Ok(None);
    };
    let line = buffer.split_to(end);
    buffer.advance(1);
    Ok(Some(match line.as_ref() {
        b"ready" => MemberMessage::Ready(TransactionStatus::Idle, None),
        b"busy" => MemberMessage::Failed(MemberError::Busy),
        b"full" => MemberMessage::Failed(MemberError::TooManyConnections),
        b"wrong" => MemberMessage::Failed(MemberError::WrongMember),
        b"unknown" => MemberMessage::Failed(MemberError::Other),
        b"row" => MemberMessage::Row(line.freeze()),
        b"large" => bail!(ErrorKind::TooLarge),
        _ => bail!(ErrorKind::Protocol),
    }))
}

/// Serves connections, each of which is greeted with `greeting`, until the process exits.
fn serve(greeting: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port must be free");
    let address = listener.local_addr().expect("the listener has an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || greet(&stream, greeting));
        }
    });
    address
}

fn greet(mut stream: &TcpStream, greeting: &str) {
    for line in BufReader::new(stream)
        .lines()
        .map_while(std::io::Result::ok)
    {
        let answer = format!("{greeting}\n");
        if line == "connect" && stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn pool(address: SocketAddr) -> Rc<MemberPool> {
    let member = Member {
        name: "i-1".into(),
        group: "ledger".into(),
        address,
        zone: Zone::from("a"),
        slots: 1,
        is_draining: false,
        role: Role::Replica,
        born: 1,
    };
    Rc::new(MemberPool::new(CODEC, Rc::new(member)))
}

/// Opens a connection and returns it to the pool, or returns the error.
async fn open(pool: &Rc<MemberPool>) -> Result<()> {
    let until = now() + Duration::from_secs(5);
    let state = SessionState::default();
    let organisation = "airline".into();
    let acquired = pool.acquire(&organisation, &state, until, until);
    acquired.await?.return_to_pool();
    Ok(())
}

/// Guards against clients that are told that their key or message is at fault because of
/// what a member answers to a host.
#[test]
fn refused_connections_blame_no_client() {
    let cases = [
        ("busy", ErrorKind::QueueFull),
        ("full", ErrorKind::QueueFull),
        ("wrong", ErrorKind::ConnectionLost),
        ("unknown", ErrorKind::ConnectionLost),
        ("row", ErrorKind::ConnectionLost),
        ("large", ErrorKind::ConnectionLost),
        ("garbage", ErrorKind::ConnectionLost),
    ];
    for (greeting, expected) in cases {
        let pool = pool(serve(greeting));
        let outcome = block_on(open(&pool));
        let kind = outcome.map_err(|report| *report.current_context());
        assert_eq!(kind, Err(expected), "{greeting}");
    }
}

/// Guards against a replica that is taken as a proof over a connection which it accepted
/// after a restart: only one that was open at the moment of an earlier proof shows that
/// the replica has not restarted since.
#[test]
fn connection_opened_after_a_proof_does_not_support_it() {
    let pool = pool(serve("ready"));
    block_on(async {
        let before = now();
        sleep(Duration::from_millis(20)).await;
        open(&pool).await.expect("the member answers");
        assert!(pool.take_open_since(before).is_none());
        let after = now();
        let connection = pool.take_open_since(after);
        let connection = connection.expect("the connection was open");
        assert!(pool.take_open_since(now()).is_none(), "it is in use");
        connection.return_to_pool();
        assert!(pool.take_open_since(after).is_some());
    });
}
