//! Connections to members of a database group.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use pgwire::messages::startup::{Authentication, Password, SecretKey, Startup};
use pgwire::messages::{DecodeContext, Message as _, PgWireBackendMessage};
use snafu::{OptionExt as _, ResultExt as _, Snafu};
use state::position::{MemberPosition, MemberStatus};
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::time::timeout;
use wire::backend::{self, TransactionState};
use wire::frame::{FrameHeader, RawFrame};
use wire::frontend;
use wire::group::{GroupCommand, NOT_PRIMARY, POSITION_PARAMETER};

use crate::socket::{FramedSocket, SocketError};

/// Maximum size of a frame from a member, in bytes.
const MAX_FRAME_BYTES: usize = 1 << 30;
/// Prefix of the application name, by which a member learns the instance's availability zone.
const APPLICATION_NAME_PREFIX: &str = "hibiscus/";

/// Statement that resets the session of a connection.
const RESET_STATEMENT: &str = "DISCARD ALL";

/// Error on a connection to a member.
#[derive(Debug, Snafu)]
pub enum MemberError {
    /// The TCP connection could not be opened.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Connect {
        /// Address of the member.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The member did not respond in time.
    #[snafu(display("no response within {} ms", limit.as_millis()))]
    Timeout {
        /// Timeout of the operation.
        limit: Duration,
    },
    /// The member did not respond before the deadline of the request.
    #[snafu(display("no response before the deadline of the request"))]
    DeadlinePassed,
    /// The connection failed after it was opened.
    #[snafu(display("{source}"), context(false))]
    Socket {
        /// Error of the socket.
        source: SocketError,
    },
    /// The member returned an error response.
    #[snafu(display("error response {sqlstate}: {message}"))]
    ErrorResponse {
        /// SQLSTATE of the error.
        sqlstate: String,
        /// Message of the error.
        message: String,
    },
    /// The member violated the protocol, or a message to it cannot be encoded.
    #[snafu(display("protocol violation: expected {expected}"))]
    Protocol {
        /// Message or value that was expected.
        expected: &'static str,
    },
}

impl MemberError {
    /// Returns whether the member refused a statement because it is not the primary.
    pub fn is_not_primary(&self) -> bool {
        matches!(self, Self::ErrorResponse { sqlstate, .. } if sqlstate == NOT_PRIMARY)
    }
}

/// Address, credentials and timeout of connections to a member.
#[derive(Clone, Debug)]
pub struct MemberTarget {
    /// Address of the member.
    pub address: SocketAddr,
    /// Database name.
    pub database: String,
    /// User name.
    pub user: String,
    /// Password, sent only if the member requests it.
    pub password: String,
    /// Availability zone of this instance.
    pub zone: String,
    /// Timeout of opening a connection, authentication included.
    pub connect_timeout: Duration,
}

/// Open connection to a member with its tracked session state.
#[derive(Debug)]
pub struct MemberConnection {
    socket: FramedSocket,
    address: SocketAddr,
    process_id: i32,
    secret_key: Option<SecretKey>,
    position: Option<MemberPosition>,
    transaction_state: TransactionState,
    last_active_at: Instant,
    /// Identifiers of the prepared statements that exist on this connection.
    pub prepared_statements: HashSet<u64>,
    /// The session may have state that a caller left.
    has_session_state: bool,
}

impl MemberConnection {
    /// Opens a connection, authenticates and waits until the member is ready for queries.
    pub async fn open(target: &MemberTarget) -> Result<Self, MemberError> {
        let limit = target.connect_timeout;
        let open = timeout(limit, Self::open_without_timeout(target)).await;
        open.ok().context(TimeoutSnafu { limit })?
    }

    async fn open_without_timeout(target: &MemberTarget) -> Result<Self, MemberError> {
        let address = target.address;
        let stream = TcpStream::connect(address).await.context(ConnectSnafu { address })?;
        let mut connection = Self {
            socket: FramedSocket::new(stream, MAX_FRAME_BYTES),
            address,
            process_id: 0,
            secret_key: None,
            position: None,
            transaction_state: TransactionState::Idle,
            last_active_at: Instant::now(),
            prepared_statements: HashSet::new(),
            has_session_state: false,
        };
        connection.complete_startup(target).await?;
        Ok(connection)
    }

