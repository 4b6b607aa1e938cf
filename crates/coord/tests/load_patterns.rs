//! Replays the load patterns that the priority queue, team quotas and endpoint placement handle.

mod common;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use common::{Choices, check_cases};
use coord::connection_reuse::ConnectionHint;
use coord::placement::{
    EndpointView, PlacedRead, RankedCandidate, ReadCandidate, connection_limit,
    order_by_expected_time,
};
use coord::priority::{PermitKey, PriorityQueue, RequestKind, StartWindow};
use coord::queue::QueueRefusal;
use coord::quota::{LimitShare, LimitWindow, TOKEN_TIMEOUT, TeamLimit, TeamQuotas, TokenRequest};
use coord::replica_lag::{ReplicaLag, RequiredPosition};
use coord::service_time::ServiceClass;
use coord::watermark::{Watermark, WatermarkRing};
use state::position::LogPosition;

/// Defines a test with the start time of its load.
macro_rules! load_case {
    ($name:ident, $start:ident => $body:block) => {
        #[test]
        fn $name() {
            let $start = Instant::now();
            $body
        }
    };
}

const WINDOW_LENGTH: Duration = Duration::from_secs(5);
const WINDOW: LimitWindow =
    LimitWindow { length: WINDOW_LENGTH, overage_ratio: 0.1, slack_operations: 20.0 };

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns a request for a token of the quota owner.
fn token_request(priority_rank: usize, max_wait: Duration) -> TokenRequest {
    let share = LimitShare::Reachable;
    TokenRequest { priority_rank, max_wait, is_starting: false, share }
}

/// Returns the quotas of an instance that has been alone for so long that all buckets are full.
fn full_quotas(now: Instant) -> TeamQuotas {
    let mut quotas = TeamQuotas::new(WINDOW);
    quotas.record_reachable(1, 1, now);
    quotas.record_owner_change(now - Duration::from_secs(60));
    quotas
}

/// Returns the kind of a request of the only service class.
fn request_kind(level: u32, team: u32) -> RequestKind<u32> {
    RequestKind { level, team, class: ServiceClass::default() }
}

/// Runs requests of `hold` each, one after another, so that the queue expects it.
fn teach_hold_time(queue: &mut PriorityQueue<u32, usize>, hold: Duration, start: Instant) {
    for _ in 0..200 {
        let permit = queue.try_acquire(request_kind(1, 1), start).expect("a permit is free");
        queue.release(permit, start + hold);
    }
}

/// Simulates a queue with one permit, which each request holds for 10 ms, under `arrivals`
/// (priority, team) 1 ms apart. Returns their indices in start order, without refused ones.
fn simulate_queue(arrivals: &[(u32, u32)], max_wait: Duration, start: Instant) -> Vec<usize> {
    let mut queue = PriorityQueue::new(1);
    let mut started = Vec::new();
    let mut running: Option<(PermitKey, Instant)> = None;
    let mut expired = Vec::new();
    let end = arrivals.len() as u64 + 10 * arrivals.len() as u64 + 50;
    for tick in 0..end {
        let now = start + millis(tick);
        if let Some((permit, _)) = running.take_if(|(_, since)| now - *since >= millis(10)) {
            queue.release(permit, now);
            if let Some((index, permit)) = queue.pop(now, &mut expired) {
                started.push(index);
                running = Some((permit, now));
            }
        }
        if let Some((level, team)) = arrivals.get(tick as usize) {
            let kind = request_kind(*level, *team);
            if let Some(permit) = queue.try_acquire(kind, now) {
                started.push(tick as usize);
                running = Some((permit, now));
            } else {
                let window = StartWindow::in_time(now + max_wait);
                if queue.push(kind, tick as usize, window, now).is_err() {
                    expired.push(tick as usize);
                }
            }
        }
    }
    started
}

load_case!(high_priority_requests_overtake_queued_ones, start => {
    let mut arrivals = vec![(2, 1); 20];
    arrivals.push((1, 2));
    let started = simulate_queue(&arrivals, millis(10_000), start);
    let position = started.iter().position(|index| *index == 20).expect("it starts");
    assert!(position <= 3, "the high-priority request started at position {position} of {started:?}");
});

