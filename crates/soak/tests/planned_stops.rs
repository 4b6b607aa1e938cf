//! The soak detects requests that a planned stop loses, and no others.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use soak::planned_stop::{CutRequest, PlannedStop, StopLog};
use tokio::time::Instant;

/// Defines a case: the milliseconds after the signal at which a request was sent, cut and had run on
/// a member, those between which a fault lasted, and the number of lost requests. Signal: at 10 s.
macro_rules! stop_case {
    ($name:ident, $sent:literal, $cut:literal, $ran:expr, $fault:expr => $lost:literal) => {
        #[test]
        fn $name() {
            let signalled_at = Instant::now() + Duration::from_secs(10);
            let at = |millis: i64| {
                let millis = u64::try_from(millis + 10_000).expect("the time is not before zero");
                signalled_at - Duration::from_secs(10) + Duration::from_millis(millis)
            };
            let address = SocketAddr::from(([127, 0, 0, 1], 1));
            let (sent_at, ended_at) = (at($sent), at($cut));
            let fault: Option<(i64, i64)> = $fault;
            let log = StopLog {
                stops: vec![PlannedStop { address, signalled_at }],
                unplanned: fault.map(|(start, end)| (at(start), at(end))).into_iter().collect(),
            };
            let cuts = [CutRequest { address, id: "q".to_owned(), sent_at, ended_at }];
            let ran: Option<i64> = $ran;
            let executed: HashMap<_, _> = ran.map(|ran| ("q", at(ran))).into_iter().collect();
            let lost = log.lost_requests(&cuts, &executed);
            assert_eq!(lost.len(), $lost, "{lost:?}");
        }
    };
}

stop_case!(a_request_that_ran_without_an_answer_is_lost, 3_390, 3_400, Some(3_395), None => 1);
stop_case!(a_request_that_was_read_and_not_passed_on_is_lost, 1_000, 1_201, None, None => 1);
stop_case!(a_request_that_was_sent_before_the_signal_is_lost, -20, 10, Some(0), None => 1);
stop_case!(a_request_that_crosses_the_close_is_not_lost, 3_390, 3_400, None, None => 0);
stop_case!(a_request_that_reached_its_timeout_is_not_lost, 1_000, 1_800, None, None => 0);
stop_case!(an_early_request_may_be_cut_at_the_end, 2_900, 3_400, Some(3_500), None => 0);
stop_case!(a_late_request_may_not_be_cut_at_the_end, 3_100, 3_400, Some(3_500), None => 1);
stop_case!(an_early_request_may_not_be_cut_before_the_end, 2_900, 3_200, Some(3_500), None => 1);
stop_case!(a_request_after_the_grace_period_does_not_count, 4_900, 5_100, Some(5_000), None => 0);
stop_case!(a_request_beside_a_fault_does_not_count, 900, 1_200, Some(1_100), Some((0, 1_000)) => 0);
stop_case!(a_fault_4_s_before_a_request_does_not_matter, 900, 1_200, Some(1_100), Some((-5_000, -3_200)) => 1);
