//! Buffer that splits a byte stream into lines.

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt};

/// Line terminator.
const LINE_END: &[u8; 2] = b"\r\n";
/// Free space reserved before each read, in bytes.
const READ_CHUNK_BYTES: usize = 2_048;

/// Buffer of received bytes that were not consumed yet.
#[derive(Debug, Default)]
pub struct LineBuffer {
    input: BytesMut,
    /// Length of the prefix in which no line terminator starts.
    scanned: usize,
}

impl LineBuffer {
    /// Returns the length of the first line without its terminator, or `None` if it is incomplete.
    pub fn line_length(&mut self) -> Option<usize> {
        let unscanned = &self.input[self.scanned..];
        let found = unscanned.windows(LINE_END.len()).position(|pair| pair == LINE_END);
        match found {
            Some(offset) => Some(self.scanned + offset),
            None => {
                self.scanned = self.input.len().saturating_sub(1);
                None
            }
        }
    }

    /// Returns the first `length` bytes.
    pub fn line(&self, length: usize) -> &[u8] {
        &self.input[..length]
    }

    /// Appends the first line and its terminator to `out`.
    pub fn copy_line(&self, length: usize, out: &mut Vec<u8>) {
        out.extend_from_slice(&self.input[..length + LINE_END.len()]);
    }

    /// Removes the first line and its terminator.
    pub fn consume_line(&mut self, length: usize) {
        self.input.advance(length + LINE_END.len());
        self.scanned = 0;
    }

    /// Returns the number of buffered bytes.
    pub fn len(&self) -> usize {
        self.input.len()
    }

    /// Returns whether the buffer is empty.
    pub fn is_empty(&self) -> bool {
        self.input.is_empty()
    }

    /// Reads from `stream` into the buffer. Returns 0 at the end of the stream.
    pub async fn fill(&mut self, stream: &mut (impl AsyncRead + Unpin)) -> std::io::Result<usize> {
        self.input.reserve(READ_CHUNK_BYTES);
        stream.read_buf(&mut self.input).await
    }
}
