//! Replays the load patterns that the queue of an endpoint, its estimates and the retry budget handle.

mod common;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use common::{Choices, check_cases};
use coord::priority::{
    PermitKey, PriorityQueue, RequestKind, StartWindow, WaitFloor, WaitFloorView,
};
use coord::queue::FairQueue;
use coord::retry_budget::{RetryBudget, ServiceOutage, spread_delay};
use coord::service_time::{EventInterval, ServiceClass, ServiceTimes};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Requests of one route: priority, mean hold time, target latency and statement timeout in
/// milliseconds.
#[derive(Clone, Copy, Debug)]
struct Load {
    level: u32,
    hold_ms: f64,
    target_ms: u64,
    timeout_ms: u64,
}

const fn load(level: u32, hold_ms: f64, target_ms: u64, timeout_ms: u64) -> Load {
    Load { level, hold_ms, target_ms, timeout_ms }
}

/// Kinds of 3, 9, 15 and 47 ms side by side.
const KINDS: [Load; 4] = [
    load(0, 3.0, 100, 800),
    load(1, 9.0, 200, 1_000),
    load(1, 15.0, 600, 1_200),
    load(2, 47.0, 800, 3_000),
];
const PERMITS: usize = 5;

/// Request of a simulation and what became of it.
#[derive(Clone, Copy, Debug)]
struct Request {
    at: Duration,
    team: u32,
    load: Load,
    hold: Duration,
    expected_wait: Duration,
    /// Expected wait if one mean stood for all kinds.
    one_mean_wait: Duration,
    started: Option<Duration>,
    refused: Option<Duration>,
}

impl Request {
    fn kind(&self) -> RequestKind<u32> {
        let class = ServiceClass::new(0, self.load.level, millis(self.load.target_ms));
        RequestKind { level: self.load.level, team: self.team, class }
    }

    fn wait(&self) -> Option<Duration> {
        self.started.map(|started| started - self.at)
    }

    /// Returns whether the request was refused after more than a quarter of its target latency.
    fn was_held_in_vain(&self) -> bool {
        self.refused.is_some_and(|at| at - self.at > millis(self.load.target_ms / 4))
    }

    fn was_in_time(&self) -> bool {
        self.wait().is_some_and(|wait| wait + self.hold <= millis(self.load.target_ms))
    }

    fn was_answered(&self) -> bool {
        self.wait().is_some_and(|wait| wait + self.hold <= millis(self.load.timeout_ms))
    }
}

/// Replays a load with several seeds.
fn for_seeds(count: u64, replay: impl Fn(&mut SmallRng)) {
    for seed in 0..count {
        println!("seed {seed}");
        replay(&mut SmallRng::seed_from_u64(seed));
    }
}

/// Draws requests over `length` at `utilization` of the permits; 3% take 7 times as long.
fn draw_requests(
    generator: &mut SmallRng,
    length: Duration,
    utilization: impl Fn(Duration) -> f64,
    pick: impl Fn(&mut SmallRng, Duration) -> Load,
) -> Vec<Request> {
    let mut requests = Vec::new();
    let mut now = Duration::ZERO;
    let mean_hold = KINDS.iter().map(|kind| kind.hold_ms * 1.18).sum::<f64>() / 4.0 / 1_000.0;
    while now < length {
        let interval = mean_hold / PERMITS as f64 / utilization(now);
        let random = (f64::from(generator.random_range(0..1_000)) + 0.5) / 1_000.0;
        now += Duration::from_secs_f64(-interval * random.ln());
        let load = pick(generator, now);
        let factor = if generator.random_range(0..100) < 3 {
            7.0
        } else {
            0.7 + f64::from(generator.random_range(0..60)) / 100.0
        };
        let hold = Duration::from_secs_f64(load.hold_ms * factor / 1_000.0);
        requests.push(Request {
            at: now,
            team: generator.random_range(0..12),
            load,
            hold,
            expected_wait: Duration::ZERO,
            one_mean_wait: Duration::ZERO,
            started: None,
            refused: None,
        });
    }
    requests
}

