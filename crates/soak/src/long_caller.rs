//! Callers with long transactions, which go on while an instance stops.

use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::caller::{CallerSession, ReportedOutcome, SharedHistory, error_code, reported_outcome};

/// Statements of a transaction, without those that begin and end it.
const STATEMENT_COUNT: u32 = 12;
/// Pauses between the statements of a transaction, in milliseconds.
const PAUSE_MILLIS: std::ops::Range<u64> = 300..800;
/// Pause between transactions and before another attempt to connect.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// Caller that runs one long transaction after another on the same instance.
pub(crate) struct LongCaller {
    number: u32,
    rng: StdRng,
    address: SocketAddr,
    history: SharedHistory,
}

impl LongCaller {
    /// Creates a caller with a number that no other caller has.
    pub(crate) fn new(number: u32, seed: u64, address: SocketAddr, history: SharedHistory) -> Self {
        let rng = StdRng::seed_from_u64(seed ^ u64::from(number).wrapping_mul(0x9e37_79b9));
        Self { number, rng, address, history }
    }

    /// Runs transactions until `stop` is set.
    pub(crate) async fn run(mut self, stop: watch::Receiver<bool>) {
        let mut transaction = 0;
        while !*stop.borrow() {
            if let Some(mut session) =
                CallerSession::open(self.address, "strict", &self.history).await
            {
                // A lost session is opened again.
                while !*stop.borrow() && !session.is_lost {
                    transaction += 1;
                    self.run_transaction(&mut session, transaction, &stop).await;
                    sleep(RECONNECT_PAUSE).await;
                }
            }
            sleep(RECONNECT_PAUSE).await;
        }
    }

    async fn run_transaction(
        &mut self,
        session: &mut CallerSession,
        transaction: u32,
        stop: &watch::Receiver<bool>,
    ) {
        // The IDs are those of other transactions: see `check_invariants`.
        let id = format!("t{}n{transaction}", self.number);
        let item = format!("i{}", self.number);
        let mut written = Vec::new();
        let mut outcome = ReportedOutcome::NotCommitted;
        for step in 0..=STATEMENT_COUNT {
            let text = match step {
                0 => "BEGIN".to_owned(),
                _ if step % 2 == 1 => {
                    written.push(format!("{id}d{step}"));
                    format!("WRITE {item} {id}d{step}")
                }
                _ => format!("READ {item}"),
            };
            let response = session.exchange(&format!("QUERY {id}s{step} {text}\r\n")).await;
            let has_failed = response.as_deref().is_none_or(|lines| error_code(lines).is_some());
            if has_failed || *stop.borrow() {
                // The response does not matter: nothing is committed.
                let _ = session.exchange(&format!("QUERY {id}r ROLLBACK\r\n")).await;
                break;
            }
            sleep(Duration::from_millis(self.rng.random_range(PAUSE_MILLIS))).await;
            if step == STATEMENT_COUNT {
                let response = session.exchange(&format!("QUERY {id}c COMMIT\r\n")).await;
                outcome = reported_outcome(response.as_deref());
            }
        }
        let mut history = self.history.lock();
        for data in written {
            history.record_write(&item, &data, outcome);
        }
    }
}
