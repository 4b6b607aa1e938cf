//! Admission of operations within the limits of their teams.

use std::rc::Rc;
use std::time::Duration;

use coord::quota::LIMIT_PATIENCE;
use coord::rendezvous;
use coord::urgency::UrgencyLevel;
use tokio::time::sleep;

use crate::instance::{EngineTypes, GatewayInstance};
use crate::message::CountAnswer;

/// Time in which the counter of a team must answer.
const ADMISSION_TIMEOUT: Duration = Duration::from_millis(150);
/// Counters asked before an instance counts for itself.
const MAX_QUOTA_OWNERS: usize = 2;
/// Least time to state when an operation is refused.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time between observations of who can be reached.
const REACHABILITY_INTERVAL: Duration = Duration::from_millis(200);

impl<E: EngineTypes> GatewayInstance<E> {
    /// Admits an operation of a team, or tells after which time it could be admitted.
    ///
    /// A short wait for the next token is spent here, up to `patience`.
    pub async fn admit(
        self: &Rc<Self>,
        team: &str,
        priority: UrgencyLevel,
        max_wait: Duration,
    ) -> Result<(), Duration> {
        let max_wait = max_wait.min(LIMIT_PATIENCE);
        if self.directory.borrow().document().limit(team).is_none() {
            return Ok(());
        }
        match self.request_admission(team, priority, max_wait).await {
            CountAnswer::Admitted { after } if after.is_zero() => Ok(()),
            CountAnswer::Admitted { after } => {
                sleep(after).await;
                Ok(())
            }
            CountAnswer::Refused { retry } => Err(retry.max(MIN_RETRY_DELAY)),
        }
    }

    /// Counts an operation here, as the counter of its team.
    pub fn admit_locally(
        &self,
        team: &str,
        priority: UrgencyLevel,
        max_wait: Duration,
    ) -> CountAnswer {
        let document = self.directory.borrow().document();
        let Some(limit) = document.limit(team) else {
            return CountAnswer::Admitted { after: Duration::ZERO };
        };
        let (first_start, now) = (self.is_first_start(), self.now());
        match self.quotas.borrow_mut().take(
            team,
            limit,
            document.rank(priority),
            max_wait,
            first_start,
            now,
        ) {
            Ok(after) => CountAnswer::Admitted { after },
            Err(delay) => CountAnswer::Refused { retry: delay.retry_after },
        }
    }

    /// Keeps the counters informed about who can be reached.
    pub async fn track_reachability(self: Rc<Self>) {
        loop {
            let reached = self.peers.live().len() + 1;
            let registered = self.peers.registered();
            self.quotas.borrow_mut().observe(reached, registered, self.now());
            sleep(REACHABILITY_INTERVAL).await;
        }
    }

    async fn request_admission(
        self: &Rc<Self>,
        team: &str,
        priority: UrgencyLevel,
        max_wait: Duration,
    ) -> CountAnswer {
        let names = self.peers.staying(self.is_leaving());
        let order = rendezvous::first(team, names.iter().map(String::as_str), MAX_QUOTA_OWNERS);
        for name in order {
            if name == self.name() {
                break;
            }
            let Some(link) = self.peers.link(name) else {
                continue;
            };
            if let Some(answer) =
                link.request_admission(team, priority, max_wait, ADMISSION_TIMEOUT).await
            {
                return answer;
            }
        }
        self.admit_locally(team, priority, max_wait)
    }
}
