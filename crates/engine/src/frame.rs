//! Frames of the connections between instances: messages travel in parts of bounded size.
//!
//! Parts of a long message leave room for pings and for messages of other lanes between them, so that
//! a document or a large result does not delay them by its whole length.

use bytes::{Buf, BytesMut};
use serde::{Deserialize, Serialize};

use crate::message::MessageError;

/// Maximum size of a message.
pub(crate) const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// Maximum size of the answer to a statement, with room for the rest of its message.
pub(crate) const MAX_ANSWER_BYTES: usize = MAX_MESSAGE_BYTES - (64 << 10);
/// Maximum size of a part, in bytes.
pub(crate) const MAX_PART_BYTES: usize = 8_192;
/// Size of the prefix of a part, in bytes.
const PREFIX_BYTES: usize = 4;
/// Bits of the prefix that hold the length of the part.
const LENGTH_BITS: u32 = 24;
/// Bits of the prefix that hold the lane, above the length.
const LANE_MASK: u32 = 0b11;
/// Bit of the prefix that is set if more parts of the message follow.
const CONTINUED_FLAG: u32 = 1 << 31;
/// Capacity above which the scratch buffer of an encoder is not kept, in bytes.
const MAX_SCRATCH_BYTES: usize = 64 << 10;

/// Lane of a connection. Messages of one lane keep their order; lanes pass each other between parts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FrameLane {
    /// Pings and their answers, sent before anything else.
    Urgent = 0,
    /// All other messages that somebody waits for.
    Ordered = 1,
    /// Parts of tables.
    Bulk = 2,
}

impl FrameLane {
    /// Number of lanes.
    pub const COUNT: usize = 3;

    fn from_index(index: u32) -> Option<Self> {
        match index {
            0 => Some(Self::Urgent),
            1 => Some(Self::Ordered),
            2 => Some(Self::Bulk),
            _ => None,
        }
    }
}

/// Encodes messages into frames.
#[derive(Debug, Default)]
pub struct FrameEncoder {
    scratch: Vec<u8>,
}

impl FrameEncoder {
    /// Appends a message to `out`, which stays as it is if the message cannot be encoded.
    pub fn encode<M: Serialize>(
        &mut self,
        message: &M,
        lane: FrameLane,
        out: &mut BytesMut,
    ) -> Result<(), MessageError> {
        let mut scratch = std::mem::take(&mut self.scratch);
        scratch.clear();
        let body = postcard::to_extend(message, scratch)
            .map_err(|source| MessageError::Codec { source })?;
        let length = body.len();
        if length > MAX_MESSAGE_BYTES {
            return Err(MessageError::TooLong { length });
        }
        let mut parts = body.chunks(MAX_PART_BYTES).peekable();
        while let Some(part) = parts.next() {
            let continued = if parts.peek().is_some() { CONTINUED_FLAG } else { 0 };
            // A part has at most `MAX_PART_BYTES`.
            let prefix = continued | ((lane as u32) << LENGTH_BITS) | part.len() as u32;
            out.extend_from_slice(&prefix.to_le_bytes());
            out.extend_from_slice(part);
        }
        if body.capacity() <= MAX_SCRATCH_BYTES {
            self.scratch = body;
        }
        Ok(())
    }
}

/// Returns the length of the first frames of `encoded` that together reach `wanted` bytes, or of all.
pub(crate) fn frames_length(encoded: &[u8], wanted: usize) -> usize {
    let mut end = 0;
    while end < wanted && end < encoded.len() {
        let Some(prefix) = encoded[end..].first_chunk::<PREFIX_BYTES>() else {
            return encoded.len();
        };
        end += PREFIX_BYTES + part_length(u32::from_le_bytes(*prefix));
    }
    end.min(encoded.len())
}

fn part_length(prefix: u32) -> usize {
    (prefix & ((1 << LENGTH_BITS) - 1)) as usize
}

/// Decodes messages from the bytes of a connection.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    input: BytesMut,
    /// Parts of an incomplete message of each lane.
    partial: [BytesMut; FrameLane::COUNT],
}

impl FrameDecoder {
    /// Returns the buffer to which received bytes are appended.
    pub fn input(&mut self) -> &mut BytesMut {
        &mut self.input
    }

    /// Removes the next message; returns `None` until it is complete.
    pub fn next_message<M: for<'a> Deserialize<'a>>(&mut self) -> Result<Option<M>, MessageError> {
        while let Some(prefix) = self.input.first_chunk::<PREFIX_BYTES>() {
            let prefix = u32::from_le_bytes(*prefix);
            let length = part_length(prefix);
            let lane = FrameLane::from_index((prefix >> LENGTH_BITS) & LANE_MASK);
            let Some(lane) = lane.filter(|_| length <= MAX_PART_BYTES) else {
                return Err(MessageError::MalformedFrame { prefix });
            };
            if self.input.len() < PREFIX_BYTES + length {
                return Ok(None);
            }
            self.input.advance(PREFIX_BYTES);
            let part = self.input.split_to(length);
            let partial = &mut self.partial[lane as usize];
            let is_last = prefix & CONTINUED_FLAG == 0;
            if partial.is_empty() && is_last {
                return decode_body(&part).map(Some);
            }
            partial.extend_from_slice(&part);
            if partial.len() > MAX_MESSAGE_BYTES {
                return Err(MessageError::TooLong { length: partial.len() });
            }
            if is_last {
                return decode_body(&std::mem::take(partial)).map(Some);
            }
        }
        Ok(None)
    }
}

fn decode_body<M: for<'a> Deserialize<'a>>(body: &[u8]) -> Result<M, MessageError> {
    postcard::from_bytes(body).map_err(|source| MessageError::Codec { source })
}
