//! Stand-ins for the platform, the members and the consumers, and the runs of the cases 11 to 15.
//!
//! `stand CASE FOLDER GATEWAY`: plays a case with the program GATEWAY and writes FOLDER/record.txt.
//! Exit code 1: the rule was broken, 0: it held, 2: the case could not run.

mod cases;
mod client;
mod gateway;
mod group;
mod json;
mod member;
mod store;

use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Record of what was sent, answered and run, with seconds since the start of the run.
#[derive(Clone)]
pub struct Recorder {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Recorder {
    fn create(path: &std::path::Path) -> std::io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), started_at: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let seconds = self.started_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{seconds:9.4} {text}").unwrap();
    }

    pub fn seconds(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }
}

/// Small generator of pseudo-random numbers.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed ^ 0x9E37_79B9_7F4A_7C15)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }
}

pub fn sleep_ms(millis: u64) {
    std::thread::sleep(Duration::from_millis(millis));
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, program] = &arguments[..] else {
        eprintln!("usage: stand CASE FOLDER GATEWAY");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = PathBuf::from(folder);
    let recorder = match Recorder::create(&folder.join("record.txt")) {
        Ok(recorder) => recorder,
        Err(error) => {
            eprintln!("record.txt: {error}");
            std::process::exit(2);
        }
    };
    recorder.line(&format!("case {case}, trouble {has_trouble}"));
    gateway::end_after(Duration::from_secs(115));
    let result = cases::run(case, has_trouble, &PathBuf::from(program), &recorder);
    let code = match result {
        Ok(broken) if broken.is_empty() => {
            recorder.line("result: the rule held");
            println!("the rule held");
            0
        }
        Ok(broken) => {
            for line in &broken {
                recorder.line(&format!("broken: {line}"));
            }
            recorder.line("result: the rule was broken");
            println!("the rule was broken: {}", broken[0]);
            1
        }
        Err(cause) => {
            recorder.line(&format!("result: not run: {cause}"));
            eprintln!("not run: {cause}");
            2
        }
    };
    std::process::exit(code);
}
