//! Registers this instance with the platform and finds the others.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use coord::read_schedule::{ReadEnd, ReadSchedule};
use coord::rendezvous;
use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep, timeout};

use crate::instance::{EngineTypes, GatewayInstance};
use crate::interface::{InstanceList, PlatformApi, PlatformError};

/// Delay before a failed registration is repeated for the first time.
const RETRY_BACKOFF: Duration = Duration::from_millis(300);
/// Time for which an instance waits for its registration before it reads the list of the others:
/// those that start at the same time are registered by then.
const REGISTRATION_HEAD_START: Duration = Duration::from_millis(500);
/// Longest delay before a failed registration is repeated.
const MAX_REGISTRATION_BACKOFF: Duration = Duration::from_millis(2_400);
/// Time for which a registration waits for an answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The same after some that were not answered, so that a slow store has the time to answer.
const MAX_CALL_TIMEOUT: Duration = Duration::from_secs(6);
/// Time over which the instances of a fleet spread their registrations in a store that came back from
/// an older copy.
const REGISTRATION_SPREAD: Duration = Duration::from_secs(1);
/// Interval between reads of the registered instances.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(12);
/// Delay before the second read of the registered instances: instances that start at the same time
/// have registered by then.
const FIRST_DISCOVERY_DELAY: Duration = Duration::from_millis(600);

impl<E: EngineTypes> GatewayInstance<E> {
    /// Registers this instance and discovers the others.
    ///
    /// Others learn of this instance when it connects to them, so it need not be registered to join.
    pub async fn register_and_discover(self: Rc<Self>) {
        let registration = self.keep_registered();
        tokio::pin!(registration);
        let head_start = timeout(REGISTRATION_HEAD_START, async {
            tokio::select! {
                () = &mut registration => {}
                () = self.registered.notified() => {}
            }
        });
        let _ = head_start.await;
        tokio::join!(registration, self.discover());
    }

    /// Registers this instance, and does so again when the store comes back from an older copy, which
    /// may lack the registration; never returns.
    async fn keep_registered(&self) {
        loop {
            let history_changed = self.history_changed.notified();
            self.register().await;
            self.registered.notify_one();
            history_changed.await;
            let spread = rendezvous::weight(self.name(), "register") as f64 / u64::MAX as f64;
            sleep(REGISTRATION_SPREAD.mul_f64(spread)).await;
        }
    }

    /// Reads the list of the registered instances, and repeats the read until one is answered.
    async fn read_instances(self: &Rc<Self>) -> InstanceList {
        let schedule = Rc::new(RefCell::new(ReadSchedule::new(self.settings.document_bound)));
        let mut reads = JoinSet::new();
        let mut handles = HashMap::new();
        loop {
            let now = self.now();
            let next_send = schedule.borrow().next_send();
            let wait = next_send.map_or(Duration::ZERO, |at| at.saturating_duration_since(now));
            if wait.is_zero() {
                let (id, given_up) = schedule.borrow_mut().send(Duration::ZERO, now);
                if let Some(handle) = given_up.and_then(|id| handles.remove(&id)) {
                    AbortHandle::abort(&handle);
                }
                let (instance, schedule) = (self.clone(), schedule.clone());
                let handle = reads.spawn_local(async move {
                    let on_progress = || {
                        schedule.borrow_mut().record_progress(id, instance.now());
                    };
                    (id, instance.platform.read_instances(&on_progress).await)
                });
                handles.insert(id, handle);
                continue;
            }
            tokio::select! {
                Some(finished) = reads.join_next() => match finished {
                    Ok((_, Ok(list))) => return list,
                    Ok((id, Err(error))) => {
                        log_event!(LogEvent::StoreReadFailed, "list=instances cause=\"{error}\"");
                        schedule.borrow_mut().finish(id, ReadEnd::Failed, self.now());
                        handles.remove(&id);
                    }
                    // The read was given up.
                    Err(_) => {}
                },
                () = sleep(wait) => {}
            }
        }
    }

    async fn register(&self) {
        let (mut timeout, mut backoff) = (CALL_TIMEOUT, RETRY_BACKOFF);
        while let Err(error) = self.platform.register_instance(&self.settings.record, timeout).await
        {
            // The store may refuse transactions, and answer the reads of the tables all the same.
            log_event!(LogEvent::PlatformLost, "step=register cause=\"{error}\"");
            timeout = next_timeout(timeout, &error);
            sleep(backoff).await;
            backoff = (2 * backoff).min(MAX_REGISTRATION_BACKOFF);
        }
        self.record_store_status(true, "");
    }

    /// Keeps the list of the other instances up to date; never returns.
    async fn discover(self: &Rc<Self>) {
        let mut delay = FIRST_DISCOVERY_DELAY;
        loop {
            let list = self.read_instances().await;
            list.records.iter().for_each(|record| self.add_peer(record));
            for row in &list.refused {
                self.refused_rows.borrow_mut().record("instances", row);
            }
            self.peers.is_discovered.set(true);
            self.peers.subscriptions_due.notify_one();
            // Observers report instances that start later; repeated reads find any missed ones.
            sleep(delay).await;
            delay = DISCOVERY_INTERVAL;
            while self.has_zone_reader() {
                sleep(DISCOVERY_INTERVAL).await;
            }
        }
    }
}

/// Returns the timeout of the next call after one that failed: a slow store gets more time.
fn next_timeout(timeout: Duration, error: &PlatformError) -> Duration {
    match error {
        PlatformError::NoAnswer { .. } => (2 * timeout).min(MAX_CALL_TIMEOUT),
        _ => timeout,
    }
}
