//! Property of team limits: whoever grants, takes back and loses tokens, what runs stays within the rule.

use std::time::{Duration, Instant};

use coord::quota::{LimitShare, LimitWindow, TOKEN_TIMEOUT, TeamLimit, TeamQuotas, TokenRequest};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const WINDOW: LimitWindow =
    LimitWindow { length: Duration::from_secs(5), overage_ratio: 0.1, slack_operations: 20.0 };
const LIMIT: TeamLimit = TeamLimit { rate: 100.0, burst: 100.0 };
/// Operations that the rule allows in any window: (100 x 5 + 100) x 1.1 + 20.
const ALLOWED: usize = 680;
const TEAM: &str = "gent";
/// Interval at which instances count those that they reach.
const TICK: Duration = Duration::from_millis(100);
/// Ticks after which an instance notices that it does not reach another one, or reaches it again.
const NOTICE_TICKS: u32 = 5;
const RUN_TICKS: u32 = 300;
const SEEDS: u64 = 24;
/// Fraction of the operations that do not run.
const NOT_RUN: f64 = 0.2;
/// Demands of a team that asks in bursts, as multiples of its rate.
const BURST_DEMANDS: [f64; 5] = [0.0, 0.5, 2.0, 8.0, 16.0];

/// How the network is cut.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum NetworkFault {
    /// Two sides, whose members all reach each other.
    Sides,
    /// One instance and the first owner do not reach each other; the others reach both.
    Pair,
    /// The same for any number of instances.
    Star,
}

/// Token that an operation took.
#[derive(Clone, Copy, Debug)]
struct TakenToken {
    owner: usize,
    /// Process of the owner; a link to an earlier one is closed.
    incarnation: u32,
    share: LimitShare,
    number: u32,
}

/// Instances that may each be the quota owner of a team, in the order of their index.
struct OwnerFleet {
    quotas: Vec<TeamQuotas>,
    incarnations: Vec<u32>,
    /// Instances that each one believed to be live at its last tick.
    live: Vec<Vec<usize>>,
    /// Whether two instances exchange messages, and since which tick.
    connected: Vec<Vec<(bool, u32)>>,
    frozen_until: Vec<u32>,
    random: SmallRng,
    now: Instant,
    tick: u32,
}

impl OwnerFleet {
    fn new(size: usize, seed: u64) -> Self {
        Self {
            quotas: (0..size).map(|_| TeamQuotas::new(WINDOW)).collect(),
            incarnations: vec![0; size],
            live: vec![Vec::new(); size],
            connected: vec![vec![(true, 0); size]; size],
            frozen_until: vec![0; size],
            random: SmallRng::seed_from_u64(seed),
            now: Instant::now(),
            tick: NOTICE_TICKS,
        }
    }

    fn is_frozen(&self, index: usize) -> bool {
        self.tick < self.frozen_until[index]
    }

    /// Returns whether `from` or one that it reaches believes to reach `to`.
    fn is_live(&self, from: usize, to: usize) -> bool {
        let relays = |relay: usize| self.reaches(from, relay) && self.reaches(relay, to);
        (0..self.quotas.len()).any(relays)
    }

    /// Returns whether no instance that ranks before `index` is live, as far as it knows.
    fn is_owner(&self, index: usize) -> bool {
        !(0..index).any(|other| self.is_live(index, other))
    }

    /// Returns whether `from` believes that it reaches `to`.
    fn reaches(&self, from: usize, to: usize) -> bool {
        let (connected, since) = self.connected[from][to];
        from == to || connected == (self.tick >= since + NOTICE_TICKS)
    }

    fn connect(&mut self, one: usize, other: usize, connected: bool) {
        for (from, to) in [(one, other), (other, one)] {
            if self.connected[from][to].0 != connected {
                self.connected[from][to] = (connected, self.tick);
            }
        }
    }

    fn change(&mut self, fault: NetworkFault) {
        let size = self.quotas.len();
        let index = self.random.random_range(0..size);
        match self.random.random_range(0..6) {
            0 => {
                self.quotas[index] = TeamQuotas::new(WINDOW);
                self.live[index].clear();
                self.incarnations[index] += 1;
            }
            1 => self.frozen_until[index] = self.tick + self.random.random_range(1..30),
            2 | 3 if fault == NetworkFault::Star => self.connect(0, index, index == 0),
            2 | 3 if fault == NetworkFault::Pair => {
                (1..size).for_each(|other| self.connect(0, other, other != index));
            }
            2 | 3 => {
                let side: Vec<bool> = (0..size).map(|_| self.random.random_bool(0.5)).collect();
                for (one, other) in (0..size).flat_map(|one| (0..one).map(move |two| (one, two))) {
                    self.connect(one, other, side[one] == side[other]);
                }
            }
            _ => {
                for (one, other) in (0..size).flat_map(|one| (0..one).map(move |two| (one, two))) {
                    self.connect(one, other, true);
                }
            }
        }
    }

