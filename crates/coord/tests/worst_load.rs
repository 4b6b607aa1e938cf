//! Replays the load patterns that queue, limits and placement answer.

mod common;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use common::{Choices, check_cases};
use coord::placement::{
    EndpointView, OwnerCandidate, ReadCandidate, connection_limit, order_for_read, order_owners,
};
use coord::priority::PriorityQueue;
use coord::queue::QueueRefusal;
use coord::quota::{LimitWindow, TOKEN_TIMEOUT, TeamLimit, TeamQuotas};
use state::position::LogPosition;

/// Names a test and gives it the time at which its load starts.
macro_rules! load_case {
    ($name:ident, $start:ident => $body:block) => {
        #[test]
        fn $name() {
            let $start = Instant::now();
            $body
        }
    };
}

const SPAN: Duration = Duration::from_secs(5);
const WINDOW: LimitWindow =
    LimitWindow { length: SPAN, overage_ratio: 0.1, slack_operations: 20.0 };

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Runs a queue of one permit held for 10 ms each under `arrivals` (level, team) a millisecond
/// apart, and returns the order in which they start; refused ones are missing.
fn serve(arrivals: &[(u8, u32)], patience: Duration, start: Instant) -> Vec<usize> {
    let mut queue = PriorityQueue::new(1);
    let mut started = Vec::new();
    let mut running: Option<(u8, u32, Instant)> = None;
    let mut expired = Vec::new();
    let end = arrivals.len() as u64 + 10 * arrivals.len() as u64 + 50;
    for tick in 0..end {
        let now = start + millis(tick);
        if let Some((level, team, since)) =
            running.take_if(|(_, _, since)| now - *since >= millis(10))
        {
            queue.release(level, team, now - since);
            if let Some(index) = queue.pop(now, &mut expired) {
                let (level, team) = arrivals[index];
                started.push(index);
                running = Some((level, team, now));
            }
        }
        if let Some((level, team)) = arrivals.get(tick as usize) {
            if queue.try_acquire(*level) {
                started.push(tick as usize);
                running = Some((*level, *team, now));
            } else if queue.push(*level, *team, tick as usize, now + patience, now).is_err() {
                expired.push(tick as usize);
            }
        }
    }
    started
}

load_case!(urgent_requests_pass_a_queue_of_others, start => {
    let mut arrivals = vec![(2, 1); 20];
    arrivals.push((1, 2));
    let started = serve(&arrivals, millis(10_000), start);
    let place = started.iter().position(|index| *index == 20).expect("it runs");
    assert!(place <= 3, "the urgent request started as number {place} of {started:?}");
});

// A team of slow statements fills the queue; a request of another team was refused although its turn
// comes next.
load_case!(a_flooding_team_gets_no_other_refused, start => {
    let mut queue = PriorityQueue::new(4);
    for _ in 0..200 {
        queue.try_acquire(1);
        queue.release(1, 1, millis(100));
    }
    assert_eq!((0..4).filter(|_| queue.try_acquire(1)).count(), 4);
    let latest = start + millis(300);
    let flood = (0..40).filter(|index| queue.push(1, 1, *index, latest, start).is_ok()).count();
    assert!((8..=12).contains(&flood), "only what starts in time waits, {flood}");
    assert!(queue.push(1, 2, 40, latest, start).is_ok(), "the turn of the other comes next");
    let mut expired = Vec::new();
    let mut order = Vec::new();
    for _ in 0..3 {
        queue.release(1, 1, millis(100));
        order.extend(queue.pop(start, &mut expired));
    }
    assert!(order.contains(&40), "{order:?}");
});

load_case!(a_flooding_team_does_not_delay_another_of_the_same_urgency, start => {
    let mut arrivals = vec![(1, 1); 30];
    arrivals.push((1, 2));
    let started = serve(&arrivals, millis(10_000), start);
    let place = started.iter().position(|index| *index == 30).expect("it runs");
    assert!(place <= 5, "the other team started as number {place}");
});

load_case!(requests_that_would_start_too_late_are_refused_on_arrival, start => {
    let arrivals = vec![(1, 1); 60];
    let started = serve(&arrivals, millis(100), start);
    // 60 requests of 10 ms come within 60 ms; about ten can start within 100 ms of their arrival.
    assert!((8..=18).contains(&started.len()), "{} started", started.len());
});

load_case!(a_refusal_states_the_wait, start => {
    let mut queue = PriorityQueue::new(1);
    assert!(queue.try_acquire(1));
    for index in 0..5 {
        queue.push(1, 1, index, start + millis(10_000), start).expect("there is time");
    }
    let refused = queue.push(1, 1, 9, start + millis(1), start);
    match refused {
        Err(QueueRefusal::DeadlineExceeded { expected_wait }) => assert!(expected_wait >= millis(50), "{expected_wait:?}"),
        other => panic!("{other:?}"),
    }
});

