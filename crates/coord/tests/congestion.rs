//! Replays event loops that fall behind, and checks when an instance counts as congested.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coord::congestion::{CongestionDetector, may_move};
use coord::membership::{InstanceKey, InstanceRecord, MemberStatus, MembershipTable};

const INTERVAL: Duration = Duration::from_millis(200);

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Detector with a clock that timers advance.
struct TestLoop {
    detector: CongestionDetector,
    now: Instant,
}

impl TestLoop {
    fn new() -> Self {
        Self { detector: CongestionDetector::default(), now: Instant::now() }
    }

    /// Runs timers that are each late by `delay` for `span`; returns how often the state changed.
    fn run(&mut self, delay: Duration, span: Duration) -> usize {
        let (end, mut changes) = (self.now + span, 0);
        while self.now < end {
            let before = self.detector.is_congested();
            self.now += INTERVAL + delay;
            self.detector.record(INTERVAL, INTERVAL + delay, self.now);
            changes += usize::from(self.detector.is_congested() != before);
        }
        changes
    }
}

// Slow instances under a burst kept what they owned, and callers of all instances waited for them.
#[test]
fn a_slow_instance_is_congested_within_a_second() {
    let mut event_loop = TestLoop::new();
    event_loop.run(millis(10), millis(5_000));
    assert!(!event_loop.detector.is_congested());
    event_loop.run(millis(250), millis(1_000));
    assert!(event_loop.detector.is_congested());
    assert!(event_loop.detector.avoids_callers(event_loop.now));
}

// An instance with a tenth of a core stands still for most of each scheduling period under load.
#[test]
fn a_small_share_of_the_processor_is_no_congestion() {
    let mut event_loop = TestLoop::new();
    assert_eq!(event_loop.run(millis(88), millis(20_000)), 0);
}

#[test]
fn a_suspension_is_no_congestion() {
    let mut event_loop = TestLoop::new();
    for _ in 0..5 {
        event_loop.run(millis(5), millis(2_000));
        event_loop.run(millis(3_500), millis(100));
        assert!(!event_loop.detector.is_congested());
    }
}

// An instance that owns nothing keeps up, took everything back and fell behind again.
#[test]
fn an_instance_that_stays_slow_gets_its_work_back_less_and_less_often() {
    let mut event_loop = TestLoop::new();
    let start = event_loop.now;
    let mut changes = 0;
    while event_loop.now < start + millis(60_000) {
        let delay = if event_loop.detector.is_congested() { millis(5) } else { millis(300) };
        changes += event_loop.run(delay, INTERVAL);
    }
    assert!(changes <= 9, "{changes} changes in a minute");
}

#[test]
fn an_instance_that_keeps_up_takes_callers_before_it_owns_anything() {
    let mut event_loop = TestLoop::new();
    event_loop.run(millis(300), millis(2_000));
    event_loop.run(millis(2), millis(3_200));
    assert!(event_loop.detector.is_congested());
    assert!(!event_loop.detector.avoids_callers(event_loop.now));
    event_loop.run(millis(2), millis(3_000));
    assert!(!event_loop.detector.is_congested());
}

/// Returns a table of one instance and its live peers, with their keys.
fn table_of(size: usize) -> (MembershipTable, Vec<InstanceKey>) {
    let now = Instant::now();
    let record = |index: usize| InstanceRecord {
        name: format!("instance-{index}"),
        address: SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16)),
        zone: format!("zone-{}", index % 3),
        incarnation: 1,
        capacity: 250,
    };
    let mut table = MembershipTable::new(record(0), now);
    let mut keys = vec![table.own_key()];
    for index in 1..size {
        let key = table.add(&record(index), now).expect("the record is new");
        table.subscriber_connected(key, now);
        keys.push(key);
    }
    (table, keys)
}

// Whatever is owned moves away from few congested instances, and stays if the whole fleet is slow.
#[test]
fn owners_are_congested_only_if_too_many_instances_are() {
    let (mut table, keys) = table_of(9);
    let congested = MemberStatus { is_congested: true, ..MemberStatus::default() };
    let owners = |table: &MembershipTable| -> Vec<InstanceKey> {
        let endpoints = (0..30).map(|index| format!("endpoint-{index}"));
        let connections =
            endpoints.flat_map(|endpoint| table.connection_owners(&endpoint, "zone-1", 1));
        let teams = (0..30).map(|index| format!("team-{index}"));
        connections.chain(teams.flat_map(|team| table.fleet_owners(&team, 1))).collect()
    };
    let before = owners(&table);
    for (count, key) in keys[1..].iter().enumerate() {
        table.record_status(*key, 1, &congested);
        let slow = &keys[1..=count + 1];
        let owners = owners(&table);
        if may_move(slow.len(), keys.len()) {
            assert!(owners.iter().all(|owner| !slow.contains(owner)), "{} congested", slow.len());
        } else {
            assert_eq!(owners, before, "{} congested", slow.len());
        }
    }
}
