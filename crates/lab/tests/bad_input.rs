//! End-to-end tests of malformed and oversized messages, incomplete startups and many idle callers.

mod common;

use std::time::Duration;

use common::{connect, wait_for};
use lab::environment::LabEnvironment;
use lab::login;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

lab_tests! {
    rejects_malformed_startups(1);
    rejects_malformed_messages(1);
    closes_incomplete_startups_after_the_startup_timeout(1);
    serves_callers_beside_many_idle_connections(1);
}

/// Bounds the wait until the proxy closes a connection; longer than its startup timeout of 5 s.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(8);

async fn open_socket(environment: &LabEnvironment) -> TcpStream {
    TcpStream::connect(environment.instances[0].address).await.expect("connect")
}

/// Reads until the proxy closes the connection.
async fn read_to_end(stream: &mut TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    let read = timeout(CLOSE_TIMEOUT, stream.read_to_end(&mut bytes)).await;
    // The proxy may also close with a reset after its response.
    let _ = read.expect("the connection is closed");
    bytes
}

fn startup_message(environment: &LabEnvironment) -> Vec<u8> {
    let profile = &environment.options.profile;
    login::startup_message(profile.teams[0].name, profile.databases[0])
}

fn encode_message(tag: u8, length: u32, body: &[u8]) -> Vec<u8> {
    let mut message = vec![tag];
    message.extend_from_slice(&length.to_be_bytes());
    message.extend_from_slice(body);
    message
}

async fn open_authenticated(environment: &LabEnvironment) -> TcpStream {
    let mut stream = open_socket(environment).await;
    stream.write_all(&startup_message(environment)).await.expect("startup");
    let password = login::password_message(&environment.keys[0]);
    stream.write_all(&password).await.expect("password");
    let mut received = Vec::new();
    while !received.ends_with(login::READY_FOR_QUERY) {
        let mut buffer = [0; 4096];
        let read = stream.read(&mut buffer).await.expect("response");
        assert!(read > 0, "the caller is accepted");
        received.extend_from_slice(&buffer[..read]);
    }
    stream
}

async fn rejects_malformed_startups(environment: LabEnvironment) {
    let gigabyte = (1_u32 << 30).to_be_bytes();
    let inputs: [&[u8]; 5] = [
        // A length that is less than its own four bytes.
        &[0, 0, 0, 3, 0, 0, 0, 0],
        // A length above the limit.
        &gigabyte,
        // Another protocol.
        b"GET / HTTP/1.1\r\n\r\n",
        // Protocol version 9.0.
        &[0, 0, 0, 9, 0, 9, 0, 0, 0],
        // Parameters that are not UTF-8.
        &[0, 0, 0, 12, 0, 3, 0, 0, 0xff, 0xfe, 0xff, 0xff],
    ];
    for input in inputs {
        let mut stream = open_socket(&environment).await;
        stream.write_all(input).await.expect("write");
        let response = read_to_end(&mut stream).await;
        assert_eq!(response.first().copied(), Some(b'E'), "{input:?} -> {response:?}");
    }
    let caller = connect(&environment, 0).await;
    assert_eq!(caller.first_column("SELECT 1").await.expect("others are served"), ["1"]);
}

async fn rejects_malformed_messages(environment: LabEnvironment) {
    let inputs = [
        // A length above the limit.
        encode_message(b'Q', 1 << 30, b"SELECT"),
        // A length that is less than its own four bytes.
        encode_message(b'Q', 3, b""),
        // Text that is not UTF-8.
        encode_message(b'Q', 8, b"ab\xff\0"),
        // Texts without a terminating zero.
        encode_message(b'Q', 10, b"SELECT"),
        encode_message(b'P', 6, b"ab"),
        // A description of neither a statement nor a portal.
        encode_message(b'D', 6, b"X\0"),
        // An unknown message type.
        encode_message(b'?', 4, b""),
        // The greatest signed length.
        encode_message(b'B', 0x7fff_ffff, b""),
    ];
    for input in inputs {
        let mut stream = open_authenticated(&environment).await;
        stream.write_all(&input).await.expect("write");
        let response = read_to_end(&mut stream).await;
        assert_eq!(response.first().copied(), Some(b'E'), "{input:?} -> {response:?}");
    }
    let caller = connect(&environment, 0).await;
    assert_eq!(caller.first_column("SELECT 1").await.expect("others are served"), ["1"]);
}

async fn closes_incomplete_startups_after_the_startup_timeout(environment: LabEnvironment) {
    let mut without_startup = open_socket(&environment).await;
    let mut without_password = open_socket(&environment).await;
    without_password.write_all(&startup_message(&environment)).await.expect("startup");
    let start = Instant::now();
    let response = read_to_end(&mut without_startup).await;
    assert_eq!(response.first().copied(), Some(b'E'));
    let response = read_to_end(&mut without_password).await;
    assert!(response.windows(5).any(|bytes| bytes == b"57P05"), "{response:?}");
    assert!(start.elapsed() >= Duration::from_secs(4));
}

async fn serves_callers_beside_many_idle_connections(environment: LabEnvironment) {
    let mut idle_connections = Vec::new();
    for _ in 0..500 {
        idle_connections.push(open_authenticated(&environment).await);
    }
    let callers = &environment.instances[0].instance.callers;
    wait_for("all callers to be counted", || {
        callers.load(std::sync::atomic::Ordering::Relaxed) == 500
    })
    .await;
    let caller = connect(&environment, 0).await;
    assert_eq!(caller.first_column("SELECT 1").await.expect("served"), ["1"]);
    drop(idle_connections);
    wait_for("idle callers to be closed", || {
        callers.load(std::sync::atomic::Ordering::Relaxed) == 1
    })
    .await;
}
