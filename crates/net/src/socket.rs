//! Socket that reads whole frames and keeps no buffer while it is idle.

use std::io::{self, Read as _};

use bytes::BytesMut;
use snafu::{ResultExt as _, Snafu};
use socket2::SockRef;
use tokio::io::{AsyncWriteExt as _, Interest};
use tokio::net::TcpStream;
use wire::frame::{self, FrameError, FrameHeader, RawFrame};

/// Bytes that one read takes at most.
const MAX_READ_BYTES: usize = 16 * 1024;

/// Errors of a framed socket.
#[derive(Debug, Snafu)]
pub enum SocketError {
    /// The other end closed the connection.
    #[snafu(display("the connection was closed"))]
    Closed,
    /// The socket failed.
    #[snafu(display("the connection failed: {source}"))]
    Io {
        /// Cause reported by the system.
        source: io::Error,
    },
    /// The bytes are no frame.
    #[snafu(display("{source}"), context(false))]
    Malformed {
        /// Cause reported by the framing.
        source: FrameError,
    },
}

/// Connection whose input is split into frames.
#[derive(Debug)]
pub struct FramedSocket {
    stream: TcpStream,
    input: BytesMut,
    max_frame_bytes: usize,
}

impl FramedSocket {
    /// Wraps a stream; frames above `limit` bytes are refused.
    pub fn new(stream: TcpStream, max_frame_bytes: usize) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, input: BytesMut::new(), max_frame_bytes }
    }

    /// Returns the bytes read and not yet taken.
    pub fn input(&mut self) -> &mut BytesMut {
        &mut self.input
    }

    /// Splits off a frame that has been read whole.
    pub fn take_frame(&mut self) -> Result<Option<RawFrame>, SocketError> {
        Ok(frame::split_frame(&mut self.input, self.max_frame_bytes)?)
    }

    /// Returns the header of the next frame, whole or not.
    pub fn peek_header(&self) -> Result<Option<FrameHeader>, SocketError> {
        Ok(frame::peek_header(&self.input, self.max_frame_bytes)?)
    }

    /// Reads at least one byte.
    pub async fn fill(&mut self) -> Result<(), SocketError> {
        if self.input.is_empty() {
            // An idle connection must not hold a buffer.
            self.input = BytesMut::new();
        }
        loop {
            self.stream.readable().await.context(IoSnafu)?;
            match self.read_available() {
                Ok(0) => return ClosedSnafu.fail(),
                Ok(_) => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(source) => return Err(SocketError::Io { source }),
            }
        }
    }

    /// Reads what is there, up to one piece.
    ///
    /// A short read empties the socket, so it is reported to the runtime as one that would block:
    /// otherwise the next wait begins with a read that finds nothing.
    fn read_available(&mut self) -> io::Result<usize> {
        let mut buffer = [0; MAX_READ_BYTES];
        let mut short_read = 0;
        let socket = SockRef::from(&self.stream);
        let result = self.stream.try_io(Interest::READABLE, || {
            let read = (&*socket).read(&mut buffer)?;
            if read == 0 || read == MAX_READ_BYTES {
                return Ok(read);
            }
            short_read = read;
            Err(io::ErrorKind::WouldBlock.into())
        });
        let read = if short_read > 0 { short_read } else { result? };
        self.input.extend_from_slice(&buffer[..read]);
        Ok(read)
    }

    /// Writes all of `bytes`.
    pub async fn write(&mut self, bytes: &[u8]) -> Result<(), SocketError> {
        let written = match self.stream.try_write(bytes) {
            Ok(written) => written,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => 0,
            Err(source) => return Err(SocketError::Io { source }),
        };
        if written < bytes.len() {
            self.stream.write_all(&bytes[written..]).await.context(IoSnafu)?;
        }
        Ok(())
    }

    /// Closes the sending side after everything written was sent.
    pub async fn shutdown(&mut self) {
        let _ = self.stream.shutdown().await;
    }
}
