//! Simulates the membership of fleets with kills, restarts and partitions.

mod common;

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use common::{Choices, check_cases};
use coord::membership::{
    InstanceKey, InstanceRecord, MemberStatus, MembershipTable, OBSERVERS_PER_ZONE, ViewScope,
};

/// Interval of one simulation step.
const STEP: Duration = Duration::from_millis(100);
/// Time until a partitioned connection counts as lost.
const DETECTION_TIME: Duration = Duration::from_millis(1_500);
/// Time within which all instances must agree after the last fault: detection, two hops with the
/// grace period of lost observers, and the next attempt to connect.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// One instance of a simulated fleet.
struct SimulatedInstance {
    record: InstanceRecord,
    table: MembershipTable,
    is_running: bool,
    /// Side of the partition; instances on different sides do not reach each other.
    side: usize,
}

/// Fleet whose subscriptions and messages are simulated.
struct SimulatedFleet {
    instances: Vec<SimulatedInstance>,
    /// Open subscriptions by subscriber and observer, with the time since which they are cut.
    subscriptions: HashMap<(usize, usize), Option<Instant>>,
    now: Instant,
    next_incarnation: u64,
    published_entries: usize,
}

impl SimulatedFleet {
    fn new(zone_count: usize, zone_size: usize, large_per_zone: usize) -> Self {
        let now = Instant::now();
        let mut fleet = Self {
            instances: Vec::new(),
            subscriptions: HashMap::new(),
            now,
            next_incarnation: 1,
            published_entries: 0,
        };
        for index in 0..zone_count * zone_size {
            let record = InstanceRecord {
                name: format!("instance-{index}"),
                address: ([127, 0, 0, 1], 7_000).into(),
                zone: format!("zone-{}", index % zone_count),
                incarnation: 0,
                capacity: if index / zone_count < large_per_zone { 500 } else { 120 },
            };
            let table = MembershipTable::new(record.clone(), now);
            fleet.instances.push(SimulatedInstance { record, table, is_running: false, side: 0 });
            fleet.start(index);
        }
        fleet
    }

    /// Starts a new process of an instance, which reads the registrations of the others.
    fn start(&mut self, index: usize) {
        let registrations: Vec<InstanceRecord> =
            self.instances.iter().map(|instance| instance.record.clone()).collect();
        let instance = &mut self.instances[index];
        instance.record.incarnation = self.next_incarnation;
        self.next_incarnation += 1;
        instance.table = MembershipTable::new(instance.record.clone(), self.now);
        instance.table.set_own_status(MemberStatus::default());
        instance.is_running = true;
        for record in registrations.iter().filter(|record| record.incarnation > 0) {
            instance.table.add(record, self.now);
        }
    }

    /// Kills a process; its connections are reset at once.
    fn kill(&mut self, index: usize) {
        self.instances[index].is_running = false;
        let ended = self.subscriptions.keys().copied();
        let ended: Vec<_> = ended.filter(|(from, to)| [*from, *to].contains(&index)).collect();
        ended.into_iter().for_each(|pair| self.end_subscription(pair));
    }