fn any_kind(generator: &mut SmallRng, _: Duration) -> Load {
    KINDS[generator.random_range(0..KINDS.len())]
}

/// Runs requests through a queue; `slowdown` is the factor on the hold time of one that starts then.
///
/// Without `serves_late` the queue works as in a deployment that does not ask for it.
fn simulate(requests: &mut [Request], serves_late: bool, slowdown: impl Fn(Duration) -> f64) {
    let start = Instant::now();
    let mut queue = PriorityQueue::new(PERMITS).with_anticipation(serves_late);
    let mut departures: BinaryHeap<Reverse<(Duration, usize)>> = BinaryHeap::new();
    let mut permits: Vec<Option<PermitKey>> = vec![None; requests.len()];
    let mut one_mean = 0.012;
    let mut next = 0;
    loop {
        let departs_at = departures.peek().map(|Reverse((at, _))| *at);
        let arrives_at = requests.get(next).map(|request| request.at);
        let now = match (departs_at, arrives_at) {
            (Some(departs_at), Some(arrives_at)) => departs_at.min(arrives_at),
            (at, None) | (None, at) => match at {
                Some(at) => at,
                None => break,
            },
        };
        let mut begun = Vec::new();
        let mut refused = Vec::new();
        if departs_at == Some(now) {
            let Some(Reverse((_, index))) = departures.pop() else { break };
            let hold = now - requests[index].started.expect("it has started");
            one_mean += (hold.as_secs_f64() - one_mean) * 0.1;
            queue.release(permits[index].expect("it has a permit"), start + now);
        } else {
            let request = &mut requests[next];
            let kind = request.kind();
            request.expected_wait = queue.expected_team_wait(&kind, start + now);
            if let Some(permit) = queue.try_acquire(kind, start + now) {
                begun.push((next, permit));
            } else {
                let ahead = queue.waiting_up_to(kind.level) as f64;
                request.one_mean_wait =
                    Duration::from_secs_f64((ahead + 1.0) / PERMITS as f64 * one_mean);
                let window = StartWindow {
                    in_time: start + now + millis(request.load.target_ms * 3 / 4),
                    answer_deadline: serves_late
                        .then(|| start + now + millis(request.load.timeout_ms)),
                };
                if queue.push(kind, next, window, start + now).is_err() {
                    refused.push(next);
                }
            }
            next += 1;
        }
        while let Some((index, permit)) = queue.pop(start + now, &mut refused) {
            begun.push((index, permit));
        }
        for (index, permit) in begun {
            permits[index] = Some(permit);
            requests[index].started = Some(now);
            let hold = requests[index].hold.mul_f64(slowdown(now));
            departures.push(Reverse((now + hold, index)));
        }
        for index in refused {
            requests[index].refused = Some(now);
        }
    }
}

fn count(requests: &[Request], matches: impl Fn(&Request) -> bool) -> usize {
    requests.iter().filter(|request| matches(request)).count()
}

// Guards against one mean for all kinds: the queue then holds kinds other than those that ran last.
#[test]
fn expected_waits_hold_for_kinds_side_by_side() {
    for_seeds(4, |generator| {
        // Kinds take turns in bursts, so that the mix in the queue changes.
        let pick = |generator: &mut SmallRng, now: Duration| {
            let index = if (now.as_millis() / 300).is_multiple_of(2) { 0 } else { 2 }
                + generator.random_range(0..2);
            Load { level: 1, target_ms: 1_000 + index as u64, ..KINDS[index] }
        };
        let mut requests = draw_requests(generator, Duration::from_secs(20), |_| 1.2, pick);
        simulate(&mut requests, false, |_| 1.0);
        let queued = requests.iter().filter(|request| request.one_mean_wait > Duration::ZERO);
        let (mut error, mut one_mean_error, mut total) = (0.0, 0.0, 0.0);
        for request in queued {
            let Some(wait) = request.wait() else { continue };
            error += request.expected_wait.abs_diff(wait).as_secs_f64();
            one_mean_error += request.one_mean_wait.abs_diff(wait).as_secs_f64();
            total += wait.as_secs_f64();
        }
        println!(
            "error {:.2} of the wait, {:.2} with one mean",
            error / total,
            one_mean_error / total
        );
        assert!(error < 0.7 * one_mean_error, "{error} s, with one mean {one_mean_error} s");
        assert!(error < 0.5 * total, "{error} s of {total} s");
    });
}

