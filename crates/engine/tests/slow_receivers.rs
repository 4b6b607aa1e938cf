//! Answers must reach receivers that are slow, and only those that take nothing are given up.

use std::time::Duration;

use engine::progress;
use tokio::io::AsyncReadExt;
use tokio::time::sleep;

/// Time without progress after which a receiver is given up.
const STALL_TIMEOUT: Duration = Duration::from_millis(200);

/// Writes an answer to a receiver that takes 64 bytes at each interval, at most `limit` bytes.
async fn write_to_receiver(interval: Duration, limit: usize) -> std::io::Result<()> {
    let (mut writer, mut reader) = tokio::io::duplex(64);
    let receiver = tokio::spawn(async move {
        let (mut taken, mut chunk) = (0, [0; 64]);
        while taken < limit {
            sleep(interval).await;
            taken += reader.read(&mut chunk).await.unwrap_or_default();
        }
        sleep(2 * STALL_TIMEOUT).await;
    });
    let result = progress::write_all(&mut writer, &[7; 2_048], STALL_TIMEOUT).await;
    receiver.abort();
    result
}

// A long answer to a slow caller was cut off when the time limit for the whole of it had passed.
#[tokio::test]
async fn a_slow_receiver_gets_a_long_answer() {
    let result = write_to_receiver(Duration::from_millis(20), usize::MAX).await;
    assert!(result.is_ok(), "{result:?}");
}

#[tokio::test]
async fn a_receiver_that_takes_nothing_is_given_up() {
    assert!(write_to_receiver(Duration::ZERO, 256).await.is_err());
}
