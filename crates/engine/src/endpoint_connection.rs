//! Connection to an endpoint: statements are pipelined and their answers read in order.

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use coord::connection_setup::ConnectionSetup;
use coord::session::TransactionState;
use snafu::Snafu;
use state::position::LogPosition;
use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::frame::MAX_ANSWER_BYTES;
use crate::interface::{AnswerLine, RefusalCode, WireCodec};
use crate::line_buffer::LineBuffer;
use crate::message::StatementAnswer;

/// Bounds the opening of a TCP connection to an endpoint.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Bounds the opening of a connection and of the session on it, which waits for a slot of the
/// endpoint.
pub const OPEN_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Failure of a connection to an endpoint.
#[derive(Debug, Snafu)]
pub enum EndpointError {
    /// The connection or its session did not open in time.
    #[snafu(display("connection timed out"))]
    ConnectTimeout,
    /// The connection failed.
    #[snafu(display("connection failed: {source}"))]
    Io {
        /// Cause reported by the operating system.
        source: std::io::Error,
    },
    /// The endpoint closed the connection.
    #[snafu(display("connection closed by the endpoint"))]
    Closed,
    /// The endpoint refused the session.
    #[snafu(display("session refused: {code:?}"))]
    SessionRefused {
        /// Reason stated by the endpoint.
        code: RefusalCode,
    },
    /// The answer violates the protocol.
    #[snafu(display("malformed answer"))]
    MalformedAnswer,
}

/// Statement whose answer is read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerKind {
    /// Statement of a caller, which reads, writes or commits data.
    Data,
    /// Statement of the engine or of a session's setup.
    Control,
}

/// Session that is opened on a connection.
#[derive(Clone, Copy, Debug)]
pub struct EndpointSession<'a> {
    /// Service of the endpoint.
    pub service: &'a str,
    /// Team on whose behalf statements run.
    pub team: &'a str,
    /// Name of the endpoint.
    pub endpoint: &'a str,
}

/// Open connection to an endpoint. It serves one team for its whole life.
#[derive(Debug)]
pub struct EndpointConnection {
    stream: TcpStream,
    /// Team of the session, as the endpoint knows it.
    team: Box<str>,
    input: LineBuffer,
    /// Session values and prepared statements that the connection has.
    pub setup: ConnectionSetup,
    /// The connection has not carried a call yet.
    pub is_new: bool,
}

impl EndpointConnection {
    /// Opens a connection and a session on it within `open_timeout`, and sends `first_bytes`.
    pub async fn open<C: WireCodec>(
        address: SocketAddr,
        session: EndpointSession<'_>,
        first_bytes: &[u8],
        open_timeout: Duration,
    ) -> Result<Self, EndpointError> {
        let opening = Self::connect::<C>(address, session, first_bytes);
        timeout(open_timeout, opening).await.unwrap_or_else(|_| ConnectTimeoutSnafu.fail())
    }

    async fn connect<C: WireCodec>(
        address: SocketAddr,
        session: EndpointSession<'_>,
        first_bytes: &[u8],
    ) -> Result<Self, EndpointError> {
        let opened = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = match opened {
            Err(_) => return ConnectTimeoutSnafu.fail(),
            Ok(Err(source)) => return Err(EndpointError::Io { source }),
            Ok(Ok(stream)) => stream,
        };
        stream.set_nodelay(true).map_err(|source| EndpointError::Io { source })?;
        let mut connection = Self {
            stream,
            team: session.team.into(),
            input: LineBuffer::default(),
            setup: ConnectionSetup::default(),
            is_new: true,
        };
        let mut startup = Vec::new();
        C::encode_startup(&mut startup, session.service, session.team, session.endpoint);
        startup.extend_from_slice(first_bytes);
        connection.send(&startup).await?;
        connection.read_startup::<C>().await?;
        Ok(connection)
    }

    /// Returns the team of the session.
    pub fn team(&self) -> &str {
        &self.team
    }

    /// Returns whether the endpoint closed the connection or sent unexpected data.
    pub fn is_broken(&self) -> bool {
        let mut byte = [0; 1];
        !matches!(
            self.stream.try_read(&mut byte),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock
        )
    }

    /// Sends encoded statements.
    ///
    /// Answers are received meanwhile: an endpoint whose answers are not taken reads no further
    /// statements.
    pub async fn send(&mut self, bytes: &[u8]) -> Result<(), EndpointError> {
        let io_error = |source| EndpointError::Io { source };
        let (mut reader, mut writer) = self.stream.split();
        let mut writing = pin!(writer.write_all(bytes));
        loop {
            tokio::select! {
                biased;
                written = &mut writing => return written.map_err(io_error),
                read = self.input.fill(&mut reader) => {
                    if read.map_err(io_error)? == 0 {
                        return ClosedSnafu.fail();
                    }
                }
            }
        }
    }

    /// Reads the answer to one statement.
    ///
    /// An acknowledgement does not answer a statement about data: it belongs to another one.
    pub async fn read_answer<C: WireCodec>(
        &mut self,
        kind: AnswerKind,
    ) -> Result<StatementAnswer, EndpointError> {
        let mut content = Vec::new();
        let mut error = None;
        let mut completed = false;
        let mut answer_bytes = 0;
        loop {
            let Some(length) = self.input.line_length() else {
                self.fill().await?;
                continue;
            };
            match C::decode_answer(self.input.line(length)) {
                AnswerLine::Content { completes } => completed |= completes,
                AnswerLine::Acknowledgement if kind == AnswerKind::Control => completed = true,
                AnswerLine::Error(code) => error = Some(code),
                AnswerLine::Ready { state, position } => {
                    self.input.consume_line(length);
                    if !completed && error.is_none() {
                        return MalformedAnswerSnafu.fail();
                    }
                    if answer_bytes > MAX_ANSWER_BYTES {
                        log_event!(
                            LogEvent::AnswerTooLong,
                            "team={} bytes={answer_bytes}",
                            self.team
                        );
                        let code = RefusalCode::AnswerTooLong;
                        let explanation = format!("the answer exceeds {MAX_ANSWER_BYTES} bytes");
                        C::encode_error(&mut content, code, &explanation);
                        error = Some(code);
                    }
                    return Ok(StatementAnswer { content, error, state, position });
                }
                AnswerLine::Acknowledgement | AnswerLine::Malformed => {
                    return MalformedAnswerSnafu.fail();
                }
            }
            answer_bytes += length;
            if answer_bytes > MAX_ANSWER_BYTES {
                content = Vec::new();
            } else {
                self.input.copy_line(length, &mut content);
            }
            self.input.consume_line(length);
        }
    }

    /// Reads the answer to the startup request.
    async fn read_startup<C: WireCodec>(
        &mut self,
    ) -> Result<(TransactionState, Option<LogPosition>), EndpointError> {
        loop {
            let Some(length) = self.input.line_length() else {
                self.fill().await?;
                continue;
            };
            let line = C::decode_answer(self.input.line(length));
            self.input.consume_line(length);
            return match line {
                AnswerLine::Ready { state, position } => Ok((state, position)),
                AnswerLine::Error(code) => SessionRefusedSnafu { code }.fail(),
                _ => MalformedAnswerSnafu.fail(),
            };
        }
    }

    async fn fill(&mut self) -> Result<(), EndpointError> {
        match self.input.fill(&mut self.stream).await {
            Ok(0) => ClosedSnafu.fail(),
            Ok(_) => Ok(()),
            Err(source) => Err(EndpointError::Io { source }),
        }
    }
}
