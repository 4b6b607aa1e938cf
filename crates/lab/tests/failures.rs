//! Failures of primaries, connections and instances under callers that go on working.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use common::{config, connect, connect_with, fault, primary, sqlstate, wait_for};
use lab::environment::LabEnvironment;
use proxy::drain;
use standin::fault::FaultChange;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};
use tokio_postgres::Config;

/// Longest time that a paused member may hold up a read: three fifths of the statement deadline of
/// 5 s, so that the repeated read has time to run.
const MAX_REPLACEMENT: Duration = Duration::from_secs(3);

lab_cases! {
    keeps_acknowledged_writes_when_the_primary_is_cut(3);
    keeps_acknowledged_writes_when_the_primary_stops(3);
    keeps_acknowledged_writes_when_the_primary_is_paused_for_good(3);
    promotes_nobody_after_a_pause_of_500_ms(3);
    promotes_while_the_platform_is_down(3);
    fails_over_twice_and_takes_the_old_primary_back(3);
    settles_a_write_whose_answer_was_lost(2);
    goes_on_when_connections_go_silent(2);
    repeats_a_session_read_after_its_primary_was_replaced(3);
    repeats_a_read_of_a_stated_age_on_another_member(3);
    loses_a_transaction_with_its_primary(2);
    finishes_transactions_while_it_drains(2);
}

/// What a writer was told of each numbered record.
#[derive(Default)]
struct WriterLog {
    acknowledged: Vec<i32>,
    not_run: Vec<i32>,
    unknown: Vec<i32>,
}

/// Writes numbered records until it is told to stop; reconnects when its connection ends.
fn spawn_writer(config: Config, first: i32, stop: Arc<AtomicBool>) -> JoinHandle<WriterLog> {
    tokio::spawn(async move {
        let mut log = WriterLog::default();
        let mut number = first;
        let mut caller = None;
        while !stop.load(Ordering::Relaxed) {
            if caller.is_none() {
                caller = connect_with(&config).await.ok();
            }
            let Some(open) = &caller else {
                sleep(Duration::from_millis(5)).await;
                continue;
            };
            number += 1;
            let sql = format!("INSERT INTO records VALUES ({number})");
            match open.client.simple_query(&sql).await {
                Ok(_) => {
                    log.acknowledged.push(number);
                    let found = open
                        .values(&format!("SELECT count(*) FROM records WHERE id = {number}"))
                        .await;
                    if let Ok(found) = found {
                        assert_eq!(found, ["1"], "a session reads its own write");
                    }
                }
                Err(error) => {
                    let text = format!("{error:?}");
                    if text.contains("not run") {
                        log.not_run.push(number);
                    } else {
                        log.unknown.push(number);
                    }
                    if error.is_closed() {
                        caller = None;
                    }
                }
            }
            sleep(Duration::from_millis(2)).await;
        }
        log
    })
}

/// Runs writers on every instance around a failure and checks the history afterwards.
async fn check_history<F: Future<Output = ()>>(
    environment: &LabEnvironment,
    failure: impl FnOnce() -> F,
) {
    let setup = connect(environment, 0).await;
    let create = "CREATE TABLE records (id int PRIMARY KEY)";
    setup.client.batch_execute(create).await.expect("create");
    let stop = Arc::new(AtomicBool::new(false));
    let writers: Vec<_> = (0..6)
        .map(|writer| {
            let instance = writer % environment.instances.len();
            let config = config(environment, instance);
            spawn_writer(config, writer as i32 * 100_000, stop.clone())
        })
        .collect();
    sleep(Duration::from_millis(500)).await;
    failure().await;
    sleep(Duration::from_millis(3_000)).await;
    stop.store(true, Ordering::Relaxed);
    let mut logs = Vec::new();
    for writer in writers {
        logs.push(writer.await.expect("the writer ends"));
    }
    let reader = connect(environment, 0).await;
    let rows = reader.values("SELECT id FROM records").await.expect("read");
    let mut counts: BTreeMap<i32, u32> = BTreeMap::new();
    for row in rows {
        *counts.entry(row.parse().expect("a number")).or_default() += 1;
    }
    let count = |number: &i32| counts.get(number).copied().unwrap_or_default();
    for log in logs {
        assert!(log.acknowledged.len() > 20, "writer had {} answers", log.acknowledged.len());
        for number in &log.acknowledged {
            assert_eq!(count(number), 1, "record {number} was acknowledged");
        }
        for number in &log.not_run {
            assert_eq!(count(number), 0, "record {number} was refused as not run");
        }
        for number in &log.unknown {
            assert!(count(number) <= 1, "record {number} ran at most once");
        }
    }
}

