//! Seeded choices for stateful fuzzing, with shrinking and replay by `HIBISCUS_SEED`.

#![allow(dead_code)]

use std::cell::Cell;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Once;

use quickcheck::{Arbitrary, Gen};

/// Sequence of choices that drives one case.
#[derive(Clone, Debug)]
pub struct Choices {
    bytes: Vec<u16>,
    next: usize,
}

impl Choices {
    fn new(bytes: Vec<u16>) -> Self {
        Self { bytes, next: 0 }
    }

    /// Returns the next choice below `limit`.
    pub fn below(&mut self, limit: usize) -> usize {
        let choice = self.bytes.get(self.next).copied().unwrap_or_default();
        self.next += 1;
        usize::from(choice) % limit.max(1)
    }

    /// Tells whether every choice was taken.
    pub fn is_done(&self) -> bool {
        self.next >= self.bytes.len()
    }
}

/// Number of the first seed; `HIBISCUS_SEED` replays one, `HIBISCUS_CASES` runs more.
fn seeds(cases: u64) -> Vec<u64> {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    match number("HIBISCUS_SEED") {
        Some(seed) => vec![seed],
        None => (0..number("HIBISCUS_CASES").unwrap_or(cases)).collect(),
    }
}

fn choices_of(seed: u64, length: usize) -> Vec<u16> {
    let mut random = Gen::from_size_and_seed(length, seed);
    (0..length).map(|_| u16::arbitrary(&mut random)).collect()
}

thread_local! {
    /// Tells that panics of this thread are expected and not worth printing.
    static QUIET: Cell<bool> = const { Cell::new(false) };
}

/// Silences the panics of cases, which run on the thread of their test.
fn silence() {
    static INSTALL: Once = Once::new();
    INSTALL.call_once(|| {
        let loud = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |info| {
            if !QUIET.get() {
                loud(info);
            }
        }));
    });
}

fn fails(bytes: &[u16], case: &impl Fn(&mut Choices)) -> Option<String> {
    silence();
    QUIET.set(true);
    let failure = run_case(bytes, case);
    QUIET.set(false);
    failure
}

fn run_case(bytes: &[u16], case: &impl Fn(&mut Choices)) -> Option<String> {
    let run = catch_unwind(AssertUnwindSafe(|| case(&mut Choices::new(bytes.to_vec()))));
    run.err().map(|panic| {
        let text = panic.downcast_ref::<String>().cloned();
        text.or_else(|| panic.downcast_ref::<&str>().map(|text| (*text).to_owned()))
            .unwrap_or_default()
    })
}

/// Halves and cuts the choices for as long as the case still fails.
fn shrink(mut bytes: Vec<u16>, case: &impl Fn(&mut Choices)) -> Vec<u16> {
    let mut piece = bytes.len() / 2;
    while piece > 0 {
        let mut start = 0;
        while start + piece <= bytes.len() {
            let mut shorter = bytes.clone();
            shorter.drain(start..start + piece);
            if fails(&shorter, case).is_some() {
                bytes = shorter;
            } else {
                start += piece;
            }
        }
        piece /= 2;
    }
    bytes
}

/// Runs a fixed list of seeds and reports the first failure with its seed and shrunk choices.
pub fn check_cases(cases: u64, length: usize, case: impl Fn(&mut Choices)) {
    let found = seeds(cases).into_iter().find_map(|seed| {
        let bytes = choices_of(seed, length);
        fails(&bytes, &case).map(|message| (seed, message, shrink(bytes, &case)))
    });
    if let Some((seed, message, shrunk)) = found {
        panic!("HIBISCUS_SEED={seed}: {message}\n{} choices: {shrunk:?}", shrunk.len());
    }
}

/// Checks that a broken rule is found, and prints how many cases it took.
pub fn expect_failure(cases: u64, length: usize, case: impl Fn(&mut Choices)) {
    let found = (0..cases).find(|seed| fails(&choices_of(*seed, length), &case).is_some());
    let seed = found.expect("the broken rule is found");
    println!("found after {} cases", seed + 1);
}
