//! Session parameters, which are set and shown without a member.

use std::collections::BTreeMap;

/// Parameters reported to a caller at startup.
pub const REPORTED_PARAMETERS: &[(&str, &str)] = &[
    ("server_version", "15.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("IntervalStyle", "postgres"),
    ("TimeZone", "UTC"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
    ("is_superuser", "off"),
];
/// Parameters that accept any value, since they are never sent to members.
const UNCHECKED_PARAMETERS: &[&str] =
    &["application_name", "client_min_messages", "extra_float_digits"];
/// Parameter that bounds the execution time of a statement, in milliseconds.
pub const STATEMENT_TIMEOUT: &str = "statement_timeout";
/// Parameter that carries the session token.
pub const SESSION_TOKEN: &str = "hibiscus.session";
/// Parameter that names the instance.
pub const INSTANCE_NAME: &str = "hibiscus.instance";

/// Error of setting a parameter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ParameterError {
    /// Setting the parameter is not supported, as it would affect results on pooled connections.
    Unsupported,
    /// Only this value of the parameter is supported.
    FixedValue(&'static str),
}

/// Parameters of a session; only those that were set take memory.
#[derive(Clone, Debug, Default)]
pub struct SessionParameters {
    values: BTreeMap<String, String>,
}

impl SessionParameters {
    /// Sets a parameter. Fails if the parameter or the value is not supported.
    pub fn set(&mut self, name: &str, value: &str) -> Result<(), ParameterError> {
        if UNCHECKED_PARAMETERS.contains(&name) || name == STATEMENT_TIMEOUT {
            self.values.insert(name.to_owned(), value.to_owned());
            return Ok(());
        }
        let fixed = match name {
            "client_encoding" => "UTF8",
            "datestyle" => "ISO, MDY",
            "intervalstyle" => "postgres",
            "timezone" => "UTC",
            "standard_conforming_strings" => "on",
            _ => return Err(ParameterError::Unsupported),
        };
        // A prefix such as `ISO` and another spelling such as `utf-8` are accepted too.
        let normalize = |text: &str| text.to_ascii_lowercase().replace(['-', ' '], "");
        let accepted =
            normalize(fixed).starts_with(&normalize(value)) || normalize(value) == "default";
        if accepted { Ok(()) } else { Err(ParameterError::FixedValue(fixed)) }
    }

    /// Returns the value of a parameter, or none if it does not exist.
    pub fn get(&self, name: &str) -> Option<&str> {
        if let Some(value) = self.values.get(name) {
            return Some(value);
        }
        if UNCHECKED_PARAMETERS.contains(&name) {
            return Some("");
        }
        if name == STATEMENT_TIMEOUT {
            return Some("0");
        }
        let reported =
            REPORTED_PARAMETERS.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        reported.map(|(_, value)| *value)
    }

    /// Returns the timeout of statements in milliseconds, or none if it is unset, zero or invalid.
    pub fn statement_timeout_ms(&self) -> Option<u64> {
        let text = self.values.get(STATEMENT_TIMEOUT)?;
        let digits = text.trim_end_matches("ms").trim_end_matches('s').trim();
        let value: u64 = digits.parse().ok()?;
        let seconds = text.ends_with('s') && !text.ends_with("ms");
        let millis = if seconds { value * 1_000 } else { value };
        (millis > 0).then_some(millis)
    }

    /// Resets a parameter to its default, or all of them without a name.
    pub fn reset(&mut self, name: Option<&str>) {
        match name {
            Some(name) => _ = self.values.remove(name),
            None => self.values.clear(),
        }
    }
}
