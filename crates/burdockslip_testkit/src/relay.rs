//! A TCP relay that can close or stall its connections, to simulate network partitions.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use burdockslip_runtime::{Task, sleep, spawn};
use burdockslip_types::{ErrorKind, Result};
use error_stack::ResultExt;
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt, Splitable};
use monoio::net::{TcpListener, TcpStream};

/// The size of the buffer of each direction, in bytes.
const BUFFER_LEN: usize = 16 * 1024;
/// How often a frozen relay checks whether it has been healed.
const FREEZE_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Forwards the connections to one address to another address.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    shared: Rc<Shared>,
    _accept: Task<()>,
}

#[derive(Debug)]
struct Shared {
    target: SocketAddr,
    is_cut: Cell<bool>,
    is_frozen: Cell<bool>,
    connections: RefCell<Vec<Task<()>>>,
}

impl Relay {
    /// Listens on `address` and forwards each connection to `target`.
    ///
    /// # Errors
    ///
    /// Returns `InvalidInput` if the address cannot be bound.
    pub fn bind(address: SocketAddr, target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind(address).change_context(ErrorKind::InvalidInput)?;
        let address = listener
            .local_addr()
            .change_context(ErrorKind::InvalidInput)?;
        let shared = Rc::new(Shared {
            target,
            is_cut: Cell::new(false),
            is_frozen: Cell::new(false),
            connections: RefCell::new(Vec::new()),
        });
        let accept = spawn(accept(listener, Rc::clone(&shared)));
        Ok(Self {
            address,
            shared,
            _accept: accept,
        })
    }

    /// Returns the address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections and refuses new ones until [`Relay::heal`].
    pub fn cut(&self) {
        self.shared.is_cut.set(true);
        self.shared.connections.borrow_mut().clear();
    }

    /// Stalls all connections until [`Relay::heal`] without closing them, as a
    /// partition that drops packets does.
    pub fn freeze(&self) {
        self.shared.is_frozen.set(true);
    }

    /// Forwards bytes and accepts connections again.
    pub fn heal(&self) {
        self.shared.is_cut.set(false);
        self.shared.is_frozen.set(false);
    }
}

async fn accept(listener: TcpListener, shared: Rc<Shared>) {
    while let Ok((client, _)) = listener.accept().await {
        if shared.is_cut.get() {
            continue;
        }
        let inner = Rc::clone(&shared);
        let connection = spawn(async move {
            // An error on either side closes both sides.
            let _ = forward(client, &inner).await;
        });
        let mut connections = shared.connections.borrow_mut();
        connections.push(connection);
    }
}

async fn forward(client: TcpStream, shared: &Rc<Shared>) -> std::io::Result<()> {
    let server = TcpStream::connect(shared.target).await?;
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let up = std::pin::pin!(copy(client_read, server_write, shared));
    let down = std::pin::pin!(copy(server_read, client_write, shared));
    futures::future::select(up, down).await;
    Ok(())
}

async fn copy<R, W>(mut from: R, mut to: W, shared: &Rc<Shared>) -> std::io::Result<()>
where
    R: AsyncReadRent,
    W: AsyncWriteRent,
{
    let mut buffer = vec![0; BUFFER_LEN];
    loop {
        let (result, read_buffer) = from.read(buffer).await;
        if result? == 0 {
            return Ok(());
        }
        while shared.is_frozen.get() {
            sleep(FREEZE_POLL_INTERVAL).await;
        }
        let (result, written) = to.write_all(read_buffer).await;
        result?;
        buffer = written;
        buffer.resize(BUFFER_LEN, 0);
    }
}
