//! Routing, staleness bounds, fair queues and validation, checked against simple models.

mod common;

use std::time::{Duration, Instant};

use common::{Choices, check_cases};
use coord::failover::{FailoverEffect, FailoverEvent, FailoverMachine, PRIMARY_TIMEOUT};
use coord::freshness::FreshnessTracker;
use coord::ledger::{self, FULL_SHARE, ShareLedger};
use coord::queue::FairQueue;
use coord::rendezvous;
use coord::routing::{MemberView, ReadRequirements, RouteTarget, route_read, route_write};
use coord::validation::{HeartbeatOutcome, VALIDATION_TTL, ValidationTracker, key_validation_ttl};
use state::position::{LogPosition, MemberPosition, MemberRole, MemberStatus};

fn random_view(choices: &mut Choices, now: Instant) -> MemberView {
    let role = if choices.below(3) == 0 { MemberRole::Primary } else { MemberRole::Replica };
    let term = 1 + choices.below(3) as u64;
    let applied = choices.below(20) as u64;
    let term_start = choices.below(applied as usize + 1) as u64;
    let staleness = Duration::from_millis(choices.below(100) as u64);
    MemberView {
        position: MemberPosition { role, term, applied, term_start },
        reachable: choices.below(4) > 0,
        fresh_as_of: (choices.below(4) > 0).then(|| now - staleness),
        load: choices.below(3) as u32,
        same_zone: choices.below(2) == 0,
    }
}

/// Checks that a read goes to a replica that may serve it, and to the primary only if none may.
#[test]
fn reads_go_to_replicas_that_may_serve_them() {
    check_cases(3_000, 60, |choices| {
        let now = Instant::now() + Duration::from_secs(10);
        let members: Vec<MemberView> = (0..3).map(|_| random_view(choices, now)).collect();
        let max_staleness = Duration::from_millis(choices.below(100) as u64);
        let min_position = LogPosition::new(1 + choices.below(3) as u64, choices.below(20) as u64);
        let requirements = ReadRequirements {
            max_staleness: (choices.below(3) > 0).then_some(max_staleness),
            min_position: (choices.below(2) == 0).then_some(min_position),
            began_at: now - Duration::from_millis(choices.below(100) as u64),
        };
        let may_serve = |view: &MemberView| {
            let is_fresh = |limit: Duration| view.fresh_as_of.is_some_and(|at| now - at <= limit);
            view.reachable
                && view.position.role != MemberRole::Primary
                && requirements.max_staleness.is_some_and(is_fresh)
                && match requirements.min_position {
                    Some(position) => view.position.has_applied(position),
                    None => view.fresh_as_of.is_some_and(|at| at >= requirements.began_at),
                }
        };
        match route_read(&members, &requirements, now) {
            RouteTarget::Replica(index) => assert!(may_serve(&members[index])),
            other => {
                assert!(!members.iter().any(may_serve), "a replica could have served");
                assert_eq!(other, route_write(&members));
            }
        }
    });
}

#[test]
fn replica_is_fresh_as_of_the_last_primary_position_it_applied() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let position =
        |applied| MemberPosition { role: MemberRole::Replica, term: 1, applied, term_start: 0 };
    let mut tracker = FreshnessTracker::new(2);
    for (millis, index) in [(0, 5), (50, 7), (100, 9)] {
        tracker.record_primary(at(millis), LogPosition::new(1, index));
    }
    tracker.record_member(1, &position(8));
    assert_eq!(tracker.fresh_as_of(1), Some(at(50)));
    assert_eq!(tracker.staleness_bound(1, at(130)), Some(Duration::from_millis(80)));
    tracker.record_member(1, &position(4));
    assert_eq!(tracker.fresh_as_of(1), Some(at(50)), "a known freshness is never lowered");
    assert_eq!(tracker.fresh_as_of(0), None);
}

#[test]
fn keys_expire_before_their_revocation_deadline() {
    for millis in [200, 1_000, 2_000, 5_000, 60_000] {
        let bound = Duration::from_millis(millis);
        let ttl = key_validation_ttl(bound);
        assert!(ttl < bound, "an admitted request needs time to finish");
        assert!(ttl * 2 >= bound, "too little time to validate: {ttl:?} of {bound:?}");
    }
}

