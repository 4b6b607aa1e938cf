//! Fault injection during a workload run.

use std::time::Duration;

use lab::environment::LabEnvironment;
use standin::fault::FaultChange;
use standin::platform::PlatformFault;
use tokio::time::sleep;

use crate::cli::FaultKind;

/// Apply delay of replicas under [`FaultKind::Lag`].
const REPLICA_LAG_MS: u64 = 500;

/// Injects a fault after `delay`; it lasts until the environment ends.
pub async fn inject_fault(environment: &mut LabEnvironment, fault: FaultKind, delay: Duration) {
    sleep(delay).await;
    let database = environment.options.profile.databases[0];
    let group = environment.group(database).expect("the lab starts every group");
    let primary = group.members[0].clone();
    match fault {
        FaultKind::None | FaultKind::Flood => {}
        FaultKind::Cut => {
            primary.change_fault(&FaultChange { cut: Some(true), ..FaultChange::default() });
        }
        FaultKind::Stop => {
            primary.change_fault(&FaultChange { stopped: Some(true), ..FaultChange::default() });
        }
        FaultKind::Pause => {
            primary.change_fault(&FaultChange { paused: Some(true), ..FaultChange::default() });
        }
        FaultKind::Lag => {
            for member in &group.members[1..] {
                let lag = FaultChange { lag_ms: Some(REPLICA_LAG_MS), ..FaultChange::default() };
                member.change_fault(&lag);
            }
        }
        FaultKind::Store => {
            let down = PlatformFault { down: true, ..PlatformFault::default() };
            environment.services.platform.set_fault(down);
        }
        FaultKind::Instance => {
            environment.instances.pop();
            environment.peer_relays.pop();
        }
    }
}
