//! Conversion between PostgreSQL wire values and SQLite values.

use bytes::{BufMut as _, BytesMut};
use rusqlite::types::{Value, ValueRef};

/// OIDs of the PostgreSQL types that the stand-in supports.
pub mod oid {
    /// Boolean.
    pub const BOOL: u32 = 16;
    /// Byte string.
    pub const BYTEA: u32 = 17;
    /// 64-bit integer.
    pub const INT8: u32 = 20;
    /// 16-bit integer.
    pub const INT2: u32 = 21;
    /// 32-bit integer.
    pub const INT4: u32 = 23;
    /// Text.
    pub const TEXT: u32 = 25;
    /// 32-bit floating-point number.
    pub const FLOAT4: u32 = 700;
    /// 64-bit floating-point number.
    pub const FLOAT8: u32 = 701;
}

/// Format of a value on the wire.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ValueFormat {
    /// Text representation.
    Text,
    /// Binary representation in network byte order.
    Binary,
}

impl ValueFormat {
    /// Converts a format code of the protocol: one is binary, any other is text.
    pub fn from_code(code: i16) -> Self {
        if code == 1 { Self::Binary } else { Self::Text }
    }

    /// Returns the format of column or parameter `index`.
    ///
    /// Without codes, all values are text; a single code applies to all values.
    pub fn at_index(codes: &[i16], index: usize) -> Self {
        match codes {
            [] => Self::Text,
            [code] => Self::from_code(*code),
            codes => Self::from_code(codes.get(index).copied().unwrap_or_default()),
        }
    }
}

/// Returns the type OID for the declared type of a column; unknown types map to text.
pub fn oid_from_declared_type(declared: &str) -> u32 {
    let lower = declared.to_ascii_lowercase();
    let base_type = lower.split(['(', ' ']).next().unwrap_or_default();
    match base_type {
        "bigint" | "int8" | "bigserial" => oid::INT8,
        "int" | "integer" | "int4" | "serial" => oid::INT4,
        "smallint" | "int2" => oid::INT2,
        "bool" | "boolean" => oid::BOOL,
        "bytea" | "blob" => oid::BYTEA,
        "real" | "float4" => oid::FLOAT4,
        "double" | "float8" | "float" | "numeric" => oid::FLOAT8,
        _ => oid::TEXT,
    }
}

/// Decodes a parameter. Returns `None` if its bytes are not valid for its type.
pub fn decode_parameter(bytes: &[u8], oid: u32, format: ValueFormat) -> Option<Value> {
    match format {
        ValueFormat::Text => decode_text(std::str::from_utf8(bytes).ok()?, oid),
        ValueFormat::Binary => decode_binary(bytes, oid),
    }
}

fn decode_text(text: &str, oid: u32) -> Option<Value> {
    match oid {
        oid::INT2 | oid::INT4 | oid::INT8 => text.parse().ok().map(Value::Integer),
        oid::FLOAT4 | oid::FLOAT8 => text.parse().ok().map(Value::Real),
        oid::BOOL => Some(Value::Integer(i64::from(matches!(text, "t" | "true" | "1" | "on")))),
        _ => Some(Value::Text(text.to_owned())),
    }
}

fn decode_binary(bytes: &[u8], oid: u32) -> Option<Value> {
    match oid {
        oid::INT2 => Some(Value::Integer(i16::from_be_bytes(bytes.try_into().ok()?).into())),
        oid::INT4 => Some(Value::Integer(i32::from_be_bytes(bytes.try_into().ok()?).into())),
        oid::INT8 => Some(Value::Integer(i64::from_be_bytes(bytes.try_into().ok()?))),
        oid::FLOAT4 => Some(Value::Real(f32::from_be_bytes(bytes.try_into().ok()?).into())),
        oid::FLOAT8 => Some(Value::Real(f64::from_be_bytes(bytes.try_into().ok()?))),
        oid::BOOL => Some(Value::Integer(i64::from(*bytes.first()?))),
        oid::BYTEA => Some(Value::Blob(bytes.to_vec())),
        _ => Some(Value::Text(String::from_utf8(bytes.to_vec()).ok()?)),
    }
}

/// Encodes one column of a data row, preceded by its length.
pub fn encode_column(buffer: &mut BytesMut, value: ValueRef<'_>, oid: u32, format: ValueFormat) {
    if value == ValueRef::Null {
        buffer.put_i32(-1);
        return;
    }
    let start = buffer.len();
    buffer.put_i32(0);
    match format {
        ValueFormat::Text => encode_text(buffer, value, oid),
        ValueFormat::Binary => encode_binary(buffer, value, oid),
    }
    let length = (buffer.len() - start - 4) as i32;
    buffer[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

fn encode_text(buffer: &mut BytesMut, value: ValueRef<'_>, oid: u32) {
    match value {
        ValueRef::Null => {}
        ValueRef::Integer(number) if oid == oid::BOOL => {
            buffer.put_slice(if number == 0 { b"f" } else { b"t" });
        }
        ValueRef::Integer(number) => buffer.put_slice(number.to_string().as_bytes()),
        ValueRef::Real(number) => buffer.put_slice(number.to_string().as_bytes()),
        ValueRef::Text(text) => buffer.put_slice(text),
        ValueRef::Blob(bytes) => {
            buffer.put_slice(b"\\x");
            bytes.iter().for_each(|byte| buffer.put_slice(format!("{byte:02x}").as_bytes()));
        }
    }
}

fn encode_binary(buffer: &mut BytesMut, value: ValueRef<'_>, oid: u32) {
    let integer = value.as_i64().unwrap_or_default();
    let real = match value {
        ValueRef::Real(number) => number,
        _ => integer as f64,
    };
    match oid {
        oid::BOOL => buffer.put_u8(u8::from(integer != 0)),
        oid::INT2 => buffer.put_i16(integer as i16),
        oid::INT4 => buffer.put_i32(integer as i32),
        oid::INT8 => buffer.put_i64(integer),
        oid::FLOAT4 => buffer.put_f32(real as f32),
        oid::FLOAT8 => buffer.put_f64(real),
        oid::BYTEA => buffer.put_slice(value.as_bytes().unwrap_or_default()),
        _ => encode_text(buffer, value, oid),
    }
}
