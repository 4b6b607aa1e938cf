//! Long responses of the platform must arrive over slow links; only those that stall are given up.

use std::time::Duration;

use net::platform::{ObjectStore, PlatformClient};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Timeout of the client.
const TIMEOUT: Duration = Duration::from_millis(300);
/// Number of parts of the response.
const PART_COUNT: usize = 8;
/// Length of a part, in bytes.
const PART_BYTES: usize = 100;

/// Reads an object of which the service sends a part at each interval, up to the given number.
async fn read_object(interval: Duration, sent_parts: usize) -> Option<Vec<u8>> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("it has an address");
    let service = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request).await.expect("the client sends a request");
        let length = PART_COUNT * PART_BYTES;
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.expect("the client reads");
        for _ in 0..sent_parts {
            sleep(interval).await;
            stream.write_all(&[7; PART_BYTES]).await.expect("the client reads");
        }
        sleep(4 * TIMEOUT).await;
    });
    let client = PlatformClient::new(format!("http://{address}"), TIMEOUT).expect("a client");
    let object = client.get("document".to_owned()).await.ok().flatten();
    service.abort();
    object
}

// A document was given up when the timeout had passed since the request, and read again from the start.
#[tokio::test]
async fn a_long_response_arrives_over_a_slow_link() {
    let object = read_object(Duration::from_millis(100), PART_COUNT).await;
    assert_eq!(object.map(|bytes| bytes.len()), Some(PART_COUNT * PART_BYTES));
}

#[tokio::test]
async fn a_response_that_stalls_is_given_up() {
    assert_eq!(read_object(Duration::from_millis(1), 2).await, None);
}
