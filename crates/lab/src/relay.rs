//! TCP relay that can withhold traffic while both connections stay open.

use std::io;
use std::net::SocketAddr;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Size of the copy buffer of each direction.
const BUFFER_BYTES: usize = 16 * 1024;

/// Relay in front of a TCP listener; dropping it closes all its connections.
#[derive(Debug)]
pub struct TcpRelay {
    address: SocketAddr,
    blocked: watch::Sender<bool>,
    _tasks: JoinSet<()>,
}

impl TcpRelay {
    /// Starts a relay on a free port in front of `target`.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((target.ip(), 0)).await?;
        let address = listener.local_addr()?;
        let blocked = watch::Sender::new(false);
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, target, blocked.subscribe()));
        Ok(Self { address, blocked, _tasks: tasks })
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

async fn accept(listener: TcpListener, target: SocketAddr, blocked: watch::Receiver<bool>) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let blocked = blocked.clone();
        connections.spawn(async move {
            let _ = relay_connection(stream, target, blocked).await;
        });
        while connections.try_join_next().is_some() {}
    }
}

async fn relay_connection(
    client: TcpStream,
    target: SocketAddr,
    mut blocked: watch::Receiver<bool>,
) -> io::Result<()> {
    let _ = blocked.wait_for(|blocked| !blocked).await;
    let server = TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::select! {
        copied = copy_bytes(client_read, server_write, blocked.clone()) => copied,
        copied = copy_bytes(server_read, client_write, blocked) => copied,
    }
}

async fn copy_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut blocked: watch::Receiver<bool>,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buffer).await?;
        let _ = blocked.wait_for(|blocked| !blocked).await;
        if read == 0 {
            return Ok(());
        }
        to.write_all(&buffer[..read]).await?;
    }
}
