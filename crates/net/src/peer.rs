//! Channels to other instances.

use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tonic::Status;
use tonic::transport::{Channel, Endpoint};
use wire::peer::peer_client::PeerClient;

/// Time that opening a channel may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time that a call may take.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Client of another instance.
pub type PeerHandle = PeerClient<Channel>;

/// Creates a channel that connects when it is first used and again after it breaks.
pub fn connect_lazy(address: SocketAddr) -> PeerHandle {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .expect("an address makes a valid URI")
        .connect_timeout(CONNECT_TIMEOUT)
        .timeout(CALL_TIMEOUT)
        .tcp_nodelay(true);
    PeerClient::new(endpoint.connect_lazy())
}

/// Tells whether a call failed because no process listens at the address.
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