    async fn complete_startup(&mut self, target: &MemberTarget) -> Result<(), MemberError> {
        let mut startup = Startup::new();
        for (name, value) in [
            ("user", target.user.clone()),
            ("database", target.database.clone()),
            ("application_name", format!("{APPLICATION_NAME_PREFIX}{}", target.zone)),
        ] {
            startup.parameters.insert(name.to_owned(), value);
        }
        let mut output = BytesMut::new();
        startup
            .encode(&mut output)
            .ok()
            .context(ProtocolSnafu { expected: "encodable startup parameters" })?;
        self.socket.write(&output).await?;
        let context = DecodeContext::default();
        loop {
            let frame = self.next_frame().await?;
            match frame.tag {
                backend::READY_FOR_QUERY => {
                    // The member has reported the parameters of a new session.
                    self.has_session_state = false;
                    return Ok(());
                }
                backend::ERROR_RESPONSE => return Err(error_response(frame.body())),
                backend::PARAMETER_STATUS | backend::NOTICE_RESPONSE => continue,
                _ => {}
            }
            let message = backend::decode(frame, &context);
            match message.context(ProtocolSnafu { expected: "a startup response" })? {
                PgWireBackendMessage::Authentication(Authentication::Ok) => {}
                PgWireBackendMessage::Authentication(Authentication::CleartextPassword) => {
                    self.send_password(&target.password).await?;
                }
                PgWireBackendMessage::Authentication(_) => {
                    return ProtocolSnafu { expected: "no or cleartext authentication" }.fail();
                }
                PgWireBackendMessage::BackendKeyData(key) => {
                    self.process_id = key.pid;
                    self.secret_key = Some(key.secret_key);
                }
                _ => {}
            }
        }
    }

    async fn send_password(&mut self, password: &str) -> Result<(), MemberError> {
        let mut output = BytesMut::new();
        let message = Password::new(password.to_owned());
        message
            .encode(&mut output)
            .ok()
            .context(ProtocolSnafu { expected: "an encodable password" })?;
        Ok(self.socket.write(&output).await?)
    }

    /// Writes encoded messages to the connection; responses are received meanwhile.
    pub async fn send(&mut self, bytes: &[u8]) -> Result<(), MemberError> {
        Ok(self.socket.write_while_reading(bytes).await?)
    }

    /// Reads the next frame and records the position or transaction state that it reports.
    pub async fn next_frame(&mut self) -> Result<RawFrame, MemberError> {
        loop {
            if let Some(frame) = self.take_frame()? {
                return Ok(frame);
            }
            self.socket.fill().await?;
        }
    }

    /// Splits off the next frame and records the position or transaction state that it reports.
    ///
    /// Returns `None` if the frame is incomplete.
    pub fn take_frame(&mut self) -> Result<Option<RawFrame>, MemberError> {
        let Some(frame) = self.socket.take_frame()? else {
            return Ok(None);
        };
        match frame.tag {
            backend::PARAMETER_STATUS => self.record_parameter(frame.body()),
            backend::READY_FOR_QUERY => {
                let state = backend::read_transaction_state(frame.body());
                self.transaction_state =
                    state.context(ProtocolSnafu { expected: "a transaction state" })?;
                self.last_active_at = Instant::now();
            }
            _ => {}
        }
        Ok(Some(frame))
    }

    /// Returns the header of the next frame, whose body may be incomplete.
    pub fn peek_header(&self) -> Result<Option<FrameHeader>, MemberError> {
        Ok(self.socket.peek_header()?)
    }

    /// Returns the buffer of bytes that are read but not consumed.
    pub fn input(&mut self) -> &mut BytesMut {
        self.socket.input()
    }

    /// Waits for input and appends at least one byte to the buffer.
    pub async fn fill(&mut self) -> Result<(), MemberError> {
        Ok(self.socket.fill().await?)
    }

    fn record_parameter(&mut self, body: &[u8]) {
        match backend::read_parameter_status(body) {
            Some((POSITION_PARAMETER, value)) => {
                self.position = value.parse().ok().or(self.position);
            }
            // A parameter of the session has changed, whatever statement has changed it.
            _ => self.has_session_state = true,
        }
    }

