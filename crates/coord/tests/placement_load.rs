//! Replays the loads that the placement of reads by expected time handles. Each load also runs with
//! the rule for an even load, and the test fails where that rule would do as well.

mod common;

use std::time::{Duration, Instant};

use common::fleet_model::{FleetLoad, FleetResult, MemberFault, run_fleet};
use common::{Choices, check_cases};
use coord::connection_reuse::{ConnectionHint, ConnectionReuse};
use coord::endpoint_health::{EndpointHealth, EndpointSample, HealthView, ServiceBaseline};
use coord::placement::{
    EndpointView, PlacedRead, RankedCandidate, ReadCandidate, order_by_expected_time,
};
use coord::replica_lag::{ReplicaLag, RequiredPosition};
use coord::service_time::ServiceClass;
use coord::watermark::{Watermark, WatermarkRing};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use state::position::LogPosition;

const SLOWNESS: f64 = 5.7;
const HEALTHY: MemberFault =
    MemberFault { slowness: 1.0, failure_share: 0.0, network_delay: [Duration::ZERO; 3] };

/// Runs a load with the rule for an even load and with the rule for an uneven one.
fn compare(name: &str, load: impl Fn() -> FleetLoad) -> (FleetResult, FleetResult) {
    let [even, uneven] = [false, true]
        .map(|by_expected_time| run_fleet(&FleetLoad { by_expected_time, ..load() }, 7));
    for (rule, result) in [("even", &even), ("uneven", &uneven)] {
        println!(
            "{name}, {rule} rule: {:.4} in time, mean {:?}, failed {}, attempts {:?}, cross-zone {}, longest wait {:?}",
            result.in_time_share(),
            result.mean_latency(),
            result.failed,
            result.attempts,
            result.cross_zone,
            result.max_wait
        );
    }
    (even, uneven)
}

// Guards against paying for the rule while no member is slow: affinity costs hops, but no request is
// late and the leader stays free.
#[test]
fn even_load_stays_in_time() {
    let (even, uneven) = compare("even load", FleetLoad::default);
    assert_eq!(uneven.in_time, uneven.requests);
    assert!(uneven.mean_latency() < even.mean_latency() + Duration::from_millis(1));
    assert!(uneven.attempt_share(0) < 0.01, "the leader's slots stay free for writes");
}

// Guards against filling the queue of a slow member because it is in the caller's zone, and against
// avoiding it for good: it is slow from second 10 to 40.
#[test]
fn slow_member_is_avoided_and_used_again() {
    let fault = |member, at: Duration| match member {
        1 if (10..40).contains(&at.as_secs()) => MemberFault { slowness: SLOWNESS, ..HEALTHY },
        _ => HEALTHY,
    };
    let (even, uneven) = compare("slow member", || FleetLoad { fault, ..FleetLoad::default() });
    assert!(even.in_time_share() < 0.95, "{}", even.in_time_share());
    assert!(uneven.in_time_share() > 0.99, "{}", uneven.in_time_share());
    let share = |from: usize, to: usize| {
        let seconds = &uneven.by_second[from..to];
        let count = |member: usize| seconds.iter().map(|by| by[member]).sum::<usize>() as f64;
        count(1) / (count(0) + count(1) + count(2))
    };
    let (before, during, after) = (share(0, 10), share(15, 40), share(50, 60));
    println!(
        "slow member, share of reads: {before:.2} before, {during:.2} during, {after:.2} after"
    );
    assert!(during < 0.6 * before, "{during} of {before}");
    assert!(during > 0.01, "the member is probed");
    assert!(after > 0.8 * before, "{after} of {before}");
}

// Guards against overloading the only healthy member of three.
#[test]
fn two_slow_members_keep_their_share() {
    let fault = |member, _| match member {
        0 => HEALTHY,
        _ => MemberFault { slowness: SLOWNESS, ..HEALTHY },
    };
    let (even, uneven) = compare("two slow", || FleetLoad { fault, ..FleetLoad::default() });
    assert!(uneven.in_time_share() > even.in_time_share());
    assert!(uneven.attempt_share(1) + uneven.attempt_share(2) > 0.3, "{}", uneven.in_time_share());
    assert!(uneven.in_time_share() > 0.95, "{}", uneven.in_time_share());
}

