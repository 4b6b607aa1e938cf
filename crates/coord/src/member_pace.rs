//! Adaptive limit of the calls in flight at one endpoint.
//!
//! The load that this module handles: a member returns from a restart, a promotion or a fault and
//! is at once the least loaded one, so all instances send to it; a member becomes several times
//! slower under concurrent work; a member answers quickly, but with errors, and so attracts more
//! work the worse it is.
//!
//! The connection owner compares the time of each call at the endpoint with what calls of the same
//! class usually take there. The comparison is by logarithms, so one slow answer among many weighs
//! little, and answers of several classes can be added up. The time in the owner's own queue does
//! not count: a queue shows that much is asked for, not that the endpoint is overloaded.
//!
//! Slow answers alone do not show overload either: the calls may have become heavier, or the member
//! slower for good. The limit is therefore lowered by one step, and the answers to the calls sent
//! after it decide. If they take as long as before, concurrency is not the cause: the new duration
//! becomes the usual one and the limit is raised again. docs/design/member-pace.md compares this
//! with other rules.

use std::time::{Duration, Instant};

/// Smallest limit, which keeps answers arriving.
pub const MIN_LIMIT: f64 = 1.0;
/// Divisor for the part of the largest limit that a member without history starts with.
const START_DIVISOR: f64 = 3.0;

/// Shortest time over which answers are judged together.
const WINDOW_LENGTH: Duration = Duration::from_millis(100);
/// Longest such time, after which fewer answers suffice.
const MAX_WINDOW_LENGTH: Duration = Duration::from_secs(1);
/// Answers that a window needs: with 30% of noise their mean deviates by less than 8%.
const WINDOW_SAMPLES: u32 = 16;
/// Answers that the longest window needs.
const MIN_WINDOW_SAMPLES: u32 = 4;

/// Logarithm of the ratio to the usual duration from which a window counts as slow: twice as long.
const SLOW_LOG_RATIO: f64 = std::f64::consts::LN_2;
/// Number of consecutive slow windows that lower the limit. With fewer, classes that mix calls of 3
/// and 47 ms lower it by chance.
const SLOW_WINDOWS: u32 = 3;
/// Factor by which the limit is lowered for slow answers.
const SLOW_FACTOR: f64 = 0.7;
/// Part of the reduction of the logarithmic ratio that shows that a lower limit helped; the whole is
/// what the limits give if the duration is proportional to the calls in flight, so that a lower
/// limit costs no throughput. The wait of one call beyond the slots accounts for half of it.
const HELPFUL_PART: f64 = 0.75;

/// Fraction of failed answers from which a window counts as failing.
const FAILURE_FRACTION: f64 = 0.25;
/// Fraction of refusals and timeouts from which a window counts as overloaded.
const REFUSAL_FRACTION: f64 = 0.1;
/// Number of consecutive failing or overloaded windows that lower the limit.
const FAILING_WINDOWS: u32 = 2;
/// Factor by which the limit is lowered for failures and refusals.
const FAILURE_FACTOR: f64 = 0.5;

/// Part of the proportional growth of durations above which a raise counts as useless. It lies in
/// the middle between a member that is not slowed by concurrency and one that is in proportion.
const USELESS_PART: f64 = 0.5;
/// Time after a raise that gave no more throughput until the next one; doubled each time, as chance
/// lets a few raises seem useful.
const MIN_REGROWTH_DELAY: Duration = Duration::from_secs(1);
/// Largest such time.
const MAX_REGROWTH_DELAY: Duration = Duration::from_secs(8);
/// Factor by which a window needs more answers to judge a raise, whose effect is smaller.
const RAISE_SAMPLES_FACTOR: u32 = 2;
/// Time without a reduction after which the ceiling of an unsteady member is raised by one call.
const STEADY_PERIOD: Duration = Duration::from_secs(5);
/// Time between two episodes of slowness within which the member counts as unsteady.
const UNSTEADY_PERIOD: Duration = Duration::from_secs(30);
/// Factor by which the ceiling of an unsteady member is lowered in each episode.
const UNSTEADY_FACTOR: f64 = 0.75;
/// Smallest part of the largest limit that the ceiling keeps.
const MIN_CEILING_PART: f64 = 0.5;

