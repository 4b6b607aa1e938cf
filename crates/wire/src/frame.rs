//! Framing of PostgreSQL messages: a tag byte, a 32-bit length that counts itself, a body.

use bytes::{Buf as _, BytesMut};
use snafu::{Snafu, ensure};

/// Length of a tag and a length field in bytes.
pub const HEADER_BYTES: usize = 5;

/// Errors of splitting a byte stream into frames.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum FrameError {
    /// The length field is smaller than itself.
    #[snafu(display("frame length {length} is below 4"))]
    LengthTooSmall {
        /// Length found.
        length: usize,
    },
    /// The frame is larger than the receiver accepts.
    #[snafu(display("frame of {length} bytes exceeds the limit of {limit}"))]
    TooLarge {
        /// Length found.
        length: usize,
        /// Largest accepted length.
        limit: usize,
    },
}

/// Tag and total length of a frame, header included.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FrameHeader {
    /// Tag byte that names the message type.
    pub tag: u8,
    /// Length of the whole frame in bytes.
    pub total_bytes: usize,
}

/// Message whose body has not been decoded.
#[derive(Clone, Debug)]
pub struct RawFrame {
    /// Tag byte that names the message type.
    pub tag: u8,
    /// Bytes of the whole frame, header included.
    pub bytes: BytesMut,
}

impl RawFrame {
    /// Returns the body without the header.
    pub fn body(&self) -> &[u8] {
        &self.bytes[HEADER_BYTES..]
    }
}

/// Reads the header at the start of `bytes`, or none if it is not complete.
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

/// Splits one complete frame off the front of `buffer`, or returns none until it is complete.
pub fn split_frame(buffer: &mut BytesMut, limit: usize) -> Result<Option<RawFrame>, FrameError> {
    let Some(header) = peek_header(buffer, limit)? else {
        return Ok(None);
    };
    if buffer.len() < header.total_bytes {
        return Ok(None);
    }
    Ok(Some(RawFrame { tag: header.tag, bytes: buffer.split_to(header.total_bytes) }))
}