// Guards against ignoring that a member is slow only for the callers of one zone, which its
// connection owner can't see.
#[test]
fn member_that_one_zone_reaches_slowly_is_avoided_there() {
    let fault = |member, _| {
        let mut fault = HEALTHY;
        if member == 1 {
            fault.network_delay[1] = Duration::from_millis(25);
        }
        fault
    };
    let (even, uneven) = compare("slow path", || FleetLoad { fault, ..FleetLoad::default() });
    assert!(uneven.mean_latency() < even.mean_latency().mul_f64(0.6));
}

// Guards against trusting a member that reports itself healthy and fails 40% of its requests: each
// failure costs an attempt elsewhere.
#[test]
fn failing_member_is_avoided() {
    let fault = |member, _| match member {
        1 => MemberFault { failure_share: 0.4, ..HEALTHY },
        _ => HEALTHY,
    };
    let (even, uneven) = compare("fails 40%", || FleetLoad { fault, ..FleetLoad::default() });
    assert!(uneven.attempts[1] * 4 < even.attempts[1], "{}", uneven.in_time_share());
    assert_eq!(uneven.failed, 0);
}

// Guards against returning the whole load to a member each time it recovers for 3 s.
#[test]
fn flapping_member_gets_less() {
    let fault = |member, at: Duration| match member {
        1 if at.as_secs() % 6 < 3 => {
            MemberFault { slowness: SLOWNESS, failure_share: 0.4, ..HEALTHY }
        }
        _ => HEALTHY,
    };
    let (even, uneven) = compare("flapping", || FleetLoad { fault, ..FleetLoad::default() });
    assert!(even.in_time_share() < 0.96, "{}", even.in_time_share());
    assert!(uneven.in_time_share() > 0.99, "{}", uneven.in_time_share());
}

// Guards against queueing in the zone that gets 80% of the demand while members elsewhere are idle.
#[test]
fn demand_of_one_zone_spreads_over_members() {
    let load = || FleetLoad {
        zone_shares: [0.1, 0.8, 0.1],
        requests_per_second: 600.0,
        ..FleetLoad::default()
    };
    let (even, uneven) = compare("80% in one zone", load);
    assert!(uneven.mean_latency() < even.mean_latency().mul_f64(0.75));
    assert!(uneven.max_wait < even.max_wait);
}

// Guards against herding: at three quarters of the capacity, all instances that know of a free
// member choose it until its queue is the longest.
#[test]
fn instances_do_not_all_choose_the_same_free_member() {
    let load = || FleetLoad { requests_per_second: 900.0, ..FleetLoad::default() };
    let (even, uneven) = compare("herd", load);
    assert!(uneven.mean_latency() < even.mean_latency().mul_f64(0.6));
    assert!(uneven.max_wait < even.max_wait.mul_f64(0.7));
}

// Guards against a herd: 84 instances learn at the same time that one replica is free while the queue of
// the other takes 80 ms.
#[test]
fn some_instances_leave_a_free_member_to_others() {
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(7);
    let mut chosen = [0; 3];
    for instance in 0..84 {
        let candidate = |index: usize| {
            let queue = Duration::from_millis(if index == 2 { 0 } else { 80 });
            let view = EndpointView { queue_delay: Some((queue, now)), ..EndpointView::default() };
            let candidate =
                ReadCandidate { view, same_zone: index == instance % 3, leads: index == 0 };
            RankedCandidate::new(candidate, index as u64, ConnectionHint::Open)
        };
        let mut candidates: [RankedCandidate; 3] = std::array::from_fn(candidate);
        let required = Some(LogPosition::new(1, 1));
        let service_time = Duration::from_millis(9);
        let required = required.map(|position| RequiredPosition { position, reached_at: now });
        let read = PlacedRead { required, service_time, draw: rng.random() };
        chosen[order_by_expected_time(&mut candidates, &read, now)[0]] += 1;
    }
    println!("free member: {chosen:?} of 84 instances");
    assert!((50..=76).contains(&chosen[2]), "{chosen:?}");
}

