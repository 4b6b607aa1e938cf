//! End-to-end tests through an unmodified PostgreSQL driver.

mod common;

use std::time::Duration;

use common::{
    TestCaller, config, connect, connect_with_config, sqlstate, wait_for, wait_for_replicas,
};
use lab::environment::LabEnvironment;
use tokio::time::sleep;
use tokio_postgres::SimpleQueryMessage;

lab_tests! {
    books_a_seat_and_reads_it_on_another_proxy(3);
    rejects_wrong_key_team_and_database(1);
    serves_bounded_staleness_reads_from_replicas(1);
    keeps_prepared_statements_across_pooled_connections(2);
    runs_several_statements_in_one_text(1);
    rolls_back_and_reports_errors(1);
    rejects_unsupported_statements(1);
    allows_only_open_routes_without_a_key(1);
    streams_a_large_result(1);
    cancels_a_running_statement(1);
    reads_own_writes_while_replicas_lag(2);
    suspends_portals(1);
}

async fn create_seats(caller: &TestCaller) {
    caller
        .client
        .batch_execute("CREATE TABLE seats (id int PRIMARY KEY, hall text, taken_by text)")
        .await
        .expect("the table is created");
    for id in 1..=3 {
        caller
            .client
            .execute("INSERT INTO seats VALUES ($1, 'parish', NULL)", &[&id])
            .await
            .expect("a seat is added");
    }
}

async fn books_a_seat_and_reads_it_on_another_proxy(environment: LabEnvironment) {
    let mut first = connect(&environment, 0).await;
    create_seats(&first).await;
    let transaction = first.client.transaction().await.expect("begin");
    let free = transaction
        .query_one("SELECT count(*) FROM seats WHERE id = $1 AND taken_by IS NULL", &[&1_i32])
        .await
        .expect("read inside the transaction");
    assert_eq!(free.get::<_, i64>(0), 1);
    let taken = transaction
        .execute("UPDATE seats SET taken_by = $1 WHERE id = $2", &[&"anna", &1_i32])
        .await
        .expect("write inside the transaction");
    assert_eq!(taken, 1);
    transaction.commit().await.expect("commit");

    let token = first.token().await;
    let mut with_token = config(&environment, 1);
    with_token.options(format!("-c hibiscus.session={token}"));
    let second = connect_with_config(&with_token).await.expect("connect with the session token");
    let row = second
        .client
        .query_one("SELECT taken_by FROM seats WHERE id = $1", &[&1_i32])
        .await
        .expect("read on another proxy");
    assert_eq!(row.get::<_, &str>(0), "anna");
    assert!(!second.token().await.is_empty());

    let third = connect(&environment, 2).await;
    third
        .client
        .batch_execute(&format!("SET hibiscus.session = '{token}'"))
        .await
        .expect("the token is accepted");
    let found = third.first_column("SELECT taken_by FROM seats WHERE id = 1").await.expect("read");
    assert_eq!(found, ["anna"]);
    let malformed = third.client.batch_execute("SET hibiscus.session = 'AAAA'").await;
    assert_eq!(sqlstate(&malformed.expect_err("a malformed token is refused")), "22023");
}

async fn rejects_wrong_key_team_and_database(environment: LabEnvironment) {
    let good = config(&environment, 0);
    let mut wrong_key = good.clone();
    wrong_key.password("not the key");
    let mut wrong_team = good.clone();
    wrong_team.user("nobody");
    let mut wrong_database = good.clone();
    wrong_database.dbname("nothing");
    for (config, state) in [(wrong_key, "28P01"), (wrong_team, "28000"), (wrong_database, "3D000")]
    {
        let error = connect_with_config(&config).await.err().expect("the caller is refused");
        assert_eq!(sqlstate(&error), state);
        let text = format!("{error:?}");
        assert!(text.contains("not run"), "{text}");
        assert!(!text.contains("not the key"), "{text}");
    }
    connect_with_config(&good).await.expect("other callers are served");
}

async fn serves_bounded_staleness_reads_from_replicas(environment: LabEnvironment) {
    let caller = connect(&environment, 0).await;
    create_seats(&caller).await;
    wait_for_replicas(&environment).await;
    sleep(Duration::from_millis(200)).await;
    let database = environment.options.profile.databases[0];
    let group = environment.group(database).expect("the group runs");
    let served = |index: usize| group.members[index].executed_statements();
    let before = (served(1) + served(2), served(0));
    for _ in 0..50 {
        let rows = caller.client.query("SELECT id FROM seats", &[]).await.expect("read");
        assert_eq!(rows.len(), 3);
    }
    let after = (served(1) + served(2), served(0));
    assert!(after.0 - before.0 >= 45, "replicas served {} of 50", after.0 - before.0);
}

