//! What a team leaves in the session of a pooled connection reaches no other team.

mod common;

use common::{TestCaller, config, connect, connect_with_config, sqlstate};
use lab::environment::LabEnvironment;

/// Length of a comment with which a text is too long to be parsed, in bytes.
const COMMENT_BYTES: usize = 66_000;
/// Sessions of the other team, more than the connections that its statements find idle.
const OTHER_SESSIONS: usize = 4;

lab_tests! {
    temporary_objects_hide_no_table_of_another_team(1);
    temporary_objects_of_a_transaction_hide_no_table_of_another_team(1);
    statements_that_need_a_session_are_refused(1);
    sessions_go_on_with_their_prepared_statements_after_a_reset(1);
}

async fn connect_other_team(environment: &LabEnvironment) -> TestCaller {
    let mut config = config(environment, 0);
    config.user(environment.options.profile.teams[1].name).password(&environment.keys[1]);
    connect_with_config(&config).await.expect("the other team connects")
}

async fn create_seats(caller: &TestCaller) {
    let create = "CREATE TABLE seats (id int PRIMARY KEY)";
    caller.client.batch_execute(create).await.expect("the table is created");
    let insert = "INSERT INTO seats VALUES (1), (2), (3)";
    caller.client.batch_execute(insert).await.expect("seats are added");
}

/// Returns a text that is too long to be parsed, and that leaves an empty table in its session.
fn unparsed_text() -> String {
    format!("SELECT 1; CREATE TEMP TABLE seats (id int) /*{}*/", "x".repeat(COMMENT_BYTES))
}

/// Reads and writes the table in sessions of the other team.
async fn check_other_team(environment: &LabEnvironment, added: usize) {
    for session in 0..OTHER_SESSIONS {
        let other = connect_other_team(environment).await;
        let insert = format!("INSERT INTO seats VALUES ({})", 10 * (added + 1) + session);
        other.client.batch_execute(&insert).await.expect("the other team writes");
        let count = other.first_column("SELECT count(*) FROM seats").await.expect("it reads");
        assert_eq!(count, [(3 + OTHER_SESSIONS * added + session + 1).to_string()]);
    }
}

// The connection went back to the pool with the temporary table, which hid that of all other teams.
async fn temporary_objects_hide_no_table_of_another_team(environment: LabEnvironment) {
    let caller = connect(&environment, 0).await;
    create_seats(&caller).await;
    for added in 0..3 {
        caller.client.batch_execute(&unparsed_text()).await.expect("the text is run");
        check_other_team(&environment, added).await;
    }
}

async fn temporary_objects_of_a_transaction_hide_no_table_of_another_team(
    environment: LabEnvironment,
) {
    let caller = connect(&environment, 0).await;
    create_seats(&caller).await;
    for (added, end) in ["COMMIT", "ROLLBACK"].into_iter().enumerate() {
        for sql in ["BEGIN", &unparsed_text(), end] {
            caller.client.batch_execute(sql).await.expect("the transaction is run");
        }
        check_other_team(&environment, added).await;
    }
}

async fn statements_that_need_a_session_are_refused(environment: LabEnvironment) {
    let caller = connect(&environment, 0).await;
    create_seats(&caller).await;
    let comment = format!("/*{}*/", "x".repeat(COMMENT_BYTES));
    for sql in [
        "CREATE TEMP VIEW seats AS SELECT 999 AS id",
        "CREATE TEMPORARY SEQUENCE s",
        "CREATE TABLE pg_temp.seats (id int)",
        "SELECT 1 AS id INTO TEMP seats",
        "SELECT set_config('search_path', 'elsewhere', false)",
        "SELECT * FROM pg_catalog.set_config('search_path', 'elsewhere', false)",
        "INSERT INTO seats SELECT pg_advisory_lock(1)",
        "SELECT lastval()",
        "BEGIN; CREATE TEMP VIEW seats AS SELECT 999 AS id; COMMIT",
        &format!("SET search_path TO elsewhere {comment}"),
        &format!("{comment} CREATE TEMP TABLE seats (id int)"),
        &format!("-- a /* b\n/* c /* d */ e */ LOAD 'x' {comment}"),
    ] {
        let error = caller.client.simple_query(sql).await.expect_err("refused");
        assert_eq!(sqlstate(&error), "0A000", "{}", &sql[..sql.len().min(80)]);
    }
    check_other_team(&environment, 0).await;
}

async fn sessions_go_on_with_their_prepared_statements_after_a_reset(environment: LabEnvironment) {
    let caller = connect(&environment, 0).await;
    create_seats(&caller).await;
    let select = "SELECT id FROM seats WHERE id >= $1";
    let statement = caller.client.prepare(select).await.expect("prepare");
    for _ in 0..5 {
        caller.client.batch_execute(&unparsed_text()).await.expect("the text is run");
        let rows = caller.client.query(&statement, &[&2_i32]).await.expect("execute");
        assert_eq!(rows.len(), 2);
    }
}
