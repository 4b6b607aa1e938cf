//! Checks on every instance that new sessions are decided by the newest document.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::caller::CallerSession;
use crate::document::{DOCUMENT_BOUND, SessionProbe};
use crate::run::SoakEnvironment;

/// Interval at which sessions are opened with what the newest document changed.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

impl SoakEnvironment {
    /// Opens sessions on an instance until `stop` is set, and records one violation for each document.
    ///
    /// A session that is opened later than the bound after a document was written must be decided by
    /// that document or a newer one. The bound starts again after each fault that lets this instance
    /// learn of rows late.
    pub(crate) async fn probe_documents(
        &self,
        index: usize,
        address: SocketAddr,
        stop: watch::Receiver<bool>,
    ) {
        let mut reported = 0;
        while !*stop.borrow() {
            let in_force = self.documents.lock().newest_before(Instant::now() - DOCUMENT_BOUND);
            for probe in SessionProbe::for_document(in_force) {
                let Some((document, violation)) = self.probe(index, address, &probe).await else {
                    continue;
                };
                if document != reported {
                    self.failures.lock().push(violation);
                    reported = document;
                }
            }
            sleep(PROBE_INTERVAL).await;
        }
    }

    /// Opens a session, and returns the document that did not decide it with a description.
    async fn probe(
        &self,
        index: usize,
        address: SocketAddr,
        probe: &SessionProbe,
    ) -> Option<(u64, String)> {
        let delay = self.row_delays.lock()[index];
        let bound_starts_at = Instant::now() - DOCUMENT_BOUND;
        let (delay_count, delayed_until) = delay;
        if delay_count > 0 || delayed_until >= bound_starts_at {
            return None;
        }
        let (database, key) = probe.credentials();
        let answer = CallerSession::open_with(address, &database, &key).await?;
        let documents = self.documents.lock();
        let (first, last) = (documents.newest_before(bound_starts_at), documents.newest());
        if first == 0 || self.row_delays.lock()[index] != delay {
            return None;
        }
        self.probe_count.fetch_add(1, Ordering::Relaxed);
        let violation = || {
            let number = index + 1;
            format!(
                "instance {number} answered {answer:?} to {probe:?}, which no document from {first} \
                 to {last} allows"
            )
        };
        (!probe.allows(&answer, first, last)).then(|| (first, violation()))
    }
}