/// Returns how many of 500 reads, 10 ms apart, a replica refused while it was behind by `lag` at each
/// time. The leader confirms its position every 50 ms, and reads accept data of `max_staleness`.
fn refused_reads(lag: impl Fn(Duration) -> Duration, max_staleness: Duration) -> (usize, usize) {
    let start = Instant::now();
    let position_at = |at: Duration| LogPosition::new(1, at.as_millis() as u64);
    let mut views = [EndpointView::default(); 3];
    let mut watermarks = WatermarkRing::default();
    for age in (50..3_500).rev().step_by(50) {
        let at = Duration::from_millis(5_000 - age);
        watermarks.record(Watermark { as_of: start + at, position: position_at(at) });
    }
    let (mut refused, mut by_leader) = (0, 0);
    for tick in 0..500 {
        let at = Duration::from_millis(5_000 + 10 * tick);
        let now = start + at;
        if tick % 5 == 0 {
            watermarks.record(Watermark { as_of: now, position: position_at(at) });
        }
        let oldest = watermarks.oldest_within(now, max_staleness).expect("a watermark is recent");
        let position = oldest.position;
        let required = RequiredPosition { position, reached_at: oldest.as_of };
        let candidate = |index: usize| {
            let candidate =
                ReadCandidate { view: views[index], same_zone: index == 1, leads: index == 0 };
            RankedCandidate::new(candidate, index as u64, ConnectionHint::Open)
        };
        let mut candidates: [RankedCandidate; 3] = std::array::from_fn(candidate);
        let service_time = Duration::from_millis(9);
        let read = PlacedRead { required: Some(required), service_time, draw: 0.99 };
        let chosen = order_by_expected_time(&mut candidates, &read, now)[0];
        let reached = position_at(if chosen == 0 { at } else { at - lag(at) });
        views[chosen].position = Some((reached, now));
        views[chosen].lag = ReplicaLag::observe(reached, &watermarks, now);
        refused += usize::from(reached < position);
        by_leader += usize::from(chosen == 0);
    }
    (refused, by_leader)
}

fn seconds(count: f64) -> Duration {
    Duration::from_secs_f64(count)
}

// Reads were tried at a replica that lags by seconds, one by one, and refused there.
#[test]
fn lagging_replicas_are_not_read_in_vain() {
    for lag in [0.4, 1.0, 3.0] {
        let (refused, by_leader) = refused_reads(|_| seconds(lag), seconds(0.1));
        println!("lag {lag} s: {refused} refused, {by_leader} by the leader");
        assert!(refused <= 15, "{refused} of 500 reads were refused");
        assert!(by_leader >= 480, "{by_leader}");
    }
    let (refused, by_leader) = refused_reads(|_| seconds(1.0), seconds(1.5));
    assert_eq!((refused, by_leader), (0, 0), "the reads accept data of that age");
}

// A lag that begins and ends in a step: reads return to the replicas within a second.
#[test]
fn replicas_are_read_again_after_they_caught_up() {
    let lag = |at: Duration| seconds(if at < seconds(7.0) { 3.0 } else { 0.01 });
    let (refused, by_leader) = refused_reads(lag, seconds(1.5));
    assert!(refused <= 10, "{refused}");
    assert!((190..=310).contains(&by_leader), "{by_leader} of 200 and those of one second");
}

/// Checks that for any health of the members, at least half of the candidates stay within the cap of
/// the penalty.
#[test]
fn no_state_leaves_out_more_than_half_of_the_candidates() {
    check_cases(300, 40, |choices: &mut Choices| {
        let now = Instant::now();
        let (class, mut baseline) = (ServiceClass::default(), ServiceBaseline::default());
        let count = 2 + choices.below(5);
        let mut candidates = Vec::new();
        for index in 0..count {
            let mut view = EndpointView::default();
            let sample = EndpointSample {
                service_time: Some(10 + 100 * choices.below(90) as u32),
                failure_permille: choices.below(1_001) as u16,
                ..EndpointSample::default()
            };
            HealthView::update(&mut view.health, &mut baseline, class, sample, Duration::ZERO, now);
            let candidate = ReadCandidate { view, same_zone: true, leads: index == 0 };
            candidates.push(RankedCandidate::new(candidate, index as u64, ConnectionHint::Open));
        }
        let service_time = Duration::from_millis(10);
        let position = LogPosition::new(1, 1);
        let required = Some(RequiredPosition { position, reached_at: now });
        let read = PlacedRead { required, service_time, draw: 0.9 };
        let order = order_by_expected_time(&mut candidates, &read, now);
        assert_eq!(order.len(), count, "each candidate can still be tried");
        // The cap of the penalty over the service time, and for the leader its reserve and connection.
        let bound = |leads: bool| Duration::from_millis(10 + 30 + if leads { 12 + 18 } else { 0 });
        let is_kept = |candidate: &&RankedCandidate| {
            candidate.expected_time() <= bound(candidate.candidate.leads)
        };
        let kept = candidates.iter().filter(is_kept).count();
        assert!(2 * kept >= count, "{kept} of {count} are kept");
    });
}

