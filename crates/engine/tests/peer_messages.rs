//! Malformed messages of peers must be rejected without a panic.

use bytes::BytesMut;
use coord::membership::{InstanceRecord, MemberStatus, ViewEntry};
use engine::interface::WatchedTable;
use engine::message::{
    FleetHeads, InstanceReport, PeerReply, PeerRequest, ViewUpdate, decode, encode,
};
use engine::tables::StoredRow;
use quickcheck::quickcheck;

fn record() -> InstanceRecord {
    InstanceRecord {
        name: "instance-1".to_owned(),
        address: ([127, 0, 0, 1], 7_000).into(),
        zone: "a".to_owned(),
        incarnation: 7,
        capacity: 250,
    }
}

fn heads() -> FleetHeads {
    let leader = ("bookings".to_owned(), "m-1".to_owned(), 3);
    FleetHeads { table_versions: [4, 9], leaders: vec![leader] }
}

fn view() -> PeerReply {
    let status =
        MemberStatus { unreachable_endpoints: vec!["m-2".to_owned()], ..Default::default() };
    let entry = ViewEntry { record: record(), live: true, sequence: 2, status };
    let update = ViewUpdate { is_full: true, entries: vec![entry], heads: Some(heads()) };
    PeerReply::View(Box::new(update))
}

fn rows() -> PeerReply {
    let row = StoredRow { key: "config".to_owned(), version: 4, value: Some(vec![1, 2, 3]) };
    PeerReply::Rows { table: WatchedTable::Document, after: 3, rows: vec![row] }
}

fn report() -> PeerRequest {
    let (sequence, status) = (1, MemberStatus::default());
    PeerRequest::Report(Box::new(InstanceReport { sequence, status, heads: heads() }))
}

fn encoded<M: serde::Serialize>(message: &M) -> Vec<u8> {
    let mut bytes = Vec::new();
    encode(message, &mut bytes).expect("the message is encoded");
    bytes
}

/// Replaces bytes at the given positions and decodes all messages until the first error.
fn decode_mutated(mut bytes: Vec<u8>, changes: &[(usize, u8)]) {
    for (position, value) in changes {
        let position = position % bytes.len();
        bytes[position] = *value;
    }
    let mut requests = BytesMut::from(bytes.as_slice());
    while let Ok(Some(_)) = decode::<PeerRequest>(&mut requests) {}
    let mut replies = BytesMut::from(bytes.as_slice());
    while let Ok(Some(_)) = decode::<PeerReply>(&mut replies) {}
}

quickcheck! {
    fn mutated_messages_are_rejected(changes: Vec<(usize, u8)>) -> bool {
        for bytes in [encoded(&view()), encoded(&rows()), encoded(&report())] {
            decode_mutated(bytes, &changes);
        }
        true
    }

    fn arbitrary_bytes_are_rejected(bytes: Vec<u8>) -> bool {
        if !bytes.is_empty() {
            decode_mutated(bytes, &[]);
        }
        true
    }
}

#[test]
fn a_message_over_the_limit_is_rejected_before_it_arrives() {
    let mut input = BytesMut::from(u32::MAX.to_le_bytes().as_slice());
    assert!(decode::<PeerRequest>(&mut input).is_err());
}

#[test]
fn only_changed_leaders_are_published() {
    let mut current = heads();
    current.leaders.push(("register".to_owned(), "m-4".to_owned(), 1));
    current.table_versions = [5, 9];
    let changes = current.changes_since(&heads());
    assert_eq!(changes.table_versions, [5, 9]);
    assert_eq!(changes.leaders, [("register".to_owned(), "m-4".to_owned(), 1)]);
}
