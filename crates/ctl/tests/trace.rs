//! The command `trace` over logs in a folder.

use std::fs;
use std::process::{Command, Output};

/// Runs the command over the logs of two instances.
fn trace(request: &str, logs: [&str; 2]) -> Output {
    let folder = tempfile::tempdir().expect("a folder is created");
    let mut command = Command::new(env!("CARGO_BIN_EXE_hibiscusctl"));
    command.args(["trace", "--request", request]);
    for (index, lines) in logs.iter().enumerate() {
        let path = folder.path().join(format!("i-{}.log", index + 1));
        fs::write(&path, lines).expect("the log is written");
        command.arg(path);
    }
    command.output().expect("the command runs")
}

const FIRST_LOG: &str = "\
2026-12-05T13:03:40.000Z WARN engine::pool HB3001 member_lost endpoint=m-9 cause=\"too early\"
2026-12-05T13:03:48.100Z WARN engine::instance HB4001 platform_lost service=store
2026-12-05T13:03:48.200Z INFO engine::pool HB3002 member_found endpoint=m-7
2026-12-05T13:03:48.542Z INFO engine::statement HB2004 request_retried request=r1 service=a endpoint=m-2
2026-12-05T13:03:48.543Z INFO engine::statement HB2004 request_retried request=r10 service=a endpoint=m-2
not a line of a log
2026-12-05T13:03:48.600Z INFO engine::caller HB2003 request_refused request=r1 cause=\"no x=y here\"
";
const SECOND_LOG: &str = "\
2026-12-05T13:03:48.400Z WARN engine::pool HB3001 member_lost endpoint=m-2 cause=\"timed out\"
2026-12-05T13:03:48.450Z WARN engine::pool HB3001 member_lost endpoint=m-7 cause=\"timed out\"
2026-12-05T13:03:49.000Z INFO engine::pool HB3002 member_found endpoint=m-2
2026-12-05T13:03:49.601Z INFO engine::pool HB3001 member_lost endpoint=m-2 cause=\"too late\"
";

#[test]
fn a_request_is_shown_with_the_events_that_concern_it() {
    let output = trace("r1", [FIRST_LOG, SECOND_LOG]);
    assert!(output.status.success());
    let expected = "\
request r1: 2 lines, marked with >
2026-12-05T13:03:48.100Z i-1   HB4001 platform_lost service=store
2026-12-05T13:03:48.400Z i-2   HB3001 member_lost endpoint=m-2 cause=\"timed out\"
2026-12-05T13:03:48.542Z i-1 > HB2004 request_retried request=r1 service=a endpoint=m-2
2026-12-05T13:03:48.600Z i-1 > HB2003 request_refused request=r1 cause=\"no x=y here\"
2026-12-05T13:03:49.000Z i-2   HB3002 member_found endpoint=m-2
";
    assert_eq!(String::from_utf8_lossy(&output.stdout), expected);
}

// A refusal names the database only.
#[test]
fn a_request_without_endpoint_is_shown_with_the_events_of_its_instance() {
    let refused =
        "2026-12-05T13:03:48.300Z INFO engine::caller HB2003 request_refused request=r3\n";
    let output = trace("r3", [&format!("{FIRST_LOG}{refused}"), SECOND_LOG]);
    let text = String::from_utf8_lossy(&output.stdout);
    let shown: Vec<&str> = text.lines().skip(1).map(|line| &line[25..41]).collect();
    assert_eq!(shown, ["i-1   HB4001 pla", "i-1   HB3002 mem", "i-1 > HB2003 req"], "{text}");
}

#[test]
fn a_request_that_no_log_names_is_an_error() {
    let output = trace("r2", [FIRST_LOG, SECOND_LOG]);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("no log names request \"r2\""));
}
