//! End-to-end tests of several writes in one text or pipeline.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::BytesMut;
use common::{TestCaller, config, connect, connect_with_config, inject_fault, sqlstate, wait_for};
use lab::environment::LabEnvironment;
use lab::login;
use standin::fault::FaultChange;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};
use wire::frontend::{self, BindFields, ParseFields};

lab_tests! {
    a_block_in_one_text_leaves_the_database_usable(2);
    a_block_in_one_text_takes_at_most_twice_as_long_as_its_statements(1);
    a_caller_that_leaves_while_it_waits_releases_its_lock(1);
    a_pipeline_is_one_transaction(1);
    a_pipeline_with_an_error_keeps_nothing(1);
    a_write_before_a_flush_commits_with_the_sync(2);
    a_text_of_two_commits_is_not_called_committed(2);
    acknowledged_writes_are_there_whole_after_cuts(3);
}

/// Bound on a text or pipeline without a fault.
const USUAL_TIME: Duration = Duration::from_secs(1);
/// SQLSTATE of an outcome that is unknown.
const OUTCOME_UNKNOWN: &str = "08007";

/// Connection on which messages are written as they are.
struct RawCaller {
    stream: TcpStream,
}

impl RawCaller {
    async fn open(environment: &LabEnvironment, instance: usize) -> Option<Self> {
        let profile = &environment.options.profile;
        let mut stream = TcpStream::connect(environment.instances[instance].address).await.ok()?;
        let startup = login::startup_message(profile.teams[0].name, profile.databases[0]);
        stream.write_all(&startup).await.ok()?;
        stream.write_all(&login::password_message(&environment.keys[0])).await.ok()?;
        let mut caller = Self { stream };
        caller.read_response().await?.ok()?;
        Some(caller)
    }

    /// Reads messages up to ready-for-query; returns the command tags, or the SQLSTATE of an error.
    async fn read_response(&mut self) -> Option<Result<Vec<String>, String>> {
        let (mut tags, mut error) = (Vec::new(), None);
        loop {
            let mut header = [0; 5];
            self.stream.read_exact(&mut header).await.ok()?;
            let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]) as usize;
            let mut body = vec![0; length - 4];
            self.stream.read_exact(&mut body).await.ok()?;
            match header[0] {
                b'C' => tags.push(String::from_utf8_lossy(&body[..body.len() - 1]).into_owned()),
                b'E' => {
                    let mut fields = body.split(|byte| *byte == 0);
                    let code = fields.find(|field| field.first() == Some(&b'C'));
                    let code = code.map(|field| String::from_utf8_lossy(&field[1..]).into_owned());
                    error = error.or(code);
                }
                b'Z' => return Some(error.map_or(Ok(tags), Err)),
                _ => {}
            }
        }
    }

    async fn send(&mut self, statements: &[&str], end: &[u8]) -> Option<()> {
        let mut bytes = BytesMut::new();
        for query in statements {
            frontend::put_parse(
                &mut bytes,
                &ParseFields { name: "", query, parameter_types: &[0, 0] },
            );
            let values = &[0; 6];
            frontend::put_bind(&mut bytes, &BindFields { portal: "", statement: "", values });
            // Unnamed portal, all rows.
            bytes.extend_from_slice(b"E\0\0\0\x09\0\0\0\0\0");
        }
        end.iter().for_each(|tag| frontend::put_empty(&mut bytes, *tag));
        self.stream.write_all(&bytes).await.ok()
    }

    /// Runs statements as one pipeline.
    async fn pipeline(&mut self, statements: &[&str]) -> Option<Result<Vec<String>, String>> {
        self.send(statements, &[frontend::SYNC]).await?;
        self.read_response().await
    }
}

async fn create_records(environment: &LabEnvironment) -> TestCaller {
    let caller = connect(environment, 0).await;
    let sql = "CREATE TABLE records (id int PRIMARY KEY, n int)";
    caller.client.batch_execute(sql).await.expect("the table is created");
    caller
}

async fn count(caller: &TestCaller, condition: &str) -> String {
    let sql = format!("SELECT count(*) FROM records WHERE {condition}");
    caller.first_column(&sql).await.expect("read").remove(0)
}

// The session waited for its own write lock, and all later writes of the database with it.
async fn a_block_in_one_text_leaves_the_database_usable(environment: LabEnvironment) {
    let caller = create_records(&environment).await;
    let began_at = Instant::now();
    let block =
        "BEGIN; INSERT INTO records VALUES (1, 1); UPDATE records SET n = 2 WHERE id = 1; COMMIT";
    caller.client.batch_execute(block).await.expect("the block runs");
    caller.client.batch_execute("BEGIN; SELECT 1; COMMIT").await.expect("so does a read");
    let other = connect(&environment, 1).await;
    other.client.batch_execute("INSERT INTO records VALUES (2, 2)").await.expect("writes go on");
    assert!(began_at.elapsed() < USUAL_TIME, "{:?}", began_at.elapsed());
    assert_eq!(count(&caller, "n = 2").await, "2");
    let mixed = "INSERT INTO records VALUES (3, 3); BEGIN; INSERT INTO records VALUES (4, 4); ROLLBACK; \
                 INSERT INTO records VALUES (5, 5)";
    caller.client.batch_execute(mixed).await.expect("the text runs");
    assert_eq!(count(&caller, "id > 2").await, "1", "a block includes what stands before it");
}