    fn end_subscription(&mut self, (from, to): (usize, usize)) {
        self.subscriptions.remove(&(from, to));
        let now = self.now;
        let (subscriber, observer) =
            (self.instances[from].record.clone(), self.instances[to].record.clone());
        let table = &mut self.instances[from].table;
        if let Some(key) = table.key(&observer.name) {
            table.observer_lost(key, now);
            table.set_unreachable(key, true);
        }
        let table = &mut self.instances[to].table;
        if let Some(key) = table.key(&subscriber.name) {
            table.subscriber_lost(key, subscriber.incarnation, now);
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let mut lost = Vec::new();
        for (pair, cut_at) in &mut self.subscriptions {
            if self.instances[pair.0].side == self.instances[pair.1].side {
                // Messages were lost meanwhile, so the connection cannot go on.
                lost.extend(cut_at.is_some().then_some(*pair));
            } else if now.duration_since(*cut_at.get_or_insert(now)) >= DETECTION_TIME {
                lost.push(*pair);
            }
        }
        lost.into_iter().for_each(|pair| self.end_subscription(pair));
        for index in 0..self.instances.len() {
            if self.instances[index].is_running {
                self.instances[index].table.expire(now);
                self.subscribe(index);
                self.retry_unreachable(index);
            }
        }
        for _ in 0..3 {
            self.publish();
        }
    }

    /// Opens and ends subscriptions as an instance wants them.
    fn subscribe(&mut self, from: usize) {
        let wanted = self.instances[from].table.wanted_observers(self.now);
        let names: BTreeSet<String> = wanted.iter().map(|key| self.name(from, *key)).collect();
        let surplus = self.subscriptions.keys().copied().filter(|(subscriber, to)| {
            *subscriber == from && !names.contains(&self.instances[*to].record.name)
        });
        let surplus: Vec<(usize, usize)> = surplus.collect();
        for (_, to) in surplus {
            self.subscriptions.remove(&(from, to));
            let (subscriber, observer) =
                (self.instances[from].record.clone(), self.instances[to].record.clone());
            let table = &mut self.instances[from].table;
            let key = table.key(&observer.name).expect("it is subscribed");
            table.unsubscribe(key, self.now);
            let table = &mut self.instances[to].table;
            if let Some(key) = table.key(&subscriber.name) {
                table.subscriber_lost(key, subscriber.incarnation, self.now);
            }
        }
        for key in wanted {
            let to = index_of(&self.name(from, key));
            if self.subscriptions.contains_key(&(from, to)) {
                continue;
            }
            let is_reached = self.instances[to].is_running
                && self.instances[to].side == self.instances[from].side;
            self.instances[from].table.set_unreachable(key, !is_reached);
            if is_reached {
                self.open_subscription(from, to);
            }
        }
    }

    /// Connects again to instances that others report as live.
    fn retry_unreachable(&mut self, from: usize) {
        let live: Vec<InstanceKey> = self.instances[from].table.live_peers().collect();
        for key in live {
            let to = index_of(&self.name(from, key));
            let (instance, peer) = (&self.instances[from], &self.instances[to]);
            if peer.is_running && peer.side == instance.side {
                self.instances[from].table.set_unreachable(key, false);
            }
        }
    }

    fn open_subscription(&mut self, from: usize, to: usize) {
        let now = self.now;
        let subscriber = self.instances[from].record.clone();
        let (sequence, status) = {
            let (sequence, status) = self.instances[from].table.own_status();
            (sequence, status.clone())
        };
        let table = &mut self.instances[to].table;
        let Some(key) = table.add(&subscriber, now) else {
            return;
        };
        let scope = table.scope_of(key);
        table.subscriber_connected(key, now);
        table.record_status(key, sequence, &status);
        let (view, observer) = (table.snapshot(scope), self.instances[to].record.clone());
        self.subscriptions.insert((from, to), None);
        let table = &mut self.instances[from].table;
        if let Some(key) = table.add(&observer, now) {
            table.observer_connected(key, now);
            table.receive_view(key, true, &view, now);
        }
    }

    fn publish(&mut self) {
        for to in 0..self.instances.len() {
            for scope in ViewScope::ALL {
                let entries = self.instances[to].table.take_changes(scope);
                if entries.is_empty() || !self.instances[to].is_running {
                    continue;
                }
                let name = self.instances[to].record.name.clone();
                let zone = self.instances[to].record.zone.clone();
                let pairs: Vec<_> = self.subscriptions.keys().copied().collect();
                for (from, observer) in pairs {
                    let in_zone = self.instances[from].record.zone == zone;
                    let is_reached = self.instances[from].side == self.instances[to].side;
                    if observer != to || in_zone != (scope == ViewScope::Zone) || !is_reached {
                        continue;
                    }
                    self.published_entries += entries.len();
                    let table = &mut self.instances[from].table;
                    let key = table.key(&name).expect("it is subscribed");
                    table.receive_view(key, false, &entries, self.now);
                }
            }
        }
    }

    fn settle(&mut self) {
        let end = self.now + SETTLE_TIME;
        while self.now < end {
            self.step();
        }
    }

    fn name(&self, index: usize, key: InstanceKey) -> String {
        self.instances[index].table.record(key).expect("the key is known").name.clone()
    }

    /// Checks that every instance knows exactly the running ones on its side as live, and that all
    /// of a side agree on owners.
    fn check_agreement(&self) {
        let mut owners: HashMap<usize, (Vec<String>, Vec<String>)> = HashMap::new();
        for (index, instance) in self.instances.iter().enumerate() {
            if !instance.is_running {
                continue;
            }
            let peers = self.instances.iter().filter(|other| {
                other.is_running && other.side == instance.side && other.record != instance.record
            });
            let expected: BTreeSet<&str> = peers.map(|other| other.record.name.as_str()).collect();
            let live: BTreeSet<String> =
                instance.table.live_peers().map(|key| self.name(index, key)).collect();
            let live: BTreeSet<&str> = live.iter().map(String::as_str).collect();
            let missing: Vec<_> = expected.difference(&live).collect();
            let surplus: Vec<_> = live.difference(&expected).collect();
            let name = &instance.record.name;
            assert!(
                missing.is_empty() && surplus.is_empty(),
                "{name}: missing {missing:?}, dead {surplus:?}"
            );
            assert_eq!(instance.table.live_count(), expected.len() + 1, "{name}");
            let names = |keys: Vec<InstanceKey>| -> Vec<String> {
                keys.into_iter().map(|key| self.name(index, key)).collect()
            };
            let found = (
                names(instance.table.connection_owners("endpoint", "zone-0", 2)),
                names(instance.table.fleet_owners("team", 2)),
            );
            let agreed = owners.entry(instance.side).or_insert_with(|| found.clone());
            assert_eq!(*agreed, found, "{name}");
        }
    }

    fn subscription_count(&self, index: usize) -> usize {
        self.subscriptions.keys().filter(|(from, _)| *from == index).count()
    }
}

fn index_of(name: &str) -> usize {
    name.trim_start_matches("instance-").parse().expect("names end with the index")
}

/// Defines a test on a fleet of zones, instances in each and large instances in each.
macro_rules! fleet_case {
    ($name:ident, $zones:literal x $size:literal, $large:literal large, $fleet:ident => $body:block) => {
        #[test]
        fn $name() {
            let mut $fleet = SimulatedFleet::new($zones, $size, $large);
            $fleet.settle();
            $fleet.check_agreement();
            $body
        }
    };
}

fleet_case!(single_instance_is_live, 1 x 1, 0 large, fleet => {
    assert_eq!(fleet.subscriptions.len(), 0);
});

fleet_case!(zones_of_one_instance_know_each_other, 8 x 1, 0 large, fleet => {
    fleet.kill(3);
    fleet.settle();
    fleet.check_agreement();
});

fleet_case!(small_fleet_is_fully_connected, 3 x 3, 0 large, fleet => {
    assert_eq!(fleet.subscriptions.len(), 9 * 8);
});

fleet_case!(subscriptions_do_not_grow_with_the_fleet, 5 x 60, 3 large, fleet => {
    let counts: Vec<usize> = (0..300).map(|index| fleet.subscription_count(index)).collect();
    let observers = counts.iter().filter(|count| **count > OBSERVERS_PER_ZONE).count();
    assert!(observers <= 5 * (OBSERVERS_PER_ZONE + 1), "{observers} observers");
    let most = 5 * OBSERVERS_PER_ZONE;
    assert!(counts.iter().all(|count| *count <= most), "{counts:?}");
});

fleet_case!(most_owners_are_large_instances, 5 x 60, 3 large, fleet => {
    let table = &fleet.instances[7].table;
    let is_large = |keys: Vec<InstanceKey>| table.record(keys[0]).is_some_and(|it| it.capacity == 500);
    let subjects: Vec<String> = (0..200).map(|subject| format!("subject-{subject}")).collect();
    let connections =
        subjects.iter().filter(|it| is_large(table.connection_owners(it, "zone-1", 1))).count();
    let quotas = subjects.iter().filter(|it| is_large(table.fleet_owners(it, 1))).count();
    assert!(connections > 160 && quotas > 160, "{connections} {quotas}");
});

fleet_case!(one_large_instance_does_not_own_everything, 1 x 20, 1 large, fleet => {
    let table = &fleet.instances[7].table;
    let owner = |subject: usize| table.connection_owners(&format!("subject-{subject}"), "zone-0", 1);
    let owners: BTreeSet<InstanceKey> = (0..200).flat_map(owner).collect();
    assert!(owners.len() >= 5, "{}", owners.len());
});

fleet_case!(a_restarted_instance_learns_the_token_of_a_holder_that_ended, 2 x 3, 0 large, fleet => {
    let holder = MemberStatus { promotion_token: Some(7), ..MemberStatus::default() };
    fleet.instances[0].table.set_own_status(holder);
    fleet.settle();
    fleet.kill(0);
    (1..6).for_each(|index| fleet.instances[index].table.set_own_status(MemberStatus::default()));
    fleet.kill(5);
    fleet.settle();
    fleet.start(5);
    fleet.settle();
    assert_eq!(fleet.instances[5].table.newest_promotion_token(), 7);
});

/// Checks that the loss of a connection owner moves only its own endpoints, and that instances in
/// the endpoint's zone come first.
#[test]
fn lost_connection_owner_moves_only_its_own_endpoints() {
    let records: Vec<InstanceRecord> = (0..9)
        .map(|index| InstanceRecord {
            name: format!("instance-{index}"),
            address: ([127, 0, 0, 1], 7_000).into(),
            zone: if index < 3 { "a" } else { "b" }.to_owned(),
            incarnation: 1,
            capacity: 250,
        })
        .collect();
    let now = Instant::now();
    let table_without = |lost: Option<usize>| {
        let mut table = MembershipTable::new(records[8].clone(), now);
        for (index, record) in records.iter().enumerate().filter(|(index, _)| *index != 8) {
            let key = table.add(record, now).expect("the record is new");
            table.subscriber_connected(key, now);
            table.set_unreachable(key, lost == Some(index));
        }
        table
    };
    let owners = |table: &MembershipTable, endpoint: &str| -> Vec<InstanceRecord> {
        let keys = table.connection_owners(endpoint, "a", 2).into_iter();
        keys.map(|key| table.record(key).expect("it is known").clone()).collect()
    };
    let complete = table_without(None);
    let others: Vec<(usize, MembershipTable)> =
        (0..8).map(|lost| (lost, table_without(Some(lost)))).collect();
    for index in 0..40 {
        let endpoint = format!("endpoint-{index}");
        let before = owners(&complete, &endpoint);
        assert_eq!(before[0].zone, "a");
        for (lost, table) in &others {
            let expected = if before[0] == records[*lost] { &before[1] } else { &before[0] };
            assert_eq!(owners(table, &endpoint)[0], *expected);
        }
    }
}

// A single observer that lost the connection to a slow instance must not declare it dead.
fleet_case!(instance_stays_live_while_one_observer_reports_it, 2 x 12, 0 large, fleet => {
    let subscriber = (0..24).find(|index| fleet.subscription_count(*index) == OBSERVERS_PER_ZONE);
    let subscriber = subscriber.expect("most instances are no observers");
    let pairs: Vec<_> =
        fleet.subscriptions.keys().copied().filter(|(from, _)| *from == subscriber).collect();
    let name = fleet.instances[subscriber].record.name.clone();
    for (_, to) in &pairs[1..] {
        let incarnation = fleet.instances[subscriber].record.incarnation;
        let now = fleet.now;
        let table = &mut fleet.instances[*to].table;
        let key = table.key(&name).expect("it is known");
        table.subscriber_lost(key, incarnation, now);
    }
    fleet.publish();
    fleet.publish();
    for instance in &fleet.instances {
        let key = instance.table.key(&name).expect("it is known");
        assert!(instance.table.is_live(key), "{}", instance.record.name);
    }
});

// All observers of a zone end at once; the others must not look isolated meanwhile.
fleet_case!(loss_of_all_observers_of_a_zone_isolates_nobody, 2 x 12, 0 large, fleet => {
    let observers: Vec<usize> = (0..24)
        .filter(|index| index % 2 == 0 && fleet.subscription_count(*index) > OBSERVERS_PER_ZONE)
        .collect();
    observers.iter().for_each(|index| fleet.kill(*index));
    for _ in 0..60 {
        fleet.step();
        for instance in fleet.instances.iter().filter(|instance| instance.is_running) {
            let live = instance.table.live_count();
            assert!(live >= 24 - observers.len(), "{}: {live}", instance.record.name);
        }
    }
    fleet.check_agreement();
});

// An instance that ended while an observer was not connected must not stay live.
fleet_case!(view_of_a_reconnected_observer_replaces_the_earlier_one, 2 x 3, 0 large, fleet => {
    fleet.instances[0].side = 1;
    fleet.kill(3);
    (0..5).for_each(|_| fleet.step());
    fleet.instances[0].side = 0;
    fleet.settle();
    fleet.check_agreement();
});

// A cut off instance reported each endpoint that it tried, and every report went to the whole fleet.
#[test]
fn cut_off_instance_reports_no_endpoints() {
    let endpoints = |count: usize| (0..count).map(|index| format!("m-{index}")).collect();
    let mut status = MemberStatus::default();
    status.set_unreachable(endpoints(2), 0);
    assert_eq!((status.unreachable_endpoints.len(), status.is_cut_off), (2, false));
    status.set_unreachable(endpoints(60), 0);
    assert_eq!((status.unreachable_endpoints.len(), status.is_cut_off), (0, true));
    status.set_unreachable(endpoints(60), 1);
    assert_eq!((status.unreachable_endpoints.len(), status.is_cut_off), (60, false));
}

fleet_case!(cut_off_instance_is_the_last_owner_and_raises_no_suspicion, 1 x 3, 0 large, fleet => {
    let owner = |fleet: &SimulatedFleet| {
        let table = &fleet.instances[0].table;
        fleet.name(0, table.connection_owners("m-1", "zone-0", 1)[0])
    };
    let first = owner(&fleet);
    let mut status = MemberStatus::default();
    status.set_unreachable((0..3).map(|index| format!("m-{index}")).collect(), 0);
    fleet.instances[index_of(&first)].table.set_own_status(status.clone());
    let now = fleet.now;
    let table = &mut fleet.instances[0].table;
    let key = table.key(&first).expect("it is known");
    table.record_status(key, 9, &status);
    table.expire(now);
    assert_ne!(owner(&fleet), first);
    assert!(!fleet.instances[0].table.is_endpoint_suspect("m-1"));
});

// A late message about the process before a restart must not bring it back.
fleet_case!(replaced_incarnation_is_ignored, 1 x 4, 0 large, fleet => {
    let old = fleet.instances[1].record.clone();
    fleet.kill(1);
    fleet.start(1);
    fleet.settle();
    let now = fleet.now;
    assert_eq!(fleet.instances[0].table.add(&old, now), None);
    fleet.check_agreement();
});

fleet_case!(third_of_the_instances_is_cut_off_and_returns, 5 x 20, 3 large, fleet => {
    for index in 0..35 {
        fleet.instances[index * 2].side = 1;
    }
    fleet.settle();
    fleet.check_agreement();
    let fraction = |index: usize| {
        let table = &fleet.instances[index].table;
        table.live_count() as f64 / table.known_count() as f64
    };
    assert!(fraction(0) + fraction(1) <= 1.0, "{} {}", fraction(0), fraction(1));
    fleet.instances.iter_mut().for_each(|instance| instance.side = 0);
    fleet.settle();
    fleet.check_agreement();
});

#[test]
fn instances_agree_after_any_faults() {
    check_cases(40, 400, |choices: &mut Choices| {
        let (zones, size) = (1 + choices.below(4), 1 + choices.below(9));
        let mut fleet = SimulatedFleet::new(zones, size, choices.below(3));
        let count = zones * size;
        while !choices.is_done() {
            let index = choices.below(count);
            match choices.below(6) {
                0 if fleet.instances[index].is_running => fleet.kill(index),
                0 => fleet.start(index),
                1 => fleet.instances[index].side = choices.below(2),
                2 => fleet.instances.iter_mut().for_each(|instance| instance.side = 0),
                _ => (0..choices.below(12)).for_each(|_| fleet.step()),
            }
        }
        fleet.settle();
        fleet.check_agreement();
    });
}