/// Pauses a member for good.
fn pause() -> FaultChange {
    FaultChange { paused: Some(true), ..FaultChange::default() }
}

fn cut() -> FaultChange {
    FaultChange { cut: Some(true), ..FaultChange::default() }
}

async fn keeps_acknowledged_writes_when_the_primary_is_cut(environment: LabEnvironment) {
    check_history(&environment, || async {
        fault(&environment, "gent", cut());
        wait_for("a new primary", || primary(&environment, 0).is_some_and(|name| name != "gent"))
            .await;
    })
    .await;
}

async fn keeps_acknowledged_writes_when_the_primary_stops(environment: LabEnvironment) {
    check_history(&environment, || async {
        let stopped = FaultChange { stopped: Some(true), ..FaultChange::default() };
        fault(&environment, "gent", stopped);
        wait_for("a new primary", || primary(&environment, 1).is_some_and(|name| name != "gent"))
            .await;
    })
    .await;
}

async fn keeps_acknowledged_writes_when_the_primary_is_paused_for_good(
    environment: LabEnvironment,
) {
    check_history(&environment, || async {
        fault(&environment, "gent", pause());
        wait_for("a new primary", || primary(&environment, 2).is_some_and(|name| name != "gent"))
            .await;
    })
    .await;
}

async fn promotes_nobody_after_a_pause_of_500_ms(environment: LabEnvironment) {
    check_history(&environment, || async {
        for _ in 0..3 {
            let pause = |paused| FaultChange { paused: Some(paused), ..FaultChange::default() };
            fault(&environment, "gent", pause(true));
            sleep(Duration::from_millis(500)).await;
            fault(&environment, "gent", pause(false));
            sleep(Duration::from_millis(600)).await;
        }
    })
    .await;
    let group = environment.group("bookings").expect("the group runs");
    let status = group.members[0].replication.lock().status();
    assert_eq!(status.promised, 1, "nobody was fenced");
    assert_eq!(primary(&environment, 0).as_deref(), Some("gent"));
}

async fn promotes_while_the_platform_is_down(environment: LabEnvironment) {
    check_history(&environment, || async {
        let down = standin::platform::PlatformFault { down: true, ..Default::default() };
        environment.hub.platform.set_fault(down);
        sleep(Duration::from_millis(3_500)).await;
        fault(&environment, "gent", cut());
        wait_for("a new primary", || primary(&environment, 0).is_some_and(|name| name != "gent"))
            .await;
    })
    .await;
}

async fn fails_over_twice_and_takes_the_old_primary_back(environment: LabEnvironment) {
    check_history(&environment, || async {
        fault(&environment, "gent", cut());
        wait_for("a new primary", || primary(&environment, 0).is_some_and(|name| name != "gent"))
            .await;
        let second = primary(&environment, 0).expect("a primary");
        let mend = FaultChange { cut: Some(false), ..FaultChange::default() };
        fault(&environment, "gent", mend);
        sleep(Duration::from_millis(1_500)).await;
        fault(&environment, &second, cut());
        wait_for("a third primary", || primary(&environment, 0).is_some_and(|name| name != second))
            .await;
    })
    .await;
}

async fn settles_a_write_whose_answer_was_lost(environment: LabEnvironment) {
    let mut caller = connect(&environment, 0).await;
    caller.client.batch_execute("CREATE TABLE visits (id int)").await.expect("create");
    let lose = FaultChange { lose_answers: Some(1), ..FaultChange::default() };
    fault(&environment, "gent", lose.clone());
    let error = caller.client.simple_query("INSERT INTO visits VALUES (1)").await;
    assert_eq!(sqlstate(&error.expect_err("the answer is lost")), "08007");
    assert_eq!(caller.values("SELECT count(*) FROM visits").await.expect("read"), ["1"]);
    // A commit has only one answer, so the group's word is enough to give it.
    let transaction = caller.client.transaction().await.expect("begin");
    transaction.execute("INSERT INTO visits VALUES (2)", &[]).await.expect("write");
    fault(&environment, "gent", lose);
    transaction.commit().await.expect("the commit is settled");
    assert_eq!(caller.values("SELECT count(*) FROM visits").await.expect("read"), ["2"]);
}

