//! Which idle connections to an endpoint are kept, by the expected time until their next use.
//!
//! A connection belongs to one team, and opening one takes a slot for as long as one or two
//! statements. More teams use an endpoint than it accepts connections, and few of them send most of
//! the requests. Evicting by idle time closes the connections of teams that will soon need them
//! again whenever many small teams come by.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Least weight of the newest interval in the average of a team. Its first intervals count alike.
const INTERVAL_SMOOTHING: f64 = 0.05;
/// Part of the time since the last use that counts as the interval of an overdue team. Requests come
/// at random, so a gap of three intervals is common and does not show that the team sends less.
const OVERDUE_WEIGHT: f64 = 1.0 / 3.0;
/// Interval assumed after the first use by a team.
const INITIAL_INTERVAL: Duration = Duration::from_secs(10);
/// Typical time for which a request uses a connection.
const USE_TIME: Duration = Duration::from_millis(10);
/// Expected time until the next use from which a connection is closed although there is room.
const MAX_EXPECTED_NEXT_USE: Duration = Duration::from_secs(30);
/// The same for a connection that its team uses only while another one is in use.
const MAX_SURPLUS_NEXT_USE: Duration = Duration::from_secs(4);
/// Interval of a team up to which it is frequent, so that its reads may stay in the caller's zone: each
/// replica still gets one often enough to keep its connection. A limit of 1 s saved 4% more reads from
/// leaving their zone than 300 ms and opened 9% more connections.
const FREQUENT_INTERVAL: Duration = Duration::from_millis(300);
/// Time without use after which the interval of a team is forgotten.
const TEAM_TTL: Duration = Duration::from_secs(60);
/// Share of the connections that an owner may open which stay open while idle: 32 of 56 that an
/// endpoint accepts. When all instances lose power at once, the endpoint counts their connections for
/// 3 s, and the new owners work with the other 24. A share of 0.6 leaves them 28 and opens 18% more
/// connections, a share of 0.8 leaves them 19 and opens 20% fewer (docs/design/placement.md).
const KEPT_SHARE: f64 = 0.7;

/// Returns the number of connections that stay open while idle, of `max_open` that may be open.
pub fn kept_connections(max_open: usize) -> usize {
    ((max_open as f64 * KEPT_SHARE) as usize).max(1)
}

#[derive(Clone, Copy, Debug)]
struct TeamUse {
    interval_seconds: f64,
    last_used_at: Instant,
    interval_count: u32,
}

/// Intervals at which teams use connections to one endpoint.
#[derive(Clone, Debug, Default)]
pub struct ConnectionReuse {
    teams: HashMap<u64, TeamUse>,
}

impl ConnectionReuse {
    /// Records that a team takes a connection.
    pub fn record_use(&mut self, team: u64, now: Instant) {
        let known = self.teams.entry(team).or_insert(TeamUse {
            interval_seconds: INITIAL_INTERVAL.as_secs_f64(),
            last_used_at: now,
            interval_count: 0,
        });
        let interval = now.saturating_duration_since(known.last_used_at);
        if interval.is_zero() {
            return;
        }
        known.interval_count = known.interval_count.saturating_add(1);
        let weight = (1.0 / f64::from(known.interval_count)).max(INTERVAL_SMOOTHING);
        known.interval_seconds += (interval.as_secs_f64() - known.interval_seconds) * weight;
        known.last_used_at = now;
    }

    /// Forgets teams that have not used the endpoint for `TEAM_TTL`.
    pub fn remove_expired(&mut self, now: Instant) {
        self.teams.retain(|_, team| now.saturating_duration_since(team.last_used_at) < TEAM_TTL);
    }

    /// Returns whether other endpoints of the service probably have a connection for a team too, if some
    /// of its requests go there: it uses connections often, or `kept` connections are enough for one of
    /// each team.
    ///
    /// Load: few teams and many connections. Reads left their zone for the replica that their team
    /// prefers, although each replica could keep a connection of each team.
    pub fn is_frequent(&self, team: u64, kept: usize) -> bool {
        if self.teams.len() <= kept {
            return true;
        }
        self.teams.get(&team).is_some_and(|team| {
            team.interval_count > 0 && team.interval_seconds <= FREQUENT_INTERVAL.as_secs_f64()
        })
    }

    /// Returns the expected time until a team uses the connection that comes after `rank` others of
    /// its idle ones.
    fn expected_next_use(&self, team: u64, rank: i32, now: Instant) -> Duration {
        let Some(team) = self.teams.get(&team) else {
            return TEAM_TTL;
        };
        // A team that is overdue is taken for one with longer intervals.
        let overdue = now.saturating_duration_since(team.last_used_at).as_secs_f64();
        let interval = team.interval_seconds.max(overdue * OVERDUE_WEIGHT);
        // Each further connection is used only while the one before it is in use.
        let ratio = (interval / USE_TIME.as_secs_f64()).max(1.0);
        Duration::from_secs_f64((interval * ratio.powi(rank)).min(TEAM_TTL.as_secs_f64()))
    }