/// Admissions of a team never exceed its limit in any window, whoever asks and whatever the reach.
#[test]
fn no_window_admits_more_than_the_limit() {
    check_cases(300, 400, |choices: &mut Choices| {
        let start = Instant::now();
        let limit = TeamLimit {
            rate: 5.0 + choices.below(60) as f64,
            burst: 1.0 + choices.below(60) as f64,
        };
        let mut counters = TeamQuotas::new(WINDOW);
        let mut starts: Vec<Duration> = Vec::new();
        let mut now = Duration::ZERO;
        counters.record_reachable(1, 1, start);
        while !choices.is_done() {
            now += millis(choices.below(60) as u64);
            counters.record_reachable(1, 1, start + now);
            for _ in 0..choices.below(12) {
                let rank = choices.below(3);
                if let Ok(after) =
                    counters.take("team", limit, rank, TOKEN_TIMEOUT, true, start + now)
                {
                    starts.push(now + after);
                }
            }
        }
        starts.sort();
        for (index, first) in starts.iter().enumerate() {
            let within = starts[index..].iter().take_while(|at| **at < *first + SPAN).count();
            let allowed = limit.rate * SPAN.as_secs_f64() + limit.burst + 1.0;
            assert!(within as f64 <= allowed, "{within} of {allowed} after {first:?}");
        }
    });
}

load_case!(sides_of_a_partition_stay_within_the_limit_together, start => {
    let limit = TeamLimit { rate: 40.0, burst: 40.0 };
    let mut admitted = 0;
    for (reached, registered) in [(6, 9), (1, 9), (1, 9), (1, 9)] {
        let mut counters = TeamQuotas::new(WINDOW);
        for tick in 0..500 {
            let now = start + millis(10 * tick);
            counters.record_reachable(reached, registered, now);
            for _ in 0..5 {
                admitted += usize::from(counters.take("team", limit, 0, Duration::ZERO, false, now).is_ok());
            }
        }
    }
    let allowed = (limit.rate * 5.0 + limit.burst) * 1.1 + 20.0;
    assert!(admitted as f64 <= allowed, "{admitted} of {allowed}");
});

// All instances restart, and a team's counter moves away and back within one window.
load_case!(counters_that_start_anew_stay_within_the_tolerance, start => {
    let limit = TeamLimit { rate: 40.0, burst: 40.0 };
    let mut admitted = 0;
    for (from, to, first) in [(0, 2_000, true), (2_000, 3_500, false), (3_500, 5_000, false)] {
        let mut counters = TeamQuotas::new(WINDOW);
        for tick in from / 10..to / 10 {
            let now = start + millis(10 * tick);
            counters.record_reachable(1, 1, now);
            for _ in 0..5 {
                admitted += usize::from(counters.take("team", limit, 0, Duration::ZERO, first, now).is_ok());
            }
        }
    }
    let allowed = (limit.rate * 5.0 + limit.burst) * 1.1 + 20.0;
    assert!(admitted as f64 <= allowed, "{admitted} of {allowed}");
    assert!(admitted >= 200, "and what is within the limit is served, {admitted}");
});

load_case!(a_counter_that_was_suspended_starts_anew, start => {
    let limit = TeamLimit { rate: 1.0, burst: 500.0 };
    let mut counters = TeamQuotas::new(WINDOW);
    counters.record_reachable(1, 1, start);
    let mut take = |now, first| {
        counters.record_reachable(1, 1, now);
        (0..1_000).filter(|_| counters.take("team", limit, 0, Duration::ZERO, first, now).is_ok()).count()
    };
    assert!(take(start, true) >= 200, "a first start is full");
    let again = take(start + millis(4_000), false);
    assert!(again as f64 <= (limit.rate * 5.0 + limit.burst) * 0.1 + 20.0, "{again}");
});

load_case!(a_team_over_its_limit_keeps_tokens_for_urgent_operations, start => {
    let limit = TeamLimit { rate: 20.0, burst: 20.0 };
    let mut counters = TeamQuotas::new(WINDOW);
    let (mut urgent, mut other) = (0, 0);
    for tick in 0..1_000_u64 {
        let now = start + millis(10 * tick);
        counters.record_reachable(1, 1, now);
        // Fifty others a second and five urgent ones, against twenty tokens.
        if tick % 2 == 0 {
            other += usize::from(counters.take("team", limit, 1, Duration::ZERO, true, now).is_ok());
        }
        if tick % 20 == 0 {
            urgent += usize::from(counters.take("team", limit, 0, Duration::ZERO, true, now).is_ok());
        }
    }
    assert_eq!(urgent, 50, "every urgent operation passes");
    assert!(other >= 140, "the others get the rest, {other}");
});