async fn keeps_prepared_statements_across_pooled_connections(environment: LabEnvironment) {
    let caller = connect(&environment, 0).await;
    create_seats(&caller).await;
    let statement = caller
        .client
        .prepare("SELECT id FROM seats WHERE id >= $1 ORDER BY id")
        .await
        .expect("prepare");
    let others: Vec<TestCaller> = repeat_async(6, || connect(&environment, 0)).await;
    for round in 0..20 {
        for other in &others {
            other.client.batch_execute("SELECT id FROM seats WHERE id = 1").await.expect("read");
        }
        let rows = caller.client.query(&statement, &[&2_i32]).await.expect("execute");
        assert_eq!(rows.len(), 2, "round {round}");
    }
}

async fn repeat_async<T, F: Future<Output = T>>(count: usize, create: impl Fn() -> F) -> Vec<T> {
    let mut results = Vec::new();
    for _ in 0..count {
        results.push(create().await);
    }
    results
}

async fn runs_several_statements_in_one_text(environment: LabEnvironment) {
    let caller = connect(&environment, 0).await;
    create_seats(&caller).await;
    let messages = caller
        .client
        .simple_query("UPDATE seats SET hall = 'a'; SELECT hall FROM seats WHERE id = 2; ")
        .await
        .expect("both run");
    let rows = messages.iter().filter(|message| matches!(message, SimpleQueryMessage::Row(_)));
    assert_eq!(rows.count(), 1);
    let failed = caller
        .client
        .simple_query("UPDATE seats SET hall = 'b'; INSERT INTO seats VALUES (1, 'x', NULL)")
        .await;
    assert_eq!(sqlstate(&failed.expect_err("the key already exists")), "23505");
    let halls = caller.first_column("SELECT DISTINCT hall FROM seats").await.expect("read");
    assert_eq!(halls, ["a"], "one text is one transaction");
    assert!(caller.first_column("").await.expect("an empty query is fine").is_empty());
}

async fn rolls_back_and_reports_errors(environment: LabEnvironment) {
    let mut caller = connect(&environment, 0).await;
    create_seats(&caller).await;
    let error = caller.client.query("SELECT nosuch FROM seats", &[]).await;
    assert!(error.expect_err("no such column").code().is_some());
    let transaction = caller.client.transaction().await.expect("begin");
    transaction.execute("UPDATE seats SET hall = 'lost'", &[]).await.expect("write");
    let error = transaction.execute("INSERT INTO seats VALUES (1, 'x', NULL)", &[]).await;
    assert_eq!(sqlstate(&error.expect_err("the key already exists")), "23505");
    let error = transaction.query("SELECT 1", &[]).await.expect_err("the transaction is aborted");
    assert_eq!(sqlstate(&error), "25P02");
    transaction.rollback().await.expect("rollback");
    let halls = caller.first_column("SELECT DISTINCT hall FROM seats").await.expect("read");
    assert_eq!(halls, ["parish"]);
}

async fn rejects_unsupported_statements(environment: LabEnvironment) {
    let caller = connect(&environment, 0).await;
    create_seats(&caller).await;
    for sql in ["COPY seats FROM STDIN", "LISTEN news", "CREATE TEMP TABLE t (a int)"] {
        let error = caller.client.simple_query(sql).await.expect_err("refused");
        assert_eq!(sqlstate(&error), "0A000", "{sql}");
        let text = format!("{error:?}");
        assert!(text.contains("not run"), "{text}");
    }
    caller.client.batch_execute("SET application_name = 'tour'").await.expect("set");
    assert_eq!(caller.first_column("SHOW application_name").await.expect("show"), ["tour"]);
    let error = caller.client.batch_execute("SET search_path = 'x'").await.expect_err("refused");
    assert_eq!(sqlstate(&error), "0A000");
    assert_eq!(caller.first_column("SELECT count(*) FROM seats").await.expect("read"), ["3"]);
}