// Guards against requests that never ran lowering the expected hold time: the queue then admits
// more than can start in time.
#[test]
fn requests_that_never_ran_do_not_shorten_the_expected_wait() {
    let start = Instant::now();
    let mut queue: PriorityQueue<u32, usize> = PriorityQueue::new(1);
    let kind = RequestKind { level: 1, team: 1, class: ServiceClass::default() };
    let permit = queue.try_acquire(kind, start).expect("a permit is free");
    queue.release(permit, start + millis(47));
    for _ in 0..100 {
        let permit = queue.try_acquire(kind, start).expect("a permit is free");
        queue.cancel(permit);
    }
    assert!(queue.try_acquire(kind, start).is_some());
    assert!(queue.push(kind, 0, StartWindow::in_time(start + millis(500)), start).is_ok());
    assert!(queue.expected_team_wait(&kind, start) >= millis(47));
}

// Guards against discarding what is known of a class while others are idle, and against keeping it
// after the member has changed.
#[test]
fn hold_times_are_kept_by_class_and_discarded_when_old() {
    let start = Instant::now();
    let mut times = ServiceTimes::default();
    let (short, long) =
        (ServiceClass::new(1, 1, millis(100)), ServiceClass::new(1, 1, millis(800)));
    for _ in 0..50 {
        times.record(short, millis(3), start);
        times.record(long, millis(47), start);
    }
    let mean = |times: &ServiceTimes, class, at| (times.estimate(class, at).mean * 1_000.0).round();
    assert_eq!((mean(&times, short, start), mean(&times, long, start)), (3.0, 47.0));
    let later = start + Duration::from_secs(11);
    times.record(long, millis(268), later);
    assert_eq!((mean(&times, long, later), mean(&times, short, later)), (268.0, 268.0));
}

// Guards against calls that wait for connections which open transactions keep: the expected time is
// that of recent returns, and grows while none is returned.
#[test]
fn connections_are_expected_at_the_rate_at_which_they_are_returned() {
    let start = Instant::now();
    let mut freed = EventInterval::default();
    assert_eq!(freed.expected_interval(start), Duration::ZERO, "nothing is known");
    for index in 0..100 {
        freed.record(start + millis(5 * index));
    }
    let last = start + millis(5 * 99);
    let expected = freed.expected_interval(last + millis(1));
    assert!(expected > millis(4) && expected < millis(6), "{expected:?}");
    assert_eq!(freed.expected_interval(last + millis(700)), millis(700));
}

/// Runs an overload with and without the late band; returns the requests of both runs.
fn compare_runs(
    generator: &mut SmallRng,
    utilization: impl Fn(Duration) -> f64,
    slowdown: impl Fn(Duration) -> f64 + Copy,
) -> (Vec<Request>, Vec<Request>) {
    let mut before = draw_requests(generator, Duration::from_secs(20), utilization, any_kind);
    let mut after = before.clone();
    simulate(&mut before, false, slowdown);
    simulate(&mut after, true, slowdown);
    let summary = |requests: &[Request]| {
        format!(
            "{} in time, {} late, {} held in vain, {} refused",
            count(requests, Request::was_in_time),
            count(requests, |request| request.was_answered() && !request.was_in_time()),
            count(requests, Request::was_held_in_vain),
            count(requests, |request| request.refused.is_some())
        )
    };
    println!("before: {}; after: {}", summary(&before), summary(&after));
    (before, after)
}

