//! Connection to an endpoint: sends statements in one write and reads their answers in order.

use std::net::SocketAddr;
use std::time::Duration;

use coord::dialogue::BlockState;
use snafu::Snafu;
use state::position::LogPosition;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::interface::{AnswerLine, RefusalCode, WireCodec};
use crate::lines::LineBuffer;
use crate::message::StatementAnswer;

/// Time in which a TCP connection to an endpoint must open.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time in which a connection and a session on it must open; the opening waits for a slot.
pub const OPEN_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Failure of a connection to an endpoint.
#[derive(Debug, Snafu)]
pub enum MemberError {
    /// The connection did not open in time.
    #[snafu(display("no connection in time"))]
    ConnectTimeout,
    /// The connection failed.
    #[snafu(display("connection failed: {source}"))]
    Io {
        /// Cause reported by the operating system.
        source: std::io::Error,
    },
    /// The endpoint ended the connection.
    #[snafu(display("connection closed by the endpoint"))]
    Closed,
    /// The endpoint refused the session.
    #[snafu(display("session refused: {code:?}"))]
    Refused {
        /// Stated reason.
        code: RefusalCode,
    },
    /// The answer does not fit the protocol.
    #[snafu(display("answer cannot be understood"))]
    Unreadable,
}

/// Open connection to an endpoint, on behalf of one team for good.
#[derive(Debug)]
pub struct MemberConnection {
    stream: TcpStream,
    input: LineBuffer,
    /// Session values and names that it has; zero for none.
    pub setup: u64,
}

impl MemberConnection {
    /// Opens a connection and a session on it within `limit`.
    pub async fn open<C: WireCodec>(
        address: SocketAddr,
        startup: &[u8],
        limit: Duration,
    ) -> Result<Self, MemberError> {
        let opening = Self::open_unbounded::<C>(address, startup);
        timeout(limit, opening).await.unwrap_or_else(|_| ConnectTimeoutSnafu.fail())
    }

    async fn open_unbounded<C: WireCodec>(
        address: SocketAddr,
        startup: &[u8],
    ) -> Result<Self, MemberError> {
        let opened = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = match opened {
            Err(_) => return ConnectTimeoutSnafu.fail(),
            Ok(Err(source)) => return Err(MemberError::Io { source }),
            Ok(Ok(stream)) => stream,
        };
        stream.set_nodelay(true).map_err(|source| MemberError::Io { source })?;
        let mut connection = Self { stream, input: LineBuffer::default(), setup: 0 };
        connection.send(startup).await?;
        connection.read_startup::<C>().await?;
        Ok(connection)
    }

    /// Tells whether the other side has ended the connection or sent what nobody asked for.
    pub fn is_spoilt(&self) -> bool {
        let mut byte = [0; 1];
        !matches!(
            self.stream.try_read(&mut byte),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock
        )
    }

    /// Sends bytes.
    pub async fn send(&mut self, bytes: &[u8]) -> Result<(), MemberError> {
        self.stream.write_all(bytes).await.map_err(|source| MemberError::Io { source })
    }

    /// Reads the answer to one statement.
    pub async fn read_answer<C: WireCodec>(&mut self) -> Result<StatementAnswer, MemberError> {
        let mut content = Vec::new();
        let mut error = None;
        let mut completed = false;
        loop {
            let Some(length) = self.input.line_length() else {
                self.fill().await?;
                continue;
            };
            match C::decode_answer(self.input.line(length)) {
                AnswerLine::Content { completes } => completed |= completes,
                AnswerLine::Error(code) => error = Some(code),
                AnswerLine::Ready { state, position } => {
                    self.input.drop_line(length);
                    if !completed && error.is_none() {
                        return UnreadableSnafu.fail();
                    }
                    return Ok(StatementAnswer { content, error, state, position });
                }
                AnswerLine::Malformed => return UnreadableSnafu.fail(),
            }
            self.input.copy_line(length, &mut content);
            self.input.drop_line(length);
        }
    }

    async fn read_startup<C: WireCodec>(
        &mut self,
    ) -> Result<(BlockState, Option<LogPosition>), MemberError> {
        loop {
            let Some(length) = self.input.line_length() else {
                self.fill().await?;
                continue;
            };
            let line = C::decode_answer(self.input.line(length));
            self.input.drop_line(length);
            return match line {
                AnswerLine::Ready { state, position } => Ok((state, position)),
                AnswerLine::Error(code) => RefusedSnafu { code }.fail(),
                _ => UnreadableSnafu.fail(),
            };
        }
    }

    async fn fill(&mut self) -> Result<(), MemberError> {
        match self.input.fill(&mut self.stream).await {
            Ok(0) => ClosedSnafu.fail(),
            Ok(_) => Ok(()),
            Err(source) => Err(MemberError::Io { source }),
        }
    }
}
