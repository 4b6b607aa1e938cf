//! A soak run that a signal ends leaves no process behind.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::process::{Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process, test_kill_process};

const TIMEOUT: Duration = Duration::from_secs(8);
const INSTANCES: usize = 3;

fn wait_until(what: &str, is_done: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !is_done() {
        assert!(started_at.elapsed() < TIMEOUT, "not in time: {what}");
        sleep(Duration::from_millis(20));
    }
}

// Gateways of an ended run stayed, and registered with the store of a test that got their address.
#[test]
fn the_instances_of_an_interrupted_soak_end_with_it() {
    let folder = tempfile::tempdir().expect("a folder is created");
    let (program, started) = (folder.path().join("instance"), folder.path().join("started"));
    let script = format!("#!/bin/sh\necho $$ >> {}\nexec sleep 60\n", started.display());
    fs::write(&program, script).expect("the script is written");
    fs::set_permissions(&program, fs::Permissions::from_mode(0o755)).expect("it can be run");
    let mut load = Command::new(env!("CARGO_BIN_EXE_hibiscus-load"))
        .args(["soak", "--folder"])
        .arg(folder.path().join("soak"))
        .arg("--program")
        .arg(&program)
        .stdout(Stdio::null())
        .spawn()
        .expect("the soak starts");
    let instances = || -> Vec<Pid> {
        let text = fs::read_to_string(&started).unwrap_or_default();
        text.lines().filter_map(|line| Pid::from_raw(line.parse().ok()?)).collect()
    };
    wait_until("all instances start", || instances().len() == INSTANCES);
    let id = i32::try_from(load.id()).ok().and_then(Pid::from_raw).expect("the soak runs");
    kill_process(id, Signal::TERM).expect("the soak gets the signal");
    assert!(!load.wait().expect("the soak ends").success());
    for instance in instances() {
        wait_until("the instance ends", || test_kill_process(instance).is_err());
    }
}
