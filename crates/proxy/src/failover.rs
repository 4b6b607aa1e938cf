//! Failover coordinator of one database: feeds observations to the state machine and executes its
//! effects.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coord::failover::{FailoverEffect, FailoverEvent, FailoverMachine, MemberIndex};
use coord::rendezvous;
use metrics::counter;
use net::member::MemberError;
use net::store::DocumentStore;
use state::position::MemberStatus;
use telemetry::event::LogEvent;
use telemetry::{log_event, meter};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval, timeout};
use wire::group::GroupCommand;
use wire::peer::WitnessRequest;

use crate::database::DatabaseHandle;
use crate::instance::{InstancePhase, ProxyInstance};

/// Interval at which the state machine evaluates the members' states.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Timeout of a group command, including the connection setup.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of an indirect probe by another instance.
const INDIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Runs failover for a database until the task ends.
pub async fn run(instance: Arc<ProxyInstance>, database: Arc<DatabaseHandle>) {
    let mut coordinator = FailoverCoordinator::new(instance, database);
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => coordinator.tick(),
            Some(event) = coordinator.event_receiver.recv() => coordinator.handle(event),
        }
    }
}

/// Failover coordinator of one database on one instance.
struct FailoverCoordinator {
    instance: Arc<ProxyInstance>,
    database: Arc<DatabaseHandle>,
    machine: FailoverMachine,
    event_sender: mpsc::Sender<FailoverEvent>,
    event_receiver: mpsc::Receiver<FailoverEvent>,
    /// Time of each member's last response that the state machine has handled.
    handled_response_at: Vec<Option<Instant>>,
}

impl FailoverCoordinator {
    fn new(instance: Arc<ProxyInstance>, database: Arc<DatabaseHandle>) -> Self {
        let size = database.members.len();
        let (event_sender, event_receiver) = mpsc::channel(64);
        Self {
            instance,
            database,
            machine: FailoverMachine::new(size),
            event_sender,
            event_receiver,
            handled_response_at: vec![None; size],
        }
    }

    fn tick(&mut self) {
        if self.instance.phase() >= InstancePhase::Leaving {
            return;
        }
        let names = self.instance.peers.active_names();
        let own_name = &self.instance.settings.instance;
        let database_name = &self.database.name;
        self.machine.set_rank(rendezvous::rank(
            database_name,
            own_name,
            names.iter().map(String::as_str),
        ));
        for index in 0..self.database.members.len() {
            let state = self.database.members[index].last_state();
            if !state.reachable {
                self.handle(FailoverEvent::Unreachable(index));
            } else if self.handled_response_at[index] != Some(state.last_response_at) {
                self.handled_response_at[index] = Some(state.last_response_at);
                if let Some(status) = state.status {
                    self.handle_at(FailoverEvent::Status(index, status), state.last_response_at);
                }
            }
        }
        self.handle(FailoverEvent::Tick);
    }

    fn handle(&mut self, event: FailoverEvent) {
        let now = self.instance.now();
        self.handle_at(event, now);
    }

    fn handle_at(&mut self, event: FailoverEvent, at: Instant) {
        self.record_promotion_end(&event);
        let was_promoting = self.machine.is_promoting();
        let effects = self.machine.handle(event, at);
        if !was_promoting && self.machine.is_promoting() {
            counter!(meter::PROMOTIONS, "outcome" => "started").increment(1);
            log_event!(LogEvent::PromotionStarted, "database={}", self.database.name);
        }
        for effect in effects {
            self.execute_effect(effect);
        }
    }

    fn record_promotion_end(&self, event: &FailoverEvent) {
        if let FailoverEvent::PromotionAnswered(index, term, Some(status)) = event {
            let member = &self.database.members[*index].name;
            counter!(meter::PROMOTIONS, "outcome" => "finished").increment(1);
            log_event!(
                LogEvent::PromotionEnded,
                "database={} primary={member} term={term}",
                self.database.name
            );
            self.database.record_status(*index, *status, self.instance.now());
        }
    }