/// Time in which the usual duration of a class follows a change that does not count as slow.
const USUAL_PERIOD: Duration = Duration::from_secs(10);
/// Largest weight of a new answer in the usual duration, once there are enough of them.
const MAX_USUAL_WEIGHT: f64 = 0.1;
/// Answers over which the first usual duration of a class is a plain mean.
const FIRST_SAMPLES: u32 = 30;
/// Weight of a new answer in the recent duration of its class.
const RECENT_SMOOTHING: f64 = 0.2;
/// Largest number of classes with a usual duration; the least recently used one is replaced.
const MAX_CLASSES: usize = 32;
/// Added to all durations before they are compared, in seconds: an owner with 0.12 of a core reads
/// answers a few milliseconds late, which would make calls of 3 ms seem twice as slow.
const READ_DELAY_SECONDS: f64 = 0.003;

/// Time since the last use after which a kind of work does not count for the capacity.
const KIND_TTL: Duration = Duration::from_secs(5);
/// Gap between two observations after which the process was suspended, and what was learned before
/// is discarded.
const SUSPENSION_TIMEOUT: Duration = Duration::from_secs(1);

/// Kind of work with a limit of its own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkKind {
    /// Work that any member may run.
    Read,
    /// Work that only a leader runs.
    LeaderOnly,
}

/// What an endpoint's answer says about its load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PaceOutcome {
    /// Success, or an error that says nothing about the load.
    Answered,
    /// The work was run and failed.
    Failed,
    /// The endpoint refused the work for capacity, or did not answer in time.
    Refused,
}

/// Result of one call at an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct PaceSample {
    /// Kind of the work.
    pub kind: WorkKind,
    /// Class of calls that usually take equally long.
    pub class: u16,
    /// Hash of the team.
    pub team: u64,
    /// Time at which the call was sent.
    pub sent_at: Instant,
    /// Outcome.
    pub outcome: PaceOutcome,
}

/// What is known about a member when its limit is created.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PaceStart {
    /// The process has run for some time, so it gets the full limit.
    Settled,
    /// The process is new.
    New,
}

/// Reason for which a limit was changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PaceCause {
    /// Answers take longer than usual.
    Slow,
    /// A large part of the work fails.
    Failing,
    /// The endpoint refuses work or does not answer.
    Refusing,
    /// The process is new, was promoted or was unreachable.
    Started,
    /// The limit was used and the answers are as usual.
    Grown,
    /// The last raise made the answers slower in proportion, so it was taken back.
    Congested,
}

impl PaceCause {
    /// Returns the label of the cause for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Slow => "slow",
            Self::Failing => "failing",
            Self::Refusing => "refusing",
            Self::Started => "started",
            Self::Grown => "grown",
            Self::Congested => "congested",
        }
    }
}

/// Usual and recent duration of one class of calls, as logarithms of seconds.
#[derive(Clone, Copy, Debug)]
struct ClassDuration {
    class: u16,
    usual: f64,
    recent: f64,
    samples: u32,
    used_at: Instant,
}

/// Answers that are judged together.
#[derive(Clone, Copy, Debug)]
struct Window {
    started_at: Instant,
    samples: u32,
    log_ratio_sum: f64,
    timed_samples: u32,
    failures: u32,
    failed_team: Option<u64>,
    is_failing_for_several: bool,
    refusals: u32,
    peak_in_flight: usize,
}

impl Window {
    fn new(in_flight: usize, now: Instant) -> Self {
        Self {
            started_at: now,
            samples: 0,
            log_ratio_sum: 0.0,
            timed_samples: 0,
            failures: 0,
            failed_team: None,
            is_failing_for_several: false,
            refusals: 0,
            peak_in_flight: in_flight,
        }
    }

