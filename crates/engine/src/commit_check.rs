//! Check that a member has the commits which instances know to be acknowledged, before it is promoted.

use std::cell::RefCell;
use std::rc::Rc;

use coord::promotion::{MemberObservation, PromotionDecision, PromotionMachine};
use telemetry::event::LogEvent;
use telemetry::log_event;

use crate::failover::{INDIRECT_PROBE_TIMEOUT, join_all};
use crate::instance::{EngineTypes, GatewayInstance};

/// Maximum number of instances asked for the position of an acknowledged commit.
const MAX_ASKED_PEERS: usize = 16;

impl<E: EngineTypes> GatewayInstance<E> {
    /// Withholds a promotion of a member that may lack commits which any instance knows of.
    pub(crate) async fn check_commits(
        self: &Rc<Self>,
        (service, machine): (&str, &RefCell<PromotionMachine>),
        decision: PromotionDecision,
        observations: &[MemberObservation<'_>],
    ) -> PromotionDecision {
        if let PromotionDecision::Promote(index, _) = decision {
            let term = observations[index].report.map_or(0, |report| report.received.term);
            let (is_synchronous, newest_term) = {
                let directory = self.directory.borrow();
                (directory.is_synchronous(service), directory.newest_term(service))
            };
            if is_synchronous || term < newest_term {
                self.gather_acknowledged(service).await;
            }
        }
        let required = self.directory.borrow().required_commits(service);
        let mut machine = machine.borrow_mut();
        let decision = machine.check_commits(decision, observations, required, self.now());
        if machine.record_decision(decision) {
            log_event!(
                LogEvent::PromotionWithheld,
                "service={service} required={required:?} members={observations:?}"
            );
        }
        decision
    }

    /// Asks other instances for the position of an acknowledged commit of a service, those first that
    /// own connections of its members.
    async fn gather_acknowledged(self: &Rc<Self>, service: &str) {
        let mut names: Vec<String> = Vec::new();
        let members = self.directory.borrow().members(service).to_vec();
        let owners = members.iter().flat_map(|name| self.connection_owners(name).to_vec());
        let live: Vec<String> = {
            let membership = self.peers.membership.borrow();
            let records = membership.live_peers().filter_map(|key| membership.record(key));
            records.map(|record| record.name.clone()).collect()
        };
        for name in owners.chain(live) {
            if name != self.name() && !names.contains(&name) && names.len() < MAX_ASKED_PEERS {
                names.push(name);
            }
        }
        let links: Vec<_> = names.iter().filter_map(|name| self.open_link(name)).collect();
        let answers =
            links.iter().map(|link| link.find_acknowledged(service, INDIRECT_PROBE_TIMEOUT));
        let positions = join_all(answers).await;
        let mut directory = self.directory.borrow_mut();
        let known = positions.into_iter().flatten();
        known.for_each(|position| directory.record_acknowledged(service, position));
    }
}
