//! TCP relay that can withhold or slow down traffic while both connections stay open.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Size of the copy buffer of each direction.
const BUFFER_BYTES: usize = 16 * 1024;

/// Settings of a relay as its connections see them.
#[derive(Clone, Debug)]
struct RelayControl {
    blocked: watch::Receiver<bool>,
    bytes_per_s: watch::Receiver<Option<u32>>,
}

/// Relay in front of a TCP listener; dropping it closes all its connections.
#[derive(Debug)]
pub struct TcpRelay {
    address: SocketAddr,
    blocked: watch::Sender<bool>,
    bytes_per_s: watch::Sender<Option<u32>>,
    _tasks: JoinSet<()>,
}

impl TcpRelay {
    /// Starts a relay on a free port in front of `target`.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((target.ip(), 0)).await?;
        let address = listener.local_addr()?;
        let blocked = watch::Sender::new(false);
        let bytes_per_s = watch::Sender::new(None);
        let control =
            RelayControl { blocked: blocked.subscribe(), bytes_per_s: bytes_per_s.subscribe() };
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, target, control));
        Ok(Self { address, blocked, bytes_per_s, _tasks: tasks })
    }

    /// Limits the rate of each connection in each direction, in bytes a second.
    pub fn set_rate(&self, bytes_per_s: Option<u32>) {
        self.bytes_per_s.send_replace(bytes_per_s);
    }

    /// Returns the address on which the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Blocks or unblocks the relay in both directions.
    ///
    /// While it is blocked, open connections stay open, new ones wait, and neither bytes nor a close
    /// is passed on. Unblocking delivers them.
    pub fn set_blocked(&self, blocked: bool) {
        self.blocked.send_replace(blocked);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, control: RelayControl) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let control = control.clone();
        connections.spawn(async move {
            let _ = relay_connection(stream, target, control).await;
        });
        while connections.try_join_next().is_some() {}
    }
}

async fn relay_connection(
    client: TcpStream,
    target: SocketAddr,
    mut control: RelayControl,
) -> io::Result<()> {
    let _ = control.blocked.wait_for(|blocked| !blocked).await;
    let server = TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::select! {
        copied = copy_bytes(client_read, server_write, control.clone()) => copied,
        copied = copy_bytes(server_read, client_write, control) => copied,
    }
}

async fn copy_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut control: RelayControl,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buffer).await?;
        let _ = control.blocked.wait_for(|blocked| !blocked).await;
        if read == 0 {
            return Ok(());
        }
        let rate = *control.bytes_per_s.borrow();
        if let Some(bytes_per_s) = rate {
            sleep(Duration::from_secs_f64(read as f64 / f64::from(bytes_per_s.max(1)))).await;
        }
        to.write_all(&buffer[..read]).await?;
    }
}
