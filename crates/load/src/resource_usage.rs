//! CPU time and memory of this process, read from the proc file system.

use std::fs;
use std::time::Duration;

/// Clock ticks per second in the proc file system.
const TICKS_PER_SECOND: u64 = 100;
/// Index of the user time among the fields of `stat` after the thread's name.
const USER_TIME_FIELD: usize = 11;

/// Returns the total CPU time of all threads whose name starts with `prefix`.
///
/// Uses the scheduler's nanosecond count where the kernel provides it, else clock ticks.
pub fn thread_cpu_time(prefix: &str) -> Duration {
    let Ok(threads) = fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    let times = threads.flatten().filter_map(|thread| {
        let name = fs::read_to_string(thread.path().join("comm")).ok()?;
        name.starts_with(prefix).then_some(())?;
        let scheduled = fs::read_to_string(thread.path().join("schedstat")).ok();
        let nanos = scheduled.and_then(|text| text.split_whitespace().next()?.parse().ok());
        if let Some(nanos) = nanos.filter(|nanos| *nanos > 0) {
            return Some(Duration::from_nanos(nanos));
        }
        parse_cpu_time(&fs::read_to_string(thread.path().join("stat")).ok()?)
    });
    times.sum()
}

/// Returns the user and system time from the contents of a `stat` file.
fn parse_cpu_time(stat: &str) -> Option<Duration> {
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let user: u64 = fields.get(USER_TIME_FIELD)?.parse().ok()?;
    let system: u64 = fields.get(USER_TIME_FIELD + 1)?.parse().ok()?;
    Some(Duration::from_millis((user + system) * 1_000 / TICKS_PER_SECOND))
}

/// Returns the resident memory of this process in bytes; zero if it cannot be read.
pub fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or_default() * 1_024
}
