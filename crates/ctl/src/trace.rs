//! Command `trace`: what instances logged about a request, and what happened around it.

use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{BufRead as _, BufReader};
use std::path::{Path, PathBuf};
use std::time::Duration;

use chrono::{DateTime, SecondsFormat, Utc};
use snafu::{OptionExt as _, ResultExt as _, Snafu};

use crate::cli::TraceArguments;
use crate::log_line::LogLine;

/// Field that names the request of a line.
const REQUEST_FIELD: &str = "request";
/// Fields whose values a request shares with the events that may have caused its outcome.
const SUBJECT_FIELDS: [&str; 2] = ["endpoint", "service"];
/// Time after the last line of the request for which events are shown.
const FOLLOWING_TIME: Duration = Duration::from_secs(1);
/// Maximum number of events that are shown around a request; the ones closest to it are kept.
const MAX_EVENTS: usize = 60;

/// Error of a trace.
#[derive(Debug, Snafu)]
pub enum TraceError {
    /// A log cannot be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Read {
        /// Path of the log.
        path: PathBuf,
        /// Cause reported by the system.
        source: std::io::Error,
    },
    /// No log names the request.
    #[snafu(display("no log names request {request:?}"))]
    UnknownRequest {
        /// Identifier of the request.
        request: String,
    },
}

/// Line of one of the logs.
#[derive(Debug)]
struct TracedLine {
    instance: String,
    line: LogLine,
    is_of_request: bool,
}

/// Prints what the logs say about a request.
pub fn run(arguments: &TraceArguments) -> Result<(), TraceError> {
    let request = &arguments.request;
    let mut lines = Vec::new();
    for path in &arguments.logs {
        lines.extend(read_log(path, request).context(ReadSnafu { path })?);
    }
    lines.sort_by_key(|traced| traced.line.time);
    let window = Duration::from_secs(arguments.seconds);
    let lines = select_lines(lines, window).context(UnknownRequestSnafu { request })?;
    print!("{}", format_lines(request, &lines));
    Ok(())
}

/// Reads the lines of a log, but for those of other requests.
fn read_log(path: &Path, request: &str) -> Result<Vec<TracedLine>, std::io::Error> {
    let instance = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
    let mut lines = Vec::new();
    for line in BufReader::new(File::open(path)?).split(b'\n') {
        // Output of other programs may be in the same file.
        let Some(line) = LogLine::parse(&String::from_utf8_lossy(&line?)) else {
            continue;
        };
        let is_of_request = line.values(REQUEST_FIELD).any(|value| value == request);
        if is_of_request || line.values(REQUEST_FIELD).next().is_none() {
            lines.push(TracedLine { instance: instance.clone(), line, is_of_request });
        }
    }
    Ok(lines)
}

/// Selects the lines of the request, and the events from `window` before it that concern it: faults
/// of the instances that handled it, and whatever names its service or one of its endpoints; if its
/// lines name none, whatever those instances say about any. Returns `None` if there is no line of the
/// request.
fn select_lines(lines: Vec<TracedLine>, window: Duration) -> Option<Vec<TracedLine>> {
    let own = || lines.iter().filter(|traced| traced.is_of_request);
    let (first, last) = (own().next()?.line.time, own().next_back()?.line.time);
    let instances: BTreeSet<String> = own().map(|traced| traced.instance.clone()).collect();
    let subjects: BTreeSet<String> = own()
        .flat_map(|traced| SUBJECT_FIELDS.map(|field| traced.line.values(field)))
        .flatten()
        .map(str::to_owned)
        .collect();
    let concerns = |traced: &TracedLine| {
        let line = &traced.line;
        let is_handler = instances.contains(&traced.instance);
        let mut named = SUBJECT_FIELDS.into_iter().flat_map(|field| line.values(field));
        is_handler && line.is_fault
            || named.any(|subject| subjects.contains(subject) || subjects.is_empty() && is_handler)
    };
    let is_near = |time: DateTime<Utc>| time >= first - window && time <= last + FOLLOWING_TIME;
    let mut selected = lines;
    selected.retain(|traced| traced.is_of_request || is_near(traced.line.time) && concerns(traced));
    keep_nearest_events(&mut selected, first);
    Some(selected)
}

/// Removes all but the [`MAX_EVENTS`] events that are nearest to a time.
fn keep_nearest_events(lines: &mut Vec<TracedLine>, time: DateTime<Utc>) {
    let distance = |traced: &TracedLine| (time - traced.line.time).abs();
    let events = lines.iter().filter(|traced| !traced.is_of_request);
    let mut distances: Vec<_> = events.map(distance).collect();
    distances.sort();
    if let Some(farthest) = distances.get(MAX_EVENTS) {
        lines.retain(|traced| traced.is_of_request || distance(traced) < *farthest);
    }
}

fn format_lines(request: &str, lines: &[TracedLine]) -> String {
    let width = lines.iter().map(|traced| traced.instance.len()).max().unwrap_or(0);
    let count = lines.iter().filter(|traced| traced.is_of_request).count();
    let mut text = format!("request {request}: {count} lines, marked with >\n");
    for TracedLine { instance, line, is_of_request } in lines {
        let time = line.time.to_rfc3339_opts(SecondsFormat::Millis, true);
        let mark = if *is_of_request { '>' } else { ' ' };
        _ = writeln!(text, "{time} {instance:width$} {mark} {}", line.text);
    }
    text
}
