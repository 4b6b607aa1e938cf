//! Reads of a store that takes long to answer must not be given up, nor sent ever more often.

use std::time::{Duration, Instant};

use coord::read_schedule::{ReadEnd, ReadId, ReadSchedule};
use coord::table_age::POLL_FRACTION;

/// Bound on the time until a change is in force.
const BOUND: Duration = Duration::from_secs(3);
/// Step of the simulations.
const STEP: Duration = Duration::from_millis(5);

/// Defines a test with a schedule and a function that returns a time in milliseconds.
macro_rules! schedule_case {
    ($name:ident, $schedule:ident, $at:ident => $body:block) => {
        #[test]
        fn $name() {
            let start = Instant::now();
            let $at = |millis: u64| start + Duration::from_millis(millis);
            let mut $schedule = ReadSchedule::new(BOUND);
            $body
        }
    };
}

/// Reads of a simulated store.
#[derive(Debug, Default)]
struct ReadCounts {
    sent: usize,
    answered: usize,
    given_up: usize,
}

/// Polls a store that needs `answer_time` for each answer, for a minute.
fn poll_store(answer_time: Duration) -> ReadCounts {
    let mut schedule = ReadSchedule::new(BOUND);
    let wait = BOUND.mul_f64(POLL_FRACTION);
    let mut counts = ReadCounts::default();
    let mut answers: Vec<(Instant, ReadId)> = Vec::new();
    let start = Instant::now();
    let mut now = start;
    while now < start + Duration::from_secs(60) {
        now += STEP;
        while let Some(index) = answers.iter().position(|(at, _)| *at <= now) {
            let (_, id) = answers.remove(index);
            counts.answered += 1;
            schedule.record_progress(id, now);
            let superseded = schedule.finish(id, ReadEnd::Answered, now);
            counts.given_up += superseded.len();
            answers.retain(|(_, other)| !superseded.contains(other));
        }
        schedule.take_overdue(now);
        if schedule.next_send().is_none_or(|at| now >= at) {
            let (id, given_up) = schedule.send(wait, now);
            counts.sent += 1;
            counts.given_up += usize::from(given_up.is_some());
            answers.retain(|(_, other)| Some(*other) != given_up);
            answers.push((now + wait + answer_time, id));
        }
    }
    counts
}

// Answers after 0.61 s were given up each time, and requested again every 0.3 s.
#[test]
fn a_slow_store_is_not_asked_more_often_and_every_answer_counts() {
    let fast = poll_store(Duration::from_millis(5));
    for millis in [100, 300, 600, 700, 1_000, 1_500, 2_000, 3_000] {
        let slow = poll_store(Duration::from_millis(millis));
        assert!(slow.sent <= fast.sent, "{millis} ms: {slow:?}, {fast:?}");
        assert_eq!(slow.given_up, 0, "{millis} ms: {slow:?}");
        assert!(slow.answered > fast.answered / 2, "{millis} ms: {slow:?}, {fast:?}");
    }
}

// Guards against silent connections that keep new reads from being sent.
schedule_case!(a_store_that_falls_silent_is_asked_again_at_bounded_intervals, schedule, at => {
    let mut sent_at = Vec::new();
    for step in 0..4_000 {
        let now = at(5 * step);
        if schedule.next_send().is_none_or(|at| now >= at) {
            schedule.send(Duration::ZERO, now);
            sent_at.push(now);
        }
    }
    let longest = sent_at.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert!(longest.is_some_and(|longest| longest <= BOUND / 2), "{longest:?}");
    assert!(sent_at.len() <= 20, "{} reads in 20 s", sent_at.len());
});

schedule_case!(a_silent_store_counts_as_failed_long_before_the_bound, schedule, at => {
    let (id, _) = schedule.send(Duration::ZERO, at(0));
    assert!(schedule.has_pending());
    assert!(schedule.take_overdue(at(500)).is_empty());
    assert_eq!(schedule.take_overdue(at(650)), [id]);
    assert!(!schedule.has_pending());
    assert!(schedule.take_overdue(at(2_000)).is_empty(), "each read fails once");
    assert!(schedule.record_progress(id, at(2_100)), "its answer arrives late");
    assert!(schedule.has_pending());
});

// Another read of a large document took half of the link from the first one.
schedule_case!(nothing_is_sent_while_an_answer_arrives, schedule, at => {
    let (id, _) = schedule.send(Duration::ZERO, at(0));
    for step in 1..20 {
        schedule.record_progress(id, at(300 * step));
        assert!(schedule.next_send().is_some_and(|next| next > at(300 * step + 300)));
        assert!(schedule.take_overdue(at(300 * step)).is_empty());
    }
    assert!(schedule.next_send().is_some_and(|next| next <= at(300 * 19 + 1_000)), "it stalled");
});

// A poll that was sent before the answer began was followed by others, until the answer was given up.
schedule_case!(an_answer_that_arrives_is_not_given_up_for_later_reads, schedule, at => {
    let (first, _) = schedule.send(Duration::ZERO, at(0));
    schedule.send(Duration::from_millis(1_260), at(160));
    for step in 1..100 {
        let now = at(100 + 100 * step);
        schedule.record_progress(first, now);
        assert!(schedule.next_send().is_some_and(|next| next > now), "{step}");
    }
    let mut given_up = Vec::new();
    for step in 0..10 {
        given_up.extend(schedule.send(Duration::ZERO, at(20_000 + 2_000 * step)).1);
    }
    assert!(!given_up.is_empty() && !given_up.contains(&first), "{given_up:?}");
});

schedule_case!(a_refused_read_is_not_repeated_at_once, schedule, at => {
    let (id, _) = schedule.send(Duration::ZERO, at(0));
    schedule.finish(id, ReadEnd::Failed, at(10));
    assert!(schedule.next_send().is_some_and(|next| next >= at(300) && next <= at(500)));
});

schedule_case!(an_answer_ends_the_reads_that_were_sent_before, schedule, at => {
    let (first, _) = schedule.send(Duration::ZERO, at(0));
    let (second, _) = schedule.send(Duration::ZERO, at(200));
    let (third, _) = schedule.send(Duration::ZERO, at(600));
    assert_eq!(schedule.finish(second, ReadEnd::Answered, at(700)), [first]);
    assert_eq!(schedule.finish(first, ReadEnd::Answered, at(800)), []);
    assert_eq!(schedule.finish(third, ReadEnd::Answered, at(900)), []);
    assert!(!schedule.has_pending());
});
