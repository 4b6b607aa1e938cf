//! Command `explain`: where an instance would send a request, and why.

use std::fmt::Write as _;

use engine::explain::{CandidateExplanation, RequestExplanation};
use snafu::ResultExt as _;

use crate::cli::ExplainArguments;
use crate::inspection::{InspectionClient, InspectionError, MalformedSnafu};

/// Asks the instance and prints its explanation.
pub async fn run(arguments: &ExplainArguments) -> Result<(), InspectionError> {
    let client = InspectionClient::new(&arguments.instance)?;
    let text = client.fetch("/explain", arguments).await?;
    let malformed = MalformedSnafu { instance: client.instance() };
    let explanation: RequestExplanation = serde_json::from_str(&text).context(malformed)?;
    if arguments.json {
        println!("{}", serde_json::to_string_pretty(&explanation).context(malformed)?);
    } else {
        print!("{}", format_explanation(&explanation));
    }
    Ok(())
}

fn format_explanation(explanation: &RequestExplanation) -> String {
    let mut text = format!(
        "{} of team {} to {} (service {}), instance {}, document {}\n",
        format!("{:?}", explanation.kind).to_lowercase(),
        explanation.team,
        explanation.database,
        explanation.service,
        explanation.instance,
        explanation.document_version
    );
    let unknown = || "unknown".to_owned();
    let millis = |time: Option<f64>| time.map_or_else(unknown, |time| format!("{time} ms"));
    match &explanation.endpoint {
        Some(endpoint) => {
            _ = writeln!(
                text,
                "goes to {endpoint} through {}, expected wait {}, service time {}",
                explanation.owner.clone().unwrap_or_else(unknown),
                millis(explanation.expected_wait_ms),
                millis(explanation.service_time_ms)
            );
        }
        None => text += "goes to no endpoint\n",
    }
    if let Some(position) = &explanation.required_position {
        _ = writeln!(text, "a replica must have reached {position}");
    }
    if let [first, second] = &explanation.random_choice[..] {
        _ = writeln!(
            text,
            "random choice between {} ({} ms) and {} ({} ms)",
            first.endpoint, first.expected_ms, second.endpoint, second.expected_ms
        );
    }
    explanation.candidates.iter().for_each(|candidate| text += &format_candidate(candidate));
    let limit = &explanation.team_limit;
    _ = write!(text, "team limit: {}", format!("{:?}", limit.outcome).to_lowercase());
    if let Some(owner) = &limit.quota_owner {
        _ = write!(text, ", decided by {owner}");
    }
    text += "\n";
    for refusal in &explanation.refusals {
        let retry = millis(refusal.retry_after_ms);
        _ = writeln!(text, "REFUSED: {}; retry after {retry}", refusal.cause);
    }
    text
}

fn format_candidate(candidate: &CandidateExplanation) -> String {
    let rank = candidate.rank.map_or("-".to_owned(), |rank| rank.to_string());
    let mut text = format!(
        "{rank:>3} {} in {}: {}",
        candidate.endpoint,
        candidate.zone,
        candidate.reasons.join(", ")
    );
    if let Some(expected) = candidate.expected_ms {
        _ = write!(text, "; expected {expected} ms");
    }
    _ = writeln!(text, "; through {}", candidate.owners.join(", "));
    if let Some(owned) = &candidate.owned {
        _ = write!(text, "      expected wait {} ms", owned.expected_wait_ms);
        if let Some(wait) = owned.cold_wait_ms {
            _ = write!(text, ", cold, budget in {wait} ms");
        }
        if let Some(limit) = owned.pace_limit {
            _ = write!(text, ", limit {limit}");
        }
        let unreachable = if owned.is_unreachable { ", UNREACHABLE" } else { "" };
        let (open, max) = (owned.open_connections, owned.max_connections);
        _ = writeln!(text, ", {open} of {max} connections{unreachable}");
    }
    text
}