    fn advance(&mut self) {
        (self.now, self.tick) = (self.now + TICK, self.tick + 1);
        let size = self.quotas.len();
        for index in (0..size).filter(|index| !self.is_frozen(*index)).collect::<Vec<_>>() {
            let live: Vec<usize> = (0..size).filter(|to| self.is_live(index, *to)).collect();
            let is_owner = self.is_owner(index);
            let quotas = &mut self.quotas[index];
            quotas.record_reachable(live.len(), size, self.now);
            if self.live[index] != live {
                quotas.record_owner_change(self.now);
            }
            self.live[index] = live;
            quotas.record_ownership(|_| is_owner, self.now);
        }
    }

    /// Asks the quota owners that an instance believes to reach, in order; an answer may be lost, and
    /// then the next one decides.
    fn ask(&mut self, index: usize, now: Instant) -> Option<TakenToken> {
        let size = self.quotas.len();
        let reached: Vec<usize> = (0..size).filter(|to| self.reaches(index, *to)).take(2).collect();
        for owner in &reached {
            if (*owner == index && !self.is_owner(index)) || !self.answers(index, *owner) {
                continue;
            }
            let taken = self.relay(index, *owner, now);
            if *owner == index || !self.random.random_bool(0.01) {
                return taken;
            }
        }
        if reached.contains(&index) {
            return self.decide(index, index, now);
        }
        self.take(index, LimitShare::OneInstance, now)
    }

    fn answers(&self, from: usize, to: usize) -> bool {
        from == to || (self.connected[from][to].0 && !self.is_frozen(to))
    }

    /// Lets an instance decide, or ask the first one that is live, as far as it knows.
    fn relay(&mut self, asker: usize, index: usize, now: Instant) -> Option<TakenToken> {
        let first = (0..index).find(|other| self.is_live(index, *other));
        match first.filter(|first| self.answers(index, *first)) {
            Some(first) => self.decide(index, first, now),
            None => self.decide(asker, index, now),
        }
    }

    fn decide(&mut self, asker: usize, index: usize, now: Instant) -> Option<TakenToken> {
        if self.is_owner(index) {
            return self.take(index, LimitShare::Reachable, now);
        }
        self.quotas[index].record_asker(asker as u64, now);
        self.take(index, LimitShare::Substitute, now)
    }

    fn take(&mut self, owner: usize, share: LimitShare, now: Instant) -> Option<TakenToken> {
        let request =
            TokenRequest { priority_rank: 0, max_wait: TOKEN_TIMEOUT, is_starting: false, share };
        let quotas = &mut self.quotas[owner];
        quotas.take_with_floors(TEAM, LIMIT, request, 0, now).ok()?;
        let number = quotas.bucket_number(TEAM, share);
        Some(TakenToken { owner, incarnation: self.incarnations[owner], share, number })
    }

    /// Returns the token of an operation that did not run to the process that granted it.
    fn give_back(&mut self, token: TakenToken, now: Instant) {
        if self.incarnations[token.owner] == token.incarnation {
            let quotas = &mut self.quotas[token.owner];
            quotas.return_token(TEAM, token.share, token.number, 0, now);
        }
    }
}

/// What a team asks for.
#[derive(Clone, Copy, Debug)]
struct TeamLoad {
    /// Operations as a multiple of the rate.
    demand: f64,
    /// Whether the demand changes to one of [`BURST_DEMANDS`] from time to time.
    has_bursts: bool,
    /// Fraction of the operations that do not run.
    not_run: f64,
}

impl TeamLoad {
    fn steady(demand: f64) -> Self {
        Self { demand, has_bursts: false, not_run: NOT_RUN }
    }
}

/// Lets a team ask for operations while owners change, and returns the largest number of operations
/// that ran in a window.
fn most_in_a_window(fault: NetworkFault, size: usize, mut load: TeamLoad, seed: u64) -> usize {
    let mut fleet = OwnerFleet::new(size, seed);
    let mut ran: Vec<Instant> = Vec::new();
    let mut pending: Vec<TakenToken> = Vec::new();
    for _ in 0..RUN_TICKS {
        fleet.advance();
        if fleet.random.random_bool(0.04) {
            fleet.change(fault);
        }
        if load.has_bursts && fleet.random.random_bool(0.1) {
            load.demand = BURST_DEMANDS[fleet.random.random_range(0..BURST_DEMANDS.len())];
        }
        let asked = (LIMIT.rate * load.demand * TICK.as_secs_f64()) as u32;
        for call in 0..asked {
            let now = fleet.now + TICK * call / asked;
            let index = fleet.random.random_range(0..size);
            if !fleet.is_frozen(index)
                && let Some(token) = fleet.ask(index, now)
            {
                // Part of the operations do not run, and their tokens come back late.
                if fleet.random.random_bool(load.not_run) {
                    pending.push(token);
                } else {
                    ran.push(now);
                }
            }
            if pending.len() > 20 || (!pending.is_empty() && fleet.random.random_bool(0.1)) {
                let returned = fleet.random.random_range(0..pending.len());
                let token = pending.swap_remove(returned);
                fleet.give_back(token, now);
            }
        }
    }
    let in_window =
        |index: usize| ran[index..].partition_point(|at| *at < ran[index] + WINDOW.length);
    (0..ran.len()).map(in_window).max().unwrap_or(0)
}