    fn is_complete(&self, judges_raise: bool, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.started_at);
        let needed = if age < MAX_WINDOW_LENGTH { WINDOW_SAMPLES } else { MIN_WINDOW_SAMPLES };
        let factor = if judges_raise { RAISE_SAMPLES_FACTOR } else { 1 };
        age >= WINDOW_LENGTH && self.samples >= needed * factor
    }

    fn mean_log_ratio(&self) -> f64 {
        self.log_ratio_sum / f64::from(self.timed_samples.max(1))
    }
}

/// Limit of one kind of work.
#[derive(Clone, Debug)]
struct KindPace {
    limit: f64,
    ceiling: f64,
    in_flight: usize,
    window: Window,
    /// Calls sent before this time are not judged, because the limit was another one.
    judged_since: Instant,
    /// Consecutive windows that were slow or much faster than usual.
    slow_windows: u32,
    fast_windows: u32,
    failing_windows: u32,
    /// Mean logarithmic ratio below which the last reduction helped, until it is judged.
    trial: Option<f64>,
    /// Mean logarithmic ratio above which the last raise gave no more throughput, until it is judged.
    raise: Option<f64>,
    /// Time before which the limit is not raised again.
    held_until: Instant,
    regrowth_delay: Duration,
    reduced_at: Option<Instant>,
    raised_at: Instant,
    used_at: Option<Instant>,
    classes: Vec<ClassDuration>,
}

impl KindPace {
    fn new(limit: f64, max: f64, now: Instant) -> Self {
        Self {
            limit,
            ceiling: max,
            in_flight: 0,
            window: Window::new(0, now),
            judged_since: now,
            slow_windows: 0,
            fast_windows: 0,
            failing_windows: 0,
            trial: None,
            raise: None,
            held_until: now,
            regrowth_delay: MIN_REGROWTH_DELAY,
            reduced_at: None,
            raised_at: now,
            used_at: None,
            classes: Vec::new(),
        }
    }

    /// Sets the limit and judges only calls that are sent from now on.
    fn set_limit(&mut self, limit: f64, now: Instant) {
        self.limit = limit.max(MIN_LIMIT);
        self.raise = None;
        self.judged_since = now;
        self.window = Window::new(self.in_flight, now);
        (self.slow_windows, self.failing_windows, self.fast_windows) = (0, 0, 0);
    }

    /// Records the duration of a call and returns the logarithm of its ratio to the usual one.
    fn record_duration(&mut self, class: u16, seconds: f64, now: Instant) -> f64 {
        let value = (seconds + READ_DELAY_SECONDS).ln();
        let Some(known) = self.classes.iter_mut().find(|known| known.class == class) else {
            if self.classes.len() >= MAX_CLASSES
                && let Some(oldest) = (0..MAX_CLASSES).min_by_key(|i| self.classes[*i].used_at)
            {
                self.classes.swap_remove(oldest);
            }
            self.classes.push(ClassDuration {
                class,
                usual: value,
                recent: value,
                samples: 1,
                used_at: now,
            });
            return 0.0;
        };
        let log_ratio = value - known.usual;
        known.recent += (value - known.recent) * RECENT_SMOOTHING;
        // While a limit is judged the usual duration stays, or slowness would become usual unjudged.
        if self.slow_windows == 0 && self.trial.is_none() && self.raise.is_none() {
            known.samples = (known.samples + 1).min(FIRST_SAMPLES);
            let weight = if known.samples < FIRST_SAMPLES {
                1.0 / f64::from(known.samples)
            } else {
                let elapsed = now.saturating_duration_since(known.used_at).as_secs_f64();
                (elapsed / USUAL_PERIOD.as_secs_f64()).min(MAX_USUAL_WEIGHT)
            };
            known.usual += log_ratio * weight;
        }
        known.used_at = now;
        log_ratio
    }

