//! Malformed, oversized and half-open input, and many idle callers.

mod common;

use std::time::Duration;

use common::{connect, wait_for};
use lab::environment::LabEnvironment;
use lab::login;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

lab_cases! {
    answers_malformed_startups_and_closes(1);
    answers_malformed_messages_and_closes(1);
    closes_half_open_startups_at_their_deadline(1);
    serves_others_beside_many_idle_callers(1);
}

const ANSWER_LIMIT: Duration = Duration::from_secs(8);

async fn open(environment: &LabEnvironment) -> TcpStream {
    TcpStream::connect(environment.instances[0].address).await.expect("connect")
}

/// Reads until the proxy closes the connection.
async fn read_to_end(stream: &mut TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    let read = timeout(ANSWER_LIMIT, stream.read_to_end(&mut bytes)).await;
    // A reset after the answer counts as closed as well.
    let _ = read.expect("the connection is closed");
    bytes
}

fn startup(environment: &LabEnvironment) -> Vec<u8> {
    let profile = &environment.options.profile;
    login::startup_message(profile.teams[0].name, profile.databases[0])
}

fn message(tag: u8, length: u32, body: &[u8]) -> Vec<u8> {
    let mut message = vec![tag];
    message.extend_from_slice(&length.to_be_bytes());
    message.extend_from_slice(body);
    message
}

async fn authenticated(environment: &LabEnvironment) -> TcpStream {
    let mut stream = open(environment).await;
    stream.write_all(&startup(environment)).await.expect("startup");
    let password = login::password_message(&environment.keys[0]);
    stream.write_all(&password).await.expect("password");
    let mut seen = Vec::new();
    while !seen.ends_with(login::READY_FOR_QUERY) {
        let mut piece = [0; 4096];
        let read = stream.read(&mut piece).await.expect("answer");
        assert!(read > 0, "the caller is accepted");
        seen.extend_from_slice(&piece[..read]);
    }
    stream
}

async fn answers_malformed_startups_and_closes(environment: LabEnvironment) {
    let gigabyte = (1_u32 << 30).to_be_bytes();
    let inputs: [&[u8]; 5] = [
        &[0, 0, 0, 3, 0, 0, 0, 0],
        &gigabyte,
        b"GET / HTTP/1.1\r\n\r\n",
        &[0, 0, 0, 9, 0, 9, 0, 0, 0],
        &[0, 0, 0, 12, 0, 3, 0, 0, 0xff, 0xfe, 0xff, 0xff],
    ];
    for input in inputs {
        let mut stream = open(&environment).await;
        stream.write_all(input).await.expect("write");
        let answer = read_to_end(&mut stream).await;
        assert_eq!(answer.first().copied(), Some(b'E'), "{input:?} -> {answer:?}");
    }
    let caller = connect(&environment, 0).await;
    assert_eq!(caller.values("SELECT 1").await.expect("others are served"), ["1"]);
}

async fn answers_malformed_messages_and_closes(environment: LabEnvironment) {
    let inputs = [
        message(b'Q', 1 << 30, b"SELECT"),
        message(b'Q', 3, b""),
        message(b'Q', 8, b"ab\xff\0"),
        message(b'Q', 10, b"SELECT"),
        message(b'P', 6, b"ab"),
        message(b'D', 6, b"X\0"),
        message(b'?', 4, b""),
        message(b'B', 0x7fff_ffff, b""),
    ];
    for input in inputs {
        let mut stream = authenticated(&environment).await;
        stream.write_all(&input).await.expect("write");
        let answer = read_to_end(&mut stream).await;
        assert_eq!(answer.first().copied(), Some(b'E'), "{input:?} -> {answer:?}");
    }
    let caller = connect(&environment, 0).await;
    assert_eq!(caller.values("SELECT 1").await.expect("others are served"), ["1"]);
}

async fn closes_half_open_startups_at_their_deadline(environment: LabEnvironment) {
    let mut silent = open(&environment).await;
    let mut halfway = open(&environment).await;
    halfway.write_all(&startup(&environment)).await.expect("startup");
    let begin = Instant::now();
    let answer = read_to_end(&mut silent).await;
    assert_eq!(answer.first().copied(), Some(b'E'));
    let answer = read_to_end(&mut halfway).await;
    assert!(answer.windows(5).any(|bytes| bytes == b"57P05"), "{answer:?}");
    assert!(begin.elapsed() >= Duration::from_secs(4));
}

async fn serves_others_beside_many_idle_callers(environment: LabEnvironment) {
    let mut idle = Vec::new();
    for _ in 0..500 {
        idle.push(authenticated(&environment).await);
    }
    let callers = &environment.instances[0].instance.callers;
    wait_for("every caller to be counted", || {
        callers.load(std::sync::atomic::Ordering::Relaxed) == 500
    })
    .await;
    let caller = connect(&environment, 0).await;
    assert_eq!(caller.values("SELECT 1").await.expect("served"), ["1"]);
    drop(idle);
    wait_for("idle callers to be gone", || callers.load(std::sync::atomic::Ordering::Relaxed) == 1)
        .await;
}