// The only team of a service sends half as much again as its limit for ten seconds, and its callers
// come back twice. What the limit allows must not go to those for whom it is too late.
load_case!(a_team_over_its_limit_is_served_while_it_is_of_use, start => {
    let limit = TeamLimit { rate: 100.0, burst: 100.0 };
    let least_pause = millis(50);
    // The shortest target latency in use less the work of a statement.
    let latest = millis(200 - 30);
    let mut counters = TeamQuotas::new(WINDOW);
    let mut asked: BinaryHeap<Reverse<(Duration, Duration, u32)>> =
        (0..1_500).map(|index| Reverse((millis(index * 20 / 3), millis(index * 20 / 3), 0))).collect();
    let (mut served, mut late) = (0, 0);
    while let Some(Reverse((at, first, returns))) = asked.pop() {
        counters.record_reachable(1, 1, start + at);
        match counters.take("team", limit, 0, TOKEN_TIMEOUT, true, start + at) {
            Ok(after) if at + after - first > latest => late += 1,
            Ok(_) => served += 1,
            Err(delay) if returns < 2 => {
                asked.push(Reverse((at + delay.retry_after.max(least_pause), first, returns + 1)));
            }
            Err(_) => {}
        }
    }
    assert_eq!(late, 0, "beside {served} in time");
    assert!(served >= 1_000, "what the limit allows is served, {served}");
});

fn candidate(near: bool, leads: bool, queue_ms: u64, index: u64, now: Instant) -> ReadCandidate {
    let view = EndpointView {
        position: Some((LogPosition::new(1, index), now)),
        queue_delay: Some((millis(queue_ms), now)),
        ..EndpointView::default()
    };
    ReadCandidate { view, same_zone: near, leads }
}

load_case!(reads_leave_a_full_replica_nearby, start => {
    let needed = Some(LogPosition::new(1, 10));
    let near_full = candidate(true, false, 80, 10, start);
    let far_free = candidate(false, false, 0, 10, start);
    let leader = candidate(false, true, 0, 10, start);
    assert_eq!(order_for_read(&[near_full, far_free, leader], needed, start), [1, 2, 0]);
});

load_case!(reads_pass_over_a_replica_that_lags, start => {
    let needed = Some(LogPosition::new(1, 10));
    let lagging = candidate(true, false, 0, 4, start);
    let current = candidate(false, false, 0, 10, start);
    assert_eq!(order_for_read(&[lagging, current], needed, start)[0], 1);
});

load_case!(reads_without_a_mark_need_the_leader, start => {
    let replica = candidate(true, false, 0, 10, start);
    let leader = candidate(false, true, 50, 10, start);
    assert_eq!(order_for_read(&[replica, leader], None, start), [1]);
});

load_case!(an_endpoint_that_failed_comes_last, start => {
    let mut failed = candidate(true, false, 0, 10, start);
    failed.view.failed_at = Some(start);
    let other = candidate(false, false, 30, 10, start);
    let needed = Some(LogPosition::new(1, 1));
    assert_eq!(order_for_read(&[failed, other], needed, start), [1, 0]);
    let later = start + millis(1_000);
    assert_eq!(order_for_read(&[failed, other], needed, later)[0], 0);
});

/// Losing one holder moves only what it held, and a near instance goes before a far one.
#[test]
fn a_lost_holder_moves_only_its_own_endpoints() {
    let names: Vec<String> = (0..9).map(|index| format!("instance-{index}")).collect();
    let near = |name: &str| name.ends_with(['0', '1', '2']);
    let order = |endpoint: &str, without: &str| {
        let candidates: Vec<OwnerCandidate<'_>> = names
            .iter()
            .filter(|name| *name != without)
            .map(|name| OwnerCandidate { name, same_zone: near(name) })
            .collect();
        order_owners(endpoint, &candidates).into_iter().map(str::to_owned).collect::<Vec<_>>()
    };
    for index in 0..40 {
        let endpoint = format!("endpoint-{index}");
        let first = order(&endpoint, "");
        assert!(near(&first[0]));
        for lost in &names {
            let then = order(&endpoint, lost);
            let expected = if first[0] == *lost { &first[1] } else { &first[0] };
            assert_eq!(then[0], *expected);
        }
    }
}

load_case!(sides_of_a_partition_share_the_connections, _start => {
    for (connections, sides) in [(23, vec![6, 1, 1, 1]), (34, vec![8, 1]), (62, vec![40, 30, 19])] {
        let registered: usize = sides.iter().sum();
        let part = |side: &usize| connection_limit(connections, *side as f64 / registered as f64);
        let held: usize = sides.iter().map(part).sum();
        assert!(held <= connections, "{held} of {connections} by {sides:?}");
    }
    assert!(connection_limit(23, 1.0) >= 18, "one holder has nearly all");
});