// Guards against closing connections that are needed again soon: 84 teams, a few of them large, share
// 56 connections of each member, and a third of the requests needs the leader. Guards as well against
// keeping so many open that a power failure of all instances leaves too few.
#[test]
fn many_teams_open_fewer_connections_and_keep_fewer() {
    let load = || FleetLoad {
        connections: Some(56),
        leader_share: 0.35,
        duration: Duration::from_secs(170),
        ..FleetLoad::default()
    };
    let (even, uneven) = compare("84 teams", load);
    let opened = |result: &FleetResult| result.opened.iter().sum::<usize>();
    // The first seconds only fill the pools.
    let peak = |result: &FleetResult| {
        result.open_counts.iter().skip(60).map(|counts| counts[0]).max().unwrap_or_default()
    };
    for result in [&even, &uneven] {
        println!(
            "84 teams: opened {:?}, at most {} open to the leader",
            result.opened,
            peak(result)
        );
    }
    assert!(opened(&uneven) * 4 < opened(&even) * 3, "{:?} {:?}", uneven.opened, even.opened);
    assert!(peak(&uneven) <= 34, "{} are open", peak(&uneven));
    assert!(uneven.cross_zone < even.cross_zone * 4 / 3, "{}", uneven.cross_zone);
}

// Guards against evicting by idle time: a large team is idle for a moment while small ones come by.
#[test]
fn connection_of_a_frequent_team_outlives_those_of_others() {
    let start = Instant::now();
    let mut reuse = ConnectionReuse::default();
    for tick in 0..100 {
        reuse.record_use(1, start + Duration::from_millis(200 * tick));
    }
    let at = |millis| start + Duration::from_millis(millis);
    reuse.record_use(2, at(0));
    reuse.record_use(2, at(20_050));
    reuse.record_use(3, at(20_060));
    let teams = [1, 2, 3].into_iter();
    let evicted = reuse.least_useful(teams, at(20_100)).expect("some are idle");
    assert_eq!(evicted, 1, "the team that comes every 20 s");
    // A second connection of the same team is used only while the first one is in use.
    let evicted = reuse.least_useful([1, 1, 1].into_iter(), at(20_100)).expect("some are idle");
    assert_eq!(evicted, 0);
    assert_eq!(reuse.to_close([1, 1].into_iter(), 2, 2, at(20_100)), None, "there is room");
    assert!(reuse.to_close([1].into_iter(), 1, 2, at(200_000)).is_some(), "nobody uses it");
}

// Guards against acting on what a lost connection owner measured: its successor has no samples, and
// replies that are lost leave a view that is too old.
#[test]
fn old_views_and_new_owners_count_as_average() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let (class, mut baseline) = (ServiceClass::default(), ServiceBaseline::default());
    let sample = |units| EndpointSample {
        service_time: units,
        failure_permille: units.map_or(0, |_| 400),
        ..EndpointSample::default()
    };
    let mut view = None;
    let mut update = |view: &mut Option<HealthView>, sample, at| {
        HealthView::update(view, &mut baseline, class, sample, Duration::ZERO, at);
    };
    update(&mut None, sample(Some(100)), start);
    update(&mut view, sample(Some(570)), start);
    let known = view.expect("a sample arrived");
    assert!(known.slowness(at(500)) > 4.0 && known.failure_share(at(500)) > 0.35);
    assert!(
        (known.slowness(at(9_000)) - 1.0).abs() < 0.01 && known.failure_share(at(9_000)) < 0.01
    );
    let new_owner =
        EndpointHealth::default().sample(class, Default::default(), Duration::ZERO, start);
    assert_eq!(new_owner.service_time, None);
    for second in 1..10 {
        // A sample that arrives twice changes nothing.
        update(&mut view, sample(None), at(1_000 * second));
        update(&mut view, sample(None), at(1_000 * second));
    }
    let known = view.expect("samples arrived");
    assert!((known.slowness(at(9_000)) - 1.0).abs() < 0.01, "{}", known.slowness(at(9_000)));
}

// Reads of small teams left their zone although every member could keep a connection of each team.
#[test]
fn a_rare_team_is_read_in_its_zone_where_connections_suffice_for_all() {
    let (start, mut reuse) = (Instant::now(), ConnectionReuse::default());
    for (team, interval) in [(1, 100), (2, 5_000)] {
        for count in 0..4 {
            reuse.record_use(team, start + Duration::from_millis(interval * count));
        }
    }
    assert!(reuse.is_frequent(1, 1) && !reuse.is_frequent(2, 1), "two teams, one connection");
    assert!(reuse.is_frequent(2, 2), "a connection for each team");
}
