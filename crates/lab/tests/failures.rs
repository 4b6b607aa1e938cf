//! End-to-end tests of failovers, broken connections and draining under load.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use common::{
    config, connect, connect_with_config, inject_fault, observed_primary, sqlstate, wait_for,
};
use lab::environment::LabEnvironment;
use proxy::drain;
use standin::fault::FaultChange;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};
use tokio_postgres::Config;

/// Bounds a read whose first attempt hit a paused member: three fifths of the statement deadline
/// of 5 s, so that the retry has time to run.
const MAX_READ_RETRY_TIME: Duration = Duration::from_secs(3);

lab_tests! {
    keeps_acknowledged_writes_when_the_primary_is_partitioned(3);
    keeps_acknowledged_writes_when_the_primary_stops(3);
    keeps_acknowledged_writes_when_the_primary_hangs(3);
    does_not_fail_over_after_a_pause_of_500_ms(3);
    fails_over_while_the_platform_is_down(3);
    fails_over_twice_and_readmits_the_old_primary(3);
    resolves_a_write_whose_response_was_lost(2);
    avoids_unresponsive_connections(2);
    repeats_a_session_read_after_its_primary_was_replaced(3);
    repeats_a_read_of_a_stated_age_on_another_member(3);
    aborts_a_transaction_when_its_primary_is_replaced(2);
    finishes_transactions_while_it_drains(2);
}

/// Outcome of each numbered record that a writer inserted.
#[derive(Default)]
struct WriterLog {
    acknowledged: Vec<i32>,
    not_run: Vec<i32>,
    in_doubt: Vec<i32>,
}

