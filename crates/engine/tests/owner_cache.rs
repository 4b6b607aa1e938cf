//! Cached owners must follow the registrations of endpoints and the membership.

use std::time::Instant;

use coord::membership::InstanceRecord;
use engine::peer::PeerTable;

fn record(name: &str, zone: &str) -> InstanceRecord {
    InstanceRecord {
        name: name.to_owned(),
        address: ([127, 0, 0, 1], 7_000).into(),
        zone: zone.to_owned(),
        incarnation: 1,
        capacity: 250,
    }
}

// The owners of an endpoint that was asked for before its registration arrived ignored its zone, and
// instances disagreed about them.
#[test]
fn owners_follow_the_zone_of_a_new_registration() {
    let peers = PeerTable::new(record("instance-1", "a"), Instant::now());
    assert_eq!(peers.connection_owners("m-1", "")[..], ["instance-1"]);
    assert_eq!(peers.connection_owners("m-1", "a")[..], ["instance-1"]);
    peers.add_live(&record("instance-2", "b"), Instant::now());
    assert_eq!(peers.connection_owners("m-1", "a")[0], "instance-1");
    assert_eq!(peers.connection_owners("m-1", "b")[0], "instance-2");
}

// An instance that went on deciding for a team after another one became its owner would grant tokens
// beside it.
#[test]
fn the_deciding_instance_follows_the_membership() {
    let peers = PeerTable::new(record("instance-1", "a"), Instant::now());
    let teams: Vec<String> = (0..20).map(|number| format!("team-{number}")).collect();
    assert!(teams.iter().all(|team| peers.is_fleet_owner(team)));
    peers.add_live(&record("instance-2", "a"), Instant::now());
    let others: Vec<&String> = teams.iter().filter(|team| !peers.is_fleet_owner(team)).collect();
    assert!(!others.is_empty(), "the new instance decides for some teams");
    assert!(others.iter().all(|team| peers.fleet_owner(team).as_deref() == Some("instance-2")));
}
