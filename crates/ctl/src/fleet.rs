//! Command `fleet`: what each instance has in force and reaches, and where instances disagree.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{Display, Write as _};

use engine::status::InstanceStatus;
use serde::Serialize;
use snafu::ResultExt as _;
use tokio::task::JoinSet;

use crate::cli::FleetArguments;
use crate::gauges::FleetGauges;
use crate::inspection::{InspectionClient, InspectionError, MalformedSnafu};

/// Status and gauges of an instance.
#[derive(Debug, Serialize)]
struct InstanceReport {
    #[serde(flatten)]
    status: InstanceStatus,
    #[serde(flatten)]
    gauges: FleetGauges,
}

/// State of a fleet.
#[derive(Debug, Serialize)]
struct FleetReport {
    instances: Vec<InstanceReport>,
    /// What an operator should look at.
    findings: Vec<String>,
}

/// Asks all instances, prints what they have in force, and returns the number of findings.
pub async fn run(arguments: &FleetArguments) -> Result<usize, serde_json::Error> {
    let mut requests = JoinSet::new();
    for instance in &arguments.instances {
        let instance = instance.clone();
        requests.spawn(async move { inspect(&instance).await });
    }
    let (mut instances, mut failures) = (Vec::new(), Vec::new());
    for result in requests.join_all().await {
        match result {
            Ok(report) => instances.push(report),
            Err(error) => failures.push(error.to_string()),
        }
    }
    instances.sort_by(|one, other| one.status.instance.cmp(&other.status.instance));
    failures.sort();
    let mut findings = failures;
    findings.extend(find_faults(&instances));
    findings.extend(find_disagreements(&instances));
    let report = FleetReport { instances, findings };
    if arguments.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{}", format_report(&report));
    }
    Ok(report.findings.len())
}

async fn inspect(instance: &str) -> Result<InstanceReport, InspectionError> {
    let client = InspectionClient::new(instance)?;
    let text = client.fetch("/status", &()).await?;
    let malformed = MalformedSnafu { instance: client.instance() };
    let status = serde_json::from_str(&text).context(malformed)?;
    let gauges = FleetGauges::parse(&client.fetch("/metrics", &()).await?);
    Ok(InstanceReport { status, gauges })
}

/// Returns what is wrong at single instances.
fn find_faults(instances: &[InstanceReport]) -> Vec<String> {
    let mut findings = Vec::new();
    for InstanceReport { status, gauges } in instances {
        let mut add = |finding: String| findings.push(format!("{}: {finding}", status.instance));
        if !status.is_ready {
            add("not ready".to_owned());
        }
        if status.is_document_outdated {
            add("another instance has a newer document".to_owned());
        }
        if gauges.is_document_pending {
            add("the store has a document with a lower number than the one in force".to_owned());
        }
        for defect in &status.document_defects {
            add(format!("the document is in force in part: {defect}"));
        }
        if status.live_instances < status.known_instances {
            let (live, known) = (status.live_instances, status.known_instances);
            add(format!("reaches {live} of {known} instances"));
        }
        if status.is_congested {
            add("falls behind its own work".to_owned());
        }
        let unreachable = status.endpoints.iter().filter(|endpoint| endpoint.is_unreachable);
        unreachable.for_each(|endpoint| add(format!("cannot reach {}", endpoint.endpoint)));
    }
    findings
}

/// Returns what instances disagree about.
fn find_disagreements(instances: &[InstanceReport]) -> Vec<String> {
    let mut findings = Vec::new();
    let documents = instances.iter().map(|report| (report, report.status.document_version));
    findings.extend(find_difference("documents", documents));
    let histories = instances.iter().map(|report| (report, report.gauges.store_history));
    let histories = histories.filter_map(|(report, history)| Some((report, history?)));
    findings.extend(find_difference("histories of the store", histories));
    let zones = instances.iter().flat_map(|report| &report.status.zones);
    let names: BTreeSet<&str> = zones.map(|zone| zone.zone.as_str()).collect();
    for name in names {
        let phases = instances.iter().map(|report| {
            let zone = report.status.zones.iter().find(|zone| zone.zone == name);
            (report, zone.map_or("open", |zone| zone.phase.as_str()))
        });
        findings.extend(find_difference(&format!("phases of zone {name}"), phases));
    }
    let mut owners: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for report in instances {
        let owned = report.status.endpoints.iter().filter(|endpoint| endpoint.is_owned);
        for endpoint in owned {
            owners.entry(&endpoint.endpoint).or_default().push(&report.status.instance);
        }
    }
    let disputed = owners.iter().filter(|(_, owners)| owners.len() > 1);
    findings.extend(disputed.map(|(endpoint, owners)| {
        format!("the connections of {endpoint} have several owners: {}", owners.join(", "))
    }));
    findings
}

/// Returns a finding if not all instances have the same value.
fn find_difference<'a, V: Display + Ord>(
    what: &str,
    values: impl Iterator<Item = (&'a InstanceReport, V)>,
) -> Option<String> {
    let mut groups: BTreeMap<V, Vec<&str>> = BTreeMap::new();
    for (report, value) in values {
        groups.entry(value).or_default().push(&report.status.instance);
    }
    if groups.len() < 2 {
        return None;
    }
    let groups = groups.iter().map(|(value, names)| format!("{value} on {}", names.join(", ")));
    Some(format!("{what} differ: {}", groups.collect::<Vec<_>>().join("; ")))
}

fn format_report(report: &FleetReport) -> String {
    let header = ["INSTANCE", "ZONE", "READY", "DOCUMENT", "HISTORY", "LIVE", "WORK", "OWNS"];
    let mut rows = vec![header.map(str::to_owned)];
    for InstanceReport { status, gauges } in &report.instances {
        let owned = status.endpoints.iter().filter(|endpoint| endpoint.is_owned).count();
        rows.push([
            status.instance.clone(),
            status.zone.clone(),
            if status.is_ready { "yes" } else { "NO" }.to_owned(),
            format!("{} {}", status.document_version, gauges.document_state),
            gauges.store_history.map_or("-".to_owned(), |history| history.to_string()),
            format!("{}/{}", status.live_instances, status.known_instances),
            status.outstanding_requests.to_string(),
            owned.to_string(),
        ]);
    }
    let width = |column: usize| rows.iter().map(|row| row[column].len()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..header.len()).map(width).collect();
    let mut text = String::new();
    for row in &rows {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        _ = writeln!(text, "{}", cells.collect::<Vec<_>>().join("  ").trim_end());
    }
    for finding in &report.findings {
        _ = writeln!(text, "FINDING: {finding}");
    }
    text
}
