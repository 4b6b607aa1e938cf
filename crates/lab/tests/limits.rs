//! End-to-end tests of team limits, API keys and documents over several instances.

mod common;

use std::time::Duration;

use common::{TestCaller, config, connect, connect_with_config, sqlstate, wait_for};
use lab::environment::{ENVIRONMENT, LabEnvironment, OPERATOR};
use net::platform::PlatformClient;
use net::store::{DocumentStore, ReplaceOutcome};
use proxy::drain;
use standin::platform::PlatformFault;
use state::credential::KeyHash;
use state::document::Document;
use tokio::time::{Instant, sleep};

lab_tests! {
    admits_no_more_than_rate_and_burst_over_all_instances(3);
    moves_shares_to_the_instance_with_demand(3);
    reissues_the_shares_of_a_lost_instance(3);
    transfers_its_shares_when_it_drains(3);
    goes_on_through_a_store_outage(3);
    rejects_a_revoked_key_on_open_connections(3);
    refuses_keyed_requests_on_an_isolated_instance(3);
    rejects_a_revoked_key_on_an_instance_without_the_store(3);
    never_takes_a_lower_revision_and_settles_races(2);
    gives_no_new_work_to_a_leaving_database(2);
}

/// Sum of a team's shares over all instances.
const FULL_SHARE: u64 = coord::ledger::FULL_SHARE;

/// Stores an edited copy of the current document and returns its revision.
async fn change_document(environment: &LabEnvironment, edit: impl FnOnce(&mut Document)) -> u64 {
    let client =
        PlatformClient::new(format!("http://{}", environment.control_address), STORE_TIMEOUT)
            .expect("a client");
    let store = DocumentStore::new(&client, ENVIRONMENT);
    let current = store.current().await.expect("read").expect("a document");
    let mut document = Document::parse(&current.text).expect("it is valid");
    edit(&mut document);
    let text = toml::to_string(&document).expect("it can be written");
    let revision = current.head.revision;
    let request = format!("change-{revision}");
    let outcome = store.replace(revision, &text, &request, OPERATOR).await.expect("replace");
    assert!(matches!(outcome, ReplaceOutcome::Accepted(_)));
    revision + 1
}

/// Bounds a request to the document store.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Sets rate and burst of the first team and waits until all instances apply them.
async fn set_rate(environment: &LabEnvironment, rate: f64, burst: f64) {
    let revision = change_document(environment, |document| {
        document.teams[0].rate = rate;
        document.teams[0].burst = burst;
    })
    .await;
    wait_for("the document to be in force", || {
        environment.instances.iter().all(|running| running.instance.revision() == revision)
    })
    .await;
}

/// Sends statements back to back and returns how many were admitted.
async fn send_continuously(caller: &TestCaller, time: Duration) -> u64 {
    let deadline = Instant::now() + time;
    let mut admitted = 0;
    while Instant::now() < deadline {
        match caller.client.simple_query("SELECT 1").await {
            Ok(_) => admitted += 1,
            Err(error) => {
                assert_eq!(sqlstate(&error), "53400", "{error:?}");
                sleep(Duration::from_millis(2)).await;
            }
        }
    }
    admitted
}

/// Returns the team's share on each instance.
fn held_shares(environment: &LabEnvironment, team: usize) -> Vec<u64> {
    let name = environment.options.profile.teams[team].name;
    let share = |running: &proxy::instance::RunningInstance| {
        let catalog = running.instance.catalog();
        let team_id = catalog.team_id(name).expect("the team is declared");
        let shares = running.instance.ledger.shares(&catalog);
        shares.iter().find(|(team, _)| *team == team_id).map_or(0, |(_, share)| *share)
    };
    environment.instances.iter().map(share).collect()
}

async fn admits_no_more_than_rate_and_burst_over_all_instances(environment: LabEnvironment) {
    let callers = [
        connect(&environment, 0).await,
        connect(&environment, 1).await,
        connect(&environment, 2).await,
    ];
    let (rate, burst) = (100.0, 50.0);
    set_rate(&environment, rate, burst).await;
    let start = Instant::now();
    let time = Duration::from_secs(3);
    let admitted = tokio::join!(
        send_continuously(&callers[0], time),
        send_continuously(&callers[1], time),
        send_continuously(&callers[2], time)
    );
    let window = start.elapsed().as_secs_f64();
    let sum = (admitted.0 + admitted.1 + admitted.2) as f64;
    assert!(sum <= rate * window + burst, "{sum} admitted in {window} s");
    assert!(sum >= 0.8 * rate * window, "{sum} admitted in {window} s");
    assert!(held_shares(&environment, 0).iter().sum::<u64>() <= FULL_SHARE);
}

