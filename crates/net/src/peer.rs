//! gRPC channels to other instances.

use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tonic::Status;
use tonic::transport::{Channel, Endpoint};
use wire::peer::peer_client::PeerClient;

/// Timeout of connecting to an instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a call to an instance.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// gRPC client of another instance.
pub type PeerHandle = PeerClient<Channel>;

/// Creates a client that connects on first use and reconnects after a failure.
pub fn connect_lazy(address: SocketAddr) -> PeerHandle {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .expect("a socket address is a valid URI authority")
        .connect_timeout(CONNECT_TIMEOUT)
        .timeout(CALL_TIMEOUT)
        .tcp_nodelay(true);
    PeerClient::new(endpoint.connect_lazy())
}

/// Returns whether a call failed because the connection was refused: no process listens there.
pub fn is_connection_refused(status: &Status) -> bool {
    let mut cause = status.source();
    while let Some(error) = cause {
        if let Some(error) = error.downcast_ref::<io::Error>() {
            return error.kind() == io::ErrorKind::ConnectionRefused;
        }
        cause = error.source();
    }
    false
}
