//! Messages from a PostgreSQL client to its server, as far as the proxy reads or rewrites them.

use bytes::{BufMut as _, BytesMut};
use snafu::{OptionExt as _, Snafu};

use crate::frame::RawFrame;

/// Tag of a simple query.
pub const QUERY: u8 = b'Q';
/// Tag of a parse message.
pub const PARSE: u8 = b'P';
/// Tag of a bind message.
pub const BIND: u8 = b'B';
/// Tag of a describe message.
pub const DESCRIBE: u8 = b'D';
/// Tag of an execute message.
pub const EXECUTE: u8 = b'E';
/// Tag of a close message.
pub const CLOSE: u8 = b'C';
/// Tag of a flush message.
pub const FLUSH: u8 = b'H';
/// Tag of a sync message.
pub const SYNC: u8 = b'S';
/// Tag of a terminate message.
pub const TERMINATE: u8 = b'X';
/// Tag of a password message.
pub const PASSWORD: u8 = b'p';

/// Error on a message with a malformed field.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("the {field} of a message of type {tag:?} is malformed", tag = char::from(*tag)))]
pub struct FieldError {
    /// Tag of the message.
    pub tag: u8,
    /// Name of the malformed field.
    pub field: &'static str,
}

/// Fields of a parse message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ParseFields<'a> {
    /// Name of the prepared statement, empty for the unnamed one.
    pub name: &'a str,
    /// Text of the statement.
    pub query: &'a str,
    /// Encoded number and types of the parameters.
    pub parameter_types: &'a [u8],
}

/// Fields of a bind message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BindFields<'a> {
    /// Name of the portal, empty for the unnamed one.
    pub portal: &'a str,
    /// Name of the prepared statement, empty for the unnamed one.
    pub statement: &'a str,
    /// Encoded parameter formats, parameter values and result formats.
    pub values: &'a [u8],
}

/// Kind of object that a describe or close message refers to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ObjectKind {
    /// Prepared statement.
    Statement,
    /// Portal.
    Portal,
}

/// Fields of a describe or close message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ObjectFields<'a> {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Name of the object.
    pub name: &'a str,
}

/// Reads the text of a simple query.
pub fn read_query(frame: &RawFrame) -> Result<&str, FieldError> {
    let mut reader = FieldReader::new(frame);
    reader.read_cstring("query")
}

/// Reads a parse message.
pub fn read_parse(frame: &RawFrame) -> Result<ParseFields<'_>, FieldError> {
    let mut reader = FieldReader::new(frame);
    let name = reader.read_cstring("name")?;
    let query = reader.read_cstring("query")?;
    Ok(ParseFields { name, query, parameter_types: reader.remaining })
}

/// Reads a bind message.
pub fn read_bind(frame: &RawFrame) -> Result<BindFields<'_>, FieldError> {
    let mut reader = FieldReader::new(frame);
    let portal = reader.read_cstring("portal")?;
    let statement = reader.read_cstring("statement")?;
    Ok(BindFields { portal, statement, values: reader.remaining })
}

/// Reads a describe or close message.
pub fn read_object(frame: &RawFrame) -> Result<ObjectFields<'_>, FieldError> {
    let mut reader = FieldReader::new(frame);
    let kind = match reader.read_byte("kind")? {
        b'S' => ObjectKind::Statement,
        b'P' => ObjectKind::Portal,
        _ => return FieldSnafu { tag: frame.tag, field: "kind" }.fail(),
    };
    Ok(ObjectFields { kind, name: reader.read_cstring("name")? })
}

/// Reads the portal name of an execute message.
pub fn read_execute(frame: &RawFrame) -> Result<&str, FieldError> {
    FieldReader::new(frame).read_cstring("portal")
}

/// Writes a simple query.
pub fn put_query(buffer: &mut BytesMut, query: &str) {
    put_frame(buffer, QUERY, |body| put_cstring(body, query));
}

/// Writes a parse message.
pub fn put_parse(buffer: &mut BytesMut, fields: &ParseFields<'_>) {
    put_frame(buffer, PARSE, |body| {
        put_cstring(body, fields.name);
        put_cstring(body, fields.query);
        body.put_slice(fields.parameter_types);
    });
}

/// Writes a bind message.
pub fn put_bind(buffer: &mut BytesMut, fields: &BindFields<'_>) {
    put_frame(buffer, BIND, |body| {
        put_cstring(body, fields.portal);
        put_cstring(body, fields.statement);
        body.put_slice(fields.values);
    });
}

/// Writes a describe or close message under `tag`.
pub fn put_object(buffer: &mut BytesMut, tag: u8, fields: &ObjectFields<'_>) {
    put_frame(buffer, tag, |body| {
        body.put_u8(if fields.kind == ObjectKind::Statement { b'S' } else { b'P' });
        put_cstring(body, fields.name);
    });
}

/// Writes a message with an empty body.
pub fn put_empty(buffer: &mut BytesMut, tag: u8) {
    put_frame(buffer, tag, |_| {});
}

fn put_cstring(body: &mut BytesMut, text: &str) {
    body.put_slice(text.as_bytes());
    body.put_u8(0);
}

fn put_frame(buffer: &mut BytesMut, tag: u8, write: impl FnOnce(&mut BytesMut)) {
    buffer.put_u8(tag);
    let start = buffer.len();
    buffer.put_u32(0);
    write(buffer);
    let length = (buffer.len() - start) as u32;
    buffer[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

struct FieldReader<'a> {
    tag: u8,
    remaining: &'a [u8],
}

impl<'a> FieldReader<'a> {
    fn new(frame: &'a RawFrame) -> Self {
        Self { tag: frame.tag, remaining: frame.body() }
    }

    fn read_byte(&mut self, field: &'static str) -> Result<u8, FieldError> {
        let (first, remaining) =
            self.remaining.split_first().context(FieldSnafu { tag: self.tag, field })?;
        self.remaining = remaining;
        Ok(*first)
    }

    fn read_cstring(&mut self, field: &'static str) -> Result<&'a str, FieldError> {
        let context = FieldSnafu { tag: self.tag, field };
        let end = self.remaining.iter().position(|byte| *byte == 0).context(context)?;
        let text = std::str::from_utf8(&self.remaining[..end]).ok().context(context)?;
        self.remaining = &self.remaining[end + 1..];
        Ok(text)
    }
}