/// Inserts numbered records until `stop` is set; reconnects when its connection closes.
fn spawn_writer(config: Config, first_record: i32, stop: Arc<AtomicBool>) -> JoinHandle<WriterLog> {
    tokio::spawn(async move {
        let mut log = WriterLog::default();
        let mut number = first_record;
        let mut caller = None;
        while !stop.load(Ordering::Relaxed) {
            if caller.is_none() {
                caller = connect_with_config(&config).await.ok();
            }
            let Some(connection) = &caller else {
                sleep(Duration::from_millis(5)).await;
                continue;
            };
            number += 1;
            let sql = format!("INSERT INTO records VALUES ({number})");
            match connection.client.simple_query(&sql).await {
                Ok(_) => {
                    log.acknowledged.push(number);
                    let found = connection
                        .first_column(&format!("SELECT count(*) FROM records WHERE id = {number}"))
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
                        log.in_doubt.push(number);
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

/// Runs writers on every instance while `inject` runs, then checks the outcomes.
///
/// Acknowledged records must exist once, refused ones must not exist, others at most once.
async fn check_write_history<F: Future<Output = ()>>(
    environment: &LabEnvironment,
    inject: impl FnOnce() -> F,
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
    inject().await;
    sleep(Duration::from_millis(3_000)).await;
    stop.store(true, Ordering::Relaxed);
    let mut logs = Vec::new();
    for writer in writers {
        logs.push(writer.await.expect("the writer ends"));
    }
    let reader = connect(environment, 0).await;
    let rows = reader.first_column("SELECT id FROM records").await.expect("read");
    let mut counts: BTreeMap<i32, u32> = BTreeMap::new();
    for row in rows {
        *counts.entry(row.parse().expect("a number")).or_default() += 1;
    }
    let count = |number: &i32| counts.get(number).copied().unwrap_or_default();
    for log in logs {
        assert!(
            log.acknowledged.len() > 20,
            "only {} writes were acknowledged",
            log.acknowledged.len()
        );
        for number in &log.acknowledged {
            assert_eq!(count(number), 1, "record {number} was acknowledged");
        }
        for number in &log.not_run {
            assert_eq!(count(number), 0, "record {number} was refused as not run");
        }
        for number in &log.in_doubt {
            assert!(count(number) <= 1, "record {number} ran at most once");
        }
    }
}

/// Keeps a member's connections open without responses, until the fault is cleared.
fn permanent_pause() -> FaultChange {
    FaultChange { paused: Some(true), ..FaultChange::default() }
}

/// Partitions a member from the rest of its group.
fn partition() -> FaultChange {
    FaultChange { cut: Some(true), ..FaultChange::default() }
}

async fn keeps_acknowledged_writes_when_the_primary_is_partitioned(environment: LabEnvironment) {
    check_write_history(&environment, || async {
        inject_fault(&environment, "gent", partition());
        wait_for("a new primary", || {
            observed_primary(&environment, 0).is_some_and(|name| name != "gent")
        })
        .await;
    })
    .await;
}

async fn keeps_acknowledged_writes_when_the_primary_stops(environment: LabEnvironment) {
    check_write_history(&environment, || async {
        let stopped = FaultChange { stopped: Some(true), ..FaultChange::default() };
        inject_fault(&environment, "gent", stopped);
        wait_for("a new primary", || {
            observed_primary(&environment, 1).is_some_and(|name| name != "gent")
        })
        .await;
    })
    .await;
}

async fn keeps_acknowledged_writes_when_the_primary_hangs(environment: LabEnvironment) {
    check_write_history(&environment, || async {
        inject_fault(&environment, "gent", permanent_pause());
        wait_for("a new primary", || {
            observed_primary(&environment, 2).is_some_and(|name| name != "gent")
        })
        .await;
    })
    .await;
}

async fn does_not_fail_over_after_a_pause_of_500_ms(environment: LabEnvironment) {
    check_write_history(&environment, || async {
        for _ in 0..3 {
            let pause = |paused| FaultChange { paused: Some(paused), ..FaultChange::default() };
            inject_fault(&environment, "gent", pause(true));
            sleep(Duration::from_millis(500)).await;
            inject_fault(&environment, "gent", pause(false));
            sleep(Duration::from_millis(600)).await;
        }
    })
    .await;
    let group = environment.group("bookings").expect("the group runs");
    let status = group.members[0].replication.lock().status();
    assert_eq!(status.promised, 1, "no newer token was promised");
    assert_eq!(observed_primary(&environment, 0).as_deref(), Some("gent"));
}

async fn fails_over_while_the_platform_is_down(environment: LabEnvironment) {
    check_write_history(&environment, || async {
        let down = standin::platform::PlatformFault { down: true, ..Default::default() };
        environment.services.platform.set_fault(down);
        sleep(Duration::from_millis(3_500)).await;
        inject_fault(&environment, "gent", partition());
        wait_for("a new primary", || {
            observed_primary(&environment, 0).is_some_and(|name| name != "gent")
        })
        .await;
    })
    .await;
}

async fn fails_over_twice_and_readmits_the_old_primary(environment: LabEnvironment) {
    check_write_history(&environment, || async {
        inject_fault(&environment, "gent", partition());
        wait_for("a new primary", || {
            observed_primary(&environment, 0).is_some_and(|name| name != "gent")
        })
        .await;
        let second = observed_primary(&environment, 0).expect("a primary");
        let reconnected = FaultChange { cut: Some(false), ..FaultChange::default() };
        inject_fault(&environment, "gent", reconnected);
        sleep(Duration::from_millis(1_500)).await;
        inject_fault(&environment, &second, partition());
        wait_for("a third primary", || {
            observed_primary(&environment, 0).is_some_and(|name| name != second)
        })
        .await;
    })
    .await;
}

async fn resolves_a_write_whose_response_was_lost(environment: LabEnvironment) {
    let mut caller = connect(&environment, 0).await;
    caller.client.batch_execute("CREATE TABLE visits (id int)").await.expect("create");
    let lose_response = FaultChange { lose_answers: Some(1), ..FaultChange::default() };
    inject_fault(&environment, "gent", lose_response.clone());
    let error = caller.client.simple_query("INSERT INTO visits VALUES (1)").await;
    assert_eq!(sqlstate(&error.expect_err("the response is lost")), "08007");
    assert_eq!(caller.first_column("SELECT count(*) FROM visits").await.expect("read"), ["1"]);
    // A commit always has the same response, so the proxy can send it once the group reports the
    // outcome.
    let transaction = caller.client.transaction().await.expect("begin");
    transaction.execute("INSERT INTO visits VALUES (2)", &[]).await.expect("write");
    inject_fault(&environment, "gent", lose_response);
    transaction.commit().await.expect("the outcome of the commit is resolved");
    assert_eq!(caller.first_column("SELECT count(*) FROM visits").await.expect("read"), ["2"]);
}

async fn avoids_unresponsive_connections(environment: LabEnvironment) {
    let caller = connect(&environment, 0).await;
    caller.client.batch_execute("CREATE TABLE visits (id int)").await.expect("create");
    for number in 0..4 {
        // Longer than the idle time of 1 s after which the proxy checks a connection before its use.
        sleep(Duration::from_millis(1_200)).await;
        let silence = FaultChange { silence: true, ..FaultChange::default() };
        inject_fault(&environment, "gent", silence);
        let start = Instant::now();
        let sql = format!("INSERT INTO visits VALUES ({number})");
        caller.client.simple_query(&sql).await.expect("the write uses a live connection");
        assert!(start.elapsed() < Duration::from_secs(2));
    }
    assert_eq!(caller.first_column("SELECT count(*) FROM visits").await.expect("read"), ["4"]);
}

/// Lets each statement of a member run 400 ms longer, so that it is still in flight when the member
/// is paused.
fn slow_response() -> FaultChange {
    FaultChange { slow_ms: Some(400), ..FaultChange::default() }
}

async fn repeats_a_session_read_after_its_primary_was_replaced(environment: LabEnvironment) {
    let caller = connect(&environment, 0).await;
    caller.client.batch_execute("CREATE TABLE visits (id int)").await.expect("create");
    caller.client.simple_query("INSERT INTO visits VALUES (1)").await.expect("write");
    inject_fault(&environment, "gent", slow_response());
    let read = tokio::spawn(async move {
        let start = Instant::now();
        (caller.first_column("SELECT count(*) FROM visits").await, start.elapsed())
    });
    sleep(Duration::from_millis(100)).await;
    inject_fault(&environment, "gent", permanent_pause());
    let (rows, elapsed) = read.await.expect("the caller ends");
    assert_eq!(rows.expect("the read is retried"), ["1"]);
    assert!(elapsed < MAX_READ_RETRY_TIME, "the read took {elapsed:?}");
}

async fn repeats_a_read_of_a_stated_age_on_another_member(environment: LabEnvironment) {
    let caller = connect(&environment, 0).await;
    caller.client.batch_execute("CREATE TABLE seats (id int)").await.expect("create");
    caller.client.simple_query("INSERT INTO seats VALUES (1)").await.expect("write");
    sleep(Duration::from_millis(300)).await;
    for member in ["leuven", "brugge"] {
        inject_fault(&environment, member, slow_response());
    }
    let read = tokio::spawn(async move {
        let start = Instant::now();
        (caller.first_column("SELECT count(*) FROM seats").await, start.elapsed())
    });
    sleep(Duration::from_millis(100)).await;
    for member in ["leuven", "brugge"] {
        inject_fault(&environment, member, permanent_pause());
    }
    let (rows, elapsed) = read.await.expect("the caller ends");
    assert_eq!(rows.expect("the read is retried"), ["1"]);
    assert!(elapsed < MAX_READ_RETRY_TIME, "the read took {elapsed:?}");
}

async fn aborts_a_transaction_when_its_primary_is_replaced(environment: LabEnvironment) {
    let mut caller = connect(&environment, 0).await;
    caller.client.batch_execute("CREATE TABLE visits (id int)").await.expect("create");
    let transaction = caller.client.transaction().await.expect("begin");
    transaction.execute("INSERT INTO visits VALUES (1)", &[]).await.expect("write");
    inject_fault(&environment, "gent", partition());
    wait_for("a new primary", || {
        observed_primary(&environment, 0).is_some_and(|name| name != "gent")
    })
    .await;
    let error = transaction.execute("INSERT INTO visits VALUES (2)", &[]).await;
    assert_eq!(sqlstate(&error.expect_err("the transaction is aborted")), "40001");
    transaction.rollback().await.expect("rollback");
    assert_eq!(caller.first_column("SELECT count(*) FROM visits").await.expect("read"), ["0"]);
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
    let refused = connect_with_config(&config(&environment, 0)).await;
    assert!(refused.is_err(), "a draining instance accepts no connection");
    tokio::time::timeout(Duration::from_secs(8), drained).await.expect("drained").expect("drain");
    let other = connect(&environment, 1).await;
    assert_eq!(other.first_column("SELECT count(*) FROM visits").await.expect("read"), ["1"]);
}
