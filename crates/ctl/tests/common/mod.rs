//! Server with fixed responses.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread::{JoinHandle, spawn};

/// Answers `count` requests with what `respond` returns for each, and returns the server's URL. The
/// thread ends with the requests.
pub fn serve(
    count: usize,
    respond: impl Fn(&str) -> String + Send + 'static,
) -> (String, JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let url = format!("http://{}", listener.local_addr().expect("it has an address"));
    let server = spawn(move || {
        let answer_request = |_| {
            let (mut stream, _) = listener.accept().expect("the command connects");
            let (mut request, mut buffer) = (String::new(), [0; 1_024]);
            while !request.contains("\r\n\r\n") {
                let length = stream.read(&mut buffer).expect("the command sends a request");
                request += &String::from_utf8_lossy(&buffer[..length]);
            }
            stream.write_all(respond(&request).as_bytes()).expect("the command reads");
            request
        };
        (0..count).map(answer_request).collect()
    });
    (url, server)
}

/// Returns a response whose connection closes after it.
pub fn response(status: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}")
}
