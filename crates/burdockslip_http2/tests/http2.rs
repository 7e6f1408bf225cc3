//! Tests of messages, limits and closing over loopback sockets.

use std::net::SocketAddr;
use std::time::Duration;

use burdockslip_http2::{Client, Options, Receiver, Sender, Server, Status};
use burdockslip_runtime::{block_on, sleep, spawn, timeout};
use burdockslip_types::ErrorKind;
use bytes::Bytes;
use futures::FutureExt;

const ANY: &str = "127.0.0.1:0";

/// The time after which a test counts as hanging; it is no measure of speed.
const LIMIT: Duration = Duration::from_secs(20);

fn any() -> SocketAddr {
    ANY.parse().expect("the address is valid")
}

async fn answer(path: String, mut receiver: Receiver, mut sender: Sender) {
    if path == "/fail" {
        let _ = sender.fail(&Status::new(5, "not found"));
        return;
    }
    if path == "/slow" {
        sleep(Duration::from_millis(200)).await;
    }
    while let Ok(Some(message)) = receiver.next().await {
        if sender.send(message).await.is_err() {
            return;
        }
    }
    let _ = sender.close();
}

fn bind(address: SocketAddr) -> Server {
    let options = Options {
        message_limit: 2 << 20,
        ..Options::default()
    };
    Server::with_options(address, options, |path, receiver, sender| {
        answer(path, receiver, sender).boxed_local()
    })
    .expect("loopback has a free port")
}

fn run(test: impl Future<Output = ()>) {
    block_on(async { timeout(LIMIT, test).await.expect("the test must not hang") });
}

/// Guards against flow-control windows that are never released: the messages
/// together exceed the windows of the stream and of the connection.
#[test]
fn large_messages_pass_in_both_directions() {
    run(async {
        let server = bind(any());
        let client = Client::connect(server.address());
        let (mut sender, mut receiver) = client
            .stream("/echo", Bytes::from_static(b"first"))
            .await
            .expect("the server listens");
        let sending = spawn(async move {
            for fill in 0..40 {
                let message = Bytes::from(vec![fill; 1 << 20]);
                sender.send(message).await.expect("the stream is open");
            }
            sender.close().expect("the stream is open");
        });
        let first = receiver.next().await.expect("the stream is open");
        assert_eq!(first.as_deref(), Some(&b"first"[..]));
        for fill in 0..40 {
            let message = receiver.next().await.expect("the stream is open");
            assert_eq!(message, Some(Bytes::from(vec![fill; 1 << 20])));
        }
        assert_eq!(receiver.next().await.expect("closed in order"), None);
        sending.await.expect("all messages were sent");
    });
}

/// Guards against buffering a message above the limit, and against reporting
/// an error of the server as success.
#[test]
fn errors_are_returned_to_the_caller() {
    run(async {
        let server = bind(any());
        let client = Client::connect(server.address());
        let large = Bytes::from(vec![0; 3 << 20]);
        assert!(client.call("/echo", large).await.is_err());
        let error = client
            .call("/fail", Bytes::new())
            .await
            .expect_err("it fails");
        assert_eq!(*error.current_context(), ErrorKind::Protocol);
        assert_eq!(
            error.downcast_ref::<Status>(),
            Some(&Status::new(5, "not found"))
        );
    });
}

/// Guards against a graceful shutdown that interrupts a request in flight, and
/// against a client that does not reconnect when the server is back.
#[test]
fn close_finishes_streams_and_client_reconnects() {
    run(async {
        let server = bind(any());
        let address = server.address();
        let client = Client::connect(address);
        let other = client.clone();
        let slow = spawn(async move { other.call("/slow", Bytes::from_static(b"x")).await });
        sleep(Duration::from_millis(50)).await;
        server.close().await;
        let reply = slow.await.expect("the task runs");
        assert_eq!(reply.expect("in-flight calls finish"), "x");
        let refused = client.call("/echo", Bytes::new()).await;
        assert!(refused.is_err(), "a closed server accepts nothing");
        let _server = bind(address);
        let reply = client.call("/echo", Bytes::from_static(b"y")).await;
        assert_eq!(reply.expect("the client connects again"), "y");
    });
}

/// Guards against a killed server that keeps serving old connections.
#[test]
fn dropped_server_breaks_its_streams() {
    run(async {
        let server = bind(any());
        let client = Client::connect(server.address());
        let (_sender, mut receiver) = client
            .stream("/echo", Bytes::from_static(b"x"))
            .await
            .expect("the server listens");
        assert!(receiver.next().await.is_ok());
        drop(server);
        assert!(receiver.next().await.is_err());
    });
}