async fn a_block_in_one_text_takes_at_most_twice_as_long_as_its_statements(
    environment: LabEnvironment,
) {
    let caller = create_records(&environment).await;
    let (mut texts, mut singles) = (Vec::new(), Vec::new());
    for id in 0..40 {
        let write = format!("INSERT INTO records VALUES ({id}, 1)");
        let began_at = Instant::now();
        if id % 2 == 0 {
            caller.client.batch_execute(&format!("BEGIN; {write}; COMMIT")).await.expect("runs");
            texts.push(began_at.elapsed());
        } else {
            for statement in ["BEGIN", &write, "COMMIT"] {
                caller.client.batch_execute(statement).await.expect("runs");
            }
            singles.push(began_at.elapsed());
        }
    }
    let median = |times: &mut Vec<Duration>| {
        times.sort();
        times[times.len() / 2]
    };
    let (text, single) = (median(&mut texts), median(&mut singles));
    assert!(text <= 2 * single, "{text:?} and {single:?}");
}

async fn a_caller_that_leaves_while_it_waits_releases_its_lock(environment: LabEnvironment) {
    let mut holder = create_records(&environment).await;
    let block = holder.client.transaction().await.expect("begin");
    block.execute("INSERT INTO records VALUES (1, 1)", &[]).await.expect("write");
    for _ in 0..40 {
        let waiting = connect(&environment, 0).await;
        let write = waiting.client.batch_execute("INSERT INTO records VALUES (2, 2)");
        assert!(timeout(Duration::from_millis(20), write).await.is_err(), "the row is locked");
    }
    block.commit().await.expect("commit");
    let began_at = Instant::now();
    let other = connect(&environment, 0).await;
    other.client.batch_execute("INSERT INTO records VALUES (3, 3)").await.expect("writes go on");
    assert!(began_at.elapsed() < USUAL_TIME, "{:?}", began_at.elapsed());
}

// Each statement of a pipeline was committed by itself.
async fn a_pipeline_is_one_transaction(environment: LabEnvironment) {
    let caller = create_records(&environment).await;
    let mut raw = RawCaller::open(&environment, 0).await.expect("the caller is accepted");
    let statements = ["INSERT INTO records VALUES (1, 1)", "UPDATE records SET n = 2 WHERE id = 1"];
    let tags = raw.pipeline(&statements).await.expect("a response").expect("success");
    assert_eq!(tags, ["INSERT 0 1", "UPDATE 1"]);
    assert_eq!(count(&caller, "n = 2").await, "1");
    let group = environment.group(environment.options.profile.databases[0]).expect("it runs");
    let received = |index: usize| group.members[index].replication.lock().status().received;
    let before = received(0);
    raw.pipeline(&["INSERT INTO records VALUES (2, 1)", "UPDATE records SET n = 9 WHERE id = 2"])
        .await
        .expect("a response")
        .expect("success");
    wait_for("the primary has the transaction", || received(0) > before).await;
    assert_eq!(received(0), before + 1, "one entry of the log");
}

async fn a_pipeline_with_an_error_keeps_nothing(environment: LabEnvironment) {
    let caller = create_records(&environment).await;
    let mut raw = RawCaller::open(&environment, 0).await.expect("the caller is accepted");
    let statements = ["INSERT INTO records VALUES (1, 1)", "INSERT INTO records VALUES (1, 2)"];
    assert_eq!(raw.pipeline(&statements).await, Some(Err("23505".to_owned())));
    assert_eq!(count(&caller, "true").await, "0");
    let next = raw.pipeline(&["INSERT INTO records VALUES (2, 2)"]).await;
    assert_eq!(next, Some(Ok(vec!["INSERT 0 1".to_owned()])), "the session goes on");
}

async fn a_write_before_a_flush_commits_with_the_sync(environment: LabEnvironment) {
    let caller = create_records(&environment).await;
    let mut raw = RawCaller::open(&environment, 0).await.expect("the caller is accepted");
    raw.send(&["INSERT INTO records VALUES (1, 1)"], &[frontend::FLUSH]).await.expect("sent");
    sleep(Duration::from_millis(100)).await;
    assert_eq!(count(&caller, "true").await, "0", "no sync yet");
    raw.send(&[], &[frontend::SYNC]).await.expect("sent");
    let tags = raw.read_response().await.expect("a response").expect("success");
    assert_eq!(tags, ["INSERT 0 1"]);
    assert_eq!(count(&caller, "true").await, "1");
}