// Guards against refusing a request because another team's slow statements fill the queue: teams
// are served round robin, so the request is next to start.
load_case!(flooding_team_does_not_cause_refusals_of_another, start => {
    let mut queue = PriorityQueue::new(4).with_anticipation(true);
    teach_hold_time(&mut queue, millis(100), start);
    let permits: Vec<PermitKey> = (0..4).filter_map(|_| queue.try_acquire(request_kind(1, 1), start)).collect();
    assert_eq!(permits.len(), 4);
    let window = StartWindow::in_time(start + millis(300));
    let queued = (0..40).filter(|index| queue.push(request_kind(1, 1), *index, window, start).is_ok()).count();
    assert!((8..=12).contains(&queued), "{queued} queued, 8 to 12 can start in time");
    assert!(queue.push(request_kind(1, 2), 40, window, start).is_ok(), "the other team is next");
    let mut expired = Vec::new();
    let mut order = Vec::new();
    for permit in &permits[..3] {
        queue.release(*permit, start + millis(100));
        order.extend(queue.pop(start, &mut expired).map(|(index, _)| index));
    }
    assert!(order.contains(&40), "{order:?}");
});

load_case!(flooding_team_does_not_delay_another_of_the_same_priority, start => {
    let mut arrivals = vec![(1, 1); 30];
    arrivals.push((1, 2));
    let started = simulate_queue(&arrivals, millis(10_000), start);
    let position = started.iter().position(|index| *index == 30).expect("it starts");
    assert!(position <= 5, "the other team started at position {position}");
});

load_case!(requests_that_would_start_too_late_are_refused_on_arrival, start => {
    let arrivals = vec![(1, 1); 60];
    let started = simulate_queue(&arrivals, millis(100), start);
    // 60 requests of 10 ms arrive within 60 ms; about ten can start within 100 ms of arrival.
    assert!((8..=18).contains(&started.len()), "{} started", started.len());
});

load_case!(refusal_reports_the_expected_wait, start => {
    let mut queue = PriorityQueue::new(1);
    assert!(queue.try_acquire(request_kind(1, 1), start).is_some());
    let window = StartWindow::in_time(start + millis(10_000));
    for index in 0..5 {
        queue.push(request_kind(1, 1), index, window, start).expect("it can start in time");
    }
    let refused = queue.push(request_kind(1, 1), 9, StartWindow::in_time(start + millis(1)), start);
    match refused {
        Err(QueueRefusal::DeadlineExceeded { expected_wait }) => assert!(expected_wait >= millis(50), "{expected_wait:?}"),
        other => panic!("{other:?}"),
    }
});

/// Checks that admissions of a team never exceed its limit in any window, for any mix of priorities
/// and arrival times.
#[test]
fn no_window_admits_more_than_the_limit() {
    check_cases(300, 400, |choices: &mut Choices| {
        let start = Instant::now();
        let limit = TeamLimit {
            rate: 5.0 + choices.below(60) as f64,
            burst: 1.0 + choices.below(60) as f64,
        };
        let mut quotas = full_quotas(start);
        let mut starts: Vec<Duration> = Vec::new();
        let mut now = Duration::ZERO;
        while !choices.is_done() {
            now += millis(choices.below(60) as u64);
            quotas.record_reachable(1, 1, start + now);
            for _ in 0..choices.below(12) {
                let higher_priorities = choices.below(3);
                if let Ok(delay) = quotas.take(
                    "team",
                    limit,
                    token_request(higher_priorities, TOKEN_TIMEOUT),
                    start + now,
                ) {
                    starts.push(now + delay);
                }
            }
        }
        starts.sort();
        for (index, first) in starts.iter().enumerate() {
            let admitted =
                starts[index..].iter().take_while(|at| **at < *first + WINDOW_LENGTH).count();
            let allowed = limit.rate * WINDOW_LENGTH.as_secs_f64() + limit.burst + 1.0;
            assert!(admitted as f64 <= allowed, "{admitted} of {allowed} after {first:?}");
        }
    });
}

