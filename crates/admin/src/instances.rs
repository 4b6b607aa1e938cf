//! Reports of the instances of an environment, and the rollout of a revision to all of them.

use std::time::Duration;

use coord::validation::VALIDATION_TTL;
use net::peer;
use serde::{Deserialize, Serialize};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};
use wire::peer::{Announcement, ReportReply, ReportRequest};
use wire::platform::{InstanceRecord, InstanceState};

/// Timeout of a call to an instance.
const INSTANCE_CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two rounds of announcements to the instances that have not confirmed a revision.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(50);
/// Time after which an instance that does not respond no longer acts on an older document: the
/// validity of its last validation and a margin.
const ROLLOUT_TIMEOUT: Duration = VALIDATION_TTL.saturating_add(Duration::from_millis(250));

/// Member of a database as one instance sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberView {
    /// Name of the database.
    pub database: String,
    /// Logical name of the member.
    pub member: String,
    /// Availability zone of the member.
    pub zone: String,
    /// Role: `P` for primary, `R` for replica, `F` for fenced.
    pub role: String,
    /// Term of the member.
    pub term: u64,
    /// Index of the last applied log entry.
    pub applied: u64,
    /// Whether the instance reaches the member.
    pub reachable: bool,
    /// Upper bound on the staleness of the member's data in milliseconds; `None` if unknown.
    pub age_ms: Option<u64>,
}

/// Share of a team's rate and burst that an instance holds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ShareView {
    /// Name of the team.
    pub team: String,
    /// Share in millionths.
    pub share: u64,
}

/// Instance that the platform lists, with its report.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InstanceView {
    /// Name of the instance.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Whether the platform lists the instance as leaving.
    pub leaving: bool,
    /// Report; `None` if the instance did not respond.
    pub report: Option<InstanceReport>,
}

/// State that an instance reports.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InstanceReport {
    /// Revision of the document in force on the instance.
    pub revision: u64,
    /// Epoch of the allotment ledger.
    pub epoch: u64,
    /// Whether the table service does not respond to the instance.
    pub store_down: bool,
    /// Phase of the instance's life cycle.
    pub phase: String,
    /// Number of connected callers.
    pub callers: u64,
    /// Members of all databases.
    pub members: Vec<MemberView>,
    /// Shares of all teams.
    pub shares: Vec<ShareView>,
}

/// Progress of the rollout of a revision to the instances of an environment.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RolloutReport {
    /// Whether no listed instance acts on an older document any more.
    pub everywhere: bool,
    /// Names of the instances that confirmed the revision or a later one.
    pub confirmed: Vec<String>,
    /// Names of the instances that did not respond and whose older document has expired.
    #[serde(rename = "run_out")]
    pub expired: Vec<String>,
    /// Time waited for the rollout, in milliseconds.
    pub time_ms: u64,
}

/// Requests the reports of all listed instances at once. Returns them sorted by name.
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

/// Waits until every listed instance has confirmed a revision. Starts no round of announcements
/// after `ROLLOUT_TIMEOUT`.
///
/// An instance that does not respond after that time no longer acts on an older document.
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
            sleep(ANNOUNCEMENT_DELAY).await;
        }
    }
    // An instance that responds with an older revision still acts on it. One that does not respond
    // cannot: an older document is not validated any more, and its last validation has expired.
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
    let response = timeout(INSTANCE_CALL_TIMEOUT, handle.announce(announcement)).await;
    matches!(response, Ok(Ok(response)) if response.get_ref().revision >= revision)
}

async fn request_report(record: &InstanceRecord) -> Option<ReportReply> {
    let mut handle = peer::connect_lazy(record.peer);
    let response = timeout(INSTANCE_CALL_TIMEOUT, handle.report(ReportRequest {})).await.ok()?;
    response.ok().map(tonic::Response::into_inner)
}

fn instance_report(response: ReportReply) -> InstanceReport {
    let summary = response.summary.unwrap_or_default();
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
        phase: response.phase,
        callers: response.callers,
        members: response.members.into_iter().map(member_view).collect(),
        shares: response.shares.into_iter().map(share_view).collect(),
    }
}