    /// Takes the recent duration of each class for the usual one.
    fn rebase(&mut self) {
        for known in &mut self.classes {
            known.usual = known.recent;
        }
    }

    /// Lowers the limit; a member that is slow again and again keeps a lower ceiling.
    fn reduce(&mut self, factor: f64, max: f64, is_new_episode: bool, now: Instant) {
        let is_unsteady =
            self.reduced_at.is_some_and(|at| now.saturating_duration_since(at) < UNSTEADY_PERIOD);
        if is_new_episode {
            if is_unsteady {
                self.ceiling = (self.ceiling * UNSTEADY_FACTOR).max(max * MIN_CEILING_PART);
            }
            self.reduced_at = Some(now);
        }
        self.raised_at = now;
        // A step of less than one call would change nothing.
        let limit = (self.limit.min(self.ceiling.floor()) * factor).floor();
        self.set_limit(limit, now);
    }

    /// Judges a complete window and returns why the limit changed, if it did.
    fn judge(&mut self, max: f64, now: Instant) -> Option<PaceCause> {
        let window = std::mem::replace(&mut self.window, Window::new(self.in_flight, now));
        let before = self.limit;
        if now.saturating_duration_since(self.raised_at) >= STEADY_PERIOD && self.ceiling < max {
            self.ceiling = (self.ceiling + 1.0).min(max);
            self.raised_at = now;
        }
        let part = |count: u32| f64::from(count) / f64::from(window.samples.max(1));
        let is_failing = window.is_failing_for_several && part(window.failures) >= FAILURE_FRACTION;
        let is_refusing = window.refusals > 1 && part(window.refusals) >= REFUSAL_FRACTION;
        if is_failing || is_refusing {
            self.failing_windows += 1;
            if self.failing_windows >= FAILING_WINDOWS {
                let is_new_episode = self.limit >= self.ceiling;
                self.reduce(FAILURE_FACTOR, max, is_new_episode, now);
                // Consecutive: the next bad window lowers the limit again.
                self.failing_windows = FAILING_WINDOWS - 1;
                let cause = if is_failing { PaceCause::Failing } else { PaceCause::Refusing };
                return (self.limit < before).then_some(cause);
            }
            return None;
        }
        self.failing_windows = 0;
        let log_ratio = window.mean_log_ratio();
        if let Some(useless) = self.raise.take() {
            if log_ratio > useless {
                self.held_until = now + self.regrowth_delay;
                self.regrowth_delay = (self.regrowth_delay * 2).min(MAX_REGROWTH_DELAY);
                let limit = self.limit.ceil() - 1.0;
                self.set_limit(limit, now);
                return Some(PaceCause::Congested);
            }
            self.regrowth_delay = MIN_REGROWTH_DELAY;
        }
        if log_ratio > SLOW_LOG_RATIO {
            return self.judge_slow(log_ratio, max, now);
        }
        (self.slow_windows, self.trial) = (0, None);
        if part(window.failures) >= FAILURE_FRACTION {
            return None;
        }
        self.fast_windows = if log_ratio < -SLOW_LOG_RATIO { self.fast_windows + 1 } else { 0 };
        if self.fast_windows >= SLOW_WINDOWS {
            (self.fast_windows, self.held_until) = (0, now);
            self.regrowth_delay = MIN_REGROWTH_DELAY;
            self.rebase();
        }
        self.grow(&window, max, now)
    }

    fn judge_slow(&mut self, log_ratio: f64, max: f64, now: Instant) -> Option<PaceCause> {
        self.fast_windows = 0;
        if let Some(helpful) = self.trial {
            self.trial = None;
            if log_ratio > helpful || self.limit <= MIN_LIMIT {
                self.rebase();
                self.slow_windows = 0;
                return None;
            }
            return self.start_trial(log_ratio, max, false, now);
        }
        self.slow_windows += 1;
        if self.slow_windows < SLOW_WINDOWS {
            return None;
        }
        if self.limit <= MIN_LIMIT {
            self.rebase();
            self.slow_windows = 0;
            return None;
        }
        self.start_trial(log_ratio, max, true, now)
    }

