//! Cases of the review. Each returns what broke the rule, one line each.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::consumer::{Consumer, Reply};
use crate::fleet::{SIGTERM, await_ready};
use crate::member::ServiceSettings;
use crate::record::SharedRecorder;
use crate::world::World;

type CaseResult = Result<Vec<String>, String>;

const GRACE: Duration = Duration::from_secs(6);
const STABLE_WINDOW_MS: u128 = 4_000;
const CONFIG_APPLY_MS: u128 = 3_000;
const MAX_SKEW_MS: u128 = 12_000;
const DRAIN_MS: u128 = 7_000;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// MIXED: a consumer with many prepared names repeats a transaction after its primary was replaced.
pub fn prepared_names(trouble: bool, record: &SharedRecorder) -> CaseResult {
    let world = World::start(vec![ServiceSettings::new("boekingen")], 3, record, None)?;
    thread::sleep(seconds(1.0));
    let open = |name: &str, daemon: usize| {
        Consumer::open(name, world.address(daemon), "boekingen-primary", "key-1", record)
    };
    let mut wrong = Vec::new();
    let mut ask = |consumer: &mut Consumer, text: &str| -> Reply {
        let id = consumer.new_id();
        let reply = consumer.ask_as(&id, text);
        let is_work = ["READ", "WRITE", "EXECUTE", "COMMIT"].iter().any(|word| text.starts_with(word));
        // The digest of a member ends with the identifier of the statement.
        let is_own = |digest: &String| digest.ends_with(&format!(".{id}"));
        if is_work && reply.is_success() && !reply.digest.as_ref().is_some_and(is_own) {
            wrong.push(format!(
                "MIXED: {text} {id} got a success with rows {:?} and digest {:?}, which is not a member's for it",
                reply.rows, reply.digest
            ));
        }
        reply
    };
    let mut first = open("a", 0)?;
    for number in 0..248 {
        ask(&mut first, &format!("PREPARE p{number} WRITE shape{number}"));
    }
    if !ask(&mut first, "EXECUTE p0 zaal1 vrij").is_success() {
        return Err("the first statement failed".to_owned());
    }
    // A transaction of twelve statements, which is repeated in full after a promise.
    let mut is_done = false;
    for attempt in 0..4 {
        let mut texts = vec!["BEGIN".to_owned(), "EXECUTE p1 zaal2 volzet".to_owned()];
        texts.extend((0..8).map(|number| format!("PREPARE q{number} WRITE vorm{number}")));
        texts.extend(["EXECUTE q0 zaal3 volzet".to_owned(), "COMMIT".to_owned()]);
        let mut has_failed = false;
        for (step, text) in texts.iter().enumerate() {
            if step == 10 && attempt == 0 {
                if trouble {
                    world.services[0].drain_primary();
                }
                thread::sleep(seconds(2.0));
            }
            if ask(&mut first, text).error.is_some() {
                ask(&mut first, "ROLLBACK");
                has_failed = true;
                break;
            }
        }
        is_done = !has_failed;
        if is_done {
            break;
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.line(format!("the transaction succeeded: {is_done}"));
    // Other consumers of the tenant, without names of their own.
    for round in 0..3 {
        let mut second = open(&format!("b{round}"), 0)?;
        ask(&mut second, "READ zaal1");
        ask(&mut second, &format!("WRITE zaal4 b{round}"));
        ask(&mut second, "READ zaal4");
        second.leave();
    }
    first.leave();
    Ok(wrong)
}

/// LOST: a primary of a service with `sync_replicas` 1 is replaced; the member that is to take over
/// receives nothing for a while.
pub fn synchronous_promotion(trouble: bool, record: &SharedRecorder) -> CaseResult {
    let settings = ServiceSettings { sync_replicas: 1, ..ServiceSettings::new("boekingen") };
    let world = World::start(
        vec![settings],
        3,
        record,
        trouble.then(|| -> crate::world::PromotionHook {
            Box::new(|service, id| {
                let (service, id) = (service.clone(), id.to_owned());
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(20));
                    service.deafen(&id, seconds(6.0));
                });
            })
        }),
    )?;
    let stop = AtomicBool::new(false);
    let acknowledged = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for number in 0..8 {
            let (world, stop, acknowledged) = (&world, &stop, &acknowledged);
            scope.spawn(move || {
                let name = format!("c{number}");
                let mut session = None;
                while !stop.load(Ordering::Relaxed) {
                    let address = world.address(number % 3);
                    let open = || Consumer::open(&name, address, "boekingen-primary", "key-1", &world.record).ok();
                    let Some(consumer) = session.as_mut() else {
                        session = open();
                        continue;
                    };
                    let id = format!("{}r{}", consumer.new_id(), world.record.now_ms());
                    let reply = consumer.ask_as(&id, &format!("WRITE hal{number} v{id}"));
                    if reply.is_success() {
                        acknowledged.lock().unwrap().push(id);
                    }
                    if reply.is_cut {
                        session = None;
                    }
                    thread::sleep(Duration::from_millis(60));
                }
            });
        }
        thread::sleep(seconds(3.0));
        world.services[0].drain_primary();
        let promoted = world.wait_for("a promotion", seconds(6.0), |world| {
            world.promotions.lock().unwrap().iter().any(|call| call.status == 200)
        });
        thread::sleep(seconds(2.0));
        stop.store(true, Ordering::Relaxed);
        promoted
    })?;
    let service = &world.services[0];
    let acknowledged = acknowledged.into_inner().unwrap();
    record.line(format!("{} writes were acknowledged", acknowledged.len()));
    let missing = acknowledged.into_iter().filter(|id| !service.has_commit(id));
    Ok(missing
        .map(|id| format!("LOST: commit {id} was acknowledged and is not in the log of the promoted member"))
        .collect())
}

