//! Framing of PostgreSQL messages: a tag byte, a 32-bit length that includes itself, and a body.

use bytes::{Buf as _, BytesMut};
use snafu::{Snafu, ensure};

/// Length of the tag and the length field in bytes.
pub const HEADER_BYTES: usize = 5;

/// Error in the framing of a byte stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum FrameError {
    /// The length is below the size of the length field.
    #[snafu(display("frame length {length} is below 4"))]
    LengthTooSmall {
        /// Value of the length field, in bytes.
        length: usize,
    },
    /// The frame is larger than the receiver accepts.
    #[snafu(display("frame of {length} bytes exceeds the limit of {limit}"))]
    TooLarge {
        /// Value of the length field, in bytes.
        length: usize,
        /// Largest accepted length in bytes.
        limit: usize,
    },
}

/// Tag and total length of a frame.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FrameHeader {
    /// Tag byte that identifies the message type.
    pub tag: u8,
    /// Length of the frame in bytes, header included.
    pub total_bytes: usize,
}

/// Complete frame whose body is not decoded.
#[derive(Clone, Debug)]
pub struct RawFrame {
    /// Tag byte that identifies the message type.
    pub tag: u8,
    /// Bytes of the frame, header included.
    pub bytes: BytesMut,
}

impl RawFrame {
    /// Returns the body without the header.
    pub fn body(&self) -> &[u8] {
        &self.bytes[HEADER_BYTES..]
    }
}

/// Reads the header at the start of `bytes`. Returns `None` if it is incomplete.
///
/// Fails if the length field is invalid or above `limit` bytes.
pub fn peek_header(bytes: &[u8], limit: usize) -> Result<Option<FrameHeader>, FrameError> {
    let Some(header) = bytes.first_chunk::<HEADER_BYTES>() else {
        return Ok(None);
    };
    let mut field = &header[1..];
    let length = field.get_u32() as usize;
    ensure!(length >= 4, LengthTooSmallSnafu { length });
    ensure!(length <= limit, TooLargeSnafu { length, limit });
    Ok(Some(FrameHeader { tag: header[0], total_bytes: length + 1 }))
}

/// Splits a frame off the front of `buffer`. Returns `None` if it is incomplete.
///
/// Fails if the length field is invalid or above `limit` bytes.
pub fn split_frame(buffer: &mut BytesMut, limit: usize) -> Result<Option<RawFrame>, FrameError> {
    let Some(header) = peek_header(buffer, limit)? else {
        return Ok(None);
    };
    if buffer.len() < header.total_bytes {
        return Ok(None);
    }
    Ok(Some(RawFrame { tag: header.tag, bytes: buffer.split_to(header.total_bytes) }))
}
