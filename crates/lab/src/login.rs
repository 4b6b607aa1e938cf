//! Login messages of the PostgreSQL protocol, for tests and measurements on bare TCP sockets.

/// Encoded `ReadyForQuery` message outside a transaction; it ends the response to a successful
/// login.
pub const READY_FOR_QUERY: &[u8] = &[b'Z', 0, 0, 0, 5, b'I'];

/// Encodes the startup message with the team as user.
pub fn startup_message(team: &str, database: &str) -> Vec<u8> {
    let mut body = vec![0, 3, 0, 0];
    for text in ["user", team, "database", database] {
        body.extend_from_slice(text.as_bytes());
        body.push(0);
    }
    body.push(0);
    let mut message = (body.len() as u32 + 4).to_be_bytes().to_vec();
    message.extend(body);
    message
}

/// Encodes the password message with an API key.
pub fn password_message(key: &str) -> Vec<u8> {
    let mut message = vec![b'p'];
    message.extend_from_slice(&(key.len() as u32 + 5).to_be_bytes());
    message.extend_from_slice(key.as_bytes());
    message.push(0);
    message
}