/// ONE: the lease of the duty changes hands, then the store comes back from a copy that is older.
pub fn store_drill_lease(trouble: bool, record: &SharedRecorder) -> CaseResult {
    let services = vec![ServiceSettings::new("boekingen"), ServiceSettings::new("zalen")];
    let mut world = World::start(services, 3, record, None)?;
    world.wait_for("a holder of the lease", seconds(5.0), |world| world.lease().is_some())?;
    thread::sleep(seconds(1.0));
    let (first, _) = world.lease().ok_or("no lease")?;
    let index = world.index_of(&first).ok_or("the holder is unknown")?;
    let accepted = |world: &World| {
        world.promotions.lock().unwrap().iter().filter(|call| call.status == 200).count()
    };
    record.line("store: a copy is taken".to_owned());
    let (copy, copied_at) = (world.store.copy(), Instant::now());
    // Planned: the holder is stopped and started again, and a primary is replaced meanwhile.
    world.daemons[index].signal(SIGTERM);
    let taken_over = |world: &World| world.lease().is_some_and(|(holder, _)| holder != first);
    world.wait_for("another holder of the lease", seconds(4.0), taken_over)?;
    world.services[0].drain_primary();
    world.wait_for("the first promotion", seconds(5.0), |world| accepted(world) == 1)?;
    world.daemons[index].await_end(GRACE);
    thread::sleep(seconds(0.3));
    world.daemons[index].start().map_err(|error| error.to_string())?;
    if !await_ready(&world.daemons, seconds(6.0)) {
        return Err("the restarted daemon did not become ready".to_owned());
    }
    thread::sleep(seconds(0.5));
    if trouble {
        world.store.go_away();
        thread::sleep(seconds(1.0));
        record.line(format!("store: the copy is {} ms old", copied_at.elapsed().as_millis()));
        world.store.come_back(copy);
        // What the operator and the members wrote is written again.
        world.publish(1, &["key-1", "key-2"]);
        world.services.iter().for_each(|service| service.report_all());
    }
    thread::sleep(seconds(6.0));
    // Planned: the next member of the service is replaced.
    world.services[0].drain_primary();
    world.wait_for("the second promotion", seconds(8.0), |world| accepted(world) == 2)?;
    let promotions = world.promotions.lock().unwrap().clone();
    let promotions: Vec<_> = promotions.into_iter().filter(|call| call.status == 200).collect();
    let mut violations = Vec::new();
    for (index, call) in promotions.iter().enumerate() {
        for earlier in &promotions[..index] {
            if earlier.token == call.token && earlier.holder != call.holder && earlier.service == call.service {
                violations.push(format!(
                    "ONE: {} and {} both promoted members of {} with number {}",
                    earlier.holder, call.holder, call.service, call.token
                ));
            }
        }
    }
    Ok(violations)
}

