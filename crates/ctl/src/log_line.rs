//! Line of an instance's log.

use chrono::{DateTime, Utc};

/// Level from which a line tells of a fault.
const FAULT_LEVELS: [&str; 2] = ["WARN", "ERROR"];

/// Line of a log, `time level module number label name=value ...`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogLine {
    /// Time at which it was written, by the clock of its machine.
    pub time: DateTime<Utc>,
    /// Whether it tells of a fault.
    pub is_fault: bool,
    /// Number and label of the event, and its fields.
    pub text: String,
    fields: Vec<(String, String)>,
}

impl LogLine {
    /// Parses a line. Returns `None` if it is no line of a log.
    pub fn parse(line: &str) -> Option<Self> {
        let mut parts = line.splitn(4, ' ');
        let time = DateTime::parse_from_rfc3339(parts.next()?).ok()?.to_utc();
        let (level, _module, text) = (parts.next()?, parts.next()?, parts.next()?.trim_end());
        let is_fault = FAULT_LEVELS.contains(&level);
        let fields = parse_fields(text);
        Some(Self { time, is_fault, text: text.to_owned(), fields })
    }

    /// Returns the values of a field, which a line may have several times.
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.fields.iter().filter(move |(field, _)| field == name).map(|(_, value)| value.as_str())
    }
}

/// Returns the fields of an event; values with spaces are in quotation marks.
fn parse_fields(mut text: &str) -> Vec<(String, String)> {
    let mut fields = Vec::new();
    while let Some((head, rest)) = text.split_once('=') {
        let name = head.rsplit(' ').next().unwrap_or(head);
        let (value, rest) = match rest.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => rest.split_once(' ').unwrap_or((rest, "")),
        };
        fields.push((name.to_owned(), value.to_owned()));
        text = rest;
    }
    fields
}
