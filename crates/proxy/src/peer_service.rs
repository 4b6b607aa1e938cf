//! gRPC service for requests of other instances.

use std::sync::Arc;

use tokio::net::TcpListener;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status};
use tower::limit::ConcurrencyLimitLayer;
use wire::peer::peer_server::{Peer, PeerServer};
use wire::peer::{
    Announcement, AnnouncementReply, BeatReply, BeatRequest, CensusReply, CensusRequest,
    DocumentBody, FetchRequest, HeldShare, MemberReport, ReportReply, ReportRequest, ShareReply,
    ShareRequest, WitnessReply, WitnessRequest,
};

use crate::database::DatabaseHandle;
use crate::instance::{InstancePhase, ProxyInstance};
use crate::{document, heartbeat, reconciliation, share_transfer};

/// Limit on requests handled concurrently.
const MAX_CONCURRENT_REQUESTS: usize = 512;

/// Peer service of an instance.
struct PeerService {
    instance: Arc<ProxyInstance>,
}

/// Serves requests of other instances until the task ends.
pub async fn serve(listener: TcpListener, instance: Arc<ProxyInstance>) {
    let service = PeerServer::new(PeerService { instance });
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let served = Server::builder()
        .layer(ConcurrencyLimitLayer::new(MAX_CONCURRENT_REQUESTS))
        .add_service(service)
        .serve_with_incoming(incoming)
        .await;
    if let Err(error) = served {
        log::error!("peer service failed: {error}");
    }
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn beat(&self, request: Request<BeatRequest>) -> Result<Response<BeatReply>, Status> {
        heartbeat::handle_heartbeat(&self.instance, request.into_inner()).map(Response::new)
    }

    async fn fetch_document(
        &self,
        _: Request<FetchRequest>,
    ) -> Result<Response<DocumentBody>, Status> {
        let stored = self.instance.document();
        let stored = stored.ok_or_else(|| Status::not_found("no document is in force"))?;
        Ok(Response::new(DocumentBody {
            revision: stored.head.revision,
            digest: stored.head.digest.clone(),
            request: stored.head.request.clone(),
            operator: stored.head.operator.clone(),
            text: stored.text.clone(),
        }))
    }

    async fn announce(
        &self,
        request: Request<Announcement>,
    ) -> Result<Response<AnnouncementReply>, Status> {
        let announcement = request.into_inner();
        let instance = &self.instance;
        if announcement.revision > instance.revision() {
            instance.request_poll();
            let source =
                instance.peers.find(|peer| peer.address.to_string() == announcement.source);
            if let Some(source) = source {
                document::fetch_from_peer(instance.clone(), source.client);
            }
        }
        Ok(Response::new(AnnouncementReply { revision: instance.revision() }))
    }

    async fn witness(
        &self,
        request: Request<WitnessRequest>,
    ) -> Result<Response<WitnessReply>, Status> {
        let request = request.into_inner();
        let databases = self.instance.databases();
        let database = databases.iter().find(|database| *database.name == *request.database);
        let member = database.and_then(|database| {
            database.members.iter().find(|member| *member.name == *request.member)
        });
        Ok(Response::new(WitnessReply {
            zone: self.instance.settings.zone.clone(),
            known: member.is_some(),
            reachable: member.is_some_and(|member| member.last_state().reachable),
        }))
    }

    async fn ask_share(
        &self,
        request: Request<ShareRequest>,
    ) -> Result<Response<ShareReply>, Status> {
        Ok(Response::new(share_transfer::handle_grant_request(
            &self.instance,
            &request.into_inner(),
        )))
    }

    async fn census(
        &self,
        request: Request<CensusRequest>,
    ) -> Result<Response<CensusReply>, Status> {
        Ok(Response::new(reconciliation::handle_report_request(
            &self.instance,
            request.into_inner(),
        )))
    }

    async fn report(&self, _: Request<ReportRequest>) -> Result<Response<ReportReply>, Status> {
        Ok(Response::new(status_report(&self.instance)))
    }
}

/// Returns the state of this instance for operators.
fn status_report(instance: &ProxyInstance) -> ReportReply {
    let catalog = instance.catalog();
    let shares = instance.ledger.shares(&catalog);
    let to_held_share = |(id, share): (_, u64)| {
        let team = catalog.team(id)?;
        Some(HeldShare { team: team.name.to_string(), share })
    };
    let databases = instance.databases();
    ReportReply {
        summary: Some(heartbeat::summary(instance)),
        callers: instance.callers.load(std::sync::atomic::Ordering::Relaxed) as u64,
        phase: phase_label(instance.phase()).to_owned(),
        members: databases.iter().flat_map(|database| member_reports(instance, database)).collect(),
        shares: shares.into_iter().filter_map(to_held_share).collect(),
    }
}

fn member_reports(instance: &ProxyInstance, database: &DatabaseHandle) -> Vec<MemberReport> {
    let now = instance.now();
    let report = |(index, member): (usize, &crate::database::MemberHandle)| {
        let state = member.last_state();
        let position = state.status.map(|status| status.position);
        MemberReport {
            database: database.name.to_string(),
            member: member.name.to_string(),
            zone: member.zone.clone(),
            role: position.map_or('?', |position| position.role.letter()).to_string(),
            term: position.map_or(0, |position| position.term),
            applied: position.map_or(0, |position| position.applied),
            reachable: state.reachable,
            age_ms: database
                .staleness_bound(index, now)
                .map(|staleness_bound| staleness_bound.as_millis() as u64),
        }
    };
    database.members.iter().enumerate().map(report).collect()
}

fn phase_label(phase: InstancePhase) -> &'static str {
    match phase {
        InstancePhase::Serving => "serving",
        InstancePhase::Leaving => "leaving",
        InstancePhase::Draining => "draining",
        InstancePhase::Closed => "closed",
    }
}
