//! Replays members whose answers are lost, or that answer nothing.

use std::time::{Duration, Instant};

use coord::answer_order::{AnswerOrder, CallKey, OverdueAnswer};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const PERMITS: usize = 3;
const WORK: Duration = Duration::from_millis(9);
const PATIENCE: Duration = Duration::from_millis(40);
const DEADLINE: Duration = Duration::from_millis(800);
const TICK: Duration = Duration::from_millis(1);

struct RunningCall {
    key: CallKey,
    sent_at: Instant,
    is_lost: bool,
    holds_permit: bool,
}

/// Sends a call every 10 ms if a permit is free, and returns the calls that were answered, those that
/// were given up, and the largest number without an answer at a time. With `is_judged` false a call
/// holds its permit until its answer or its deadline.
fn run_calls(lost_share: f64, is_judged: bool) -> (usize, usize, usize) {
    let (start, mut rng) = (Instant::now(), SmallRng::seed_from_u64(5));
    let (mut order, mut running) = (AnswerOrder::default(), Vec::<RunningCall>::new());
    let (mut answered, mut given_up, mut most_running) = (0, 0, 0);
    for tick in 0..4_000 {
        let now = start + TICK * tick;
        running.retain_mut(|call| {
            let age = now - call.sent_at;
            if !call.is_lost && age >= WORK {
                order.record_answer(call.key);
                answered += 1;
                return false;
            }
            if age >= DEADLINE {
                order.abandon(call.key);
                return false;
            }
            match order.judge(call.key, now) {
                _ if !is_judged => true,
                OverdueAnswer::Expected => true,
                OverdueAnswer::Ended => {
                    call.holds_permit = false;
                    true
                }
                OverdueAnswer::Lost => {
                    order.abandon(call.key);
                    given_up += 1;
                    false
                }
            }
        });
        let in_use = running.iter().filter(|call| call.holds_permit).count();
        if tick % 10 == 0 && in_use < PERMITS {
            let (key, is_lost) = (order.begin(PATIENCE, now), rng.random_bool(lost_share));
            running.push(RunningCall { key, sent_at: now, is_lost, holds_permit: true });
        }
        most_running = most_running.max(running.len());
    }
    (answered, given_up, most_running)
}

// Lost answers held all permits until their deadlines, and what could be served was refused.
#[test]
fn lost_answers_do_not_take_the_capacity_of_a_member() {
    let (judged, given_up, _) = run_calls(0.2, true);
    let (held, _, _) = run_calls(0.2, false);
    println!("answered {judged} instead of {held} of 400, {given_up} given up");
    // 80 of 400 calls are lost; of the others two thirds are to be served.
    assert!(3 * judged >= 2 * 320, "{judged} of 320 that can be answered");
    assert!(held < 140, "{held}: without the rule the permits are held");
    assert!(given_up >= 40, "{given_up} lost answers were noticed");
}

// A partitioned member would be sent one call after the other that nobody answers.
#[test]
fn a_silent_member_gets_few_calls_beyond_its_permits() {
    let (answered, given_up, most_running) = run_calls(1.0, true);
    assert_eq!((answered, given_up), (0, 0));
    // The pauses of 80, 160 and 320 ms end within the deadline.
    assert!(most_running <= PERMITS + 3, "{most_running} calls without an answer");
}

// A call that only takes longer than others keeps its permit.
#[test]
fn an_answer_within_its_patience_is_expected() {
    let start = Instant::now();
    let mut order = AnswerOrder::default();
    let slow = order.begin(PATIENCE, start);
    for _ in 0..10 {
        let later = order.begin(PATIENCE, start + TICK);
        order.record_answer(later);
    }
    assert_eq!(order.judge(slow, start + PATIENCE - TICK), OverdueAnswer::Expected);
    assert_eq!(order.judge(slow, start + PATIENCE), OverdueAnswer::Lost);
}