/// PINNED: a consumer sets a value in a transaction and leaves in the middle of it; the next consumer
/// of the tenant has set none.
pub fn session_values(trouble: bool, record: &SharedRecorder) -> CaseResult {
    let world = World::start(vec![ServiceSettings::new("boekingen")], 3, record, None)?;
    thread::sleep(seconds(1.0));
    let open = |name: &str, daemon: usize| {
        Consumer::open(name, world.address(daemon), "boekingen-primary", "key-1", record)
    };
    let mut resting = Vec::new();
    for round in 0..5 {
        let mut first = open(&format!("a{round}"), round % 3)?;
        first.ask("BEGIN");
        first.ask("READ zaal1");
        first.ask(&format!("SET taal a{round}"));
        first.ask("READ zaal2");
        if trouble {
            first.leave();
        } else {
            resting.push(first);
        }
        thread::sleep(seconds(0.3));
        let mut second = open(&format!("b{round}"), round % 3)?;
        second.ask("READ zaal3");
        second.ask("WRITE zaal3 volzet");
        second.leave();
        // The others stay in their transactions and go on with them.
        for consumer in &mut resting {
            consumer.ask("READ zaal2");
        }
    }
    let violations = world.services[0].runs().into_iter().filter(|run| {
        // Consumers named b have set nothing.
        run.id.starts_with('b') && !run.values.is_empty()
    });
    Ok(violations
        .map(|run| {
            format!(
                "PINNED: statement {} ({}) ran with the session values {:?}; its consumer has set none",
                run.id, run.text, run.values
            )
        })
        .collect())
}

/// CONFIG: a manifest is published, the store comes back from an older copy, and the next manifest takes
/// a key away.
pub fn store_drill_key(trouble: bool, record: &SharedRecorder) -> CaseResult {
    let services = ["boekingen", "zalen", "muziek"].map(ServiceSettings::new);
    let world = World::start(services.to_vec(), 3, record, None)?;
    thread::sleep(seconds(5.0));
    let stop = AtomicBool::new(false);
    let requests = Mutex::new(Vec::new());
    let (acked_at, stable_at) = thread::scope(|scope| {
        for number in 0..3 {
            let (world, stop, requests) = (&world, &stop, &requests);
            scope.spawn(move || {
                let name = format!("k{number}");
                let open = || {
                    Consumer::open(&name, world.address(number), "boekingen-primary", "key-2", &world.record).ok()
                };
                let mut session = open();
                while !stop.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(250));
                    let Some(consumer) = session.as_mut() else {
                        session = open();
                        continue;
                    };
                    let (id, at) = (consumer.new_id(), world.record.now_ms());
                    let reply = consumer.ask_as(&id, "READ zaal1");
                    if reply.is_cut {
                        session = None;
                    }
                    requests.lock().unwrap().push((id, at, reply.error));
                }
            });
        }
        let copy = world.store.copy();
        record.line("store: a copy is taken".to_owned());
        thread::sleep(seconds(4.0));
        world.publish(2, &["key-1", "key-2"]);
        thread::sleep(seconds(1.0));
        if trouble {
            world.store.go_away();
            thread::sleep(seconds(1.0));
            world.store.come_back(copy);
            // What the operator and the members wrote is written again.
            world.publish(2, &["key-1", "key-2"]);
            world.services.iter().for_each(|service| service.report_all());
        }
        let stable_at = record.now_ms();
        thread::sleep(seconds(1.0));
        let acked_at = world.publish(3, &["key-1"]).unwrap_or_default();
        thread::sleep(seconds(25.0));
        stop.store(true, Ordering::Relaxed);
        (acked_at, stable_at)
    });
    // Counted only once the store has been stable for the window, and past all that may stretch the
    // bound.
    let counted_from = (acked_at + CONFIG_APPLY_MS + MAX_SKEW_MS).max(stable_at + STABLE_WINDOW_MS);
    let runs = world.services[0].runs();
    let requests = requests.into_inner().unwrap();
    let late = requests.iter().filter(|(id, at, _)| *at > counted_from && runs.iter().any(|run| run.id == *id));
    Ok(late
        .map(|(id, at, _)| {
            let after = at - acked_at;
            format!("CONFIG: request {id}, sent {after} ms after the ack of version 3, ran with a dropped key")
        })
        .collect())
}

