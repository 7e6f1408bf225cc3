//! Tests how a connection waits for bytes.

use std::net::SocketAddr;

use burdockslip_runtime::block_on;
use burdockslip_wire::{Connection, query};
use futures::FutureExt;
use monoio::net::{TcpListener, TcpStream};

/// Longest message, in bytes.
const LIMIT: usize = 1 << 20;

async fn pair() -> (Connection, Connection) {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("binds");
    let address = listener.local_addr().expect("is bound");
    let (near, far) = futures::join!(TcpStream::connect(address), listener.accept());
    let (far, _) = far.expect("accepts");
    (
        Connection::new(near.expect("connects"), LIMIT),
        Connection::new(far, LIMIT),
    )
}

/// Guards against waiting on remembered readiness, which made an idle session
/// look as if its client had started a unit: it held a read buffer, and it was
/// closed when the unit did not arrive in time.
#[test]
fn an_emptied_connection_is_not_readable() {
    block_on(async {
        let (mut near, mut far) = pair().await;
        for _ in 0..3 {
            near.write(query("SELECT 1")).await.expect("writes");
            let frame = far.read_frame().await.expect("reads");
            assert_eq!(frame.map(|frame| frame.tag()), Some(b'Q'));
            assert!(far.readable().now_or_never().is_none());
        }
    });
}

/// Guards against a wait that misses the end of the stream.
#[test]
fn the_end_of_the_stream_is_readable() {
    block_on(async {
        let (mut near, mut far) = pair().await;
        near.shutdown().await;
        far.readable().await.expect("is readable");
        assert_eq!(far.read_frame().await.expect("reads"), None);
    });
}