async fn moves_shares_to_the_instance_with_demand(environment: LabEnvironment) {
    set_rate(&environment, 200.0, 200.0).await;
    let mut refused = 0;
    let mut sent = 0;
    for round in 0..4 {
        let caller = connect(&environment, round % 3).await;
        for _ in 0..100 {
            // Half the rate, so the team never exceeds it.
            sleep(Duration::from_millis(10)).await;
            sent += 1;
            refused += u32::from(caller.client.simple_query("SELECT 1").await.is_err());
        }
    }
    assert!(refused * 100 <= sent, "{refused} of {sent} refused");
}

async fn reissues_the_shares_of_a_lost_instance(mut environment: LabEnvironment) {
    let caller = connect(&environment, 1).await;
    let lost_caller = connect(&environment, 0).await;
    for _ in 0..50 {
        lost_caller.client.simple_query("SELECT 1").await.expect("inside the rate");
        caller.client.simple_query("SELECT 1").await.expect("inside the rate");
    }
    wait_for("shares on both instances", || {
        held_shares(&environment, 0)[..2].iter().all(|share| *share > 0)
    })
    .await;
    environment.instances.remove(0);
    let peer_relay = environment.peer_relays.remove(0);
    drop(peer_relay);
    wait_for("the full share to be issued again", || {
        held_shares(&environment, 0).iter().sum::<u64>() == FULL_SHARE
    })
    .await;
}

async fn transfers_its_shares_when_it_drains(environment: LabEnvironment) {
    let caller = connect(&environment, 0).await;
    for _ in 0..50 {
        caller.client.simple_query("SELECT 1").await.expect("inside the rate");
    }
    drop(caller);
    wait_for("a share", || held_shares(&environment, 0)[0] > 0).await;
    let instance = environment.instances[0].instance.clone();
    let epoch = environment.instances[1].instance.ledger.epoch();
    drain::drain(&instance).await;
    assert_eq!(held_shares(&environment, 0)[0], 0);
    wait_for("the other instances to hold the full share", || {
        held_shares(&environment, 0)[1..].iter().sum::<u64>() == FULL_SHARE
    })
    .await;
    assert_eq!(
        environment.instances[1].instance.ledger.epoch(),
        epoch,
        "no reconciliation was needed"
    );
}

async fn goes_on_through_a_store_outage(environment: LabEnvironment) {
    let callers = [connect(&environment, 0).await, connect(&environment, 1).await];
    let down = PlatformFault { down: true, ..PlatformFault::default() };
    environment.services.platform.set_fault(down);
    let deadline = Instant::now() + Duration::from_secs(6);
    while Instant::now() < deadline {
        for caller in &callers {
            caller.client.simple_query("SELECT 1").await.expect("statements are served");
        }
        sleep(Duration::from_millis(20)).await;
    }
    environment.services.platform.set_fault(PlatformFault::default());
}

async fn revoke_first_key(environment: &LabEnvironment) {
    change_document(environment, |document| document.teams[0].keys.clear()).await;
}

/// Sends statements until one is rejected; returns the time and the SQLSTATE.
async fn time_until_rejected(caller: &TestCaller) -> (Duration, String) {
    let start = Instant::now();
    loop {
        if let Err(error) = caller.client.simple_query("SELECT 1").await {
            return (start.elapsed(), sqlstate(&error));
        }
        assert!(start.elapsed() < Duration::from_secs(10), "the key is still accepted");
        sleep(Duration::from_millis(10)).await;
    }
}

async fn rejects_a_revoked_key_on_open_connections(environment: LabEnvironment) {
    let first = connect(&environment, 0).await;
    let third = connect(&environment, 2).await;
    revoke_first_key(&environment).await;
    let revoked_at = Instant::now();
    for caller in [&first, &third] {
        let (time, state) = time_until_rejected(caller).await;
        assert!(time < Duration::from_secs(3), "{time:?}");
        assert_eq!(state, "28000");
    }
    // The instance between them may learn of it later than they do, within the same bound.
    let error = loop {
        if let Some(error) = connect_with_config(&config(&environment, 1)).await.err() {
            break error;
        }
        assert!(revoked_at.elapsed() < Duration::from_secs(3), "accepted after 3 s");
        sleep(Duration::from_millis(20)).await;
    };
    assert!(revoked_at.elapsed() < Duration::from_secs(3), "{:?}", revoked_at.elapsed());
    assert_eq!(sqlstate(&error), "28P01");
}

