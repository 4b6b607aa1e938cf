//! Statements on what the proxy keeps for a session, as client libraries send them by themselves.

mod common;

use common::{connect, sqlstate};
use lab::environment::LabEnvironment;

lab_tests! {
    deallocate_removes_the_statements_of_its_session_only(1);
    a_reset_restores_the_parameters_that_it_names(1);
    a_session_can_be_cleaned_before_it_is_used_again(1);
}

// Clients that prepare after some executions deallocate after a rollback, which failed with 0A000.
async fn deallocate_removes_the_statements_of_its_session_only(environment: LabEnvironment) {
    let mut caller = connect(&environment, 0).await;
    let other = connect(&environment, 0).await;
    let select = "SELECT 1";
    let statement = caller.client.prepare(select).await.expect("prepare");
    let others_statement = other.client.prepare(select).await.expect("prepare");
    let transaction = caller.client.transaction().await.expect("begin");
    transaction.query(&statement, &[]).await.expect("execute");
    transaction.rollback().await.expect("rollback");
    caller.client.batch_execute("DEALLOCATE ALL").await.expect("deallocate");
    let error = caller.client.query(&statement, &[]).await.expect_err("it is removed");
    assert_eq!(sqlstate(&error), "26000");
    other.client.query(&others_statement, &[]).await.expect("that of the other session");
    let error = caller.client.batch_execute("DEALLOCATE s99").await.expect_err("unknown");
    assert_eq!(sqlstate(&error), "26000");
}

async fn a_reset_restores_the_parameters_that_it_names(environment: LabEnvironment) {
    let caller = connect(&environment, 0).await;
    let show = |name| caller.first_column(name);
    for (reset, application_name) in [("RESET statement_timeout", "tour"), ("RESET ALL", "")] {
        caller.client.batch_execute("SET application_name = 'tour'").await.expect("set");
        caller.client.batch_execute("SET statement_timeout = '2s'").await.expect("set");
        caller.client.batch_execute(reset).await.expect("reset");
        assert_eq!(show("SHOW statement_timeout").await.expect("show"), ["0"], "{reset}");
        assert_eq!(show("SHOW application_name").await.expect("show"), [application_name]);
    }
}

async fn a_session_can_be_cleaned_before_it_is_used_again(environment: LabEnvironment) {
    let caller = connect(&environment, 0).await;
    let statement = caller.client.prepare("SELECT 1").await.expect("prepare");
    let reset = "SELECT pg_advisory_unlock_all(); CLOSE ALL; UNLISTEN *; RESET ALL";
    assert_eq!(caller.first_column(reset).await.expect("as one text"), [""]);
    for sql in ["CLOSE ALL", "UNLISTEN *", "DISCARD ALL"] {
        caller.client.batch_execute(sql).await.expect(sql);
    }
    let error = caller.client.batch_execute("SELECT 1; RESET ALL").await.expect_err("refused");
    assert_eq!(sqlstate(&error), "0A000");
    let error = caller.client.query(&statement, &[]).await.expect_err("it is removed");
    assert_eq!(sqlstate(&error), "26000");
    caller.client.batch_execute("BEGIN").await.expect("begin");
    let error = caller.client.batch_execute("DISCARD ALL").await.expect_err("refused");
    assert_eq!(sqlstate(&error), "25001");
    caller.client.batch_execute("ROLLBACK").await.expect("rollback");
    assert_eq!(caller.first_column("SELECT 1").await.expect("read"), ["1"]);
}
