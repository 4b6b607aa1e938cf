//! Relay in front of a listener, whose traffic can be cut without either end noticing.

use std::io;
use std::net::SocketAddr;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Bytes copied at once.
const PIECE_BYTES: usize = 16 * 1024;

/// Relay of TCP connections.
#[derive(Debug)]
pub struct TcpRelay {
    address: SocketAddr,
    cut: watch::Sender<bool>,
    _tasks: JoinSet<()>,
}

impl TcpRelay {
    /// Starts a relay on a free port in front of `target`.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((target.ip(), 0)).await?;
        let address = listener.local_addr()?;
        let cut = watch::Sender::new(false);
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, target, cut.subscribe()));
        Ok(Self { address, cut, _tasks: tasks })
    }

    /// Returns the address on which the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts or mends the relay; while it is cut, bytes stay on the way.
    pub fn set_blocked(&self, cut: bool) {
        self.cut.send_replace(cut);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, cut: watch::Receiver<bool>) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let cut = cut.clone();
        connections.spawn(async move {
            let _ = carry(stream, target, cut).await;
        });
        while connections.try_join_next().is_some() {}
    }
}

async fn carry(
    caller: TcpStream,
    target: SocketAddr,
    mut cut: watch::Receiver<bool>,
) -> io::Result<()> {
    let _ = cut.wait_for(|cut| !cut).await;
    let server = TcpStream::connect(target).await?;
    caller.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (caller_read, caller_write) = caller.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::select! {
        copied = copy(caller_read, server_write, cut.clone()) => copied,
        copied = copy(server_read, caller_write, cut) => copied,
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut cut: watch::Receiver<bool>,
) -> io::Result<()> {
    let mut piece = vec![0; PIECE_BYTES];
    loop {
        let read = from.read(&mut piece).await?;
        let _ = cut.wait_for(|cut| !cut).await;
        if read == 0 {
            return Ok(());
        }
        to.write_all(&piece[..read]).await?;
    }
}
