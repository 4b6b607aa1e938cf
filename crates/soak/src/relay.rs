//! TCP relay on loopback that delays, drops or resets the traffic of its connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

/// Maximum number of bytes forwarded at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// Direction of traffic through the relay.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RelayDirection {
    ToTarget,
    FromTarget,
}

/// Treatment of the traffic through a relay.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayMode {
    /// Forwards all bytes.
    Forward,
    /// Forwards each chunk after a delay; the next one is read only then, so the delay bounds the rate.
    Delay(Duration),
    /// Delivers each chunk this long after it was sent, whatever is on the way before it.
    Latency(Duration),
    /// Forwards at most this many bytes a second in each direction, over all connections together.
    Limit(u32),
    /// Drops the bytes sent to the target.
    DropToTarget,
    /// Drops the bytes sent by the target.
    DropFromTarget,
    /// Drops all bytes, on new connections too.
    DropAll,
}

#[derive(Debug)]
struct RelayState {
    mode: watch::Sender<RelayMode>,
    /// Connections up to this number are blackholed: all their bytes are dropped.
    last_blackholed: AtomicU64,
    /// Incremented to close all open connections.
    resets: watch::Sender<u32>,
    opened_count: AtomicU64,
    reset_count: AtomicU32,
    /// Times at which the limited link is free again, by direction.
    free_at: Mutex<[Option<Instant>; 2]>,
}

impl RelayState {
    /// Reserves the limited link for a chunk, and returns the time at which it has been sent.
    fn reserve(&self, direction: RelayDirection, length: usize, bytes_per_s: u32) -> Instant {
        let mut free_at = self.free_at.lock();
        let start = free_at[direction as usize].unwrap_or_else(Instant::now).max(Instant::now());
        let end = start + Duration::from_secs_f64(length as f64 / f64::from(bytes_per_s.max(1)));
        free_at[direction as usize] = Some(end);
        end
    }
}

/// Relay in front of one target.
#[derive(Clone, Debug)]
pub struct FaultRelay {
    /// Listen address of the relay, to be used in place of the target's address.
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
            free_at: Mutex::default(),
        });
        let shared = state.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(relay_connection(shared.clone(), stream, target));
            }
        });
        Ok(Self { address, state })
    }

    /// Changes the mode for open and new connections.
    pub fn set_mode(&self, mode: RelayMode) {
        self.state.mode.send_replace(mode);
    }

    /// Closes all open connections.
    pub fn reset_open_connections(&self) {
        let count = self.state.reset_count.fetch_add(1, Ordering::Relaxed) + 1;
        self.state.resets.send_replace(count);
    }

    /// Drops all further bytes on the open connections; new connections are not affected.
    pub fn blackhole_open_connections(&self) {
        let opened_count = self.state.opened_count.load(Ordering::Relaxed);
        self.state.last_blackholed.store(opened_count, Ordering::Relaxed);
    }
}

async fn relay_connection(state: Arc<RelayState>, client: TcpStream, target: SocketAddr) {
    let connection = state.opened_count.fetch_add(1, Ordering::Relaxed) + 1;
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    // A failure only adds latency.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_reader, client_writer) = client.into_split();
    let (server_reader, server_writer) = server.into_split();
    let mut resets = state.resets.subscribe();
    resets.mark_unchanged();
    tokio::select! {
        () = forward(
            &state, connection, RelayDirection::ToTarget, client_reader, server_writer
        ) => {}
        () = forward(
            &state, connection, RelayDirection::FromTarget, server_reader, client_writer
        ) => {}
        _ = resets.changed() => {}
    }
}

async fn forward(
    state: &RelayState,
    connection: u64,
    direction: RelayDirection,
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
) {
    let (in_transit, arriving) = mpsc::unbounded_channel();
    // The chunks on the way still arrive after the sender has closed the connection.
    tokio::join!(
        receive_chunks(state, connection, direction, reader, in_transit),
        deliver_chunks(arriving, writer)
    );
}

/// Reads chunks and sends those that are not dropped on their way, with the time of their arrival.
async fn receive_chunks(
    state: &RelayState,
    connection: u64,
    direction: RelayDirection,
    mut reader: OwnedReadHalf,
    in_transit: UnboundedSender<(Instant, Vec<u8>)>,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let read = tokio::select! {
            read = reader.read(&mut chunk) => read,
            () = in_transit.closed() => return,
        };
        let mode = *state.mode.borrow();
        let is_dropped = connection <= state.last_blackholed.load(Ordering::Relaxed)
            || match mode {
                RelayMode::Forward
                | RelayMode::Delay(_)
                | RelayMode::Latency(_)
                | RelayMode::Limit(_) => false,
                RelayMode::DropToTarget => direction == RelayDirection::ToTarget,
                RelayMode::DropFromTarget => direction == RelayDirection::FromTarget,
                RelayMode::DropAll => true,
            };
        let read = match read {
            // A peer behind a partition does not see the connection close either.
            Ok(0) | Err(_) if is_dropped => std::future::pending().await,
            Ok(0) | Err(_) => return,
            Ok(read) => read,
        };
        let mut arrives_at = Instant::now();
        match mode {
            RelayMode::Delay(delay) => sleep(delay).await,
            RelayMode::Latency(latency) => arrives_at += latency,
            RelayMode::Limit(bytes_per_s) => {
                sleep_until(state.reserve(direction, read, bytes_per_s)).await;
            }
            _ => {}
        }
        if !is_dropped && in_transit.send((arrives_at, chunk[..read].to_vec())).is_err() {
            return;
        }
    }
}

async fn deliver_chunks(
    mut arriving: UnboundedReceiver<(Instant, Vec<u8>)>,
    mut writer: OwnedWriteHalf,
) {
    while let Some((arrives_at, chunk)) = arriving.recv().await {
        sleep_until(arrives_at).await;
        if writer.write_all(&chunk).await.is_err() {
            return;
        }
    }
}