// Guards against holding requests that are refused in the end: higher priorities arrive after them.
#[test]
fn overload_is_refused_on_arrival() {
    for_seeds(6, |generator| {
        let burst = |now: Duration| if now.as_secs() % 4 < 2 { 1.6 } else { 0.6 };
        let (before, after) = compare_runs(generator, burst, |_| 1.0);
        let held = |requests: &[Request]| count(requests, Request::was_held_in_vain);
        assert!(3 * held(&after) <= held(&before), "{} of {}", held(&after), held(&before));
        let in_time = |requests: &[Request]| count(requests, Request::was_in_time);
        assert!(in_time(&after) * 100 >= in_time(&before) * 97);
        let answered = |requests: &[Request]| count(requests, Request::was_answered);
        assert!(answered(&after) > answered(&before), "late answers have a value");
    });
}

// Guards against holding requests in front of a member that became several times slower.
#[test]
fn slow_member_holds_few_requests_in_vain() {
    for_seeds(6, |generator| {
        let slowdown = |now: Duration| if now.as_secs() % 5 == 4 { 5.7 } else { 1.0 };
        let (before, after) = compare_runs(generator, |_| 0.7, slowdown);
        let held = |requests: &[Request]| count(requests, Request::was_held_in_vain);
        assert!(3 * held(&after) <= 2 * held(&before), "{} of {}", held(&after), held(&before));
    });
}

// Guards against late requests that delay those that can be in time, and against late answers
// after the timeout.
#[test]
fn late_requests_wait_for_all_that_can_be_in_time() {
    for_seeds(20, |generator| {
        let burst = |now: Duration| if now.as_millis() % 1_500 < 500 { 3.0 } else { 0.3 };
        let mut requests = draw_requests(generator, Duration::from_secs(4), burst, any_kind);
        simulate(&mut requests, true, |_| 1.0);
        let is_late = |request: &Request, at: Duration| {
            at > request.at + millis(request.load.target_ms * 3 / 4)
        };
        let late: Vec<&Request> = requests
            .iter()
            .filter(|request| request.started.is_some_and(|at| is_late(request, at)))
            .collect();
        assert!(!late.is_empty(), "the burst is served late");
        for request in &late {
            let started = request.started.expect("it has started");
            let overtaken = requests.iter().filter(|other| {
                let left = other.started.or(other.refused).expect("it has left the queue");
                // Requests that were admitted late wait with the others.
                let was_expected_in_time =
                    other.expected_wait <= millis(other.load.target_ms * 3 / 4);
                other.at < started
                    && left > started
                    && !is_late(other, started)
                    && was_expected_in_time
            });
            assert_eq!(overtaken.count(), 0, "{request:?}");
            assert!(started - request.at <= millis(request.load.timeout_ms));
        }
    });
}

// Guards against starving a team: within a priority, each gets its share under a lasting overload.
#[test]
fn teams_share_an_overloaded_endpoint() {
    for_seeds(4, |generator| {
        let kind = |_: &mut SmallRng, _: Duration| KINDS[1];
        let mut requests = draw_requests(generator, Duration::from_secs(8), |_| 1.2, kind);
        // Half of all requests are those of one team.
        for request in requests.iter_mut().step_by(2) {
            request.team = 0;
        }
        simulate(&mut requests, true, |_| 1.0);
        let served_share = |team| {
            let sent = count(&requests, |request| request.team == team);
            count(&requests, |request| request.team == team && request.was_in_time()) as f64
                / sent as f64
        };
        let others = (1..12).map(served_share).fold(f64::MAX, f64::min);
        assert!(others > 0.8, "a team within its share got {others}");
        assert!(served_share(0) > 0.2, "the flooding team got {}", served_share(0));
    });
}