    /// Lowers the limit, and expects the durations to become shorter in proportion.
    fn start_trial(
        &mut self,
        log_ratio: f64,
        max: f64,
        is_new_episode: bool,
        now: Instant,
    ) -> Option<PaceCause> {
        let previous = self.limit;
        self.reduce(SLOW_FACTOR, max, is_new_episode, now);
        self.trial = Some(log_ratio - HELPFUL_PART * (previous / self.limit).ln());
        (self.limit < previous).then_some(PaceCause::Slow)
    }

    /// Raises the limit by one call if the window has used all of it.
    fn grow(&mut self, window: &Window, max: f64, now: Instant) -> Option<PaceCause> {
        let ceiling = self.ceiling.min(max);
        let is_used = window.peak_in_flight >= self.limit as usize;
        if !is_used || self.limit >= ceiling || now < self.held_until {
            return None;
        }
        let raised = (self.limit + 1.0).min(ceiling);
        // The last call keeps a slot busy while an answer is in transit, and waits otherwise.
        self.raise = (raised < max)
            .then(|| window.mean_log_ratio() + USELESS_PART * (raised / self.limit).ln());
        self.limit = raised;
        self.judged_since = now;
        Some(PaceCause::Grown)
    }
}

/// Adaptive limits of one endpoint, kept by its connection owner.
#[derive(Clone, Debug)]
pub struct MemberPace {
    max: f64,
    kinds: [KindPace; 2],
    observed_at: Instant,
    /// Oldest term of which the endpoint has answered, and the newest one that it led.
    oldest_term: Option<u64>,
    led_term: Option<u64>,
}

impl MemberPace {
    /// Creates the limits of an endpoint that runs at most `max` calls.
    pub fn new(max: usize, start: PaceStart, now: Instant) -> Self {
        let max = max.max(1) as f64;
        let limit = match start {
            PaceStart::Settled => max,
            PaceStart::New => start_limit(max),
        };
        let kind = KindPace::new(limit, max, now);
        Self {
            max,
            kinds: [kind.clone(), kind],
            observed_at: now,
            oldest_term: None,
            led_term: None,
        }
    }

    /// Takes the usual durations of another member of the service, or of the previous process.
    pub fn adopt_durations(&mut self, other: &Self) {
        for (kind, known) in self.kinds.iter_mut().zip(&other.kinds) {
            kind.classes.clone_from(&known.classes);
        }
    }

    /// Sets the largest limit. Must be called at least every second; after a longer gap the process
    /// was suspended, and everything that was learned is discarded.
    pub fn observe(&mut self, max: usize, now: Instant) {
        self.discard_after_gap(now);
        self.observed_at = now;
        let max = max.max(1) as f64;
        if max != self.max {
            for kind in &mut self.kinds {
                let was_full = kind.limit >= self.max;
                kind.ceiling = if kind.ceiling >= self.max { max } else { kind.ceiling.min(max) };
                kind.limit = if was_full { kind.ceiling } else { kind.limit.min(max) };
            }
            self.max = max;
        }
    }

    /// Starts anew after another instance was the connection owner, with the usual durations.
    pub fn take_over(&mut self, start: PaceStart, now: Instant) {
        let mut fresh = Self::new(self.max as usize, start, now);
        fresh.adopt_durations(self);
        for (kind, known) in fresh.kinds.iter_mut().zip(&self.kinds) {
            kind.in_flight = known.in_flight;
        }
        *self = fresh;
    }

    /// Records that the endpoint was unreachable: it may have restarted.
    pub fn restart(&mut self, now: Instant) {
        let limit = start_limit(self.max);
        for kind in &mut self.kinds {
            kind.trial = None;
            let lower = kind.limit.min(limit);
            kind.set_limit(lower, now);
        }
    }

