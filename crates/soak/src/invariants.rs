//! Compares what callers were told with what members did.

use std::collections::{HashMap, HashSet};

use standin::gateway_platform::group::GroupState;
use standin::gateway_platform::row_store::PromotionRequest;

use crate::caller::{CallerHistory, ToldOutcome};

/// Team of the callers, as members must be told.
pub const CALLER_TEAM: &str = "gent";

/// Returns every promise that was broken, one line each.
pub fn judge(
    history: &CallerHistory,
    group: &GroupState,
    promotions: &[PromotionRequest],
) -> Vec<String> {
    let mut broken = history.breaches.clone();
    judge_writes(history, group, &mut broken);
    judge_runs(group, &mut broken);
    judge_promotions(promotions, &mut broken);
    broken
}

fn judge_writes(history: &CallerHistory, group: &GroupState, broken: &mut Vec<String>) {
    let mut kept: HashMap<&str, usize> = HashMap::new();
    let mut rolled_back: HashSet<&str> = HashSet::new();
    for data in group.committed() {
        *kept.entry(data).or_default() += 1;
    }
    for data in group.rolled_back() {
        *kept.entry(data).or_default() += 1;
        rolled_back.insert(data);
    }
    for write in &history.writes {
        let times = kept.get(write.data.as_str()).copied().unwrap_or_default();
        let right = match write.told {
            ToldOutcome::Acknowledged => times == 1,
            ToldOutcome::NotKept => times == 0,
            ToldOutcome::Unknown => times <= 1,
        };
        if !right {
            broken.push(format!(
                "{} was told {:?} and is there {times} times",
                write.data, write.told
            ));
        }
    }
    for (shown, own) in &history.regressions {
        if !rolled_back.contains(own.as_str()) {
            broken.push(format!("a session read {shown:?} after its own write {own}"));
        }
    }
}

fn judge_runs(group: &GroupState, broken: &mut Vec<String>) {
    let mut places: HashMap<&str, HashSet<u64>> = HashMap::new();
    for run in group.members.iter().flat_map(|member| &member.executed) {
        if run.team != CALLER_TEAM {
            broken.push(format!("{} ran for team {}", run.id, run.team));
        }
        if !run.id.starts_with('t') {
            continue;
        }
        if !run.in_transaction {
            broken.push(format!("{} ran outside of its transaction", run.id));
        }
        // The first statement may be sent again elsewhere; what follows stays where it is.
        if let Some((transaction, "s2")) = run.id.split_at_checked(run.id.len() - 2) {
            places.entry(transaction).or_default().insert(run.connection);
        } else if let Some(transaction) = run.id.strip_suffix('c') {
            places.entry(transaction).or_default().insert(run.connection);
        }
    }
    let moved = places.iter().filter(|(_, connections)| connections.len() > 1);
    broken.extend(moved.map(|(id, _)| format!("{id} ran on several connections")));
}

fn judge_promotions(promotions: &[PromotionRequest], broken: &mut Vec<String>) {
    let mut holders: HashMap<u64, &str> = HashMap::new();
    for call in promotions {
        let known = holders.entry(call.token).or_insert(&call.holder);
        if *known != call.holder {
            broken.push(format!("token {} used by {} and {known}", call.token, call.holder));
        }
    }
}