    /// Records that what is sent next may leave state in the session.
    pub fn expect_session_state(&mut self) {
        self.has_session_state = true;
    }

    /// Returns whether the session may have state that a caller left.
    pub fn has_session_state(&self) -> bool {
        self.has_session_state
    }

    /// Resets the session, which forgets its prepared statements, too.
    pub async fn reset_session(&mut self, limit: Duration) -> Result<(), MemberError> {
        let mut output = BytesMut::new();
        frontend::put_query(&mut output, RESET_STATEMENT);
        self.send(&output).await?;
        let reset = timeout(limit, self.read_reset_response()).await;
        reset.ok().context(TimeoutSnafu { limit })??;
        self.prepared_statements.clear();
        self.has_session_state = false;
        Ok(())
    }

    async fn read_reset_response(&mut self) -> Result<(), MemberError> {
        let mut response = Ok(());
        loop {
            let frame = self.next_frame().await?;
            match frame.tag {
                backend::ERROR_RESPONSE => response = Err(error_response(frame.body())),
                backend::READY_FOR_QUERY => return response,
                _ => {}
            }
        }
    }

    /// Returns the last position that the member reported on this connection.
    pub fn position(&self) -> Option<MemberPosition> {
        self.position
    }

    /// Returns the last transaction state that the member reported.
    pub fn transaction_state(&self) -> TransactionState {
        self.transaction_state
    }

    /// Returns the time at which the member was last ready for a query.
    pub fn last_active_at(&self) -> Instant {
        self.last_active_at
    }

    /// Runs a group command and returns the first column of its row.
    pub async fn command(
        &mut self,
        command: &GroupCommand,
        limit: Duration,
    ) -> Result<String, MemberError> {
        let mut output = BytesMut::new();
        frontend::put_query(&mut output, &command.to_string());
        self.send(&output).await?;
        let response = timeout(limit, self.read_command_response()).await;
        response.ok().context(TimeoutSnafu { limit })?
    }

    /// Queries the member's status.
    pub async fn status(&mut self, limit: Duration) -> Result<MemberStatus, MemberError> {
        let text = self.command(&GroupCommand::Status, limit).await?;
        text.parse().ok().context(ProtocolSnafu { expected: "a status" })
    }

    /// Reads the response to a group command that is already sent.
    pub async fn read_command_response(&mut self) -> Result<String, MemberError> {
        let mut response = Err(MemberError::Protocol { expected: "a data row" });
        loop {
            let frame = self.next_frame().await?;
            match frame.tag {
                backend::DATA_ROW => {
                    let column = backend::read_data_row(frame.body()).into_iter().next().flatten();
                    response = column.context(ProtocolSnafu { expected: "a text column" });
                }
                backend::ERROR_RESPONSE => response = Err(error_response(frame.body())),
                backend::READY_FOR_QUERY => return response,
                _ => {}
            }
        }
    }

    /// Returns a handle that can cancel the running statement, if the member sent a cancel key.
    pub fn cancel_handle(&self) -> Option<CancelHandle> {
        let secret_key = self.secret_key.clone()?;
        Some(CancelHandle { address: self.address, process_id: self.process_id, secret_key })
    }
}

/// Handle that cancels the statement running on a connection.
#[derive(Clone, Debug)]
pub struct CancelHandle {
    address: SocketAddr,
    process_id: i32,
    secret_key: SecretKey,
}

impl CancelHandle {
    /// Sends a cancel request on a separate connection.
    pub async fn send(&self) -> std::io::Result<()> {
        use pgwire::messages::cancel::CancelRequest;
        let mut output = BytesMut::new();
        let request = CancelRequest::new(self.process_id, self.secret_key.clone());
        request.encode(&mut output).map_err(std::io::Error::other)?;
        let mut stream = TcpStream::connect(self.address).await?;
        stream.write_all(&output).await?;
        stream.shutdown().await
    }
}

fn error_response(body: &[u8]) -> MemberError {
    let field = |code| backend::read_error_field(body, code).unwrap_or_default().to_owned();
    MemberError::ErrorResponse { sqlstate: field(b'C'), message: field(b'M') }
}