// The label of the first commit was taken for the whole text.
async fn a_text_of_two_commits_is_not_called_committed(environment: LabEnvironment) {
    let caller = create_records(&environment).await;
    wait_for("the primary is known", || common::observed_primary(&environment, 1).is_some()).await;
    let primary = common::observed_primary(&environment, 1).expect("there is one");
    let loss = FaultChange { lose_answers: Some(1), ..FaultChange::default() };
    inject_fault(&environment, &primary, loss);
    let text =
        "BEGIN; INSERT INTO records VALUES (1, 1); COMMIT; INSERT INTO records VALUES (2, 2)";
    let error = caller.client.batch_execute(text).await.expect_err("the second write did not run");
    assert_eq!(sqlstate(&error), OUTCOME_UNKNOWN);
    let detail = format!("{error:?}");
    assert!(!detail.contains("is committed"), "{detail}");
    let other = connect(&environment, 1).await;
    assert_eq!(count(&other, "id = 1").await, "1");
    assert_eq!(count(&other, "id = 2").await, "0");
}

/// Writes a pair of values in each request, as a pipeline or a text, and returns the identifiers that
/// were acknowledged, and those of all requests.
fn spawn_writer(
    environment: &Arc<LabEnvironment>,
    writer: usize,
    is_over: Arc<AtomicBool>,
) -> JoinHandle<(Vec<usize>, Vec<usize>)> {
    let environment = environment.clone();
    tokio::spawn(async move {
        let (mut acknowledged, mut sent) = (Vec::new(), Vec::new());
        let instance = writer % environment.instances.len();
        let mut id = writer * 100_000;
        while !is_over.load(Ordering::Relaxed) {
            let Some(mut raw) = RawCaller::open(&environment, instance).await else {
                sleep(Duration::from_millis(10)).await;
                continue;
            };
            let Ok(caller) = connect_with_config(&config(&environment, instance)).await else {
                continue;
            };
            while !is_over.load(Ordering::Relaxed) {
                id += 1;
                sent.push(id);
                let insert = format!("INSERT INTO records VALUES ({id}, 1)");
                let update = format!("UPDATE records SET n = 2 WHERE id = {id}");
                let is_done = match id % 3 {
                    0 => match raw.pipeline(&[&insert, &update]).await {
                        Some(response) => response.is_ok(),
                        None => break,
                    },
                    1 => caller.client.batch_execute(&format!("{insert}; {update}")).await.is_ok(),
                    _ => {
                        let block = format!("BEGIN; {insert}; {update}; COMMIT");
                        let is_done = caller.client.batch_execute(&block).await.is_ok();
                        if !is_done {
                            // The block may have failed in its middle.
                            let _ = caller.client.batch_execute("ROLLBACK").await;
                        }
                        is_done
                    }
                };
                if is_done {
                    acknowledged.push(id);
                } else if caller.client.is_closed() {
                    break;
                }
            }
        }
        (acknowledged, sent)
    })
}

// Acknowledged pipelines were lost in half with the primary.
async fn acknowledged_writes_are_there_whole_after_cuts(environment: LabEnvironment) {
    create_records(&environment).await;
    let environment = Arc::new(environment);
    let is_over = Arc::new(AtomicBool::new(false));
    let writers: Vec<_> =
        (0..9).map(|writer| spawn_writer(&environment, writer, is_over.clone())).collect();
    for round in 0..4 {
        sleep(Duration::from_millis(700)).await;
        wait_for("a primary", || common::observed_primary(&environment, round % 3).is_some()).await;
        let primary = common::observed_primary(&environment, round % 3).expect("there is one");
        let cut = |is_cut| FaultChange { cut: Some(is_cut), ..FaultChange::default() };
        inject_fault(&environment, &primary, cut(true));
        sleep(Duration::from_millis(1_500)).await;
        inject_fault(&environment, &primary, cut(false));
    }
    sleep(Duration::from_millis(500)).await;
    is_over.store(true, Ordering::Relaxed);
    let (mut acknowledged, mut sent) = (Vec::new(), 0);
    for writer in writers {
        let (done, all) = writer.await.expect("the writer ends");
        acknowledged.extend(done);
        sent += all.len();
    }
    let caller = connect(&environment, 0).await;
    let whole = caller.first_column("SELECT id FROM records WHERE n = 2").await.expect("read");
    let missing: Vec<&usize> =
        acknowledged.iter().filter(|id| !whole.contains(&id.to_string())).collect();
    assert!(missing.is_empty(), "{missing:?} of {} acknowledged", acknowledged.len());
    assert_eq!(count(&caller, "n = 1").await, "0", "no transaction is there in half");
    assert!(acknowledged.len() > 100, "{} of {sent} requests", acknowledged.len());
}
