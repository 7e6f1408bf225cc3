//! Tests when a connection counts as readable.

use std::net::SocketAddr;

use burdockslip_runtime::block_on;
use burdockslip_wire::{Connection, query};
use futures::FutureExt;
use monoio::net::{TcpListener, TcpStream};

/// The maximum size of a message, in bytes.
const LIMIT: usize = 1 << 20;

async fn pair() -> (Connection, Connection) {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("binds");
    let address = listener.local_addr().expect("is bound");
    let (client, server) = futures::join!(TcpStream::connect(address), listener.accept());
    let (server, _) = server.expect("accepts");
    (
        Connection::new(client.expect("connects"), LIMIT),
        Connection::new(server, LIMIT),
    )
}

/// Guards against waiting on the runtime's cached readiness, which made an idle
/// session look as if its client had started a unit: it held a read buffer, and
/// it was closed when the unit did not arrive in time.
#[test]
fn connection_without_unread_bytes_is_not_readable() {
    block_on(async {
        let (mut client, mut server) = pair().await;
        for _ in 0..3 {
            client.write(query("SELECT 1")).await.expect("writes");
            let frame = server.read_frame().await.expect("reads");
            assert_eq!(frame.map(|frame| frame.tag()), Some(b'Q'));
            assert!(server.readable().now_or_never().is_none());
        }
    });
}

/// Guards against a wait that does not end when the peer closes the connection.
#[test]
fn end_of_stream_is_readable() {
    block_on(async {
        let (mut client, mut server) = pair().await;
        client.shutdown().await;
        server.readable().await.expect("is readable");
        assert_eq!(server.read_frame().await.expect("reads"), None);
    });
}
