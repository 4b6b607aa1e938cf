//! Compares rules for the calls in flight at one member; docs/design/member-pace.md shows its output.
//!
//! `cargo run --release -p coord --example limit_rules`

#[path = "../tests/common/member_model.rs"]
mod member_model;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use coord::member_pace::{MemberPace, PaceOutcome, PaceSample, PaceStart};
use member_model::{Condition, HEALTHY, Interval, LimitRule, MAX_LIMIT, run_member};

const SECOND: Duration = Duration::from_secs(1);
const SEEDS: u64 = 10;

/// Name of a rule and its constructor, with the start and whether the process is new.
type RuleEntry = (&'static str, fn(Instant, bool) -> Box<dyn LimitRule>);

/// A constant limit.
struct NoLimit;

impl LimitRule for NoLimit {
    fn limit(&self) -> usize {
        MAX_LIMIT
    }
    fn begin(&mut self, _now: Instant) {}
    fn record(&mut self, _sample: PaceSample, _now: Instant) {}
}

/// Grows from 2 to the maximum within 5 s of the start of the process, whatever the answers are.
struct FixedRamp {
    started_at: Option<Instant>,
    now: Instant,
}

impl LimitRule for FixedRamp {
    fn limit(&self) -> usize {
        let Some(started_at) = self.started_at else {
            return MAX_LIMIT;
        };
        let age = self.now.saturating_duration_since(started_at).as_secs_f64();
        (2.0 + age / 5.0 * (MAX_LIMIT - 2) as f64).min(MAX_LIMIT as f64) as usize
    }
    fn begin(&mut self, now: Instant) {
        self.now = now;
    }
    fn record(&mut self, _sample: PaceSample, now: Instant) {
        self.now = now;
    }
}

/// Additive increase, and a decrease by 0.7 for each answer that is twice as slow as usual or an
/// error, at most every 100 ms.
struct AdditiveIncrease {
    limit: f64,
    usual: f64,
    lowered_at: Instant,
}

impl LimitRule for AdditiveIncrease {
    fn limit(&self) -> usize {
        self.limit as usize
    }
    fn begin(&mut self, _now: Instant) {}
    fn record(&mut self, sample: PaceSample, now: Instant) {
        let seconds = (now - sample.sent_at).as_secs_f64();
        let is_error = sample.outcome != PaceOutcome::Answered;
        if self.usual == 0.0 {
            self.usual = seconds;
        }
        if is_error || seconds > 2.0 * self.usual {
            if now - self.lowered_at > Duration::from_millis(100) {
                self.limit = (self.limit * 0.7).max(1.0);
                self.lowered_at = now;
            }
        } else {
            self.limit = (self.limit + 1.0 / self.limit).min(MAX_LIMIT as f64);
        }
        if !is_error {
            self.usual += (seconds - self.usual) * 0.002;
        }
    }
}

/// Ratio of the long-term to the recent latency, with a tolerance of 1.5, smoothed by 0.2.
struct LatencyGradient {
    limit: f64,
    long: f64,
    short: f64,
}

impl LimitRule for LatencyGradient {
    fn limit(&self) -> usize {
        self.limit as usize
    }
    fn begin(&mut self, _now: Instant) {}
    fn record(&mut self, sample: PaceSample, now: Instant) {
        let seconds = (now - sample.sent_at).as_secs_f64();
        if self.long == 0.0 {
            (self.long, self.short) = (seconds, seconds);
        }
        self.long += (seconds - self.long) / 600.0;
        self.short += (seconds - self.short) / 10.0;
        if self.long > 2.0 * self.short {
            self.long *= 0.95;
        }
        let gradient = (1.5 * self.long / self.short).clamp(0.5, 1.0);
        let target = self.limit * gradient + self.limit.sqrt() * 0.5;
        self.limit = (self.limit * 0.8 + target * 0.2).clamp(1.0, MAX_LIMIT as f64);
    }
}

/// Vegas: one call more while less than one waits by the smallest latency, one less above two.
struct QueueEstimate {
    limit: f64,
    smallest: f64,
    sum: f64,
    count: u32,
}

impl LimitRule for QueueEstimate {
    fn limit(&self) -> usize {
        self.limit as usize
    }
    fn begin(&mut self, _now: Instant) {}
    fn record(&mut self, sample: PaceSample, now: Instant) {
        if sample.outcome != PaceOutcome::Answered {
            self.limit = (self.limit - 0.1).max(1.0);
            return;
        }
        let seconds = (now - sample.sent_at).as_secs_f64();
        self.smallest = self.smallest.min(seconds);
        self.sum += seconds;
        self.count += 1;
        if self.count == 16 {
            let waiting = self.limit * (1.0 - self.smallest * 16.0 / self.sum);
            let step = if waiting < 1.0 { 1.0 } else { -f64::from(u8::from(waiting > 2.0)) };
            self.limit = (self.limit + step).clamp(1.0, MAX_LIMIT as f64);
            (self.sum, self.count) = (0.0, 0);
        }
    }
}

/// Largest rate times smallest latency of the last ten rounds, with probes of 1.25 and 0.75.
struct RateProbing {
    limit: f64,
    rounds: VecDeque<(f64, f64)>,
    round_since: Instant,
    count: f64,
    smallest: f64,
    phase: usize,
}

impl LimitRule for RateProbing {
    fn limit(&self) -> usize {
        self.limit as usize
    }
    fn begin(&mut self, _now: Instant) {}
    fn record(&mut self, sample: PaceSample, now: Instant) {
        if sample.outcome == PaceOutcome::Answered {
            self.count += 1.0;
            self.smallest = self.smallest.min((now - sample.sent_at).as_secs_f64());
        }
        let length = (now - self.round_since).as_secs_f64();
        if length < 0.2 || self.count == 0.0 {
            return;
        }
        self.rounds.push_back((self.count / length, self.smallest));
        if self.rounds.len() > 10 {
            self.rounds.pop_front();
        }
        let rate = self.rounds.iter().map(|round| round.0).fold(0.0, f64::max);
        let latency = self.rounds.iter().map(|round| round.1).fold(f64::MAX, f64::min);
        self.phase = (self.phase + 1) % 8;
        let gain = [1.25, 0.75, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0][self.phase];
        self.limit = (rate * latency * gain).ceil().clamp(1.0, MAX_LIMIT as f64);
        (self.count, self.smallest, self.round_since) = (0.0, f64::MAX, now);
    }
}

fn start_limit(is_new: bool) -> f64 {
    if is_new { 2.0 } else { MAX_LIMIT as f64 }
}

const RULES: &[RuleEntry] = &[
    ("no limit", |_, _| Box::new(NoLimit)),
    ("fixed ramp of 5 s", |now, is_new| {
        Box::new(FixedRamp { started_at: is_new.then_some(now), now })
    }),
    ("additive increase", |now, is_new| {
        Box::new(AdditiveIncrease { limit: start_limit(is_new), usual: 0.0, lowered_at: now })
    }),
    ("latency gradient", |_, is_new| {
        Box::new(LatencyGradient { limit: start_limit(is_new), long: 0.0, short: 0.0 })
    }),
    ("queue estimate (Vegas)", |_, is_new| {
        let limit = start_limit(is_new);
        Box::new(QueueEstimate { limit, smallest: f64::MAX, sum: 0.0, count: 0 })
    }),
    ("rate probing (BBR)", |now, is_new| {
        Box::new(RateProbing {
            limit: start_limit(is_new),
            rounds: VecDeque::new(),
            round_since: now,
            count: 0.0,
            smallest: f64::MAX,
            phase: 0,
        })
    }),
    ("member pace", |now, is_new| {
        let start = if is_new { PaceStart::New } else { PaceStart::Settled };
        Box::new(MemberPace::new(MAX_LIMIT, start, now))
    }),
];

/// Condition at a time in seconds, and the seconds that are counted.
type Shape = (&'static str, bool, fn(f64) -> Condition, std::ops::Range<usize>);

const SHAPES: &[Shape] = &[
    ("healthy, 30% noise", false, |_| HEALTHY, 0..20),
    ("3 to 47 ms in one class", false, change_mix, 10..30),
    ("5.7 times slower for good", false, slow_for_good, 5..30),
    ("slower with concurrency", false, congested, 5..30),
    ("new and congested for 3 s", true, starting, 0..3),
    ("half fails quickly", false, failing, 5..15),
    ("flapping every 3 s", false, flapping, 15..45),
];

fn change_mix(at: f64) -> Condition {
    let kinds: &[(u16, f64)] = if at < 10.0 { &[(1, 3.0)] } else { &[(1, 47.0)] };
    Condition { kinds, ..HEALTHY }
}

fn slow_for_good(at: f64) -> Condition {
    Condition { slowness: if at < 5.0 { 1.0 } else { 5.7 }, ..HEALTHY }
}

fn congested(at: f64) -> Condition {
    Condition { contention: if at < 5.0 { 0.0 } else { 2.0 }, ..HEALTHY }
}

fn starting(at: f64) -> Condition {
    Condition { contention: if at < 3.0 { 2.0 } else { 0.0 }, ..HEALTHY }
}

fn failing(at: f64) -> Condition {
    Condition { failing: if (5.0..15.0).contains(&at) { 0.5 } else { 0.0 }, ..HEALTHY }
}

fn flapping(at: f64) -> Condition {
    Condition { slowness: if at as u64 % 6 >= 3 { 5.7 } else { 1.0 }, ..HEALTHY }
}

fn main() {
    for (shape, is_new, condition, seconds) in SHAPES {
        println!(
            "\n{shape}\n| rule | served a second | mean ms | failed a second | limits |\n|---|---|---|---|---|"
        );
        for (name, create) in RULES {
            let mut counted: Vec<Interval> = Vec::new();
            for seed in 1..=SEEDS {
                let start = Instant::now();
                let mut rule = create(start, *is_new);
                let span = (seconds.end, SECOND);
                let intervals = run_member(rule.as_mut(), seed, span, start, condition);
                counted.extend(&intervals[seconds.clone()]);
            }
            let count = counted.len() as f64;
            let served: u32 = counted.iter().map(|interval| interval.served).sum();
            let failed: u32 = counted.iter().map(|interval| interval.failed).sum();
            let busy: f64 =
                counted.iter().map(|interval| interval.mean_ms * f64::from(interval.served)).sum();
            let lowest = counted.iter().map(|interval| interval.lowest).min().unwrap_or(0);
            let highest = counted.iter().map(|interval| interval.highest).max().unwrap_or(0);
            println!(
                "| {name} | {:.0} | {:.0} | {:.0} | {lowest} to {highest} |",
                f64::from(served) / count,
                busy / f64::from(served.max(1)),
                f64::from(failed) / count
            );
        }
    }
}