async fn rejects_a_revoked_key_on_an_instance_without_the_store(environment: LabEnvironment) {
    let caller = connect(&environment, 0).await;
    environment.platform_relays[0].set_blocked(true);
    // Longer than `VALIDATION_TTL` of 2.5 s, so that only peers can have validated the document.
    sleep(Duration::from_millis(3_500)).await;
    caller.client.simple_query("SELECT 1").await.expect("peers validate the document");
    revoke_first_key(&environment).await;
    let (time, state) = time_until_rejected(&caller).await;
    assert!(time < Duration::from_secs(3), "{time:?}");
    assert_eq!(state, "28000");
}

async fn refuses_keyed_requests_on_an_isolated_instance(environment: LabEnvironment) {
    let caller = connect(&environment, 0).await;
    let other = connect(&environment, 1).await;
    environment.platform_relays[0].set_blocked(true);
    environment.peer_relays.iter().for_each(|relay| relay.set_blocked(true));
    revoke_first_key(&environment).await;
    let (time, state) = time_until_rejected(&caller).await;
    assert!(time < Duration::from_secs(3), "{time:?}");
    assert_eq!(state, "57P03");
    let (_, state) = time_until_rejected(&other).await;
    assert_eq!(state, "28000", "an instance with the store applies the new document");
}

async fn never_takes_a_lower_revision_and_settles_races(environment: LabEnvironment) {
    let client =
        PlatformClient::new(format!("http://{}", environment.control_address), STORE_TIMEOUT)
            .expect("a client");
    let store = DocumentStore::new(&client, ENVIRONMENT);
    let current = store.current().await.expect("read").expect("a document");
    let one = format!("{}\n# one\n", current.text);
    let two = format!("{}\n# two\n", current.text);
    let (first, second) = tokio::join!(
        store.replace(1, &one, "request-one", "ann"),
        store.replace(1, &two, "request-two", "ben")
    );
    let outcomes = [first.expect("the store responds"), second.expect("the store responds")];
    let accepted = outcomes.iter().filter(|outcome| matches!(outcome, ReplaceOutcome::Accepted(_)));
    assert_eq!(accepted.count(), 1, "{outcomes:?}");
    let lose_responses = PlatformFault { lose_answers: 2, ..PlatformFault::default() };
    environment.services.platform.set_fault(lose_responses);
    let first_attempt = store.replace(2, &two, "request-three", "ann").await;
    environment.services.platform.set_fault(PlatformFault::default());
    let repeated =
        store.replace(2, &two, "request-three", "ann").await.expect("the store responds");
    let ReplaceOutcome::Accepted(head) = repeated else {
        panic!(
            "a repeated request did not return its own revision; first attempt: {first_attempt:?}"
        );
    };
    assert_eq!(head.revision, 3);
    wait_for("the document to be in force", || {
        environment.instances.iter().all(|running| running.instance.revision() == 3)
    })
    .await;
    let stored = environment.instances[0].instance.document().expect("a document");
    let mut lower_revision = (*stored).clone();
    lower_revision.head.revision = 2;
    let document = Document::parse(&lower_revision.text).expect("valid");
    assert!(!environment.instances[0].instance.apply_document(lower_revision, &document));
    assert_eq!(environment.instances[0].instance.revision(), 3);
}

async fn gives_no_new_work_to_a_leaving_database(environment: LabEnvironment) {
    let mut caller = connect(&environment, 0).await;
    caller.client.batch_execute("CREATE TABLE visits (id int)").await.expect("create");
    let other = connect(&environment, 1).await;
    let transaction = caller.client.transaction().await.expect("begin");
    change_document(&environment, |document| document.databases[0].leaving = true).await;
    let start = Instant::now();
    loop {
        if let Err(error) = other.client.simple_query("SELECT 1").await {
            assert_eq!(sqlstate(&error), "57P03");
            break;
        }
        assert!(start.elapsed() < Duration::from_secs(2), "new statements are still accepted");
        sleep(Duration::from_millis(10)).await;
    }
    transaction
        .execute("INSERT INTO visits VALUES (1)", &[])
        .await
        .expect("the open transaction continues");
    transaction.commit().await.expect("commit");
    // Makes the database available again and adds a key in the same revision.
    change_document(&environment, |document| {
        document.databases[0].leaving = false;
        document.teams[0].keys.push(KeyHash::generate("second key"));
    })
    .await;
    sleep(Duration::from_millis(1_000)).await;
    let mut granted = config(&environment, 1);
    granted.password("second key");
    let granted = connect_with_config(&granted).await.expect("the granted key works");
    assert_eq!(granted.first_column("SELECT count(*) FROM visits").await.expect("read"), ["1"]);
}