// Guards against requests that are lost, granted twice or overtaken by a lower priority, and permits
// that are never released, for any order of events.
#[test]
fn every_request_is_granted_or_refused_once() {
    check_cases(300, 400, |choices: &mut Choices| {
        let start = Instant::now();
        let mut queue = PriorityQueue::new(2).with_anticipation(choices.below(2) == 1);
        let (mut now, mut next) = (start, 0);
        // Index, priority, and latest start in time if the request was expected to meet it.
        let mut waiting: Vec<(usize, u32, Option<Instant>)> = Vec::new();
        let mut permits = Vec::new();
        while !choices.is_done() || !permits.is_empty() {
            now += millis(choices.below(20) as u64);
            let mut refused = Vec::new();
            if choices.below(3) > 0 && !choices.is_done() {
                let level = choices.below(3) as u32;
                let class = ServiceClass::new(0, level, millis(100));
                let kind = RequestKind { level, team: choices.below(3), class };
                let in_time = now + millis(choices.below(60) as u64);
                let answer_deadline = Some(now + millis(choices.below(200) as u64));
                let window = StartWindow { in_time, answer_deadline };
                let is_expected = now + queue.expected_team_wait(&kind, now) <= in_time;
                if let Some(permit) = queue.try_acquire(kind, now) {
                    permits.push(permit);
                } else if queue.push(kind, next, window, now).is_ok() {
                    waiting.push((next, level, is_expected.then_some(in_time)));
                }
                next += 1;
                queue.resize(1 + choices.below(3));
            } else if !permits.is_empty() {
                let permit = permits.swap_remove(choices.below(permits.len()));
                match choices.below(4) {
                    0 => queue.cancel(permit),
                    _ => queue.release(permit, now),
                }
            }
            let granted = queue.pop(now, &mut refused);
            for index in &refused {
                let position = waiting.iter().position(|(other, ..)| other == index);
                waiting.remove(position.expect("it was waiting"));
            }
            if let Some((index, permit)) = granted {
                permits.push(permit);
                let position = waiting.iter().position(|(other, ..)| *other == index);
                let (_, level, in_time) = waiting.remove(position.expect("it was waiting"));
                let is_late = in_time <= Some(now);
                let is_overtaken = waiting
                    .iter()
                    .any(|(_, other, in_time)| *in_time > Some(now) && (is_late || *other < level));
                assert!(!is_overtaken, "{index} overtakes {waiting:?}");
            }
            assert_eq!(queue.in_use(), permits.len());
            assert_eq!(queue.waiting_up_to(u32::MAX), waiting.len());
        }
    });
}

// Guards against starting requests after a suspension of the owner, when their callers have gone.
#[test]
fn suspended_owner_refuses_all_queued_requests() {
    let start = Instant::now();
    let mut queue = PriorityQueue::new(1).with_anticipation(true);
    let kind = RequestKind { level: 1, team: 1, class: ServiceClass::default() };
    let permit = queue.try_acquire(kind, start).expect("a permit is free");
    let window =
        StartWindow { in_time: start + millis(150), answer_deadline: Some(start + millis(1_000)) };
    for index in 0..5 {
        queue.push(kind, index, window, start).expect("it can start in time");
    }
    let resumed = start + millis(1_400);
    queue.release(permit, resumed);
    let mut refused = Vec::new();
    assert!(queue.pop(resumed, &mut refused).is_none());
    assert_eq!(refused.len(), 5);
    assert_eq!(queue.waiting_up_to(u32::MAX), 0);
}

// Guards against refusing a team on arrival because another one floods the queue, and against
// refusing by reports that are lost, old or about lower priorities.
#[test]
fn instances_refuse_only_what_no_team_can_get() {
    let start = Instant::now();
    let class = ServiceClass::default();
    let mut queue = PriorityQueue::new(1).with_anticipation(true);
    let mut view = WaitFloorView::default();
    let window = StartWindow::in_time(start + millis(60));
    let flood = RequestKind { level: 1, team: 1, class };
    assert!(queue.try_acquire(flood, start).is_some());
    let long = StartWindow::in_time(start + millis(5_000));
    for index in 0..20 {
        queue.push(flood, index, long, start).expect("it can start in time");
    }
    view.record(1, queue.wait_floor(1, start), start);
    assert!(!view.rules_out(1, window, start), "another team is served next");
    view.record(1, WaitFloor { in_time: millis(200), late: millis(3_000) }, start);
    assert!(view.rules_out(1, window, start) && view.rules_out(2, window, start));
    assert!(!view.rules_out(0, window, start), "nothing is known of a higher priority");
    let late = StartWindow { answer_deadline: Some(start + millis(3_000)), ..window };
    assert!(!view.rules_out(1, late, start), "the late band has capacity");
    let later = start + millis(250);
    assert!(!view.rules_out(1, StartWindow::in_time(later + millis(1)), later), "old report");
}

