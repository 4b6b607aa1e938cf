//! Runs the failover decisions of one database: feeds them with what is seen, carries them out.

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

/// Interval at which the machine looks at the members.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Time that a group command may take, connection included.
const COMMAND_LIMIT: Duration = Duration::from_millis(300);
/// Time that other instances have for their word.
const WITNESS_LIMIT: Duration = Duration::from_millis(200);

/// Runs failover for a database until the task ends.
pub async fn run(instance: Arc<ProxyInstance>, database: Arc<DatabaseHandle>) {
    let mut steward = DatabaseSteward::new(instance, database);
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => steward.tick(),
            Some(event) = steward.answers.recv() => steward.handle(event),
        }
    }
}

/// Steward of one database on one instance.
struct DatabaseSteward {
    instance: Arc<ProxyInstance>,
    database: Arc<DatabaseHandle>,
    machine: FailoverMachine,
    sender: mpsc::Sender<FailoverEvent>,
    answers: mpsc::Receiver<FailoverEvent>,
    told: Vec<Option<Instant>>,
}

impl DatabaseSteward {
    fn new(instance: Arc<ProxyInstance>, database: Arc<DatabaseHandle>) -> Self {
        let size = database.members.len();
        let (sender, answers) = mpsc::channel(64);
        Self {
            instance,
            database,
            machine: FailoverMachine::new(size),
            sender,
            answers,
            told: vec![None; size],
        }
    }

    fn tick(&mut self) {
        if self.instance.phase() >= InstancePhase::Leaving {
            return;
        }
        let names = self.instance.peers.names();
        let own = &self.instance.settings.instance;
        let subject = &self.database.name;
        self.machine.set_rank(rendezvous::rank(subject, own, names.iter().map(String::as_str)));
        for index in 0..self.database.members.len() {
            let record = self.database.members[index].last_state();
            if !record.reachable {
                self.handle(FailoverEvent::Unreachable(index));
            } else if self.told[index] != Some(record.answered_at) {
                self.told[index] = Some(record.answered_at);
                if let Some(status) = record.status {
                    self.handle_at(FailoverEvent::Status(index, status), record.answered_at);
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
        self.note_progress(&event);
        let before = self.machine.is_promoting();
        let effects = self.machine.handle(event, at);
        if !before && self.machine.is_promoting() {
            counter!(meter::PROMOTIONS, "outcome" => "started").increment(1);
            log_event!(LogEvent::PromotionStarted, "database={}", self.database.name);
        }
        for effect in effects {
            self.carry_out(effect);
        }
    }

    fn note_progress(&self, event: &FailoverEvent) {
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

    fn carry_out(&self, effect: FailoverEffect) {
        match effect {
            FailoverEffect::ProbeIndirectly(member) => self.ask_witnesses(member),
            FailoverEffect::Fence(member, term) => {
                self.command(member, GroupCommand::Fence(term), move |answer| {
                    Some(FailoverEvent::FenceAnswered(member, term, answer))
                });
            }
            FailoverEffect::Promote(member, term) => {
                self.command(member, GroupCommand::Promote(term), move |answer| {
                    Some(FailoverEvent::PromotionAnswered(member, term, answer))
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
                self.command(member, command, |_| None);
            }
            FailoverEffect::RecordPromotion { term, primary } => self.record(term, primary),
        }
    }

    /// Sends a group command on a fresh connection and feeds the answer back.
    fn command(
        &self,
        member: MemberIndex,
        command: GroupCommand,
        event: impl FnOnce(Option<MemberStatus>) -> Option<FailoverEvent> + Send + 'static,
    ) {
        let (database, sender) = (self.database.clone(), self.sender.clone());
        tokio::spawn(async move {
            let run = run_command(&database, member, &command);
            let answer = timeout(COMMAND_LIMIT, run).await;
            let status = answer.ok().and_then(Result::ok);
            if let Some(event) = event(status) {
                let _ = sender.send(event).await;
            }
        });
    }

    fn record(&self, term: u64, primary: MemberIndex) {
        let (instance, database) = (self.instance.clone(), self.database.clone());
        tokio::spawn(async move {
            let settings = &instance.settings;
            let store = DocumentStore::new(&instance.platform, &settings.environment);
            let member = &database.members[primary].name;
            // The members' terms decide; the record may be missing after an outage.
            let _ = store.record_primary(&database.name, term, member, &settings.instance).await;
        });
    }

    /// Asks one instance in every other availability zone whether it reaches the member.
    fn ask_witnesses(&self, member: MemberIndex) {
        let own = &self.instance.settings.zone;
        let mut zones = HashMap::new();
        for peer in self.instance.peers.all() {
            if peer.zone != *own {
                zones.entry(peer.zone.clone()).or_insert(peer);
            }
        }
        let name = self.database.members[member].name.to_string();
        let request = WitnessRequest { database: self.database.name.to_string(), member: name };
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let mut words = JoinSet::new();
            for mut peer in zones.into_values() {
                let request = request.clone();
                words.spawn(
                    async move { timeout(WITNESS_LIMIT, peer.handle.witness(request)).await },
                );
            }
            let replies = words.join_all().await.into_iter().flatten().flatten();
            let known: Vec<_> =
                replies.map(tonic::Response::into_inner).filter(|reply| reply.known).collect();
            let reachable_zones = known.iter().filter(|reply| reply.reachable).count();
            let unreachable_zones = known.len() - reachable_zones;
            let event =
                FailoverEvent::ProbedIndirectly { member, unreachable_zones, reachable_zones };
            let _ = sender.send(event).await;
        });
    }
}

async fn run_command(
    database: &DatabaseHandle,
    member: MemberIndex,
    command: &GroupCommand,
) -> Result<MemberStatus, MemberError> {
    let mut connection = database.members[member].open_control().await?;
    let text = connection.command(command, COMMAND_LIMIT).await?;
    text.parse().map_err(|_| MemberError::Protocol { expected: "a status" })
}
