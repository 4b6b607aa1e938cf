//! Decides when reads of a table are sent to the store, and which of them are given up.
//!
//! Answers the load of a store that takes long to answer, with every answer on its way: a read that is
//! given up after a fixed time learns nothing, however often it is sent again. A read stays
//! outstanding here until it is answered, fails, or enough later ones have been sent. The next one
//! does not wait for it, so that the store has a request to answer at any time, and several are
//! spread over time, so that a slow store gets no more of them than a fast one. While the bytes of
//! an answer arrive, nothing else is sent: it would only slow them down.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::table_age::POLL_FRACTION;

/// Part of the bound for which the next read waits once an answer is due.
const PATIENCE_FRACTION: f64 = 0.05;
/// Time after which a read without an answer counts as failed, unless the store usually takes longer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);
/// The same as a part of the bound, if that is shorter.
pub const ANSWER_TIMEOUT_FRACTION: f64 = 0.2;
/// The same as a multiple of the time that the store usually takes.
const ANSWER_TIME_FACTOR: u32 = 2;
/// Longest such time, as a part of the bound.
const MAX_ANSWER_TIMEOUT_FRACTION: f64 = 0.5;
/// Time without a byte of an answer that has begun after which another read is sent.
const STALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Time after a failed read before the next one, unless another is outstanding.
const RETRY_BACKOFF: Duration = Duration::from_millis(300);
/// Number of reads that may be outstanding.
const MAX_OUTSTANDING: usize = 4;

/// Identifier of a read of one schedule.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ReadId(u32);

/// End of a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadEnd {
    /// The store answered it.
    Answered,
    /// The store refused it, or could not be reached.
    Failed,
}

/// Read that the store has not answered.
#[derive(Clone, Copy, Debug)]
struct OutstandingRead {
    id: ReadId,
    sent_at: Instant,
    /// Time after `sent_at` for which the store may wait for changes.
    wait: Duration,
    /// Time at which bytes of the answer last arrived.
    progress_at: Option<Instant>,
    is_overdue: bool,
}

impl OutstandingRead {
    /// Returns from when on the store should have answered, if it takes no time to do so.
    fn due_at(&self) -> Instant {
        self.sent_at + self.wait
    }

    /// Returns when the read counts as failed if the store should answer within `timeout`.
    fn overdue_at(&self, timeout: Duration) -> Instant {
        match self.progress_at {
            Some(progress_at) => progress_at + timeout.max(STALL_TIMEOUT),
            None => self.due_at() + timeout,
        }
    }
}

/// Reads of one table by one instance.
#[derive(Clone, Debug)]
pub struct ReadSchedule {
    bound: Duration,
    /// Outstanding reads in the order in which they were sent.
    outstanding: VecDeque<OutstandingRead>,
    next_id: u32,
    /// Time that the store usually takes to answer; zero if unknown.
    answer_time: Duration,
    retry_at: Option<Instant>,
}

impl ReadSchedule {
    /// Creates the schedule of a table whose changes must be in force within the `bound`.
    pub fn new(bound: Duration) -> Self {
        Self {
            bound,
            outstanding: VecDeque::new(),
            next_id: 0,
            answer_time: Duration::ZERO,
            retry_at: None,
        }
    }

    /// Returns the time that the store usually takes to answer; zero if that is not known.
    pub fn answer_time(&self) -> Duration {
        self.answer_time
    }

    /// Returns whether a read is outstanding that may be answered in time.
    pub fn has_pending(&self) -> bool {
        self.outstanding.iter().any(|read| !read.is_overdue)
    }

    /// Returns when the next read may be sent; `None` if it may be sent at any time.
    pub fn next_send(&self) -> Option<Instant> {
        let Some(newest) = self.outstanding.back() else {
            return self.retry_at;
        };
        let doublings = u32::try_from(self.outstanding.len() - 1).unwrap_or(u32::MAX);
        let patience = self.bound.mul_f64(PATIENCE_FRACTION) * 2_u32.saturating_pow(doublings);
        // A silent store is asked no less often than one that is polled.
        let next = newest.due_at() + patience.min(self.bound.mul_f64(POLL_FRACTION));
        let last_progress = self.outstanding.iter().filter_map(|read| read.progress_at).max();
        let stalled_at =
            last_progress.map(|at| at + STALL_TIMEOUT.max(ANSWER_TIME_FACTOR * self.answer_time));
        [Some(next), self.retry_at, stalled_at].into_iter().max().flatten()
    }