async fn allows_only_open_routes_without_a_key(environment: LabEnvironment) {
    let caller = connect(&environment, 0).await;
    create_seats(&caller).await;
    caller.client.batch_execute("CREATE TABLE notices (text text)").await.expect("create");
    caller.client.batch_execute("INSERT INTO notices VALUES ('open')").await.expect("insert");
    let mut open = config(&environment, 0);
    open.user("open").password("");
    let open = connect_with_config(&open).await.expect("no key is required");
    assert_eq!(open.first_column("SELECT text FROM notices").await.expect("open route"), ["open"]);
    for sql in ["SELECT id FROM seats", "INSERT INTO notices VALUES ('x')", "BEGIN"] {
        let error = open.client.simple_query(sql).await.expect_err("closed route");
        assert_eq!(sqlstate(&error), "42501", "{sql}");
    }
}

async fn streams_a_large_result(environment: LabEnvironment) {
    let caller = connect(&environment, 0).await;
    caller.client.batch_execute("CREATE TABLE blobs (id int, body text)").await.expect("create");
    let body = "x".repeat(700_000);
    for id in 0..6_i32 {
        caller
            .client
            .execute("INSERT INTO blobs VALUES ($1, $2)", &[&id, &body])
            .await
            .expect("insert");
    }
    let rows = caller.client.query("SELECT id, body FROM blobs", &[]).await.expect("read");
    assert_eq!(rows.len(), 6);
    assert!(rows.iter().all(|row| row.get::<_, &str>(1).len() == body.len()));
    let sql = "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE i < 200000) \
               SELECT i, 'a long enough text to fill many buffers' FROM n";
    assert_eq!(caller.first_column(sql).await.expect("read").len(), 200_000);
}

async fn cancels_a_running_statement(environment: LabEnvironment) {
    let caller = connect(&environment, 0).await;
    let cancel = caller.client.cancel_token();
    let task = tokio::spawn(async move {
        sleep(Duration::from_millis(300)).await;
        cancel.cancel_query(tokio_postgres::NoTls).await
    });
    let error = caller.client.simple_query("SELECT pg_sleep(4)").await.expect_err("cancelled");
    assert_eq!(sqlstate(&error), "57014");
    task.await.expect("task").expect("the cancel request is sent");
    assert_eq!(caller.first_column("SELECT 1").await.expect("the session continues"), ["1"]);
}

async fn reads_own_writes_while_replicas_lag(environment: LabEnvironment) {
    let caller = connect(&environment, 0).await;
    create_seats(&caller).await;
    wait_for_replicas(&environment).await;
    let lag = standin::fault::FaultChange { lag_ms: Some(300), ..Default::default() };
    for member in ["leuven", "brugge"] {
        common::inject_fault(&environment, member, lag.clone());
    }
    for round in 0..30 {
        let name = format!("guest {round}");
        caller
            .client
            .execute("UPDATE seats SET taken_by = $1 WHERE id = 1", &[&name])
            .await
            .expect("write");
        let found =
            caller.first_column("SELECT taken_by FROM seats WHERE id = 1").await.expect("read");
        assert_eq!(found, std::slice::from_ref(&name));
        let mut with_token = config(&environment, 1);
        with_token.options(format!("-c hibiscus.session={}", caller.token().await));
        let with_token =
            connect_with_config(&with_token).await.expect("connect with the session token");
        let found =
            with_token.first_column("SELECT taken_by FROM seats WHERE id = 1").await.expect("read");
        assert_eq!(found, std::slice::from_ref(&name));
        // Without a token, the primary confirms its leadership before it serves the read.
        let without_token = connect(&environment, 1).await;
        let found = without_token
            .first_column("SELECT taken_by FROM seats WHERE id = 1")
            .await
            .expect("read");
        assert_eq!(found, [name]);
    }
    wait_for("nothing", || true).await;
}

async fn suspends_portals(environment: LabEnvironment) {
    let mut caller = connect(&environment, 0).await;
    create_seats(&caller).await;
    let transaction = caller.client.transaction().await.expect("begin");
    let portal = transaction.bind("SELECT id FROM seats ORDER BY id", &[]).await.expect("bind");
    let first = transaction.query_portal(&portal, 2).await.expect("two rows");
    let second = transaction.query_portal(&portal, 2).await.expect("one row");
    assert_eq!((first.len(), second.len()), (2, 1));
    transaction.commit().await.expect("commit");
}