    fn execute_effect(&self, effect: FailoverEffect) {
        match effect {
            FailoverEffect::ProbeIndirectly(member) => self.probe_indirectly(member),
            FailoverEffect::Fence(member, term) => {
                self.send_command(member, GroupCommand::Fence(term), move |response| {
                    Some(FailoverEvent::FenceAnswered(member, term, response))
                });
            }
            FailoverEffect::Promote(member, term) => {
                self.send_command(member, GroupCommand::Promote(term), move |response| {
                    Some(FailoverEvent::PromotionAnswered(member, term, response))
                });
            }
            FailoverEffect::Follow { member, term, primary } => {
                let name = self.database.members[primary].name.to_string();
                let (database, follower) = (&self.database.name, &self.database.members[member]);
                log_event!(
                    LogEvent::MemberFollows,
                    "database={database} member={} primary={name} term={term}",
                    follower.name
                );
                let command = GroupCommand::Follow { term, primary: name };
                self.send_command(member, command, |_| None);
            }
            FailoverEffect::RecordPromotion { term, primary } => {
                self.record_promotion(term, primary)
            }
        }
    }

    /// Sends a group command on a new connection and passes the outcome to the state machine.
    fn send_command(
        &self,
        member: MemberIndex,
        command: GroupCommand,
        to_event: impl FnOnce(Option<MemberStatus>) -> Option<FailoverEvent> + Send + 'static,
    ) {
        let (database, event_sender) = (self.database.clone(), self.event_sender.clone());
        tokio::spawn(async move {
            let execution = run_group_command(&database, member, &command);
            let response = timeout(COMMAND_TIMEOUT, execution).await;
            let status = response.ok().and_then(Result::ok);
            if let Some(event) = to_event(status) {
                let _ = event_sender.send(event).await;
            }
        });
    }

    fn record_promotion(&self, term: u64, primary: MemberIndex) {
        let (instance, database) = (self.instance.clone(), self.database.clone());
        tokio::spawn(async move {
            let settings = &instance.settings;
            let store = DocumentStore::new(&instance.platform, &settings.environment);
            let member = &database.members[primary].name;
            // A failure is ignored: the members' terms are authoritative, and the record may be
            // missing after an outage.
            let _ = store.record_primary(&database.name, term, member, &settings.instance).await;
        });
    }

    /// Asks one instance in every other availability zone whether it reaches the member, and passes
    /// the number of zones that do and do not to the state machine.
    fn probe_indirectly(&self, member: MemberIndex) {
        let own_zone = &self.instance.settings.zone;
        let mut peer_by_zone = HashMap::new();
        for peer in self.instance.peers.all() {
            if peer.zone != *own_zone {
                peer_by_zone.entry(peer.zone.clone()).or_insert(peer);
            }
        }
        let name = self.database.members[member].name.to_string();
        let request = WitnessRequest { database: self.database.name.to_string(), member: name };
        let event_sender = self.event_sender.clone();
        tokio::spawn(async move {
            let mut probes = JoinSet::new();
            for mut peer in peer_by_zone.into_values() {
                let request = request.clone();
                probes.spawn(async move {
                    timeout(INDIRECT_PROBE_TIMEOUT, peer.client.witness(request)).await
                });
            }
            let replies = probes.join_all().await.into_iter().flatten().flatten();
            let known_replies: Vec<_> =
                replies.map(tonic::Response::into_inner).filter(|reply| reply.known).collect();
            let reachable_zones = known_replies.iter().filter(|reply| reply.reachable).count();
            let unreachable_zones = known_replies.len() - reachable_zones;
            let event =
                FailoverEvent::ProbedIndirectly { member, unreachable_zones, reachable_zones };
            let _ = event_sender.send(event).await;
        });
    }
}

async fn run_group_command(
    database: &DatabaseHandle,
    member: MemberIndex,
    command: &GroupCommand,
) -> Result<MemberStatus, MemberError> {
    let mut connection = database.members[member].open_control().await?;
    let text = connection.command(command, COMMAND_TIMEOUT).await?;
    text.parse().map_err(|_| MemberError::Protocol { expected: "a status" })
}
