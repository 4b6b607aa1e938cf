//! Batches whose responses do not fit into the buffers of a connection.

use std::time::Duration;

use bytes::BytesMut;
use net::socket::FramedSocket;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use wire::frontend;

/// Number of messages of the batch.
const MESSAGE_COUNT: usize = 400_000;
/// Length of each response: a message without a body, and one to pad it.
const RESPONSE: &[u8] = b"1\0\0\0\x04N\0\0\0\x14................";
/// Timeout of the test.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Answers each message before it reads the next one.
async fn serve_member(listener: TcpListener) -> std::io::Result<()> {
    let (mut stream, _) = listener.accept().await?;
    loop {
        let mut header = [0; 5];
        stream.read_exact(&mut header).await?;
        let [_, length @ ..] = header;
        let mut body = vec![0; u32::from_be_bytes(length) as usize - 4];
        stream.read_exact(&mut body).await?;
        stream.write_all(RESPONSE).await?;
    }
}

// The batch was written before any response was read, and both sides waited for each other.
#[tokio::test]
async fn a_member_that_responds_before_it_reads_on_gets_the_whole_batch() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("it has an address");
    tokio::spawn(serve_member(listener));
    let stream = TcpStream::connect(address).await.expect("the member accepts");
    let mut socket = FramedSocket::new(stream, 1 << 20);
    let mut batch = BytesMut::new();
    for _ in 0..MESSAGE_COUNT {
        frontend::put_query(&mut batch, "SELECT 1 FROM reservations");
    }
    let exchange = async {
        socket.write_while_reading(&batch).await.expect("the batch is sent");
        let mut count = 0;
        while count < 2 * MESSAGE_COUNT {
            match socket.take_frame().expect("the responses are valid") {
                Some(_) => count += 1,
                None => socket.fill().await.expect("the member responds"),
            }
        }
    };
    timeout(TEST_TIMEOUT, exchange).await.expect("neither side waits for the other");
}