#[test]
fn age_of_a_peers_validation_counts_from_the_request() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let answer = |version| HeartbeatOutcome::Answered {
        version,
        validation_age: Some(Duration::from_millis(300)),
        store_down: false,
    };
    let mut tracker = ValidationTracker::default();
    tracker.adopt(4);
    tracker.record_peer(1, at(1_000), answer(3));
    assert_eq!(tracker.validation_age(at(1_100)), None, "it validates another version");
    tracker.record_peer(1, at(1_000), answer(4));
    assert_eq!(tracker.validation_age(at(1_100)), Some(Duration::from_millis(400)));
}

/// Simulates a queue in which every team always waits, and returns the service time of each team.
fn simulate_queue(capacity: usize, hold_millis: &[u64], rounds: usize) -> Vec<Duration> {
    let start = Instant::now();
    let mut now = start;
    let mut queue: FairQueue<usize, usize> = FairQueue::new(capacity);
    let mut served = vec![Duration::ZERO; hold_millis.len()];
    let mut running: Vec<(Instant, usize, Duration)> = Vec::new();
    let deadline = start + Duration::from_secs(100_000);
    let mut waiting = vec![0; hold_millis.len()];
    for _ in 0..rounds {
        for (team, count) in waiting.iter_mut().enumerate() {
            while *count < 10 {
                queue.push(team, team, deadline, now).expect("the queue accepts the request");
                *count += 1;
            }
        }
        while let Some((team, _)) = queue.pop(now, &mut Vec::new()) {
            waiting[team] -= 1;
            let hold = Duration::from_millis(hold_millis[team]);
            running.push((now + hold, team, hold));
        }
        assert!(queue.in_use() <= capacity);
        running.sort_by_key(|(end, _, _)| std::cmp::Reverse(*end));
        let Some((end, team, hold)) = running.pop() else {
            break;
        };
        now = now.max(end);
        served[team] += hold;
        queue.release(team, hold);
    }
    served
}

#[test]
fn teams_that_always_wait_get_equal_service_time() {
    let served = simulate_queue(3, &[10, 10, 10, 10], 4_000);
    let (least, most) = (served.iter().min(), served.iter().max());
    let (least, most) = (least.expect("teams"), most.expect("teams"));
    assert!(least.as_secs_f64() >= 0.9 * most.as_secs_f64(), "{served:?}");
}

#[test]
fn slow_statements_get_no_extra_service_time() {
    let served = simulate_queue(3, &[100, 10, 10], 6_000);
    let slow = served[0].as_secs_f64();
    let fast = served[1].as_secs_f64();
    assert!(slow <= 1.3 * fast, "{served:?}");
}

#[test]
fn single_team_uses_idle_capacity() {
    let now = Instant::now();
    let mut queue: FairQueue<usize, ()> = FairQueue::new(3);
    assert!((0..3).all(|_| queue.try_acquire(1, now)));
    assert!(!queue.try_acquire(1, now), "no more than the capacity");
    assert!(!queue.try_acquire(2, now));
    queue.push(2, (), now + Duration::from_secs(1), now).expect("the queue accepts the request");
    queue.release(1, Duration::from_millis(1));
    assert_eq!(queue.pop(now, &mut Vec::new()), Some((2, ())));
}

#[test]
fn requests_that_would_miss_their_deadline_are_refused() {
    let now = Instant::now();
    let mut queue: FairQueue<usize, u32> = FairQueue::new(1);
    for _ in 0..50 {
        assert!(queue.try_acquire(1, now));
        queue.release(1, Duration::from_millis(100));
    }
    assert!(queue.try_acquire(1, now));
    let deadline = now + Duration::from_millis(150);
    let mut waiting = 0;
    while queue.push(2, waiting, deadline, now).is_ok() {
        waiting += 1;
        assert!(waiting < 10, "the queue grows past the deadline");
    }
    let mut expired = Vec::new();
    assert_eq!(queue.pop(deadline, &mut expired), None);
    assert_eq!(expired.len() as u32, waiting, "expired requests are returned");
}

#[test]
fn ranks_are_a_balanced_permutation() {
    let names: Vec<String> = (0..9).map(|number| format!("entry-{number}")).collect();
    let candidates = || names.iter().map(String::as_str);
    let mut first_counts = vec![0; names.len()];
    for database in 0..900 {
        let subject = format!("database-{database}");
        let mut ranks: Vec<usize> =
            names.iter().map(|name| rendezvous::rank(&subject, name, candidates())).collect();
        let first = ranks.iter().position(|rank| *rank == 0).expect("one candidate ranks first");
        first_counts[first] += 1;
        ranks.sort_unstable();
        assert_eq!(ranks, (0..9).collect::<Vec<_>>());
    }
    assert!(first_counts.iter().all(|count| (50..=160).contains(count)), "{first_counts:?}");
}

