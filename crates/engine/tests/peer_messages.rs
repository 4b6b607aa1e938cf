//! Malformed messages of peers must be rejected without a panic.

use bytes::BytesMut;
use coord::membership::{InstanceRecord, MemberStatus, ViewEntry};
use coord::promotion_order::PromotionOrder;
use engine::frame::{FrameDecoder, FrameEncoder, FrameLane};
use engine::interface::WatchedTable;
use engine::message::{
    FleetHeads, InstanceReport, PeerMessage, PeerReply, PeerRequest, TransferPart, ViewUpdate,
};
use engine::table_change::{DeltaContent, PackedChange, RowDelta, TableChange};
use quickcheck::quickcheck;
use state::position::LogPosition;
use state::store_version::{DocumentVersion, StoreVersion};

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
    let [document, endpoints] = [4, 9].map(|number| StoreVersion::new(1, number));
    FleetHeads {
        table_versions: [document, endpoints],
        document_version: DocumentVersion { row: StoreVersion::new(1, 2), number: 2 },
        leaders: vec![leader],
        acknowledged: vec![("bookings".to_owned(), LogPosition::new(3, 70))],
        orders: vec![PromotionOrder {
            service: "bookings".to_owned(),
            endpoint: "m-2".to_owned(),
            token: 9,
            is_settled: false,
        }],
    }
}

fn view() -> PeerReply {
    let status =
        MemberStatus { unreachable_endpoints: vec!["m-2".to_owned()], ..Default::default() };
    let entry = ViewEntry { record: record(), live: true, sequence: 2, status };
    let update = ViewUpdate { is_full: true, entries: vec![entry], heads: Some(heads()) };
    PeerReply::View(Box::new(update))
}

fn change() -> PeerReply {
    let content = DeltaContent::Whole(vec![1, 2, 3]);
    let [after, version] = [3, 4].map(|number| StoreVersion::new(1, number));
    let row = RowDelta { key: "config".to_owned(), version, content };
    let change = TableChange { after, version, is_full: false, rows: vec![row] };
    let change = PackedChange::pack(&change).expect("the change is packed");
    PeerReply::Change { table: WatchedTable::Document, change }
}

fn part() -> PeerReply {
    let (transfer, total_length, offset) = (7, 60_000, 20_000);
    let part = TransferPart::Data { transfer, total_length, offset, bytes: vec![5; 20_000] };
    PeerReply::Part { call_id: 1, part }
}

fn report() -> PeerRequest {
    let (sequence, status) = (1, MemberStatus::default());
    PeerRequest::Report(Box::new(InstanceReport { sequence, status, heads: heads() }))
}

fn encoded<M: PeerMessage>(message: &M) -> BytesMut {
    let mut bytes = BytesMut::new();
    let encoded = FrameEncoder::default().encode(message, message.lane(), &mut bytes);
    encoded.expect("the message is encoded");
    bytes
}

fn decoder(bytes: &[u8]) -> FrameDecoder {
    let mut decoder = FrameDecoder::default();
    decoder.input().extend_from_slice(bytes);
    decoder
}

/// Replaces bytes at the given positions and decodes all messages until the first error.
fn decode_mutated(mut bytes: Vec<u8>, changes: &[(usize, u8)]) {
    for (position, value) in changes {
        let position = position % bytes.len();
        bytes[position] = *value;
    }
    let mut requests = decoder(&bytes);
    while let Ok(Some(_)) = requests.next_message::<PeerRequest>() {}
    let mut replies = decoder(&bytes);
    while let Ok(Some(_)) = replies.next_message::<PeerReply>() {}
}

quickcheck! {
    fn mutated_messages_are_rejected(changes: Vec<(usize, u8)>) -> bool {
        let replies = [encoded(&view()), encoded(&change()), encoded(&part())];
        for bytes in replies.into_iter().chain([encoded(&report())]) {
            decode_mutated(bytes.to_vec(), &changes);
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
    assert!(decoder(&u32::MAX.to_le_bytes()).next_message::<PeerRequest>().is_err());
}

#[test]
fn only_changed_leaders_are_published() {
    let mut current = heads();
    current.leaders.push(("register".to_owned(), "m-4".to_owned(), 1));
    current.table_versions[0] = StoreVersion::new(1, 5);
    let changes = current.changes_since(&heads());
    assert_eq!(changes.table_versions, current.table_versions);
    assert_eq!(changes.leaders, [("register".to_owned(), "m-4".to_owned(), 1)]);
}

// A ping waited behind a document in the same queue until the link counted as lost.
#[test]
fn urgent_messages_pass_between_the_parts_of_a_long_one() {
    let long = encoded(&part());
    let first_part_end = 4 + 8_192;
    let ping = encoded(&PeerReply::Pong { ping_id: 9, validation: None, evidence: [None; 2] });
    let bytes = [&long[..first_part_end], &ping, &long[first_part_end..]].concat();
    let mut decoder = decoder(&bytes);
    let first = decoder.next_message::<PeerReply>().expect("the frames are valid");
    assert!(matches!(first, Some(PeerReply::Pong { ping_id: 9, .. })), "{first:?}");
    let second = decoder.next_message::<PeerReply>().expect("the frames are valid");
    let Some(PeerReply::Part { part: TransferPart::Data { bytes, .. }, .. }) = second else {
        panic!("{second:?}");
    };
    assert_eq!(bytes, vec![5; 20_000]);
}

// A message that could not be encoded took those queued before it along.
#[test]
fn a_message_that_is_too_long_leaves_the_queue_as_it_is() {
    let mut bytes = encoded(&report());
    let queued = bytes.clone();
    let change = PackedChange::Plain(vec![0; 5 << 20]);
    let message = PeerReply::Change { table: WatchedTable::Document, change };
    let result = FrameEncoder::default().encode(&message, FrameLane::Ordered, &mut bytes);
    assert!(result.is_err());
    assert_eq!(bytes, queued);
}
