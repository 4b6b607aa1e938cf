//! Writes that are bounded by progress instead of their length.

use std::io::{Error, ErrorKind, Result};
use std::time::Duration;

use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;

/// Writes all bytes, and fails if the receiver takes none of them for `stall_timeout`.
///
/// A receiver behind a slow link gets a long answer in full, however long it takes.
pub async fn write_all(
    writer: &mut (impl AsyncWrite + Unpin),
    bytes: &[u8],
    stall_timeout: Duration,
) -> Result<()> {
    let mut rest = bytes;
    while !rest.is_empty() {
        let written = timeout(stall_timeout, writer.write(rest)).await??;
        if written == 0 {
            return Err(Error::from(ErrorKind::WriteZero));
        }
        rest = &rest[written..];
    }
    Ok(())
}
