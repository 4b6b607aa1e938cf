//! Compares docs/EVENTS.md with the catalogue of log events.

use telemetry::event::LogEvent;

#[test]
fn events_page_lists_every_event() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/EVENTS.md");
    let page = std::fs::read_to_string(path).expect("docs/EVENTS.md is readable");
    let rows: Vec<&str> = page.lines().filter(|line| line.starts_with("| HB")).collect();
    assert_eq!(rows.len(), LogEvent::ALL.len());
    for event in LogEvent::ALL {
        let level = event.level().to_string().to_lowercase();
        let prefix = format!("| HB{} | {level} | {} |", *event as u16, event.label());
        assert!(rows.iter().any(|row| row.starts_with(&prefix)), "{prefix}");
    }
}
