//! Routing, age bounds, fair queues and proofs against their simplest forms.

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
    let age = Duration::from_millis(choices.below(100) as u64);
    MemberView {
        position: MemberPosition { role, term, applied, term_start },
        reachable: choices.below(4) > 0,
        fresh_as_of: (choices.below(4) > 0).then(|| now - age),
        load: choices.below(3) as u32,
        same_zone: choices.below(2) == 0,
    }
}

/// A read goes to a member that may serve it, and to a replica whenever one may.
#[test]
fn reads_go_to_members_that_may_serve_them() {
    check_cases(3_000, 60, |choices| {
        let now = Instant::now() + Duration::from_secs(10);
        let members: Vec<MemberView> = (0..3).map(|_| random_view(choices, now)).collect();
        let limit = Duration::from_millis(choices.below(100) as u64);
        let seen = LogPosition::new(1 + choices.below(3) as u64, choices.below(20) as u64);
        let needs = ReadRequirements {
            max_staleness: (choices.below(3) > 0).then_some(limit),
            min_position: (choices.below(2) == 0).then_some(seen),
            began_at: now - Duration::from_millis(choices.below(100) as u64),
        };
        let may = |view: &MemberView| {
            let young = |age: Duration| view.fresh_as_of.is_some_and(|at| now - at <= age);
            view.reachable
                && view.position.role != MemberRole::Primary
                && needs.max_staleness.is_some_and(young)
                && match needs.min_position {
                    Some(seen) => view.position.covers(seen),
                    None => view.fresh_as_of.is_some_and(|at| at >= needs.began_at),
                }
        };
        match route_read(&members, &needs, now) {
            RouteTarget::Replica(index) => assert!(may(&members[index])),
            other => {
                assert!(!members.iter().any(may), "a replica could have served");
                assert_eq!(other, route_write(&members));
            }
        }
    });
}

#[test]
fn a_replica_is_complete_up_to_the_last_question_it_covers() {
    let begin = Instant::now();
    let at = |millis| begin + Duration::from_millis(millis);
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
    assert_eq!(tracker.fresh_as_of(1), Some(at(50)), "what was shown stays shown");
    assert_eq!(tracker.fresh_as_of(0), None);
}

#[test]
fn keys_stop_before_their_withdrawal_must_be_in_force() {
    for millis in [200, 1_000, 2_000, 5_000, 60_000] {
        let bound = Duration::from_millis(millis);
        let limit = key_validation_ttl(bound);
        assert!(limit < bound, "an admitted request still takes its time");
        assert!(limit * 2 >= bound, "there is time for a proof, {limit:?} of {bound:?}");
    }
}

#[test]
fn a_proof_of_another_instance_ages_from_before_the_question() {
    let begin = Instant::now();
    let at = |millis| begin + Duration::from_millis(millis);
    let word = |version| HeartbeatOutcome::Answered {
        version,
        validation_age: Some(Duration::from_millis(300)),
        store_down: false,
    };
    let mut machine = ValidationTracker::default();
    machine.adopt(4);
    machine.record_peer(1, at(1_000), word(3));
    assert_eq!(machine.validation_age(at(1_100)), None, "it proves another document");
    machine.record_peer(1, at(1_000), word(4));
    assert_eq!(machine.validation_age(at(1_100)), Some(Duration::from_millis(400)));
}

