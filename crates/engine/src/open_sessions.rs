//! Open caller sessions, and the requests that wait for an answer.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use coord::session::SessionId;
use metrics::counter;
use telemetry::event::LogEvent;
use telemetry::{log_event, meter};

/// Maximum lines about cut requests at the end of the process. All of them are counted.
const MAX_CUT_LINES: usize = 40;

/// Request that waits for an answer.
#[derive(Clone, Debug)]
struct WaitingRequest {
    id: String,
    database: String,
    arrived_at: Instant,
}

/// Progress of one session.
#[derive(Debug, Default)]
pub(crate) struct SessionProgress {
    waiting: RefCell<Option<WaitingRequest>>,
    in_transaction: Cell<bool>,
}

impl SessionProgress {
    /// Records that a request was read.
    pub(crate) fn begin_request(&self, id: &str, database: &str, arrived_at: Instant) {
        let request =
            WaitingRequest { id: id.to_owned(), database: database.to_owned(), arrived_at };
        *self.waiting.borrow_mut() = Some(request);
    }

    /// Records that the answer was written, and whether a transaction is open or failed after it.
    pub(crate) fn end_request(&self, in_transaction: bool) {
        *self.waiting.borrow_mut() = None;
        self.in_transaction.set(in_transaction);
    }

    /// Logs and counts the request that waits, if there is one, as cut.
    pub(crate) fn cut_request(&self, cause: &'static str, now: Instant) {
        if let Some(request) = self.waiting.borrow_mut().take() {
            counter!(meter::CUT_REQUESTS, "cause" => cause).increment(1);
            request.log_cut(cause, now);
        }
    }
}

impl WaitingRequest {
    fn log_cut(&self, cause: &'static str, now: Instant) {
        log_event!(
            LogEvent::RequestCut,
            "request={} database={} cause={cause} waited_ms={}",
            self.id,
            self.database,
            now.saturating_duration_since(self.arrived_at).as_millis()
        );
    }
}

/// What is open on an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OpenWork {
    /// Sessions of callers.
    pub callers: usize,
    /// Sessions whose request waits for an answer.
    pub waiting: usize,
    /// Sessions with a transaction that is open or failed.
    pub transactions: usize,
    /// Calls of peers that wait for a reply.
    pub peer_calls: usize,
}

/// Sessions of callers and calls of peers that are open on an instance.
#[derive(Debug, Default)]
pub struct OpenSessions {
    sessions: RefCell<HashMap<SessionId, Rc<SessionProgress>>>,
    peer_calls: Cell<usize>,
}

impl OpenSessions {
    /// Adds a session.
    pub(crate) fn add(&self, session_id: SessionId) -> Rc<SessionProgress> {
        let progress = Rc::<SessionProgress>::default();
        self.sessions.borrow_mut().insert(session_id, progress.clone());
        progress
    }

    /// Removes a session that has ended.
    pub(crate) fn remove(&self, session_id: SessionId) {
        self.sessions.borrow_mut().remove(&session_id);
    }

    /// Records that a call of a peer was read.
    pub(crate) fn begin_peer_call(&self) {
        self.peer_calls.set(self.peer_calls.get() + 1);
    }

    /// Records that the reply to a call of a peer was sent.
    pub(crate) fn end_peer_call(&self) {
        self.peer_calls.set(self.peer_calls.get().saturating_sub(1));
    }

    /// Returns what is open.
    pub fn work(&self) -> OpenWork {
        let sessions = self.sessions.borrow();
        let count = |condition: fn(&SessionProgress) -> bool| {
            sessions.values().filter(|progress| condition(progress)).count()
        };
        OpenWork {
            callers: sessions.len(),
            waiting: count(|progress| progress.waiting.borrow().is_some()),
            transactions: count(|progress| progress.in_transaction.get()),
            peer_calls: self.peer_calls.get(),
        }
    }

    /// Logs and counts the requests that the end of the process cuts.
    pub(crate) fn log_cut_requests(&self, now: Instant) {
        let sessions = self.sessions.borrow();
        let waiting: Vec<WaitingRequest> =
            sessions.values().filter_map(|progress| progress.waiting.borrow().clone()).collect();
        let cause = "process_end";
        counter!(meter::CUT_REQUESTS, "cause" => cause).increment(waiting.len() as u64);
        for request in waiting.iter().take(MAX_CUT_LINES) {
            request.log_cut(cause, now);
        }
        let peer_calls = self.peer_calls.get() as u64;
        counter!(meter::CUT_REQUESTS, "cause" => "peer_call").increment(peer_calls);
    }
}