#[test]
fn validation_expires_and_an_unanswered_peer_prevents_outage_agreement() {
    let start = Instant::now() + Duration::from_secs(10);
    let at = |millis| start + Duration::from_millis(millis);
    let mut tracker = ValidationTracker::default();
    tracker.adopt(4);
    tracker.record_store_version(at(0), 4);
    assert!(tracker.is_valid(at(0) + VALIDATION_TTL));
    assert!(!tracker.is_valid(at(1) + VALIDATION_TTL));
    tracker.record_store_version(at(100), 5);
    assert!(!tracker.is_valid(at(101) + VALIDATION_TTL), "another version validates nothing");
    tracker.record_store_failure(at(3_000));
    let reports_outage =
        |version| HeartbeatOutcome::Answered { version, validation_age: None, store_down: true };
    let mut run_round = |outcomes: [HeartbeatOutcome; 2]| {
        tracker.start_heartbeat_round(at(4_000));
        for (peer, outcome) in outcomes.into_iter().enumerate() {
            tracker.record_peer(peer as u64, at(4_000), outcome);
        }
        tracker.end_heartbeat_round(2, at(4_010));
        tracker.is_valid(at(4_010))
    };
    assert!(!run_round([reports_outage(4), HeartbeatOutcome::Unanswered]));
    assert!(!run_round([reports_outage(4), reports_outage(5)]), "a peer has a newer version");
    assert!(!run_round([HeartbeatOutcome::Refused, HeartbeatOutcome::Refused]), "no peer answered");
    assert!(run_round([reports_outage(4), HeartbeatOutcome::Refused]));
}

#[test]
fn unreported_shares_are_issued_once_per_epoch() {
    let mut ledger = ShareLedger::default();
    assert!(ledger.enter_epoch(1).is_some());
    assert!(ledger.claim_issuance(1));
    assert!(ledger.enter_epoch(1).is_some(), "a repeated request gets the same report");
    assert!(!ledger.claim_issuance(1), "shares are not issued twice");
    assert!(!ledger.claim_issuance(2), "shares are not issued for an epoch that was not entered");
}

#[test]
fn idle_donor_keeps_what_the_recipient_does_not_need() {
    let granted = ledger::fair_grant(FULL_SHARE, 0.0, 0, 0.05);
    assert!((50_000..=75_000).contains(&granted), "granted {granted} for a demand of 50000");
    assert_eq!(
        ledger::fair_grant(FULL_SHARE / 2, 0.5, FULL_SHARE / 2, 0.5),
        0,
        "nothing moves between equal shares"
    );
}

/// A primary that answers this instance but does not replicate to a majority must not be promoted
/// again, although it has the highest position.
#[test]
fn primary_without_contact_to_its_replicas_is_not_promoted_again() {
    let status = |role, received, last_contact_ms| MemberStatus {
        position: MemberPosition { role, term: 1, applied: received, term_start: 0 },
        promised: 1,
        last_term: 1,
        received,
        last_contact_ms,
    };
    let now = Instant::now();
    let mut machine = FailoverMachine::new(3);
    let last_contact_ms = PRIMARY_TIMEOUT.as_millis() as u64;
    let members = [
        status(MemberRole::Primary, 9, 0),
        status(MemberRole::Replica, 7, last_contact_ms),
        status(MemberRole::Replica, 8, last_contact_ms),
    ];
    for (index, status) in members.into_iter().enumerate() {
        machine.handle(FailoverEvent::Status(index, status), now);
    }
    let fences = machine.handle(FailoverEvent::Tick, now);
    assert_eq!(fences, [FailoverEffect::Fence(1, 2), FailoverEffect::Fence(2, 2)]);
    machine.handle(FailoverEvent::FenceAnswered(1, 2, Some(members[1])), now);
    let promotion = machine.handle(FailoverEvent::FenceAnswered(2, 2, Some(members[2])), now);
    assert_eq!(
        promotion,
        [FailoverEffect::Promote(2, 2)],
        "the highest position among the replicas without contact"
    );
}
