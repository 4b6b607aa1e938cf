//! JSON values and Base64, as far as the platform's interfaces need them.

use std::collections::BTreeMap;

/// JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a text; returns `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        let value = parser.value()?;
        parser.skip_blanks();
        (parser.at == parser.bytes.len()).then_some(value)
    }

    /// Returns a field of an object.
    pub fn field(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.get(name),
            _ => None,
        }
    }

    /// Returns a text field of an object; empty if there is none.
    pub fn text(&self, name: &str) -> &str {
        match self.field(name) {
            Some(Json::Text(text)) => text,
            _ => "",
        }
    }

    /// Returns a number field of an object; zero if there is none.
    pub fn number(&self, name: &str) -> u64 {
        match self.field(name) {
            Some(Json::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    /// Returns the entries of a list field of an object.
    pub fn list(&self, name: &str) -> &[Json] {
        match self.field(name) {
            Some(Json::List(entries)) => entries,
            _ => &[],
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_blanks(&mut self) {
        while self.bytes.get(self.at).is_some_and(|byte| byte.is_ascii_whitespace()) {
            self.at += 1;
        }
    }

    fn take(&mut self, expected: &str) -> Option<()> {
        self.bytes[self.at..].starts_with(expected.as_bytes()).then(|| self.at += expected.len())
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_blanks();
        match *self.bytes.get(self.at)? {
            b'n' => self.take("null").map(|()| Json::Null),
            b't' => self.take("true").map(|()| Json::Bool(true)),
            b'f' => self.take("false").map(|()| Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => {
                let mut entries = Vec::new();
                self.entries(b']', |parser| {
                    entries.push(parser.value()?);
                    Some(())
                })?;
                Some(Json::List(entries))
            }
            b'{' => {
                let mut fields = BTreeMap::new();
                self.entries(b'}', |parser| {
                    parser.skip_blanks();
                    let name = parser.string()?;
                    parser.skip_blanks();
                    parser.take(":")?;
                    fields.insert(name, parser.value()?);
                    Some(())
                })?;
                Some(Json::Object(fields))
            }
            _ => {
                let rest = &self.bytes[self.at..];
                let is_part = |byte: &u8| byte.is_ascii_alphanumeric() || b"+-.".contains(byte);
                let length = rest.iter().take_while(|byte| is_part(byte)).count();
                self.at += length;
                std::str::from_utf8(&rest[..length]).ok()?.parse().ok().map(Json::Number)
            }
        }
    }

    fn entries(&mut self, end: u8, mut read: impl FnMut(&mut Self) -> Option<()>) -> Option<()> {
        self.at += 1;
        self.skip_blanks();
        if *self.bytes.get(self.at)? == end {
            self.at += 1;
            return Some(());
        }
        loop {
            read(self)?;
            self.skip_blanks();
            let next = *self.bytes.get(self.at)?;
            self.at += 1;
            match next {
                b',' => {}
                _ if next == end => return Some(()),
                _ => return None,
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take("\"")?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    let decoded = match escaped {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            char::from_u32(u32::from_str_radix(digits, 16).ok()?)?
                        }
                        other => char::from(other),
                    };
                    bytes.extend_from_slice(decoded.encode_utf8(&mut [0; 4]).as_bytes());
                }
                _ => bytes.push(byte),
            }
        }
    }
}

/// Encodes bytes as Base64.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let padded = [group[0], *group.get(1).unwrap_or(&0), *group.get(2).unwrap_or(&0)];
        let bits = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
