//! Shared limits, keys and documents in force on several instances.

mod common;

use std::time::Duration;

use common::{TestCaller, config, connect, connect_with, sqlstate, wait_for};
use lab::environment::{ENVIRONMENT, LabEnvironment, OPERATOR};
use net::platform::PlatformClient;
use net::store::{DocumentStore, ReplaceOutcome};
use proxy::drain;
use standin::platform::PlatformFault;
use state::credential::KeyHash;
use state::document::Document;
use tokio::time::{Instant, sleep};

lab_cases! {
    admits_no_more_than_rate_and_burst_over_all_instances(3);
    follows_callers_that_move_to_one_instance(3);
    issues_again_what_a_lost_instance_held(3);
    hands_back_its_shares_when_it_drains(3);
    goes_on_through_a_store_outage(3);
    cuts_a_withdrawn_key_on_open_connections(3);
    stops_keyed_requests_on_an_instance_that_lost_everybody(3);
    cuts_a_withdrawn_key_on_an_instance_that_lost_the_store(3);
    never_takes_a_lower_revision_and_settles_races(2);
    gives_no_new_work_to_a_leaving_database(2);
}

const WHOLE: u64 = coord::ledger::FULL_SHARE;

/// Changes the document in force.
async fn change(environment: &LabEnvironment, edit: impl FnOnce(&mut Document)) -> u64 {
    let client = PlatformClient::new(format!("http://{}", environment.control_address), PATIENCE)
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

const PATIENCE: Duration = Duration::from_secs(5);

/// Sets rate and burst of the first team and waits until they are in force everywhere.
async fn set_rate(environment: &LabEnvironment, rate: f64, burst: f64) {
    let revision = change(environment, |document| {
        document.teams[0].rate = rate;
        document.teams[0].burst = burst;
    })
    .await;
    wait_for("the document to be in force", || {
        environment.instances.iter().all(|running| running.instance.revision() == revision)
    })
    .await;
}

/// Sends statements without a pause and counts those admitted.
async fn flood(caller: &TestCaller, time: Duration) -> u64 {
    let end = Instant::now() + time;
    let mut admitted = 0;
    while Instant::now() < end {
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

fn held(environment: &LabEnvironment, team: usize) -> Vec<u64> {
    let name = environment.options.profile.teams[team].name;
    let share = |running: &proxy::instance::RunningInstance| {
        let catalog = running.instance.catalog();
        let key = catalog.team_id(name).expect("the team is declared");
        let shares = running.instance.book.shares(&catalog);
        shares.iter().find(|(team, _)| *team == key).map_or(0, |(_, share)| *share)
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
    let begin = Instant::now();
    let time = Duration::from_secs(3);
    let admitted =
        tokio::join!(flood(&callers[0], time), flood(&callers[1], time), flood(&callers[2], time));
    let window = begin.elapsed().as_secs_f64();
    let sum = (admitted.0 + admitted.1 + admitted.2) as f64;
    assert!(sum <= rate * window + burst, "{sum} admitted in {window} s");
    assert!(sum >= 0.8 * rate * window, "{sum} admitted in {window} s");
    assert!(held(&environment, 0).iter().sum::<u64>() <= WHOLE);
}

async fn follows_callers_that_move_to_one_instance(environment: LabEnvironment) {
    set_rate(&environment, 200.0, 200.0).await;
    let mut refused = 0;
    let mut sent = 0;
    for round in 0..4 {
        let caller = connect(&environment, round % 3).await;
        for _ in 0..100 {
            // Half the rate, so the team is always inside it.
            sleep(Duration::from_millis(10)).await;
            sent += 1;
            refused += u32::from(caller.client.simple_query("SELECT 1").await.is_err());
        }
    }
    assert!(refused * 100 <= sent, "{refused} of {sent} refused");
}

async fn issues_again_what_a_lost_instance_held(mut environment: LabEnvironment) {
    let caller = connect(&environment, 1).await;
    let lost = connect(&environment, 0).await;
    for _ in 0..50 {
        lost.client.simple_query("SELECT 1").await.expect("inside the rate");
        caller.client.simple_query("SELECT 1").await.expect("inside the rate");
    }
    wait_for("two holders", || held(&environment, 0)[..2].iter().all(|share| *share > 0)).await;
    environment.instances.remove(0);
    let peers = environment.peer_relays.remove(0);
    drop(peers);
    wait_for("the whole to be held again", || held(&environment, 0).iter().sum::<u64>() == WHOLE)
        .await;
}

async fn hands_back_its_shares_when_it_drains(environment: LabEnvironment) {
    let caller = connect(&environment, 0).await;
    for _ in 0..50 {
        caller.client.simple_query("SELECT 1").await.expect("inside the rate");
    }
    drop(caller);
    wait_for("a share", || held(&environment, 0)[0] > 0).await;
    let instance = environment.instances[0].instance.clone();
    let epoch = environment.instances[1].instance.book.epoch();
    drain::drain(&instance).await;
    assert_eq!(held(&environment, 0)[0], 0);
    wait_for("the whole to be held by the others", || {
        held(&environment, 0)[1..].iter().sum::<u64>() == WHOLE
    })
    .await;
    assert_eq!(environment.instances[1].instance.book.epoch(), epoch, "no census was needed");
}

async fn goes_on_through_a_store_outage(environment: LabEnvironment) {
    let callers = [connect(&environment, 0).await, connect(&environment, 1).await];
    let down = PlatformFault { down: true, ..PlatformFault::default() };
    environment.hub.platform.set_fault(down);
    let end = Instant::now() + Duration::from_secs(6);
    while Instant::now() < end {
        for caller in &callers {
            caller.client.simple_query("SELECT 1").await.expect("service goes on");
        }
        sleep(Duration::from_millis(20)).await;
    }
    environment.hub.platform.set_fault(PlatformFault::default());
}

async fn withdraw_first_key(environment: &LabEnvironment) {
    change(environment, |document| document.teams[0].keys.clear()).await;
}

/// Waits until the caller is cut and returns how long it took.
async fn time_until_cut(caller: &TestCaller) -> (Duration, String) {
    let begin = Instant::now();
    loop {
        if let Err(error) = caller.client.simple_query("SELECT 1").await {
            return (begin.elapsed(), sqlstate(&error));
        }
        assert!(begin.elapsed() < Duration::from_secs(10), "the key works on");
        sleep(Duration::from_millis(10)).await;
    }
}

async fn cuts_a_withdrawn_key_on_open_connections(environment: LabEnvironment) {
    let first = connect(&environment, 0).await;
    let third = connect(&environment, 2).await;
    withdraw_first_key(&environment).await;
    for caller in [&first, &third] {
        let (time, state) = time_until_cut(caller).await;
        assert!(time < Duration::from_secs(3), "{time:?}");
        assert_eq!(state, "28000");
    }
    let error = connect_with(&config(&environment, 1)).await.err().expect("refused");
    assert_eq!(sqlstate(&error), "28P01");
}

async fn cuts_a_withdrawn_key_on_an_instance_that_lost_the_store(environment: LabEnvironment) {
    let caller = connect(&environment, 0).await;
    environment.platform_relays[0].set_blocked(true);
    sleep(Duration::from_millis(3_500)).await;
    caller.client.simple_query("SELECT 1").await.expect("peers prove the document");
    withdraw_first_key(&environment).await;
    let (time, state) = time_until_cut(&caller).await;
    assert!(time < Duration::from_secs(3), "{time:?}");
    assert_eq!(state, "28000");
}

async fn stops_keyed_requests_on_an_instance_that_lost_everybody(environment: LabEnvironment) {
    let caller = connect(&environment, 0).await;
    let other = connect(&environment, 1).await;
    environment.platform_relays[0].set_blocked(true);
    environment.peer_relays.iter().for_each(|relay| relay.set_blocked(true));
    withdraw_first_key(&environment).await;
    let (time, state) = time_until_cut(&caller).await;
    assert!(time < Duration::from_secs(3), "{time:?}");
    assert_eq!(state, "57P03");
    let (_, state) = time_until_cut(&other).await;
    assert_eq!(state, "28000", "an instance with the store goes on and learns");
}

async fn never_takes_a_lower_revision_and_settles_races(environment: LabEnvironment) {
    let client = PlatformClient::new(format!("http://{}", environment.control_address), PATIENCE)
        .expect("a client");
    let store = DocumentStore::new(&client, ENVIRONMENT);
    let current = store.current().await.expect("read").expect("a document");
    let one = format!("{}\n# one\n", current.text);
    let two = format!("{}\n# two\n", current.text);
    let (first, second) = tokio::join!(
        store.replace(1, &one, "request-one", "ann"),
        store.replace(1, &two, "request-two", "ben")
    );
    let outcomes = [first.expect("answered"), second.expect("answered")];
    let accepted = outcomes.iter().filter(|outcome| matches!(outcome, ReplaceOutcome::Accepted(_)));
    assert_eq!(accepted.count(), 1, "{outcomes:?}");
    let lose = PlatformFault { lose_answers: 2, ..PlatformFault::default() };
    environment.hub.platform.set_fault(lose);
    let lost = store.replace(2, &two, "request-three", "ann").await;
    environment.hub.platform.set_fault(PlatformFault::default());
    let again = store.replace(2, &two, "request-three", "ann").await.expect("answered");
    let ReplaceOutcome::Accepted(head) = again else {
        panic!("a repeated request is answered with its own revision, first {lost:?}");
    };
    assert_eq!(head.revision, 3);
    wait_for("the document to be in force", || {
        environment.instances.iter().all(|running| running.instance.revision() == 3)
    })
    .await;
    let stored = environment.instances[0].instance.document().expect("a document");
    let mut lower = (*stored).clone();
    lower.head.revision = 2;
    let document = Document::parse(&lower.text).expect("valid");
    assert!(!environment.instances[0].instance.put_in_force(lower, &document));
    assert_eq!(environment.instances[0].instance.revision(), 3);
}

async fn gives_no_new_work_to_a_leaving_database(environment: LabEnvironment) {
    let mut caller = connect(&environment, 0).await;
    caller.client.batch_execute("CREATE TABLE visits (id int)").await.expect("create");
    let other = connect(&environment, 1).await;
    let transaction = caller.client.transaction().await.expect("begin");
    change(&environment, |document| document.databases[0].leaving = true).await;
    let begin = Instant::now();
    loop {
        if let Err(error) = other.client.simple_query("SELECT 1").await {
            assert_eq!(sqlstate(&error), "57P03");
            break;
        }
        assert!(begin.elapsed() < Duration::from_secs(2), "new work goes on");
        sleep(Duration::from_millis(10)).await;
    }
    transaction.execute("INSERT INTO visits VALUES (1)", &[]).await.expect("open work goes on");
    transaction.commit().await.expect("commit");
    // A new key joins while another document is in force.
    change(&environment, |document| {
        document.databases[0].leaving = false;
        document.teams[0].keys.push(KeyHash::generate("second key"));
    })
    .await;
    sleep(Duration::from_millis(1_000)).await;
    let mut granted = config(&environment, 1);
    granted.password("second key");
    let granted = connect_with(&granted).await.expect("the granted key works");
    assert_eq!(granted.values("SELECT count(*) FROM visits").await.expect("read"), ["1"]);
}