fn most_of_seeds(fault: NetworkFault, size: usize, load: TeamLoad) -> (usize, u64) {
    let counts = (0..SEEDS).map(|seed| (most_in_a_window(fault, size, load, seed), seed));
    counts.max().expect("there are seeds")
}

// Owners that change in a row, restart, freeze or are on two sides of a partition grant too much.
#[test]
fn owners_in_a_row_stay_within_the_rule() {
    for size in 1..=8 {
        for demand in [0.9, 3.0] {
            let (most, seed) = most_of_seeds(NetworkFault::Sides, size, TeamLoad::steady(demand));
            println!("{size} instances, demand {demand}: {most} of {ALLOWED}, seed {seed}");
            assert!(most <= ALLOWED, "{most} with {size} instances, demand {demand}, seed {seed}");
        }
    }
}

// An instance that alone does not reach the first owner is an owner of its own beside it.
#[test]
fn an_owner_beside_the_first_stays_within_the_rule() {
    for size in 3..=8 {
        let (most, seed) = most_of_seeds(NetworkFault::Pair, size, TeamLoad::steady(8.0));
        println!("{size} instances: {most} of {ALLOWED}, seed {seed}");
        assert!(most <= ALLOWED, "{most} with {size} instances, seed {seed}");
    }
}

// Several instances that each do not reach the first owner are owners of their own beside it.
#[test]
fn several_owners_beside_the_first_stay_within_the_rule() {
    for size in 3..=8 {
        let (most, seed) = most_of_seeds(NetworkFault::Star, size, TeamLoad::steady(8.0));
        println!("{size} instances: {most} of {ALLOWED}, seed {seed}");
        assert!(most <= ALLOWED, "{most} with {size} instances, seed {seed}");
    }
}

// Operations that did not run hid what the sides of a partition and substitutes granted too much.
#[test]
fn operations_that_all_run_stay_within_the_rule() {
    for fault in [NetworkFault::Sides, NetworkFault::Pair, NetworkFault::Star] {
        for size in 3..=9 {
            let load = TeamLoad { not_run: 0.0, ..TeamLoad::steady(3.0) };
            let (most, seed) = most_of_seeds(fault, size, load);
            println!("{fault:?}, {size} instances: {most} of {ALLOWED}, seed {seed}");
            assert!(most <= ALLOWED, "{most}, {fault:?}, {size} instances, seed {seed}");
        }
    }
}

// Tokens that are returned twice let a team run several bursts before it counts as over its limit.
#[test]
fn operations_of_bursts_stay_within_the_rule_whatever_is_returned() {
    let load = TeamLoad { demand: 0.0, has_bursts: true, not_run: 0.5 };
    for size in 1..=8 {
        let (most, seed) = most_of_seeds(NetworkFault::Sides, size, load);
        println!("{size} instances: {most} of {ALLOWED}, seed {seed}");
        assert!(most <= ALLOWED, "{most} with {size} instances, seed {seed}");
    }
}

// The successor of a lost quota owner started with a full bucket in a first start (review/15).
#[test]
fn the_successor_of_a_lost_owner_does_not_repeat_its_burst() {
    let limit = TeamLimit { rate: 20.0, burst: 300.0 };
    let start = Instant::now();
    let request = TokenRequest {
        priority_rank: 0,
        max_wait: Duration::ZERO,
        is_starting: false,
        share: LimitShare::Reachable,
    };
    let mut owners = [TeamQuotas::new(WINDOW), TeamQuotas::new(WINDOW)];
    let (mut first_second, mut admitted) = (0, 0);
    for tick in 0..150 {
        let now = start + TICK * tick;
        let is_lost = tick >= 125;
        owners.iter_mut().for_each(|quotas| quotas.record_reachable(9, 9, now));
        if tick == 125 {
            owners[1].record_reachable(8, 9, now);
            owners[1].record_owner_change(now);
        }
        if tick < 100 {
            continue;
        }
        let owner = &mut owners[usize::from(is_lost)];
        let taken = (0..200).filter(|_| owner.take(TEAM, limit, request, now).is_ok()).count();
        admitted += taken;
        first_second += if tick < 110 { taken } else { 0 };
    }
    assert!(first_second >= 150, "{first_second}: the unused bucket has refilled");
    let allowed = (limit.rate * 5.0 + limit.burst) * 1.1 + 20.0;
    assert!(admitted as f64 <= allowed, "{admitted} of {allowed} in 5 s");
}
