//! Session token: the observed positions of a session as opaque, authenticated text.
//!
//! Layout before base64: a version byte and a count byte; for each database the length of its name
//! in one byte, the name, and term and index as big-endian `u64`; last a truncated HMAC-SHA-256.

use std::sync::Arc;

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, KeyInit as _, Mac as _};
use sha2::Sha256;
use snafu::{OptionExt as _, Snafu, ensure};

use crate::position::LogPosition;
use crate::session::SessionPositions;

/// Format version of new tokens.
const TOKEN_VERSION: u8 = 1;
/// Length of the truncated message authentication code.
const MAC_BYTES: usize = 16;
/// Maximum number of databases in a token.
const MAX_DATABASES: usize = 64;
/// Maximum length of an accepted token.
const MAX_TOKEN_BYTES: usize = 16 * 1024;

/// Errors of decoding a session token.
#[derive(Debug, Eq, PartialEq, Snafu)]
pub enum TokenError {
    /// The token is too long, or is not base64 or UTF-8 where it must be.
    #[snafu(display("session token is too long or has an invalid encoding"))]
    Encoding,
    /// The token has a format version that this program does not support.
    #[snafu(display("session token has the unsupported version {version}"))]
    UnknownVersion {
        /// Version in the token.
        version: u8,
    },
    /// The message authentication code does not match.
    #[snafu(display("session token failed its integrity check"))]
    Integrity,
    /// The token is truncated or has trailing bytes.
    #[snafu(display("session token is truncated or has trailing bytes"))]
    InvalidLength,
}

/// Encodes and decodes session tokens with a secret that all instances share.
#[derive(Clone)]
pub struct TokenCodec {
    mac: Hmac<Sha256>,
}

impl TokenCodec {
    /// Creates a codec with the shared secret.
    pub fn new(secret: &[u8]) -> Self {
        let mac = Hmac::<Sha256>::new_from_slice(secret).expect("HMAC takes keys of any length");
        Self { mac }
    }

    /// Encodes the first [`MAX_DATABASES`] of `positions` as a token.
    pub fn encode(&self, positions: &SessionPositions) -> String {
        let mut bytes = vec![TOKEN_VERSION, positions.len().min(MAX_DATABASES) as u8];
        for entry in positions.iter().take(MAX_DATABASES) {
            bytes.push(entry.database.len().min(255) as u8);
            bytes.extend_from_slice(&entry.database.as_bytes()[..entry.database.len().min(255)]);
            bytes.extend_from_slice(&entry.position.term.to_be_bytes());
            bytes.extend_from_slice(&entry.position.index.to_be_bytes());
        }
        let mac = self.compute_mac(&bytes);
        bytes.extend_from_slice(&mac);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Decodes a token and verifies its authentication code.
    pub fn decode(&self, token: &str) -> Result<SessionPositions, TokenError> {
        ensure!(token.len() <= MAX_TOKEN_BYTES, EncodingSnafu);
        let bytes = URL_SAFE_NO_PAD.decode(token).ok().context(EncodingSnafu)?;
        let body_length = bytes.len().checked_sub(MAC_BYTES).context(InvalidLengthSnafu)?;
        let (body, mac) = bytes.split_at(body_length);
        let expected = self.compute_mac(body);
        let difference = expected.iter().zip(mac).fold(0_u8, |sum, (a, b)| sum | (a ^ b));
        ensure!(difference == 0, IntegritySnafu);
        parse_body(body)
    }

    fn compute_mac(&self, body: &[u8]) -> [u8; MAC_BYTES] {
        let mut mac = self.mac.clone();
        mac.update(body);
        let digest = mac.finalize().into_bytes();
        let mut truncated = [0; MAC_BYTES];
        truncated.copy_from_slice(&digest[..MAC_BYTES]);
        truncated
    }
}

fn parse_body(body: &[u8]) -> Result<SessionPositions, TokenError> {
    let mut cursor = body;
    let version = take_bytes(&mut cursor, 1)?[0];
    ensure!(version == TOKEN_VERSION, UnknownVersionSnafu { version });
    let count = take_bytes(&mut cursor, 1)?[0];
    let mut positions = SessionPositions::default();
    for _ in 0..count {
        let length = usize::from(take_bytes(&mut cursor, 1)?[0]);
        let name =
            std::str::from_utf8(take_bytes(&mut cursor, length)?).ok().context(EncodingSnafu)?;
        let database = Arc::<str>::from(name);
        let term = take_u64(&mut cursor)?;
        let index = take_u64(&mut cursor)?;
        positions.advance(&database, LogPosition::new(term, index));
    }
    ensure!(cursor.is_empty(), InvalidLengthSnafu);
    Ok(positions)
}

fn take_bytes<'a>(cursor: &mut &'a [u8], length: usize) -> Result<&'a [u8], TokenError> {
    let (head, tail) = cursor.split_at_checked(length).context(InvalidLengthSnafu)?;
    *cursor = tail;
    Ok(head)
}

fn take_u64(cursor: &mut &[u8]) -> Result<u64, TokenError> {
    let bytes = take_bytes(cursor, 8)?;
    Ok(bytes.iter().fold(0_u64, |sum, byte| (sum << 8) | u64::from(*byte)))
}