// Guards against retries that multiply the load of a member that fails every request.
#[test]
fn retries_stay_a_share_of_the_requests() {
    check_cases(50, 2_000, |choices| {
        let mut budget = RetryBudget::default();
        let (mut requests, mut retries) = (0, 0);
        while !choices.is_done() {
            budget.record_request();
            requests += 1;
            retries += (0..choices.below(24)).filter(|_| budget.try_retry()).count();
        }
        assert!(retries * 4 <= requests + 16, "{retries} retries of {requests} requests");
        assert!(retries * 5 >= requests, "{retries} retries of {requests} requests");
    });
}

// Guards against holding every request of a service without a leader until its latest start.
#[test]
fn requests_wait_for_a_leader_only_if_it_is_expected_in_time() {
    let start = Instant::now();
    let (target, mut outage) = (millis(600), ServiceOutage::default());
    let limit = |outage: &ServiceOutage, at: Instant| {
        outage.wait_limit(at, target, at + millis(450), at).saturating_duration_since(at)
    };
    assert_eq!(limit(&outage, start), millis(150), "a quarter of the target latency");
    assert!(outage.record_unreached(start, start + millis(150)));
    let mut now = start + millis(300);
    assert_eq!(limit(&outage, now), Duration::ZERO, "the promotion has only begun");
    while now < start + millis(1_100) {
        assert!(!outage.record_unreached(now, now));
        now += millis(100);
    }
    assert_eq!(limit(&outage, now), millis(450), "the promotion ends within 450 ms");
    outage.record_reached();
    assert_eq!(limit(&outage, now), millis(150));
}

// Guards against callers that are refused together and return together.
#[test]
fn stated_delays_are_spread_behind_the_expected_capacity() {
    check_cases(20, 400, |choices| {
        let expected = millis(choices.below(2_000) as u64);
        let mut counts = [0; 5];
        for _ in 0..200 {
            let delay = spread_delay(expected, choices.below(1_000) as f64 / 1_000.0);
            assert!(delay >= expected);
            let range = (expected / 2).max(millis(25));
            counts[((delay - expected).as_secs_f64() / range.as_secs_f64() * 5.0) as usize] += 1;
        }
        assert!(counts.iter().all(|count| *count < 100), "{counts:?}");
    });
}

// Guards against a check of queued requests in the random order of a hash map, with which the
// requests that are refused as unservable differ between runs.
#[test]
fn rounds_follow_the_order_of_service() {
    let now = Instant::now();
    let mut queue = FairQueue::new(usize::MAX);
    let mut expired = Vec::new();
    let push = |queue: &mut FairQueue<u64, u64>, team| {
        queue.push(team, team, now + millis(1_000), now).expect("it is queued");
    };
    (0..20).for_each(|team| push(&mut queue, team));
    while queue.pop(now, &mut expired).is_some() {}
    (0..20).for_each(|team| push(&mut queue, team));
    // Each team is charged another time, so the order of service is not that of arrival.
    (0..20).for_each(|team| queue.release(team, millis(team * 7 % 20 + 1)));
    let mut visited = Vec::new();
    queue.visit_rounds(|team| visited.push(*team));
    let served: Vec<u64> =
        std::iter::from_fn(|| queue.pop(now, &mut expired).map(|(team, _)| team)).collect();
    assert_eq!(visited, served);
    assert!(served.len() == 20 && !served.is_sorted());
}
