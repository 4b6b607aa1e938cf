//! API keys of teams, stored only as salted hashes.

use std::fmt;
use std::str::FromStr;

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use rand::RngExt as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use sha2::{Digest as _, Sha256};
use snafu::{OptionExt as _, Snafu, ensure};

/// Scheme prefix of a hash in text form.
const SCHEME: &str = "sha256";
const SALT_BYTES: usize = 16;
const DIGEST_BYTES: usize = 32;
/// Length of a generated key before encoding: 192 random bits.
const KEY_BYTES: usize = 24;

/// Errors of parsing a key hash.
#[derive(Debug, Snafu)]
pub enum CredentialError {
    /// The text does not have the form `sha256$salt$digest`.
    #[snafu(display("key hash does not have the form sha256$salt$digest"))]
    Malformed,
    /// The salt or the digest is not base64 or has the wrong length.
    #[snafu(display("{part} of key hash is not base64 of the expected length"))]
    InvalidPart {
        /// Part that failed to parse.
        part: &'static str,
    },
}

/// Salted hash of one API key.
///
/// Generated keys have 192 random bits, so one round of SHA-256 suffices against guessing.
#[derive(Clone, Copy, Eq, Hash, PartialEq)]
pub struct KeyHash {
    salt: [u8; SALT_BYTES],
    digest: [u8; DIGEST_BYTES],
}

impl KeyHash {
    /// Hashes `key` with `salt`.
    pub fn new(key: &str, salt: [u8; SALT_BYTES]) -> Self {
        Self { salt, digest: salted_digest(&salt, key) }
    }

    /// Hashes `key` with a random salt.
    pub fn generate(key: &str) -> Self {
        Self::new(key, rand::rng().random())
    }

    /// Returns whether `key` is the hashed key; compares in constant time.
    pub fn matches(&self, key: &str) -> bool {
        let candidate = salted_digest(&self.salt, key);
        let difference =
            candidate.iter().zip(self.digest.iter()).fold(0_u8, |sum, (a, b)| sum | (a ^ b));
        difference == 0
    }

    /// Returns a short identifier of the key that is safe to log.
    pub fn fingerprint(&self) -> String {
        URL_SAFE_NO_PAD.encode(&self.digest[..6])
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "KeyHash({})", self.fingerprint())
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let salt = URL_SAFE_NO_PAD.encode(self.salt);
        write!(formatter, "{SCHEME}${salt}${}", URL_SAFE_NO_PAD.encode(self.digest))
    }
}

impl FromStr for KeyHash {
    type Err = CredentialError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split('$');
        ensure!(parts.next() == Some(SCHEME), MalformedSnafu);
        let salt = decode_part(parts.next().context(MalformedSnafu)?, "salt")?;
        let digest = decode_part(parts.next().context(MalformedSnafu)?, "digest")?;
        ensure!(parts.next().is_none(), MalformedSnafu);
        Ok(Self { salt, digest })
    }
}

impl Serialize for KeyHash {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for KeyHash {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}

/// Generates a random API key.
pub fn generate_key() -> String {
    let bytes: [u8; KEY_BYTES] = rand::rng().random();
    URL_SAFE_NO_PAD.encode(bytes)
}

/// Returns the SHA-256 digest of `bytes` in hexadecimal.
pub fn sha256_hex(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().map(|byte| format!("{byte:02x}")).collect()
}

fn salted_digest(salt: &[u8], key: &str) -> [u8; DIGEST_BYTES] {
    let mut hasher = Sha256::new();
    hasher.update(salt);
    hasher.update(key.as_bytes());
    hasher.finalize().into()
}

fn decode_part<const N: usize>(text: &str, part: &'static str) -> Result<[u8; N], CredentialError> {
    let bytes = URL_SAFE_NO_PAD.decode(text).ok().context(InvalidPartSnafu { part })?;
    bytes.try_into().ok().context(InvalidPartSnafu { part })
}