    /// Records that a read was sent that asks the store to wait for changes for up to `wait`.
    ///
    /// Returns its identifier, and the read to give up for it, if any.
    pub fn send(&mut self, wait: Duration, now: Instant) -> (ReadId, Option<ReadId>) {
        let is_full = self.outstanding.len() >= MAX_OUTSTANDING;
        let given_up = if is_full { self.give_up() } else { None };
        let id = ReadId(self.next_id);
        self.next_id = self.next_id.wrapping_add(1);
        let read = OutstandingRead { id, sent_at: now, wait, progress_at: None, is_overdue: false };
        self.outstanding.push_back(read);
        self.retry_at = None;
        (id, given_up.map(|read| read.id))
    }

    /// Removes the oldest read of whose answer nothing has arrived, or the oldest one.
    fn give_up(&mut self) -> Option<OutstandingRead> {
        let without_answer = self.outstanding.iter().position(|read| read.progress_at.is_none());
        self.outstanding.remove(without_answer.unwrap_or(0))
    }

    /// Records that bytes of the answer to a read arrived; returns whether it counted as failed.
    pub fn record_progress(&mut self, id: ReadId, now: Instant) -> bool {
        let Some(read) = self.outstanding.iter_mut().find(|read| read.id == id) else {
            return false;
        };
        let is_first = read.progress_at.replace(now).is_none();
        let was_overdue = std::mem::take(&mut read.is_overdue);
        if !is_first {
            return was_overdue;
        }
        // The store answers earlier than it was asked to if it has changes.
        let due_at = read.due_at();
        if now >= due_at {
            let sample = now.saturating_duration_since(due_at);
            self.answer_time = sample.max((self.answer_time + sample) / 2);
        }
        was_overdue
    }

    /// Records the end of a read, and returns those to give up: all that were sent before an
    /// answered one, whose answer includes theirs.
    pub fn finish(&mut self, id: ReadId, end: ReadEnd, now: Instant) -> Vec<ReadId> {
        let Some(position) = self.outstanding.iter().position(|read| read.id == id) else {
            return Vec::new();
        };
        match end {
            ReadEnd::Answered => {
                self.retry_at = None;
                let superseded = self.outstanding.drain(..=position);
                superseded.map(|read| read.id).filter(|earlier| *earlier != id).collect()
            }
            ReadEnd::Failed => {
                self.outstanding.remove(position);
                self.retry_at = Some(now + RETRY_BACKOFF);
                Vec::new()
            }
        }
    }

    /// Returns the time at which the next outstanding read will count as failed.
    pub fn next_overdue(&self) -> Option<Instant> {
        let timeout = self.answer_timeout();
        let pending = self.outstanding.iter().filter(|read| !read.is_overdue);
        pending.map(|read| read.overdue_at(timeout)).min()
    }

    /// Returns the reads that have come to count as failed since the last call. Answers to them are
    /// used all the same.
    pub fn take_overdue(&mut self, now: Instant) -> Vec<ReadId> {
        let timeout = self.answer_timeout();
        let mut overdue = Vec::new();
        for read in &mut self.outstanding {
            if !read.is_overdue && now >= read.overdue_at(timeout) {
                read.is_overdue = true;
                overdue.push(read.id);
            }
        }
        overdue
    }

    /// Returns the time after which a read without an answer counts as failed.
    fn answer_timeout(&self) -> Duration {
        let shortest = ANSWER_TIMEOUT.min(self.bound.mul_f64(ANSWER_TIMEOUT_FRACTION));
        let longest = self.bound.mul_f64(MAX_ANSWER_TIMEOUT_FRACTION).max(shortest);
        (ANSWER_TIME_FACTOR * self.answer_time).clamp(shortest, longest)
    }
}