async fn goes_on_when_connections_go_silent(environment: LabEnvironment) {
    let caller = connect(&environment, 0).await;
    caller.client.batch_execute("CREATE TABLE visits (id int)").await.expect("create");
    for number in 0..4 {
        sleep(Duration::from_millis(1_200)).await;
        let silence = FaultChange { silence: true, ..FaultChange::default() };
        fault(&environment, "gent", silence);
        let begin = Instant::now();
        let sql = format!("INSERT INTO visits VALUES ({number})");
        caller.client.simple_query(&sql).await.expect("a proven connection is used");
        assert!(begin.elapsed() < Duration::from_secs(2));
    }
    assert_eq!(caller.values("SELECT count(*) FROM visits").await.expect("read"), ["4"]);
}

/// Lets a member answer late, so that a statement is still under way when it is paused.
fn slow() -> FaultChange {
    FaultChange { slow_ms: Some(400), ..FaultChange::default() }
}

async fn repeats_a_session_read_after_its_primary_was_replaced(environment: LabEnvironment) {
    let caller = connect(&environment, 0).await;
    caller.client.batch_execute("CREATE TABLE visits (id int)").await.expect("create");
    caller.client.simple_query("INSERT INTO visits VALUES (1)").await.expect("write");
    fault(&environment, "gent", slow());
    let read = tokio::spawn(async move {
        let begin = Instant::now();
        (caller.values("SELECT count(*) FROM visits").await, begin.elapsed())
    });
    sleep(Duration::from_millis(100)).await;
    fault(&environment, "gent", pause());
    let (rows, took) = read.await.expect("the caller ends");
    assert_eq!(rows.expect("the read is repeated"), ["1"]);
    assert!(took < MAX_REPLACEMENT, "the read took {took:?}");
}

async fn repeats_a_read_of_a_stated_age_on_another_member(environment: LabEnvironment) {
    let caller = connect(&environment, 0).await;
    caller.client.batch_execute("CREATE TABLE seats (id int)").await.expect("create");
    caller.client.simple_query("INSERT INTO seats VALUES (1)").await.expect("write");
    sleep(Duration::from_millis(300)).await;
    for member in ["leuven", "brugge"] {
        fault(&environment, member, slow());
    }
    let read = tokio::spawn(async move {
        let begin = Instant::now();
        (caller.values("SELECT count(*) FROM seats").await, begin.elapsed())
    });
    sleep(Duration::from_millis(100)).await;
    for member in ["leuven", "brugge"] {
        fault(&environment, member, pause());
    }
    let (rows, took) = read.await.expect("the caller ends");
    assert_eq!(rows.expect("the read is repeated"), ["1"]);
    assert!(took < MAX_REPLACEMENT, "the read took {took:?}");
}

async fn loses_a_transaction_with_its_primary(environment: LabEnvironment) {
    let mut caller = connect(&environment, 0).await;
    caller.client.batch_execute("CREATE TABLE visits (id int)").await.expect("create");
    let transaction = caller.client.transaction().await.expect("begin");
    transaction.execute("INSERT INTO visits VALUES (1)", &[]).await.expect("write");
    fault(&environment, "gent", cut());
    wait_for("a new primary", || primary(&environment, 0).is_some_and(|name| name != "gent")).await;
    let error = transaction.execute("INSERT INTO visits VALUES (2)", &[]).await;
    assert_eq!(sqlstate(&error.expect_err("the transaction is lost")), "40001");
    transaction.rollback().await.expect("rollback");
    assert_eq!(caller.values("SELECT count(*) FROM visits").await.expect("read"), ["0"]);
}

async fn finishes_transactions_while_it_drains(environment: LabEnvironment) {
    let mut caller = connect(&environment, 0).await;
    caller.client.batch_execute("CREATE TABLE visits (id int)").await.expect("create");
    let transaction = caller.client.transaction().await.expect("begin");
    let instance = environment.instances[0].instance.clone();
    let drained = tokio::spawn(async move { drain::drain(&instance).await });
    sleep(Duration::from_millis(600)).await;
    transaction.execute("INSERT INTO visits VALUES (1)", &[]).await.expect("write");
    transaction.commit().await.expect("commit");
    let refused = connect_with(&config(&environment, 0)).await;
    assert!(refused.is_err(), "a draining instance takes no caller");
    tokio::time::timeout(Duration::from_secs(8), drained).await.expect("drained").expect("drain");
    let other = connect(&environment, 1).await;
    assert_eq!(other.values("SELECT count(*) FROM visits").await.expect("read"), ["1"]);
}
