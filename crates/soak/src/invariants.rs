//! Compares the outcomes reported to callers with the state of the members.

use std::collections::{HashMap, HashSet};

use standin::gateway_platform::group::GroupState;
use standin::gateway_platform::row_store::PromotionRequest;

use crate::caller::{CallerHistory, ReportedOutcome};

/// Team of the callers, which every statement on a member must carry.
pub const CALLER_TEAM: &str = "gent";

/// Returns all violated invariants, one line each.
pub fn check_invariants(
    history: &CallerHistory,
    group: &GroupState,
    promotions: &[PromotionRequest],
) -> Vec<String> {
    let mut violations = history.violations.clone();
    check_writes(history, group, &mut violations);
    check_statements(group, &mut violations);
    check_promotions(promotions, &mut violations);
    violations
}

fn check_writes(history: &CallerHistory, group: &GroupState, violations: &mut Vec<String>) {
    let mut commit_counts: HashMap<&str, usize> = HashMap::new();
    let mut rolled_back: HashSet<&str> = HashSet::new();
    for data in group.committed() {
        *commit_counts.entry(data).or_default() += 1;
    }
    for data in group.rolled_back() {
        *commit_counts.entry(data).or_default() += 1;
        rolled_back.insert(data);
    }
    for write in &history.writes {
        let commits = commit_counts.get(write.data.as_str()).copied().unwrap_or_default();
        let is_consistent = match write.outcome {
            ReportedOutcome::Acknowledged => commits == 1,
            ReportedOutcome::NotCommitted => commits == 0,
            ReportedOutcome::Unknown => commits <= 1,
        };
        if !is_consistent {
            violations.push(format!(
                "write {} was reported as {:?} and committed {commits} times",
                write.data, write.outcome
            ));
        }
    }
    // A write with an unknown outcome may be committed after later ones of its session, when the
    // instance that held it was suspended meanwhile. Reading it then is no regression.
    let log_index: HashMap<&str, usize> =
        group.committed().enumerate().map(|(index, data)| (data, index)).collect();
    for (value, last_write) in &history.regressions {
        let written_at = |data: &String| log_index.get(data.as_str());
        let is_newer = written_at(value).is_some() && written_at(value) > written_at(last_write);
        if !is_newer && !rolled_back.contains(last_write.as_str()) {
            violations.push(format!(
                "a session read {value:?} after its acknowledged write {last_write}"
            ));
        }
    }
}

fn check_statements(group: &GroupState, violations: &mut Vec<String>) {
    let mut connections_by_transaction: HashMap<&str, HashSet<u64>> = HashMap::new();
    for statement in group.members.iter().flat_map(|member| &member.executed) {
        if statement.team != CALLER_TEAM {
            violations.push(format!("statement {} ran for team {}", statement.id, statement.team));
        }
        if !statement.id.starts_with('t') {
            continue;
        }
        if !statement.in_transaction {
            violations.push(format!("statement {} ran outside its transaction", statement.id));
        }
        // IDs as given by the caller: `t` starts a transaction's IDs; `s0` is BEGIN, `s1` its first
        // statement, `s2` the second and `c` COMMIT. The first statement may be retried on another
        // connection; later ones must run on the same one.
        if let Some((transaction, "s2")) = statement.id.split_at_checked(statement.id.len() - 2) {
            connections_by_transaction.entry(transaction).or_default().insert(statement.connection);
        } else if let Some(transaction) = statement.id.strip_suffix('c') {
            connections_by_transaction.entry(transaction).or_default().insert(statement.connection);
        }
    }
    let split_transactions =
        connections_by_transaction.iter().filter(|(_, connections)| connections.len() > 1);
    violations.extend(
        split_transactions.map(|(id, _)| format!("transaction {id} ran on several connections")),
    );
}

fn check_promotions(promotions: &[PromotionRequest], violations: &mut Vec<String>) {
    let mut holders: HashMap<u64, &str> = HashMap::new();
    for request in promotions {
        let first_holder = holders.entry(request.token).or_insert(&request.holder);
        if *first_holder != request.holder {
            violations.push(format!(
                "fencing token {} was used by {} and {first_holder}",
                request.token, request.holder
            ));
        }
    }
}