    /// Records the term of an answer, and whether it confirms that the endpoint leads in it.
    ///
    /// Returns whether the endpoint was promoted, which lowers the limit of what only a leader
    /// runs. A new owner that has seen no earlier term cannot tell and leaves the limit.
    pub fn record_term(&mut self, term: u64, is_confirmed: bool, now: Instant) -> bool {
        let oldest_term = *self.oldest_term.get_or_insert(term);
        if !is_confirmed || self.led_term.is_some_and(|led| led >= term) {
            return false;
        }
        self.led_term = Some(term);
        let is_promoted = oldest_term < term;
        if is_promoted {
            self.oldest_term = Some(term);
            let limit = start_limit(self.max);
            let kind = &mut self.kinds[WorkKind::LeaderOnly as usize];
            kind.trial = None;
            let lower = kind.limit.min(limit);
            kind.set_limit(lower, now);
        }
        is_promoted
    }

    /// Records that a call has got its permit.
    pub fn begin(&mut self, kind: WorkKind, now: Instant) {
        let kind = &mut self.kinds[kind as usize];
        kind.in_flight += 1;
        kind.window.peak_in_flight = kind.window.peak_in_flight.max(kind.in_flight);
        kind.used_at = Some(now);
    }

    /// Records that a call has released its permit.
    pub fn finish(&mut self, kind: WorkKind) {
        let kind = &mut self.kinds[kind as usize];
        kind.in_flight = kind.in_flight.saturating_sub(1);
    }

    /// Records the result of a call and returns why a limit changed, if it did.
    pub fn record(&mut self, sample: PaceSample, now: Instant) -> Option<PaceCause> {
        self.discard_after_gap(now);
        let max = self.max;
        let kind = &mut self.kinds[sample.kind as usize];
        if sample.sent_at < kind.judged_since {
            return None;
        }
        kind.window.samples += 1;
        match sample.outcome {
            PaceOutcome::Answered => {
                let seconds = now.saturating_duration_since(sample.sent_at).as_secs_f64();
                let log_ratio = kind.record_duration(sample.class, seconds, now);
                kind.window.log_ratio_sum += log_ratio;
                kind.window.timed_samples += 1;
            }
            PaceOutcome::Failed => {
                let first_team = *kind.window.failed_team.get_or_insert(sample.team);
                kind.window.is_failing_for_several |= first_team != sample.team;
                kind.window.failures += 1;
            }
            PaceOutcome::Refused => kind.window.refusals += 1,
        }
        if kind.window.is_complete(kind.raise.is_some(), now) { kind.judge(max, now) } else { None }
    }

    /// Returns the largest number of calls of a kind in flight.
    pub fn limit(&self, kind: WorkKind) -> usize {
        self.kinds[kind as usize].limit as usize
    }

    /// Returns the largest number of calls in flight: that of the kinds that were used recently.
    pub fn capacity(&self, now: Instant) -> usize {
        let recently = |at: Instant| now.saturating_duration_since(at) < KIND_TTL;
        let used = self.kinds.iter().filter(|kind| kind.used_at.is_some_and(recently));
        let largest = used.map(|kind| kind.limit as usize).max();
        largest.unwrap_or_else(|| self.limit(WorkKind::Read).max(self.limit(WorkKind::LeaderOnly)))
    }

    /// Returns whether all limits are at their maximum.
    pub fn is_full(&self) -> bool {
        self.kinds.iter().all(|kind| kind.limit >= self.max)
    }

    fn discard_after_gap(&mut self, now: Instant) {
        if now.saturating_duration_since(self.observed_at) <= SUSPENSION_TIMEOUT {
            return;
        }
        self.observed_at = now;
        for kind in &mut self.kinds {
            let in_flight = kind.in_flight;
            *kind = KindPace::new(self.max, self.max, now);
            kind.in_flight = in_flight;
        }
        (self.oldest_term, self.led_term) = (None, None);
    }
}

/// Returns the limit of a member without history.
fn start_limit(max: f64) -> f64 {
    (max / START_DIVISOR).floor().max(MIN_LIMIT)
}