load_case!(sides_of_a_partition_together_stay_within_the_limit, start => {
    let limit = TeamLimit { rate: 40.0, burst: 40.0 };
    let mut admitted = 0;
    for (reachable, registered) in [(6, 9), (1, 9), (1, 9), (1, 9)] {
        let mut quotas = TeamQuotas::new(WINDOW);
        for tick in 0..500 {
            let now = start + millis(10 * tick);
            quotas.record_reachable(reachable, registered, now);
            for _ in 0..5 {
                admitted += usize::from(quotas.take("team", limit, token_request(0, Duration::ZERO), now).is_ok());
            }
        }
    }
    let allowed = (limit.rate * 5.0 + limit.burst) * 1.1 + 20.0;
    assert!(admitted as f64 <= allowed, "{admitted} of {allowed}");
});

// Guards against admitting the whole limit on every instance: 100 of 300 instances are cut off from
// the quota owner and do not know it yet.
load_case!(instances_without_a_quota_owner_admit_their_own_share, start => {
    let limit = TeamLimit { rate: 100.0, burst: 100.0 };
    let request =
        TokenRequest { share: LimitShare::OneInstance, ..token_request(0, Duration::ZERO) };
    let mut admitted = 0;
    for _ in 0..100 {
        let mut quotas = TeamQuotas::new(WINDOW);
        for tick in 0..250 {
            let now = start + millis(10 * tick);
            quotas.record_reachable(300, 300, now);
            admitted += usize::from(quotas.take("team", limit, request, now).is_ok());
        }
    }
    let allowed = ((limit.rate * 2.5 + limit.burst) * 1.1 + 20.0) / 3.0;
    assert!(admitted as f64 <= allowed, "{admitted} of {allowed}");
});

// The smaller side of a partition admitted its part of the limit before the larger one had noticed.
load_case!(the_smaller_side_of_a_partition_waits_for_the_larger_one, start => {
    let limit = TeamLimit { rate: 100.0, burst: 100.0 };
    for (reached, least, most) in [(3, 0, 16), (5, 40, 111)] {
        let mut quotas = TeamQuotas::new(WINDOW);
        let mut admitted = [0; 6];
        for tick in 0..600 {
            let now = start + millis(10 * tick);
            quotas.record_reachable(if tick == 0 { 9 } else { reached }, 9, now);
            for _ in 0..5 {
                let request = token_request(0, Duration::ZERO);
                let is_admitted = quotas.take("team", limit, request, now).is_ok();
                admitted[tick as usize / 100] += usize::from(is_admitted);
            }
        }
        assert!((least..=most).contains(&admitted[0]), "{reached} of 9: {admitted:?}");
        let later = admitted[1..].iter().sum::<usize>();
        assert!(later >= 50 * reached, "{reached} of 9 have their part: {admitted:?}");
    }
});

// Guards against admitting a full burst at every change of a team's quota owner: all instances
// restart, and the team's quota owner changes and changes back within one window.
load_case!(new_quota_owners_stay_within_the_overage, start => {
    let limit = TeamLimit { rate: 40.0, burst: 40.0 };
    let mut admitted = 0;
    for (from, to, is_full) in [(0, 2_000, true), (2_000, 3_500, false), (3_500, 5_000, false)] {
        let mut quotas = if is_full { full_quotas(start) } else { TeamQuotas::new(WINDOW) };
        for tick in from / 10..to / 10 {
            let now = start + millis(10 * tick);
            quotas.record_reachable(1, 1, now);
            for _ in 0..5 {
                admitted += usize::from(quotas.take("team", limit, token_request(0, Duration::ZERO), now).is_ok());
            }
        }
    }
    let allowed = (limit.rate * 5.0 + limit.burst) * 1.1 + 20.0;
    assert!(admitted as f64 <= allowed, "{admitted} of {allowed}");
    assert!(admitted >= 200, "only {admitted} within the limit were admitted");
});

