//! Loopback relay that delays, resets, cuts or silences the connections through it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// Bytes passed on at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// Direction of bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RelayDirection {
    ToTarget,
    FromTarget,
}

/// What happens to bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayMode {
    /// They pass.
    Forward,
    /// They pass late.
    Delay(Duration),
    /// Those towards the target are swallowed.
    DropToTarget,
    /// Those from the target are swallowed.
    DropFromTarget,
    /// All are swallowed, on new connections too.
    DropAll,
}

#[derive(Debug)]
struct RelayState {
    mode: watch::Sender<RelayMode>,
    /// Connections up to this number are silent for good.
    last_blackholed: AtomicU64,
    /// Raised to end all open connections.
    resets: watch::Sender<u32>,
    opened_count: AtomicU64,
    reset_count: AtomicU32,
}

/// Relay in front of one target.
#[derive(Clone, Debug)]
pub struct FaultRelay {
    /// Address that callers of the target use.
    pub address: SocketAddr,
    state: Arc<RelayState>,
}

impl FaultRelay {
    /// Starts a relay to `target`.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Arc::new(RelayState {
            mode: watch::channel(RelayMode::Forward).0,
            last_blackholed: AtomicU64::new(0),
            resets: watch::channel(0).0,
            opened_count: AtomicU64::new(0),
            reset_count: AtomicU32::new(0),
        });
        let shared = state.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(relay_connection(shared.clone(), stream, target));
            }
        });
        Ok(Self { address, state })
    }

    /// Changes what happens to bytes.
    pub fn set_mode(&self, mode: RelayMode) {
        self.state.mode.send_replace(mode);
    }

    /// Ends all open connections.
    pub fn reset_open_connections(&self) {
        let count = self.state.reset_count.fetch_add(1, Ordering::Relaxed) + 1;
        self.state.resets.send_replace(count);
    }

    /// Silences all open connections for good; new ones work.
    pub fn blackhole_open_connections(&self) {
        let opened_count = self.state.opened_count.load(Ordering::Relaxed);
        self.state.last_blackholed.store(opened_count, Ordering::Relaxed);
    }
}

async fn relay_connection(state: Arc<RelayState>, client: TcpStream, target: SocketAddr) {
    let connection_number = state.opened_count.fetch_add(1, Ordering::Relaxed) + 1;
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    // Without the option bytes only come later.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_reader, client_writer) = client.into_split();
    let (server_reader, server_writer) = server.into_split();
    let mut resets = state.resets.subscribe();
    resets.mark_unchanged();
    tokio::select! {
        () = forward(&state, connection_number, RelayDirection::ToTarget, client_reader, server_writer) => {}
        () = forward(&state, connection_number, RelayDirection::FromTarget, server_reader, client_writer) => {}
        _ = resets.changed() => {}
    }
}

async fn forward(
    state: &RelayState,
    connection_number: u64,
    direction: RelayDirection,
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let read = reader.read(&mut chunk).await;
        let mode = *state.mode.borrow();
        let is_dropped = connection_number <= state.last_blackholed.load(Ordering::Relaxed)
            || match mode {
                RelayMode::Forward | RelayMode::Delay(_) => false,
                RelayMode::DropToTarget => direction == RelayDirection::ToTarget,
                RelayMode::DropFromTarget => direction == RelayDirection::FromTarget,
                RelayMode::DropAll => true,
            };
        let read = match read {
            // A cut hides the end of a connection, too.
            Ok(0) | Err(_) if is_dropped => std::future::pending().await,
            Ok(0) | Err(_) => return,
            Ok(read) => read,
        };
        if let RelayMode::Delay(delay) = mode {
            sleep(delay).await;
        }
        if !is_dropped && writer.write_all(&chunk[..read]).await.is_err() {
            return;
        }
    }
}