/// Runs a queue in which some teams always wait, and returns the time each was served.
fn serve(capacity: usize, holds: &[u64], rounds: usize) -> Vec<Duration> {
    let begin = Instant::now();
    let mut now = begin;
    let mut queue: FairQueue<usize, usize> = FairQueue::new(capacity);
    let mut served = vec![Duration::ZERO; holds.len()];
    let mut running: Vec<(Instant, usize, Duration)> = Vec::new();
    let far = begin + Duration::from_secs(100_000);
    let mut waiting = vec![0; holds.len()];
    for _ in 0..rounds {
        for (team, count) in waiting.iter_mut().enumerate() {
            while *count < 10 {
                queue.push(team, team, far, now).expect("the queue has room");
                *count += 1;
            }
        }
        while let Some((team, _)) = queue.pop(now, &mut Vec::new()) {
            waiting[team] -= 1;
            let hold = Duration::from_millis(holds[team]);
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
fn teams_that_always_wait_get_equal_time() {
    let served = serve(3, &[10, 10, 10, 10], 4_000);
    let (least, most) = (served.iter().min(), served.iter().max());
    let (least, most) = (least.expect("teams"), most.expect("teams"));
    assert!(least.as_secs_f64() >= 0.9 * most.as_secs_f64(), "{served:?}");
}

#[test]
fn a_team_of_slow_statements_gets_no_more_time() {
    let served = serve(3, &[100, 10, 10], 6_000);
    let slow = served[0].as_secs_f64();
    let quick = served[1].as_secs_f64();
    assert!(slow <= 1.3 * quick, "{served:?}");
}

#[test]
fn one_team_uses_idle_capacity() {
    let now = Instant::now();
    let mut queue: FairQueue<usize, ()> = FairQueue::new(3);
    assert!((0..3).all(|_| queue.try_acquire(1, now)));
    assert!(!queue.try_acquire(1, now), "no more than the capacity");
    assert!(!queue.try_acquire(2, now));
    queue.push(2, (), now + Duration::from_secs(1), now).expect("it may wait");
    queue.release(1, Duration::from_millis(1));
    assert_eq!(queue.pop(now, &mut Vec::new()), Some((2, ())));
}

#[test]
fn what_cannot_start_in_time_is_refused() {
    let now = Instant::now();
    let mut queue: FairQueue<usize, u32> = FairQueue::new(1);
    for _ in 0..50 {
        assert!(queue.try_acquire(1, now));
        queue.release(1, Duration::from_millis(100));
    }
    assert!(queue.try_acquire(1, now));
    let soon = now + Duration::from_millis(150);
    let mut waiting = 0;
    while queue.push(2, waiting, soon, now).is_ok() {
        waiting += 1;
        assert!(waiting < 10, "the queue grows past the deadline");
    }
    let mut expired = Vec::new();
    assert_eq!(queue.pop(soon, &mut expired), None);
    assert_eq!(expired.len() as u32, waiting, "late requests are given back");
}

#[test]
fn ranks_are_a_permutation_and_move_little() {
    let names: Vec<String> = (0..9).map(|number| format!("entry-{number}")).collect();
    let all = || names.iter().map(String::as_str);
    let mut firsts = vec![0; names.len()];
    for database in 0..900 {
        let subject = format!("database-{database}");
        let mut ranks: Vec<usize> =
            names.iter().map(|name| rendezvous::rank(&subject, name, all())).collect();
        let first = ranks.iter().position(|rank| *rank == 0).expect("one is first");
        firsts[first] += 1;
        ranks.sort_unstable();
        assert_eq!(ranks, (0..9).collect::<Vec<_>>());
        assert_eq!(rendezvous::top_ranked(&subject, all(), 1), [names[first].as_str()]);
    }
    assert!(firsts.iter().all(|count| (50..=160).contains(count)), "{firsts:?}");
}

#[test]
fn a_proof_runs_out_and_a_silent_peer_blocks_agreement() {
    let begin = Instant::now() + Duration::from_secs(10);
    let at = |millis| begin + Duration::from_millis(millis);
    let mut machine = ValidationTracker::default();
    machine.adopt(4);
    machine.record_store_version(at(0), 4);
    assert!(machine.is_valid(at(0) + VALIDATION_TTL));
    assert!(!machine.is_valid(at(1) + VALIDATION_TTL));
    machine.record_store_version(at(100), 5);
    assert!(!machine.is_valid(at(101) + VALIDATION_TTL), "another version proves nothing");
    machine.record_store_failure(at(3_000));
    let down =
        |version| HeartbeatOutcome::Answered { version, validation_age: None, store_down: true };
    let mut round = |words: [HeartbeatOutcome; 2]| {
        machine.start_heartbeat_round(at(4_000));
        for (peer, word) in words.into_iter().enumerate() {
            machine.record_peer(peer as u64, at(4_000), word);
        }
        machine.end_heartbeat_round(2, at(4_010));
        machine.is_valid(at(4_010))
    };
    assert!(!round([down(4), HeartbeatOutcome::Unanswered]));
    assert!(!round([down(4), down(5)]), "a peer with a newer version forbids it");
    assert!(
        !round([HeartbeatOutcome::Refused, HeartbeatOutcome::Refused]),
        "nobody is left to agree with"
    );
    assert!(round([down(4), HeartbeatOutcome::Refused]));
}

#[test]
fn an_epoch_is_issued_once() {
    let mut ledger = ShareLedger::default();
    assert!(ledger.enter_epoch(1).is_some());
    assert!(ledger.claim_issuance(1));
    assert!(ledger.enter_epoch(1).is_some(), "a repeated question is answered");
    assert!(!ledger.claim_issuance(1), "what was issued is not issued again");
    assert!(!ledger.claim_issuance(2), "nor for an epoch that was not entered");
}

#[test]
fn an_idle_giver_keeps_what_the_taker_does_not_need() {
    let part = ledger::fair_grant(FULL_SHARE, 0.0, 0, 0.05);
    assert!((50_000..=75_000).contains(&part), "{part} parts for a demand of 50000");
    assert_eq!(
        ledger::fair_grant(FULL_SHARE / 2, 0.5, FULL_SHARE / 2, 0.5),
        0,
        "nothing moves when even"
    );
}

/// Feeds a machine with a primary that answers but is not heard by its replicas.
#[test]
fn a_primary_that_its_replicas_do_not_hear_is_not_promoted_again() {
    let status = |role, received, heard_ms| MemberStatus {
        position: MemberPosition { role, term: 1, applied: received, term_start: 0 },
        promised: 1,
        last_term: 1,
        received,
        heard_ms,
    };
    let now = Instant::now();
    let mut machine = FailoverMachine::new(3);
    let deaf = PRIMARY_TIMEOUT.as_millis() as u64;
    let members = [
        status(MemberRole::Primary, 9, 0),
        status(MemberRole::Replica, 7, deaf),
        status(MemberRole::Replica, 8, deaf),
    ];
    for (index, status) in members.into_iter().enumerate() {
        machine.handle(FailoverEvent::Status(index, status), now);
    }
    let fences = machine.handle(FailoverEvent::Tick, now);
    assert_eq!(fences, [FailoverEffect::Fence(1, 2), FailoverEffect::Fence(2, 2)]);
    machine.handle(FailoverEvent::FenceAnswered(1, 2, Some(members[1])), now);
    let promotion = machine.handle(FailoverEvent::FenceAnswered(2, 2, Some(members[2])), now);
    assert_eq!(promotion, [FailoverEffect::Promote(2, 2)], "the highest of those that are deaf");
}