// Guards against admitting a full burst after a suspension: another instance was the quota owner
// meanwhile and has admitted operations, while the old bucket would have refilled.
load_case!(suspended_quota_owner_admits_no_full_burst, start => {
    let limit = TeamLimit { rate: 1.0, burst: 500.0 };
    let mut quotas = full_quotas(start);
    let mut count_admitted = |now| {
        quotas.record_reachable(1, 1, now);
        (0..1_000).filter(|_| quotas.take("team", limit, token_request(0, Duration::ZERO), now).is_ok()).count()
    };
    assert!(count_admitted(start) >= 200, "the first bucket starts full");
    let admitted = count_admitted(start + millis(4_000));
    assert!(admitted as f64 <= (limit.rate * 5.0 + limit.burst) * 0.1 + 20.0, "{admitted}");
});

load_case!(team_over_its_limit_reserves_tokens_for_high_priority, start => {
    let limit = TeamLimit { rate: 20.0, burst: 20.0 };
    let mut quotas = full_quotas(start);
    let (mut high, mut low) = (0, 0);
    for tick in 0..1_000_u64 {
        let now = start + millis(10 * tick);
        quotas.record_reachable(1, 1, now);
        // 50 low-priority and 5 high-priority operations per second for 20 tokens per second.
        if tick % 2 == 0 {
            low += usize::from(quotas.take("team", limit, token_request(1, Duration::ZERO), now).is_ok());
        }
        if tick % 20 == 0 {
            high += usize::from(quotas.take("team", limit, token_request(0, Duration::ZERO), now).is_ok());
        }
    }
    assert_eq!(high, 50, "every high-priority operation is admitted");
    assert!(low >= 140, "only {low} low-priority operations were admitted");
});

// Guards against spending tokens on operations that can no longer meet their target latency: a team
// sends 1.5 times its limit for ten seconds, and its callers retry refused operations twice.
load_case!(team_over_its_limit_is_admitted_only_in_time, start => {
    let limit = TeamLimit { rate: 100.0, burst: 100.0 };
    let min_backoff = millis(50);
    // The shortest target latency in use minus the work of a statement.
    let max_start_delay = millis(200 - 30);
    let mut quotas = full_quotas(start);
    let mut arrivals: BinaryHeap<Reverse<(Duration, Duration, u32)>> =
        (0..1_500).map(|index| Reverse((millis(index * 20 / 3), millis(index * 20 / 3), 0))).collect();
    let (mut in_time, mut late) = (0, 0);
    while let Some(Reverse((at, first_at, retries))) = arrivals.pop() {
        quotas.record_reachable(1, 1, start + at);
        match quotas.take("team", limit, token_request(0, TOKEN_TIMEOUT), start + at) {
            Ok(delay) if at + delay - first_at > max_start_delay => late += 1,
            Ok(_) => in_time += 1,
            Err(error) if retries < 2 => {
                arrivals.push(Reverse((at + error.retry_after.max(min_backoff), first_at, retries + 1)));
            }
            Err(_) => {}
        }
    }
    assert_eq!(late, 0, "{in_time} were admitted in time");
    assert!(in_time >= 1_000, "only {in_time} within the limit were admitted");
});

fn candidate(
    same_zone: bool,
    leads: bool,
    queue_ms: u64,
    index: u64,
    now: Instant,
) -> ReadCandidate {
    let position = LogPosition::new(1, index);
    let mut watermarks = WatermarkRing::default();
    for (age_ms, confirmed) in [(100, 4), (0, 10)] {
        let watermark =
            Watermark { as_of: now - millis(age_ms), position: LogPosition::new(1, confirmed) };
        watermarks.record(watermark);
    }
    let view = EndpointView {
        position: Some((position, now)),
        lag: ReplicaLag::observe(position, &watermarks, now),
        queue_delay: Some((millis(queue_ms), now)),
        ..EndpointView::default()
    };
    ReadCandidate { view, same_zone, leads }
}

/// Orders the candidates of a read by expected time, the better of the best two first.
fn order_for_read(
    candidates: &[ReadCandidate],
    required: Option<LogPosition>,
    now: Instant,
) -> Vec<usize> {
    let ranked = candidates.iter().enumerate().map(|(index, candidate)| {
        RankedCandidate::new(*candidate, index as u64, ConnectionHint::Open)
    });
    let mut ranked: Vec<RankedCandidate> = ranked.collect();
    let required = required.map(|position| RequiredPosition { position, reached_at: now });
    let read = PlacedRead { required, service_time: millis(10), draw: 1.0 };
    order_by_expected_time(&mut ranked, &read, now)
}