/// CONFIG: the store comes back from a copy that is older than some manifests, and the next one adds a key.
/// Every daemon is probed with that key.
pub fn store_drill_added_key(trouble: bool, record: &SharedRecorder) -> CaseResult {
    let services = ["boekingen", "zalen", "muziek"].map(ServiceSettings::new);
    let world = World::start(services.to_vec(), 6, record, None)?;
    thread::sleep(seconds(5.0));
    let copy = world.store.copy();
    record.line("store: a copy is taken".to_owned());
    for version in 2..42 {
        world.publish(version, &["key-1", "key-2"]);
        thread::sleep(seconds(0.06));
    }
    if trouble {
        world.store.go_away();
        thread::sleep(seconds(0.8));
        world.store.come_back(copy);
        // What the operator and the members wrote is written again.
        world.publish(41, &["key-1", "key-2"]);
        world.services.iter().for_each(|service| service.report_all());
    }
    let stable_at = record.now_ms();
    thread::sleep(seconds(1.5));
    let acked_at = world.publish(43, &["key-1", "key-2", "key-3"]).unwrap_or_default();
    let counted_from = (acked_at + CONFIG_APPLY_MS).max(stable_at + STABLE_WINDOW_MS);
    let mut violations = Vec::new();
    while record.now_ms() < counted_from + 6_000 {
        thread::sleep(seconds(0.25));
        for (index, daemon) in world.daemons.iter().enumerate() {
            let at = record.now_ms();
            let name = format!("p{index}");
            let opened = Consumer::open(&name, daemon.address(), "boekingen-primary", "key-3", record);
            match opened {
                Ok(consumer) => consumer.leave(),
                Err(error) if at > counted_from => {
                    let after = at - acked_at;
                    violations.push(format!(
                        "CONFIG: {}, {after} ms after the ack of version 43, with an added key: {error}",
                        daemon.name
                    ));
                }
                Err(_) => {}
            }
        }
    }
    Ok(violations)
}

