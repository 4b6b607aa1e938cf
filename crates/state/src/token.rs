//! Session token: the positions of a session as an opaque text with an integrity check.
//!
//! Layout before base64: version byte, count byte, then for each database its name's length,
//! its name, term and index as 64-bit big-endian numbers, and last a truncated HMAC-SHA-256.

use std::sync::Arc;

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, KeyInit as _, Mac as _};
use sha2::Sha256;
use snafu::{OptionExt as _, Snafu, ensure};

use crate::position::LogPosition;
use crate::session::SessionPositions;

/// Version written into new tokens.
const VERSION: u8 = 1;
/// Length of the truncated authentication code in bytes.
const CODE_BYTES: usize = 16;
/// Largest number of databases that one token names.
const MAX_DATABASES: usize = 64;
/// Largest accepted length of a token's text.
const MAX_TEXT_BYTES: usize = 16 * 1024;

/// Errors of reading a session token.
#[derive(Debug, Eq, PartialEq, Snafu)]
pub enum TokenError {
    /// The text is not base64 or is too long.
    #[snafu(display("session token is not valid base64"))]
    Encoding,
    /// The token was written by a version that this program does not know.
    #[snafu(display("session token has the unknown version {version}"))]
    UnknownVersion {
        /// Version found.
        version: u8,
    },
    /// The integrity check failed.
    #[snafu(display("session token fails its integrity check"))]
    Integrity,
    /// The token ends early or has bytes left over.
    #[snafu(display("session token is cut short"))]
    InvalidLength,
}

/// Writes and reads session tokens under a secret shared by all instances.
#[derive(Clone)]
pub struct TokenCodec {
    code: Hmac<Sha256>,
}

impl TokenCodec {
    /// Creates a codec from the shared secret.
    pub fn new(secret: &[u8]) -> Self {
        let code = Hmac::<Sha256>::new_from_slice(secret).expect("HMAC takes keys of any length");
        Self { code }
    }

    /// Writes `positions` as a token.
    pub fn encode(&self, positions: &SessionPositions) -> String {
        let mut bytes = vec![VERSION, positions.len().min(MAX_DATABASES) as u8];
        for seen in positions.iter().take(MAX_DATABASES) {
            bytes.push(seen.database.len().min(255) as u8);
            bytes.extend_from_slice(&seen.database.as_bytes()[..seen.database.len().min(255)]);
            bytes.extend_from_slice(&seen.position.term.to_be_bytes());
            bytes.extend_from_slice(&seen.position.index.to_be_bytes());
        }
        let code = self.sign(&bytes);
        bytes.extend_from_slice(&code);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Reads a token back into positions.
    pub fn decode(&self, text: &str) -> Result<SessionPositions, TokenError> {
        ensure!(text.len() <= MAX_TEXT_BYTES, EncodingSnafu);
        let bytes = URL_SAFE_NO_PAD.decode(text).ok().context(EncodingSnafu)?;
        let split = bytes.len().checked_sub(CODE_BYTES).context(InvalidLengthSnafu)?;
        let (body, code) = bytes.split_at(split);
        let expected = self.sign(body);
        let difference = expected.iter().zip(code).fold(0_u8, |sum, (a, b)| sum | (a ^ b));
        ensure!(difference == 0, IntegritySnafu);
        read_body(body)
    }

    fn sign(&self, body: &[u8]) -> [u8; CODE_BYTES] {
        let mut code = self.code.clone();
        code.update(body);
        let full = code.finalize().into_bytes();
        let mut short = [0; CODE_BYTES];
        short.copy_from_slice(&full[..CODE_BYTES]);
        short
    }
}

fn read_body(body: &[u8]) -> Result<SessionPositions, TokenError> {
    let mut cursor = body;
    let version = take(&mut cursor, 1)?[0];
    ensure!(version == VERSION, UnknownVersionSnafu { version });
    let count = take(&mut cursor, 1)?[0];
    let mut positions = SessionPositions::default();
    for _ in 0..count {
        let length = usize::from(take(&mut cursor, 1)?[0]);
        let name = std::str::from_utf8(take(&mut cursor, length)?).ok().context(EncodingSnafu)?;
        let database = Arc::<str>::from(name);
        let term = take_number(&mut cursor)?;
        let index = take_number(&mut cursor)?;
        positions.advance(&database, LogPosition::new(term, index));
    }
    ensure!(cursor.is_empty(), InvalidLengthSnafu);
    Ok(positions)
}

fn take<'a>(cursor: &mut &'a [u8], length: usize) -> Result<&'a [u8], TokenError> {
    let (head, tail) = cursor.split_at_checked(length).context(InvalidLengthSnafu)?;
    *cursor = tail;
    Ok(head)
}

fn take_number(cursor: &mut &[u8]) -> Result<u64, TokenError> {
    let bytes = take(cursor, 8)?;
    Ok(bytes.iter().fold(0_u64, |sum, byte| (sum << 8) | u64::from(*byte)))
}
