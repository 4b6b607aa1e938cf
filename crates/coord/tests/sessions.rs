//! Session dialogue, marks and takeover, each against its simplest form.

mod common;

use std::time::{Duration, Instant};

use common::{Choices, check_cases};
use coord::promotion::{
    MemberObservation, MemberReport, PromotionCause, PromotionDecision, PromotionMachine,
};
use coord::session::{
    ForwardPlan, SessionMachine, StatementAction, StatementClass, StatementError, TransactionState,
};
use coord::watermark::{Watermark, WatermarkRing};
use state::position::LogPosition;

fn plan_of(step: StatementAction) -> ForwardPlan {
    match step {
        StatementAction::Forward(plan) => plan,
        other => panic!("{other:?}"),
    }
}

fn begin(read_only: bool) -> StatementClass {
    StatementClass::Begin { read_only }
}

#[test]
fn a_transaction_opens_with_its_first_statement() {
    let now = Instant::now();
    let mut dialogue = SessionMachine::default();
    assert_eq!(
        dialogue.handle_statement(&begin(false), "BEGIN", now),
        StatementAction::Acknowledge
    );
    assert!(!dialogue.is_pinned(), "resting after BEGIN holds no connection");
    let later = now + Duration::from_secs(1);
    let plan = plan_of(dialogue.handle_statement(&StatementClass::Write, "w", later));
    assert!(plan.opens_transaction && plan.began_at == now, "the age counts from BEGIN");
    dialogue.record_success(&plan, None);
    assert!(dialogue.is_pinned());
    let plan = plan_of(dialogue.handle_statement(&StatementClass::Commit, "COMMIT", later));
    assert!(plan.pinned && plan.commits && plan.changes_data());
    dialogue.record_success(&plan, Some(LogPosition::new(2, 7)));
    assert_eq!(dialogue.transaction_state(), TransactionState::Idle);
    assert_eq!(dialogue.last_commit(), Some(LogPosition::new(2, 7)));
}

#[test]
fn a_failed_transaction_can_only_be_ended() {
    let now = Instant::now();
    let mut dialogue = SessionMachine::default();
    dialogue.handle_statement(&begin(false), "BEGIN", now);
    let plan = plan_of(dialogue.handle_statement(&StatementClass::Read, "r", now));
    dialogue.record_failure(&plan);
    assert_eq!(dialogue.transaction_state(), TransactionState::Failed);
    let refused = StatementAction::Refuse(StatementError::InvalidState);
    assert_eq!(dialogue.handle_statement(&StatementClass::Read, "r", now), refused);
    assert_eq!(dialogue.handle_statement(&begin(false), "BEGIN", now), refused);
    let rolled_back = StatementAction::Refuse(StatementError::RolledBack);
    assert_eq!(dialogue.handle_statement(&StatementClass::Commit, "COMMIT", now), rolled_back);
    assert_eq!(dialogue.transaction_state(), TransactionState::Idle);
}

#[test]
fn settings_inside_a_transaction_reach_its_connection() {
    let now = Instant::now();
    let mut dialogue = SessionMachine::default();
    let set = |name: &str| StatementClass::Set { name: name.to_owned() };
    dialogue.handle_statement(&set("a"), "SET a 1", now);
    assert!(dialogue.take_pending_setup().is_empty(), "a fresh connection gets them all");
    dialogue.handle_statement(&begin(false), "BEGIN", now);
    let plan = plan_of(dialogue.handle_statement(&StatementClass::Write, "w", now));
    dialogue.record_success(&plan, None);
    let version = dialogue.setup_version();
    dialogue.handle_statement(&set("a"), "SET a 2", now);
    assert_ne!(dialogue.setup_version(), version);
    assert_eq!(dialogue.take_pending_setup(), ["SET a 2"]);
    assert_eq!(dialogue.setup_statements().collect::<Vec<_>>(), ["SET a 2"]);
}

#[test]
fn names_of_statements_and_values_do_not_collide() {
    let now = Instant::now();
    let mut dialogue = SessionMachine::default();
    let execute = StatementClass::Execute { name: "a".to_owned() };
    let unknown = StatementAction::Refuse(StatementError::UnknownStatement);
    dialogue.handle_statement(&StatementClass::Set { name: "a".to_owned() }, "SET a 1", now);
    assert_eq!(dialogue.handle_statement(&execute, "EXECUTE a 1", now), unknown);
    let prepare = StatementClass::Prepare { name: "a".to_owned(), writes: true };
    dialogue.handle_statement(&prepare, "PREPARE a WRITE q", now);
    assert!(plan_of(dialogue.handle_statement(&execute, "EXECUTE a 1 x", now)).writes);
    let forget = StatementClass::Deallocate { name: "a".to_owned() };
    assert_eq!(
        dialogue.handle_statement(&forget, "DEALLOCATE a", now),
        StatementAction::Acknowledge
    );
    assert_eq!(dialogue.handle_statement(&execute, "EXECUTE a 1 x", now), unknown);
    assert_eq!(dialogue.setup_statements().collect::<Vec<_>>(), ["SET a 1"]);
}