/// LOST: a daemon is stopped while consumers are in transactions.
pub fn stop_in_transaction(trouble: bool, record: &SharedRecorder) -> CaseResult {
    let services = ["boekingen", "zalen", "muziek"].map(|name| ServiceSettings {
        work: Duration::from_millis(30),
        ..ServiceSettings::new(name)
    });
    let mut world = World::start(services.to_vec(), 3, record, None)?;
    thread::sleep(seconds(2.0));
    let cut = Mutex::new(Vec::new());
    let (address, begun_at) = (world.address(0), Instant::now());
    let terminated_at = thread::scope(|scope| {
        for number in 0..45u32 {
            let (record, cut) = (record, &cut);
            let database = format!("{}-primary", ["boekingen", "zalen", "muziek"][number as usize % 3]);
            scope.spawn(move || {
                // The consumers begin one after the other.
                thread::sleep(begun_at + number * Duration::from_millis(13) - Instant::now());
                let name = format!("t{number}");
                let Ok(mut consumer) = Consumer::open(&name, address, &database, "key-1", record) else {
                    return;
                };
                // A transaction of twelve statements with pauses between them.
                for step in 0..12 {
                    let text = match step {
                        0 => "BEGIN".to_owned(),
                        11 => "COMMIT".to_owned(),
                        step if step % 2 == 0 => format!("WRITE zaal{number} v{step}"),
                        _ => format!("READ zaal{number}"),
                    };
                    let (id, at) = (consumer.new_id(), record.now_ms());
                    let reply = consumer.ask_as(&id, &text);
                    if reply.is_cut {
                        cut.lock().unwrap().push((id, at, text));
                    }
                    if reply.is_cut || reply.error.is_some() {
                        return;
                    }
                    thread::sleep(Duration::from_millis(500));
                }
                consumer.leave();
            });
        }
        thread::sleep(seconds(1.0));
        let terminated_at = record.now_ms();
        if trouble {
            world.daemons[0].signal(SIGTERM);
            world.daemons[0].await_end(GRACE);
            let _ = world.daemons[0].start();
        }
        terminated_at
    });
    thread::sleep(seconds(0.5));
    let runs: Vec<_> = world.services.iter().flat_map(|service| service.runs()).collect();
    let cut = cut.into_inner().unwrap();
    // Requests that were sent no later than 3 s after the SIGTERM may be excused.
    let counted = cut.iter().filter(|(id, at, _)| {
        *at > terminated_at + 3_000 && runs.iter().any(|run| run.id == *id)
    });
    Ok(counted
        .map(|(id, at, text)| {
            let after = at - terminated_at;
            format!("LOST: {text} {id}, sent {after} ms after the SIGTERM, was passed on and cut without an answer")
        })
        .collect())
}

/// DRAIN: a daemon is restarted while a primary drains that cannot be replaced yet.
pub fn drain_restart(trouble: bool, record: &SharedRecorder) -> CaseResult {
    let mut world = World::start(vec![ServiceSettings::new("boekingen")], 3, record, None)?;
    thread::sleep(seconds(5.0));
    world.set_cloud_down(true);
    let id = world.services[0].drain_primary();
    let acked_at = record.now_ms();
    let stop = AtomicBool::new(false);
    let address = world.address(0);
    let mut started_at = 0;
    let result: Result<(), String> = thread::scope(|scope| {
        scope.spawn(|| {
            let mut session = None;
            while !stop.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(100));
                let Some(consumer) = session.as_mut() else {
                    session = Consumer::open("w", address, "boekingen-primary", "key-1", record).ok();
                    continue;
                };
                let id = format!("{}r{}", consumer.new_id(), record.now_ms());
                if consumer.ask_as(&id, "WRITE zaal1 vrij").is_cut {
                    session = None;
                }
            }
        });
        if trouble {
            world.daemons[0].signal(SIGTERM);
            world.daemons[0].await_end(GRACE);
            let started = world.daemons[0].start();
            started_at = record.now_ms();
            if let Err(error) = started {
                stop.store(true, Ordering::Relaxed);
                return Err(error.to_string());
            }
        }
        thread::sleep(seconds(11.0));
        stop.store(true, Ordering::Relaxed);
        Ok(())
    });
    result?;
    let counted_from = (acked_at + DRAIN_MS).max(started_at + STABLE_WINDOW_MS);
    let late = world.services[0].runs().into_iter().filter(|run| {
        run.member == id && run.id.starts_with('w') && run.at_ms > counted_from
    });
    Ok(late
        .map(|run| {
            let after = run.at_ms - acked_at;
            format!("DRAIN: {} ({}) ran at {} {after} ms after its report draining", run.id, run.text, run.member)
        })
        .collect())
}
