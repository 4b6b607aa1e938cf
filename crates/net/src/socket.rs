//! TCP socket that reads complete frames and holds no buffer while idle.

use std::io::{self, Read as _};

use bytes::BytesMut;
use snafu::{ResultExt as _, Snafu};
use socket2::SockRef;
use tokio::io::{AsyncWriteExt as _, Interest};
use tokio::net::TcpStream;
use wire::frame::{self, FrameError, FrameHeader, RawFrame};

/// Maximum number of bytes per read.
const MAX_READ_BYTES: usize = 16 * 1024;

/// Error on a framed socket.
#[derive(Debug, Snafu)]
pub enum SocketError {
    /// The remote end closed the connection.
    #[snafu(display("connection closed by the remote end"))]
    Closed,
    /// An I/O operation failed.
    #[snafu(display("connection failed: {source}"))]
    Io {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The received bytes are not a valid frame.
    #[snafu(display("{source}"), context(false))]
    Malformed {
        /// Error of the framing.
        source: FrameError,
    },
}

/// TCP connection whose input is split into frames.
#[derive(Debug)]
pub struct FramedSocket {
    stream: TcpStream,
    input: BytesMut,
    max_frame_bytes: usize,
}

impl FramedSocket {
    /// Wraps a stream; a frame above `max_frame_bytes` is an error.
    pub fn new(stream: TcpStream, max_frame_bytes: usize) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, input: BytesMut::new(), max_frame_bytes }
    }

    /// Returns the buffer of bytes that are read but not consumed.
    pub fn input(&mut self) -> &mut BytesMut {
        &mut self.input
    }

    /// Splits off the next frame. Returns `None` if it is incomplete.
    pub fn take_frame(&mut self) -> Result<Option<RawFrame>, SocketError> {
        Ok(frame::split_frame(&mut self.input, self.max_frame_bytes)?)
    }

    /// Returns the header of the next frame, whose body may be incomplete.
    pub fn peek_header(&self) -> Result<Option<FrameHeader>, SocketError> {
        Ok(frame::peek_header(&self.input, self.max_frame_bytes)?)
    }

    /// Waits for input and appends at least one byte to the buffer.
    pub async fn fill(&mut self) -> Result<(), SocketError> {
        if self.input.is_empty() {
            // Frees the allocation, so that an idle connection holds no buffer.
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

    /// Reads the available bytes, up to `MAX_READ_BYTES`.
    ///
    /// A short read has emptied the socket, so it is reported to the runtime as `WouldBlock`.
    /// Otherwise the next wait would start with a system call that reads nothing.
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

    /// Writes all of `bytes`, and meanwhile reads into the buffer what the remote end sends.
    ///
    /// A remote end whose responses are not taken reads no further requests.
    pub async fn write_while_reading(&mut self, bytes: &[u8]) -> Result<(), SocketError> {
        let mut written = 0;
        loop {
            match self.stream.try_write(&bytes[written..]) {
                Ok(count) => written += count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(source) => return Err(SocketError::Io { source }),
            }
            if written == bytes.len() {
                return Ok(());
            }
            let interest = Interest::READABLE | Interest::WRITABLE;
            if !self.stream.ready(interest).await.context(IoSnafu)?.is_readable() {
                continue;
            }
            match self.read_available() {
                Ok(0) => return ClosedSnafu.fail(),
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(source) => return Err(SocketError::Io { source }),
            }
        }
    }

    /// Shuts down the write half once all written bytes are sent.
    pub async fn shutdown(&mut self) {
        let _ = self.stream.shutdown().await;
    }
}
