//! Registrations of members that start cold, as the directory applies them.

use std::time::{Duration, Instant};

use engine::directory::FleetDirectory;
use engine::record::EndpointRecord;
use state::store_version::StoreVersion;

const SECOND: Duration = Duration::from_secs(1);

/// Version of the registrations' rows.
const ROW: StoreVersion = StoreVersion { history: 1, number: 1 };

fn registration(started_ms: u64, cold_remaining: Duration) -> EndpointRecord {
    EndpointRecord {
        name: "m-1".to_owned(),
        service: "bookings".to_owned(),
        address: ([127, 0, 0, 1], 4_000).into(),
        zone: "a".to_owned(),
        slots: 5,
        leaving: false,
        leads: false,
        cold_remaining,
        started_ms,
        sequence: 1,
    }
}

fn is_cold(directory: &FleetDirectory, now: Instant) -> bool {
    directory.endpoint("m-1").is_some_and(|entry| entry.cold.is_cold(8 * SECOND, now))
}

// Guards against an instance that starts and holds every member back for its cold start.
#[test]
fn only_processes_that_start_later_are_cold() {
    let start = Instant::now();
    let mut directory = FleetDirectory::new(SECOND);
    assert!(directory.apply_endpoint(registration(1, Duration::ZERO), ROW, start));
    assert!(!is_cold(&directory, start), "it may have run for long");
    directory.set_endpoints_loaded();
    assert!(directory.apply_endpoint(registration(2, Duration::ZERO), ROW, start));
    assert!(is_cold(&directory, start + 7 * SECOND));
    assert!(!is_cold(&directory, start + 9 * SECOND));
}

// Guards against a log line for each registration of a member that counts its cold time down.
#[test]
fn a_count_down_applies_but_is_no_change() {
    let start = Instant::now();
    let mut directory = FleetDirectory::new(SECOND);
    assert!(directory.apply_endpoint(registration(1, 4 * SECOND), ROW, start));
    assert!(!directory.apply_endpoint(registration(1, SECOND), ROW, start + SECOND));
    assert!(is_cold(&directory, start + SECOND));
    assert!(!is_cold(&directory, start + 3 * SECOND));
    directory.unregister_endpoint("m-1", start + 3 * SECOND);
    assert!(directory.apply_endpoint(registration(1, SECOND), ROW, start + 4 * SECOND));
}
