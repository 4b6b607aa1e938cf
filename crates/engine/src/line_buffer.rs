//! Buffer that splits a stream into lines.

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt};

/// End of a line.
const LINE_END: &[u8; 2] = b"\r\n";
/// Bytes read at once.
const READ_SIZE: usize = 2_048;

/// Bytes received and not yet consumed.
#[derive(Debug, Default)]
pub struct LineBuffer {
    input: BytesMut,
    /// Bytes known to hold no line end.
    scanned: usize,
}

impl LineBuffer {
    /// Returns the length of the first line if it is whole.
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

    /// Appends the first line and its end to `out`.
    pub fn copy_line(&self, length: usize, out: &mut Vec<u8>) {
        out.extend_from_slice(&self.input[..length + LINE_END.len()]);
    }

    /// Drops the first line.
    pub fn consume_line(&mut self, length: usize) {
        self.input.advance(length + LINE_END.len());
        self.scanned = 0;
    }

    /// Returns the bytes held.
    pub fn len(&self) -> usize {
        self.input.len()
    }

    /// Tells whether no bytes are held.
    pub fn is_empty(&self) -> bool {
        self.input.is_empty()
    }

    /// Reads more bytes; zero at the end of the stream.
    pub async fn fill(&mut self, stream: &mut (impl AsyncRead + Unpin)) -> std::io::Result<usize> {
        self.input.reserve(READ_SIZE);
        stream.read_buf(&mut self.input).await
    }
}
