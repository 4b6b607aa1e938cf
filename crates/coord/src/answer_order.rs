//! Order of a member's answers, from which a lost one is told before its deadline.
//!
//! Load: a member runs a part of its requests and their answers are lost. Each such call held a permit
//! until its deadline, and ten of them in 4 s took two thirds of a leader's capacity.
//!
//! A member that answers several later calls has most probably answered an earlier one too, once that
//! has taken longer than any request of its class usually does.

use std::time::{Duration, Instant};

use slotmap::{SlotMap, new_key_type};

/// Later calls that the member has answered when an earlier answer is presumed lost.
const MIN_OVERTAKING_ANSWERS: u32 = 3;
/// Multiple of the usual maximum hold time of a class within which even its longest requests end.
const PATIENCE_FACTOR: f64 = 3.0;
/// Shortest time after which an answer is presumed lost: the delay of a loaded network and event loop.
const MIN_PATIENCE: Duration = Duration::from_millis(25);

new_key_type! {
    /// Identifies a call that awaits its answer.
    pub struct CallKey;
}

/// What is presumed of an answer that is overdue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OverdueAnswer {
    /// It is still expected.
    Expected,
    /// The member has most probably ended the call, so another one may take its permit.
    Ended,
    /// The answer is lost.
    Lost,
}

#[derive(Clone, Copy, Debug)]
struct AwaitedCall {
    sent_at: Instant,
    patience: Duration,
    /// Answers to calls that were sent later.
    overtaking_answers: u32,
    /// Another call has taken its permit.
    has_ended: bool,
}

/// Calls that await the answers of one member.
#[derive(Clone, Debug, Default)]
pub struct AnswerOrder {
    awaited: SlotMap<CallKey, AwaitedCall>,
    /// Calls that gave up their permits since the last answer, and the time of the last of them.
    given_up: Option<(u32, Instant)>,
}

impl AnswerOrder {
    /// Records that a call is sent whose answer is awaited for `patience` in any case.
    pub fn begin(&mut self, patience: Duration, now: Instant) -> CallKey {
        let call = AwaitedCall { sent_at: now, patience, overtaking_answers: 0, has_ended: false };
        self.awaited.insert(call)
    }

    /// Records that a call is answered.
    pub fn record_answer(&mut self, key: CallKey) {
        let Some(answered) = self.awaited.remove(key) else {
            return;
        };
        self.given_up = None;
        for call in self.awaited.values_mut().filter(|call| call.sent_at < answered.sent_at) {
            call.overtaking_answers += 1;
        }
    }

    /// Records that the answer of a call is no longer awaited.
    pub fn abandon(&mut self, key: CallKey) {
        self.awaited.remove(key);
    }

    /// Returns what is presumed of the answer of a call.
    ///
    /// While all permits are held by calls without an answer, no later answer can arrive. After twice
    /// its patience one of them gives up its permit, for a call that shows whether the member answers;
    /// as long as it does not, the pause before the next one doubles.
    pub fn judge(&mut self, key: CallKey, now: Instant) -> OverdueAnswer {
        let (count, last_at) = self.given_up.unzip();
        let count = count.unwrap_or(0);
        let Some(call) = self.awaited.get_mut(key) else {
            return OverdueAnswer::Expected;
        };
        let age = now.saturating_duration_since(call.sent_at);
        if age < call.patience {
            return OverdueAnswer::Expected;
        }
        if call.overtaking_answers >= MIN_OVERTAKING_ANSWERS {
            call.has_ended = true;
            return OverdueAnswer::Lost;
        }
        let pause = call.patience * 2_u32.saturating_pow(count + 1);
        let since = last_at.map_or(age, |at| now.saturating_duration_since(at));
        if !call.has_ended && age >= 2 * call.patience && since >= pause {
            call.has_ended = true;
            self.given_up = Some((count + 1, now));
        }
        if call.has_ended { OverdueAnswer::Ended } else { OverdueAnswer::Expected }
    }
}

/// Returns the time for which an answer is awaited in any case. `usual_maximum` is the hold time in
/// seconds that most requests of the class do not exceed.
pub fn patience(usual_maximum: f64) -> Duration {
    Duration::from_secs_f64((usual_maximum * PATIENCE_FACTOR).clamp(0.0, 60.0)).max(MIN_PATIENCE)
}
