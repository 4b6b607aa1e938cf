//! What the instances of an environment report, and when a revision is in force on all of them.

use std::time::Duration;

use coord::validation::VALIDATION_TTL;
use net::peer;
use serde::{Deserialize, Serialize};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};
use wire::peer::{Announcement, ReportReply, ReportRequest};
use wire::platform::{InstanceRecord, InstanceState};

/// Time that one instance has for its report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between two rounds of questions while a revision spreads.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which an instance that does not answer has stopped to act on older documents.
const ROLLOUT_TIMEOUT: Duration = VALIDATION_TTL.saturating_add(Duration::from_millis(250));

/// Member of a database as an instance sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberView {
    /// Name of the database.
    pub database: String,
    /// Logical name of the member.
    pub member: String,
    /// Availability zone of the member.
    pub zone: String,
    /// Role: P for primary, R for replica, F for fenced.
    pub role: String,
    /// Term of the member.
    pub term: u64,
    /// Last applied index.
    pub applied: u64,
    /// Tells that the member answers the instance.
    pub reachable: bool,
    /// Greatest age of the member's data in milliseconds.
    pub age_ms: Option<u64>,
}

/// Share of a team on an instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ShareView {
    /// Name of the team.
    pub team: String,
    /// Parts of a million.
    pub share: u64,
}

/// Instance with what it reports.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InstanceView {
    /// Name of the instance.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Tells that the platform lists the instance as leaving.
    pub leaving: bool,
    /// Report; none if the instance does not answer.
    pub report: Option<InstanceReport>,
}

/// Report of an instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InstanceReport {
    /// Revision in force.
    pub revision: u64,
    /// Epoch of the allotment ledger.
    pub epoch: u64,
    /// Tells that the table service does not answer the instance.
    pub store_down: bool,
    /// Phase of the instance.
    pub phase: String,
    /// Callers connected.
    pub callers: u64,
    /// Members of the databases.
    pub members: Vec<MemberView>,
    /// Shares of the teams.
    pub shares: Vec<ShareView>,
}

/// Where a revision is in force.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RolloutReport {
    /// Tells that no listed instance acts on an older document any more.
    pub everywhere: bool,
    /// Instances that confirmed the revision.
    pub confirmed: Vec<String>,
    /// Instances that did not answer, whose older document has run out.
    #[serde(rename = "run_out")]
    pub expired: Vec<String>,
    /// Time until the revision was in force, in milliseconds.
    pub time_ms: u64,
}

/// Asks every listed instance for its report.
pub async fn collect_reports(records: &[InstanceRecord]) -> Vec<InstanceView> {
    let mut calls = JoinSet::new();
    for record in records.iter().cloned() {
        calls.spawn(async move {
            let report = request_report(&record).await.map(instance_report);
            InstanceView {
                name: record.name,
                zone: record.zone,
                leaving: record.state == InstanceState::Leaving,
                report,
            }
        });
    }
    let mut views = calls.join_all().await;
    views.sort_by(|left, right| left.name.cmp(&right.name));
    views
}

/// Waits until every listed instance has confirmed a revision or can act on no older one.
pub async fn wait_for_rollout(records: &[InstanceRecord], revision: u64) -> RolloutReport {
    let start = Instant::now();
    let mut report = RolloutReport::default();
    let mut pending: Vec<InstanceRecord> = records.to_vec();
    while !pending.is_empty() && start.elapsed() < ROLLOUT_TIMEOUT {
        let mut calls = JoinSet::new();
        for record in pending.drain(..) {
            calls.spawn(async move {
                let confirmed = announce_revision(&record, revision).await;
                (record, confirmed)
            });
        }
        for (record, confirmed) in calls.join_all().await {
            if confirmed {
                report.confirmed.push(record.name);
            } else {
                pending.push(record);
            }
        }
        if !pending.is_empty() {
            sleep(POLL_INTERVAL).await;
        }
    }
    // An instance that answers with an older revision acts on it; one that is silent cannot.
    for record in pending {
        if request_report(&record).await.is_none() {
            report.expired.push(record.name);
        }
    }
    report.everywhere = report.confirmed.len() + report.expired.len() == records.len();
    report.confirmed.sort();
    report.time_ms = start.elapsed().as_millis() as u64;
    report
}

async fn announce_revision(record: &InstanceRecord, revision: u64) -> bool {
    let announcement = Announcement { revision, epoch: 0, source: String::new() };
    let mut handle = peer::connect_lazy(record.peer);
    let reply = timeout(REPORT_TIMEOUT, handle.announce(announcement)).await;
    matches!(reply, Ok(Ok(reply)) if reply.get_ref().revision >= revision)
}

async fn request_report(record: &InstanceRecord) -> Option<ReportReply> {
    let mut handle = peer::connect_lazy(record.peer);
    let reply = timeout(REPORT_TIMEOUT, handle.report(ReportRequest {})).await.ok()?;
    reply.ok().map(tonic::Response::into_inner)
}

fn instance_report(reply: ReportReply) -> InstanceReport {
    let summary = reply.summary.unwrap_or_default();
    let member_view = |member: wire::peer::MemberReport| MemberView {
        database: member.database,
        member: member.member,
        zone: member.zone,
        role: member.role,
        term: member.term,
        applied: member.applied,
        reachable: member.reachable,
        age_ms: member.age_ms,
    };
    let share_view =
        |share: wire::peer::HeldShare| ShareView { team: share.team, share: share.share };
    InstanceReport {
        revision: summary.revision,
        epoch: summary.epoch,
        store_down: summary.store_down,
        phase: reply.phase,
        callers: reply.callers,
        members: reply.members.into_iter().map(member_view).collect(),
        shares: reply.shares.into_iter().map(share_view).collect(),
    }
}
