//! Changes of a table as instances send them to each other: compressed, large values as patches.

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use state::store_version::StoreVersion;
use zstd::zstd_safe::{CCtx, CParameter, DCtx, DParameter, get_error_name};

/// Maximum size of unpacked changes, in bytes.
const MAX_UNPACKED_BYTES: usize = 16 << 20;
/// Compression level: higher ones take more processor time than the bytes are worth.
const COMPRESSION_LEVEL: i32 = 3;
/// Binary logarithm of the window, which must cover a value and the one that it replaces.
const WINDOW_LOG: u32 = 23;
/// Size below which changes are sent as they are, in bytes.
const MIN_PACKED_BYTES: usize = 1 << 10;

/// Error of unpacking changes.
#[derive(Debug, Snafu)]
pub enum ChangeError {
    /// The compressed bytes are damaged, or the patch belongs to another value.
    #[snafu(display("decompression failed: {reason}"))]
    Damaged {
        /// Cause reported by the decompressor.
        reason: &'static str,
    },
    /// The unpacked size exceeds the maximum.
    #[snafu(display("{length} bytes exceed the limit of {MAX_UNPACKED_BYTES} bytes"))]
    TooLong {
        /// Stated length, in bytes.
        length: usize,
    },
    /// The unpacked bytes are no changes.
    #[snafu(display("malformed changes: {source}"))]
    Malformed {
        /// Cause reported by the codec.
        source: postcard::Error,
    },
}

/// Compressed bytes with their length before compression.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PackedBytes {
    length: u32,
    bytes: Vec<u8>,
}

impl PackedBytes {
    /// Compresses a value; `base` may be any other one, and is needed again to unpack it.
    pub fn pack(value: &[u8], base: &[u8]) -> Result<Self, ChangeError> {
        let mut context = CCtx::create();
        let failed = |code| ChangeError::Damaged { reason: get_error_name(code) };
        for parameter in [
            CParameter::CompressionLevel(COMPRESSION_LEVEL),
            CParameter::WindowLog(WINDOW_LOG),
            CParameter::ChecksumFlag(true),
        ] {
            context.set_parameter(parameter).map_err(failed)?;
        }
        context.ref_prefix(base).map_err(failed)?;
        let mut bytes = Vec::with_capacity(zstd::zstd_safe::compress_bound(value.len()));
        context.compress2(&mut bytes, value).map_err(failed)?;
        bytes.shrink_to_fit();
        let length =
            u32::try_from(value.len()).map_err(|_| ChangeError::TooLong { length: value.len() })?;
        Ok(Self { length, bytes })
    }

    /// Returns the value; `base` must be the one that it was packed with.
    pub fn unpack(&self, base: &[u8]) -> Result<Vec<u8>, ChangeError> {
        let length = self.length as usize;
        if length > MAX_UNPACKED_BYTES {
            return Err(ChangeError::TooLong { length });
        }
        let mut context = DCtx::create();
        let failed = |code| ChangeError::Damaged { reason: get_error_name(code) };
        context.set_parameter(DParameter::WindowLogMax(WINDOW_LOG)).map_err(failed)?;
        context.ref_prefix(base).map_err(failed)?;
        let mut value = Vec::with_capacity(length);
        context.decompress(&mut value, &self.bytes).map_err(failed)?;
        Ok(value)
    }

    /// Returns the compressed size, in bytes.
    pub fn packed_length(&self) -> usize {
        self.bytes.len()
    }
}

/// Change of one row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowDelta {
    /// Key.
    pub key: String,
    /// Version of the change.
    pub version: StoreVersion,
    /// New content.
    pub content: DeltaContent,
}

/// New content of a changed row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum DeltaContent {
    /// The row was removed.
    Removed,
    /// The receiver has this version of the row.
    Unchanged,
    /// The whole value.
    Whole(Vec<u8>),
    /// The value as a patch of an earlier one.
    Patch {
        /// Version of the row that the patch applies to.
        base_version: StoreVersion,
        /// Patch.
        patch: PackedBytes,
    },
}

/// Changes of a table.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableChange {
    /// Version after which these are all changes.
    pub after: StoreVersion,
    /// Version that a cache has after these changes.
    pub version: StoreVersion,
    /// All rows are listed, so those that are not were removed.
    pub is_full: bool,
    /// Changed rows; several changes of one row are in their order.
    pub rows: Vec<RowDelta>,
}

/// Encoded changes of a table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PackedChange {
    /// Encoded without compression.
    Plain(Vec<u8>),
    /// Encoded and compressed.
    Compressed(PackedBytes),
}

impl PackedChange {
    /// Encodes changes.
    pub fn pack(change: &TableChange) -> Result<Self, ChangeError> {
        let encoded = postcard::to_allocvec(change).context(MalformedSnafu)?;
        if encoded.len() < MIN_PACKED_BYTES {
            return Ok(Self::Plain(encoded));
        }
        Ok(Self::Compressed(PackedBytes::pack(&encoded, &[])?))
    }

    /// Decodes the changes.
    pub fn unpack(&self) -> Result<TableChange, ChangeError> {
        let unpacked;
        let encoded = match self {
            Self::Plain(bytes) => bytes,
            Self::Compressed(packed) => {
                unpacked = packed.unpack(&[])?;
                &unpacked
            }
        };
        postcard::from_bytes(encoded).context(MalformedSnafu)
    }

    /// Returns the bytes that [`Self::decode`] takes.
    pub fn encode(&self) -> Result<Vec<u8>, ChangeError> {
        postcard::to_allocvec(self).context(MalformedSnafu)
    }

    /// Decodes the bytes of [`Self::encode`].
    pub fn decode(bytes: &[u8]) -> Result<Self, ChangeError> {
        postcard::from_bytes(bytes).context(MalformedSnafu)
    }

    /// Returns the encoded size, in bytes.
    pub fn length(&self) -> usize {
        match self {
            Self::Plain(bytes) => bytes.len(),
            Self::Compressed(packed) => packed.packed_length(),
        }
    }
}