    /// Returns the expected next uses of idle connections.
    ///
    /// `teams` are the teams of the idle connections in the order of their return.
    fn expected_uses(
        &self,
        teams: impl DoubleEndedIterator<Item = u64> + ExactSizeIterator + Clone,
        now: Instant,
    ) -> impl Iterator<Item = ExpectedUse> {
        teams.clone().enumerate().map(move |(index, team)| {
            let later = teams.clone().skip(index + 1);
            let rank = later.filter(|other| *other == team).count() as i32;
            let next_use = self.expected_next_use(team, rank, now);
            ExpectedUse { index, next_use, is_surplus: rank > 0 }
        })
    }

    /// Returns the index of the idle connection with the latest expected next use.
    ///
    /// `teams` are the teams of the idle connections in the order of their return.
    pub fn least_useful(
        &self,
        teams: impl DoubleEndedIterator<Item = u64> + ExactSizeIterator + Clone,
        now: Instant,
    ) -> Option<usize> {
        let latest = self.expected_uses(teams, now).max_by(|left, right| {
            left.next_use.cmp(&right.next_use).then(right.index.cmp(&left.index))
        });
        latest.map(|found| found.index)
    }

    /// Returns the index of the idle connection to close, or `None` if all are worth keeping.
    ///
    /// `open_count` includes the connections in use.
    pub fn to_close(
        &self,
        teams: impl DoubleEndedIterator<Item = u64> + ExactSizeIterator + Clone,
        open_count: usize,
        kept: usize,
        now: Instant,
    ) -> Option<usize> {
        if open_count > kept {
            return self.least_useful(teams, now);
        }
        let unneeded = self.expected_uses(teams, now).find(ExpectedUse::is_too_late);
        unneeded.map(|found| found.index)
    }
}

/// Expected next use of an idle connection.
#[derive(Clone, Copy, Debug)]
struct ExpectedUse {
    index: usize,
    next_use: Duration,
    /// The team uses it only while another connection is in use.
    is_surplus: bool,
}

impl ExpectedUse {
    fn is_too_late(&self) -> bool {
        let latest = if self.is_surplus { MAX_SURPLUS_NEXT_USE } else { MAX_EXPECTED_NEXT_USE };
        self.next_use > latest
    }
}

/// Number of entries that are remembered; a further one replaces one that shares its place.
const HINT_COUNT: usize = 512;
/// Age from which it is not known any more whether a team has a connection to an endpoint.
const CONNECTION_HINT_TTL: Duration = Duration::from_secs(10);
/// Age from which it is not known any more whether a team is frequent. An instance gets a request of
/// the tenth largest of 84 teams for one service about twice in this time.
const FREQUENT_HINT_TTL: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
struct HintTable {
    entries: Box<[Option<(u64, bool, Instant)>]>,
}

impl HintTable {
    fn new() -> Self {
        Self { entries: vec![None; HINT_COUNT].into() }
    }

    fn set(&mut self, key: u64, value: bool, now: Instant) {
        self.entries[key as usize % HINT_COUNT] = Some((key, value, now));
    }

    fn get(&self, key: u64, ttl: Duration, now: Instant) -> Option<bool> {
        let (known, value, at) = self.entries[key as usize % HINT_COUNT]?;
        (known == key && now.saturating_duration_since(at) < ttl).then_some(value)
    }
}

/// What an instance knows from replies about the connections of teams.
#[derive(Clone, Debug)]
pub struct ConnectionHints {
    connections: HintTable,
    frequent: HintTable,
}

impl Default for ConnectionHints {
    fn default() -> Self {
        Self { connections: HintTable::new(), frequent: HintTable::new() }
    }
}

impl ConnectionHints {
    /// Records whether a call of a team found a connection, by the rendezvous weight of team and
    /// endpoint.
    pub fn record_connection(&mut self, key: u64, had_connection: bool, now: Instant) {
        self.connections.set(key, had_connection, now);
    }

    /// Records whether a team uses a service frequently, by the rendezvous weight of both.
    pub fn record_frequent(&mut self, key: u64, is_frequent: bool, now: Instant) {
        self.frequent.set(key, is_frequent, now);
    }

    /// Returns what is known of a team's connection to an endpoint of a service, from the rendezvous
    /// weights of the team with each.
    pub fn get(&self, endpoint_key: u64, service_key: u64, now: Instant) -> ConnectionHint {
        match self.connections.get(endpoint_key, CONNECTION_HINT_TTL, now) {
            Some(true) => ConnectionHint::Open,
            Some(false) => ConnectionHint::Missing,
            None if self.frequent.get(service_key, FREQUENT_HINT_TTL, now) == Some(true) => {
                ConnectionHint::Likely
            }
            None => ConnectionHint::Unknown,
        }
    }
}

/// What is known of a team's connection to an endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ConnectionHint {
    /// Nothing.
    #[default]
    Unknown,
    /// A call of the team found a connection lately.
    Open,
    /// A call of the team found none lately.
    Missing,
    /// The team uses the service so often that it probably has one.
    Likely,
}