load_case!(reads_avoid_a_saturated_replica_in_the_same_zone, start => {
    let required = Some(LogPosition::new(1, 10));
    let saturated_same_zone = candidate(true, false, 80, 10, start);
    let idle_other_zone = candidate(false, false, 0, 10, start);
    let leader = candidate(false, true, 0, 10, start);
    assert_eq!(order_for_read(&[saturated_same_zone, idle_other_zone, leader], required, start), [1, 2, 0]);
});

load_case!(reads_avoid_a_lagging_replica, start => {
    let required = Some(LogPosition::new(1, 10));
    let lagging = candidate(true, false, 0, 4, start);
    let caught_up = candidate(false, false, 0, 10, start);
    assert_eq!(order_for_read(&[lagging, caught_up], required, start)[0], 1);
});

load_case!(reads_without_a_watermark_need_the_leader, start => {
    let replica = candidate(true, false, 0, 10, start);
    let leader = candidate(false, true, 50, 10, start);
    assert_eq!(order_for_read(&[replica, leader], None, start), [1]);
});

load_case!(recently_failed_endpoint_comes_last, start => {
    let mut failed = candidate(true, false, 0, 10, start);
    failed.view.failed_at = Some(start);
    let other = candidate(false, false, 30, 10, start);
    let required = Some(LogPosition::new(1, 1));
    assert_eq!(order_for_read(&[failed, other], required, start), [1, 0]);
    let later = start + millis(1_000);
    assert_eq!(order_for_read(&[failed, other], required, later)[0], 0);
});

load_case!(sides_of_a_partition_together_stay_within_the_connection_limit, _start => {
    for (connections, sides) in [(23, vec![6, 1, 1, 1]), (34, vec![8, 1]), (62, vec![40, 30, 19])] {
        let registered: usize = sides.iter().sum();
        let limit = |side: &usize| connection_limit(connections, *side as f64 / registered as f64);
        let total: usize = sides.iter().map(limit).sum();
        assert!(total <= connections, "{total} of {connections} by {sides:?}");
    }
    assert!(connection_limit(23, 1.0) >= 18, "a single owner has nearly all");
});

// Guards against refusing teams within their limit after all instances lost power: their buckets
// were created while the quota owner knew few of the others, and stayed nearly empty.
load_case!(buckets_of_a_starting_fleet_get_their_initial_tokens, start => {
    let limit = TeamLimit { rate: 15.0, burst: 15.0 };
    let admitted_after = |is_starting: bool| {
        let mut quotas = TeamQuotas::new(WINDOW);
        let request = TokenRequest { is_starting, ..token_request(0, TOKEN_TIMEOUT) };
        let mut admitted = 0;
        for tick in 0..50 {
            // The owner of the team finds 84 instances within 300 ms.
            let now = start + millis(10 * tick);
            quotas.record_reachable((1 + 3 * tick as usize).min(84), 84, now);
            // Two requests arrive every 100 ms, four thirds of the rate.
            for _ in 0..if tick % 10 == 0 { 2 } else { 0 } {
                admitted += usize::from(quotas.take("team", limit, request, now).is_ok());
            }
        }
        admitted
    };
    assert!(admitted_after(true) >= 8, "{} of 10 admitted", admitted_after(true));
    assert!(admitted_after(false) <= 6, "the load refuses nothing: {}", admitted_after(false));
    // The tokens are no more than those of an owner that knows all others at once.
    let mut quotas = TeamQuotas::new(WINDOW);
    let request = TokenRequest { is_starting: true, ..token_request(0, Duration::ZERO) };
    let mut admitted = 0;
    for reached in [1, 84, 42, 84, 84] {
        quotas.record_reachable(reached, 84, start);
        while quotas.take("team", limit, request, start).is_ok() {
            admitted += 1;
        }
    }
    let window = limit.rate * WINDOW_LENGTH.as_secs_f64() + limit.burst;
    let initial = (window * WINDOW.overage_ratio + WINDOW.slack_operations) / 3.0;
    assert!(f64::from(admitted) <= initial, "{admitted} admitted, {initial} initial tokens");
});