/// The caller's state follows the plainest reading of its statements.
#[test]
fn the_state_follows_an_oracle() {
    check_cases(500, 60, |choices: &mut Choices| {
        let now = Instant::now();
        let mut dialogue = SessionMachine::default();
        let mut state = TransactionState::Idle;
        while !choices.is_done() {
            let class = match choices.below(6) {
                0 => begin(false),
                1 => begin(true),
                2 => StatementClass::Commit,
                3 => StatementClass::Rollback,
                4 => StatementClass::Read,
                _ => StatementClass::Write,
            };
            let ends = matches!(class, StatementClass::Commit | StatementClass::Rollback);
            let begins = matches!(class, StatementClass::Begin { .. });
            let step = dialogue.handle_statement(&class, "text", now);
            let mut failed = false;
            if let StatementAction::Forward(plan) = step {
                failed = choices.below(4) == 0;
                if failed {
                    dialogue.record_failure(&plan);
                } else {
                    dialogue.record_success(&plan, None);
                }
            }
            state = match state {
                TransactionState::Idle if begins => TransactionState::Open,
                TransactionState::Open if ends => TransactionState::Idle,
                TransactionState::Open if failed => TransactionState::Failed,
                TransactionState::Failed if ends => TransactionState::Idle,
                other => other,
            };
            assert_eq!(dialogue.transaction_state(), state, "after {class:?}");
        }
    });
}

/// A read gets the oldest mark that is young enough, and none of an older term.
#[test]
fn marks_are_young_enough_and_of_the_newest_term() {
    check_cases(500, 80, |choices: &mut Choices| {
        let start = Instant::now();
        let mut ring = WatermarkRing::default();
        let mut now = start;
        let (mut term, mut index) = (1, 1);
        while !choices.is_done() {
            now += Duration::from_millis(choices.below(120) as u64);
            term += u64::from(choices.below(20) == 0);
            index += choices.below(3) as u64;
            ring.record(Watermark { as_of: now, position: LogPosition::new(term, index) });
            let age = Duration::from_millis(choices.below(400) as u64);
            if let Some(mark) = ring.oldest_within(now, age) {
                assert!(mark.as_of + age >= now, "older than stated");
                assert_eq!(mark.position.term, term);
                assert!(mark.position.index <= index);
            }
        }
        assert_eq!(ring.newest().map(|mark| mark.as_of), Some(now));
    });
}

#[test]
fn an_own_commit_of_an_older_term_is_covered_by_a_newer_mark() {
    let mark = Watermark { as_of: Instant::now(), position: LogPosition::new(3, 40) };
    let needs = |own| WatermarkRing::required_position(mark, own);
    assert_eq!(needs(Some(LogPosition::new(2, 90))), LogPosition::new(3, 40));
    assert_eq!(needs(Some(LogPosition::new(3, 41))), LogPosition::new(3, 41));
    assert_eq!(needs(None), LogPosition::new(3, 40));
}

fn report(leads: bool, index: u64) -> Option<MemberReport> {
    Some(MemberReport { leads, term: 1, received: LogPosition::new(1, index) })
}

/// Returns a machine that has seen rounds of probes which reached nobody.
fn machine_after(failed_rounds: u64) -> PromotionMachine {
    let now = Instant::now();
    let mut machine = PromotionMachine::default();
    for round in 0..failed_rounds {
        machine.record_probe_round(false, now + Duration::from_millis(100 * round));
    }
    machine
}

/// Names a takeover case: rounds that failed, leader, members, synchronous replicas, decision.
macro_rules! takeover_case {
    ($name:ident, $failed:expr, $leader:expr, $members:expr, $synchronous:expr, $step:expr) => {
        #[test]
        fn $name() {
            let machine = machine_after($failed);
            let members = $members.map(|(stays, report)| MemberObservation {
                name: "m",
                is_active: stays,
                report,
            });
            assert_eq!(machine.decide($leader, &members, $synchronous), $step);
        }
    };
}

takeover_case!(
    a_leader_that_some_instance_reaches_stays,
    0,
    Some(0),
    [(true, None), (true, report(false, 9)), (true, report(false, 8))],
    0,
    PromotionDecision::Wait
);
takeover_case!(
    one_failed_round_is_not_enough,
    1,
    Some(0),
    [(true, None), (true, report(false, 9)), (true, report(false, 8))],
    0,
    PromotionDecision::Wait
);
takeover_case!(
    a_dead_leader_is_replaced_by_the_member_that_received_most,
    2,
    Some(0),
    [(true, None), (true, report(false, 8)), (true, report(false, 9))],
    0,
    PromotionDecision::Promote(2, PromotionCause::Dead)
);
takeover_case!(
    a_leaving_leader_is_replaced_at_once,
    0,
    Some(0),
    [(false, report(true, 9)), (true, report(false, 9)), (true, report(false, 7))],
    0,
    PromotionDecision::Promote(1, PromotionCause::Leaving)
);
takeover_case!(
    a_leaving_member_is_not_promoted,
    2,
    Some(0),
    [(true, None), (false, report(false, 9)), (true, report(false, 8))],
    0,
    PromotionDecision::Promote(2, PromotionCause::Dead)
);
takeover_case!(
    a_confirmed_commit_may_be_on_a_silent_replica,
    2,
    Some(0),
    [(true, None), (true, report(false, 9)), (true, None)],
    1,
    PromotionDecision::Wait
);
takeover_case!(
    nobody_is_promoted_without_an_answer,
    2,
    Some(0),
    [(true, None), (true, None), (true, None)],
    0,
    PromotionDecision::Wait
);
