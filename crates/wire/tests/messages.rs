//! Tests of SQL classification, group commands, framing and message fields.

use bytes::BytesMut;
use quickcheck::quickcheck;
use wire::frame::{RawFrame, split_frame};
use wire::frontend;
use wire::group::GroupCommand;
use wire::statement::{StatementCache, StatementClass, StatementKind};

/// Generates one named test per input of a check function.
macro_rules! test_cases {
    ($check:ident { $($name:ident: $input:expr;)* }) => {
        $(
            #[test]
            fn $name() {
                $check($input);
            }
        )*
    };
}

fn check_kind(case: (&str, StatementKind, &[&str])) {
    let (text, kind, tables) = case;
    let class = StatementClass::of(text);
    assert_eq!(class.kind, kind, "{text}");
    assert_eq!(class.tables, tables, "{text}");
}

test_cases! {
    check_kind {
        select: ("SELECT a FROM seats WHERE id = 1", StatementKind::Read, &["seats"]);
        select_from_two_tables: ("SELECT * FROM Halls h JOIN \"seats\" s ON s.h = h.id", StatementKind::Read, &["halls", "seats"]);
        select_from_common_table_expression: ("WITH f AS (SELECT * FROM seats) SELECT count(*) FROM f", StatementKind::Read, &["seats"]);
        select_for_update: ("SELECT * FROM seats FOR UPDATE", StatementKind::Write, &["seats"]);
        select_for_update_in_subquery: ("SELECT * FROM (SELECT * FROM seats FOR UPDATE) s", StatementKind::Write, &["seats"]);
        select_with_side_effect: ("SELECT nextval('s') FROM seats", StatementKind::Write, &["seats"]);
        select_with_unknown_function: ("SELECT pay(id) FROM seats", StatementKind::Write, &["seats"]);
        delete_in_common_table_expression: ("WITH d AS (DELETE FROM seats RETURNING id) SELECT * FROM d", StatementKind::Write, &["seats"]);
        select_into: ("SELECT * INTO copy FROM seats", StatementKind::Write, &["seats"]);
        insert: ("INSERT INTO seats VALUES (1)", StatementKind::Write, &["seats"]);
        explain: ("EXPLAIN SELECT * FROM seats", StatementKind::Read, &["seats"]);
        explain_analyze: ("EXPLAIN ANALYZE DELETE FROM seats", StatementKind::Write, &["seats"]);
        begin: ("BEGIN", StatementKind::Begin, &[]);
        begin_read_only: ("START TRANSACTION READ ONLY", StatementKind::BeginReadOnly, &[]);
        commit: ("COMMIT;", StatementKind::Commit, &[]);
        end: ("END", StatementKind::Commit, &[]);
        rollback: ("ROLLBACK", StatementKind::Rollback, &[]);
        rollback_to_savepoint: ("ROLLBACK TO SAVEPOINT a", StatementKind::Savepoint, &[]);
        copy: ("COPY seats FROM STDIN", StatementKind::Unsupported, &[]);
        copy_with_syntax_error: ("copy seats from stdin with (nonsense 1 2)", StatementKind::Unsupported, &[]);
        copy_among_several_statements: ("SELECT 1; COPY seats TO STDOUT", StatementKind::Unsupported, &[]);
        set: ("SET application_name = 'x'", StatementKind::Session, &[]);
        set_among_several_statements: ("SELECT 1; SET search_path = x", StatementKind::Unsupported, &[]);
        separator_only: (" ; ", StatementKind::Empty, &[]);
        comment_only: ("-- nothing", StatementKind::Empty, &[]);
        unknown_keyword: ("FROBNICATE seats", StatementKind::Write, &[]);
        two_selects: ("SELECT 1 FROM a; SELECT 2 FROM b", StatementKind::Read, &["a", "b"]);
        select_and_delete: ("SELECT 1 FROM a; DELETE FROM b", StatementKind::Write, &["a", "b"]);
        transaction_in_one_text: ("BEGIN; DELETE FROM b; COMMIT", StatementKind::Mixed, &["b"]);
    }
}

fn check_session_effect((text, changes_session): (&str, bool)) {
    let class = StatementClass::of(text);
    assert_ne!(class.kind, StatementKind::Unsupported, "{text}");
    assert_eq!(class.changes_session, changes_session, "{text}");
}

test_cases! {
    check_session_effect {
        read_leaves_nothing: ("SELECT max(id) FROM seats", false);
        write_leaves_nothing: ("UPDATE seats SET at = now() WHERE id IN (SELECT 1)", false);
        transaction_leaves_nothing: ("BEGIN; DELETE FROM seats; COMMIT", false);
        unknown_function_in_a_read: ("SELECT pay(id) FROM seats", true);
        unknown_function_in_a_write: ("INSERT INTO seats SELECT pay(1)", true);
        unknown_function_as_a_table: ("SELECT * FROM seats, pay(1)", true);
        unknown_function_in_a_transaction: ("BEGIN; SELECT pay(1); COMMIT", true);
        definition: ("CREATE TABLE seats (id int)", true);
        block: ("DO 'BEGIN NULL; END'", true);
        call: ("CALL pay(1)", true);
        rejected_by_the_parser: ("FROBNICATE seats", true);
    }
}

/// Checks the kind of a text that is too long to be parsed.
fn check_long_kind((text, kind): (&str, StatementKind)) {
    let text = format!("{text} /*{}*/", "x".repeat(66_000));
    let class = StatementClass::of(&text);
    assert_eq!(class.kind, kind);
    assert!(class.changes_session || kind == StatementKind::Unsupported);
}

// All of them counted as writes, so that a commit among them was not confirmed.
test_cases! {
    check_long_kind {
        long_insert: ("INSERT INTO seats VALUES (1)", StatementKind::Write);
        long_commit: ("-- done\nCOMMIT", StatementKind::Commit);
        long_commit_after_a_write: ("DELETE FROM a; COMMIT", StatementKind::Mixed);
        long_rollback: ("ABORT", StatementKind::Rollback);
        long_cursor: ("DECLARE c CURSOR FOR SELECT 1", StatementKind::Unsupported);
    }
}

// Such a batch was sent to a member, which ran the SET on a connection of all sessions.
#[test]
fn a_set_in_a_batch_of_other_statements_is_unsupported() {
    let classes = ["SET search_path = x", "SELECT 1"].map(StatementClass::of);
    let merged = StatementClass::merge(&classes.each_ref());
    assert_eq!(merged.kind, StatementKind::Unsupported);
}

// A function in the place of a table was taken for one.
#[test]
fn a_table_function_is_no_read() {
    assert_eq!(StatementClass::of("SELECT * FROM pay(1)").kind, StatementKind::Write);
    assert_eq!(StatementClass::of("SELECT * FROM generate_series(1, 3)").kind, StatementKind::Read);
}

#[test]
fn cached_class_equals_fresh_class() {
    let cache = StatementCache::default();
    for round in 0..3 {
        for number in 0..20_000 {
            let text = match number % 3 {
                0 => format!("SELECT a FROM t{number}"),
                1 => format!("DELETE FROM t{number}"),
                _ => "SELECT a FROM seats".to_owned(),
            };
            if number % 97 == round {
                let (cached, fresh) = (cache.classify(&text), StatementClass::of(&text));
                assert_eq!((cached.kind, &cached.tables), (fresh.kind, &fresh.tables));
            } else {
                cache.classify(&text);
            }
        }
    }
    // 16 shards with two generations of at most 512 texts each.
    assert!(cache.len() <= 16 * 2 * 512, "{} texts are held", cache.len());
}

#[test]
fn group_commands_round_trip() {
    let commands = [
        GroupCommand::Status,
        GroupCommand::Confirm,
        GroupCommand::Label("a-1".to_owned()),
        GroupCommand::Outcome("a-1".to_owned()),
        GroupCommand::Fence(7),
        GroupCommand::Promote(8),
        GroupCommand::Follow { term: 9, primary: "gent".to_owned() },
    ];
    for command in commands {
        assert_eq!(GroupCommand::parse(&command.to_string()), Some(command));
    }
    assert_eq!(GroupCommand::parse("CALL group.fence(x)"), None);
    assert_eq!(GroupCommand::parse("SELECT 1"), None);
}

fn raw_frame(tag: u8, body: &[u8]) -> RawFrame {
    let mut bytes = BytesMut::from(&[tag][..]);
    bytes.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    bytes.extend_from_slice(body);
    RawFrame { tag, bytes }
}

quickcheck! {
    fn split_frame_accepts_arbitrary_bytes(bytes: Vec<u8>) -> bool {
        let mut buffer = BytesMut::from(&bytes[..]);
        let before = buffer.len();
        match split_frame(&mut buffer, 1_024) {
            Ok(Some(frame)) => frame.bytes.len() + buffer.len() == before,
            Ok(None) | Err(_) => buffer.len() == before,
        }
    }

    fn field_readers_accept_arbitrary_bodies(body: Vec<u8>) -> bool {
        for tag in [b'Q', b'P', b'B', b'D', b'E', b'C'] {
            let frame = raw_frame(tag, &body);
            let _ = frontend::read_query(&frame);
            let _ = frontend::read_parse(&frame);
            let _ = frontend::read_bind(&frame);
            let _ = frontend::read_object(&frame);
            let _ = frontend::read_execute(&frame);
        }
        true
    }

    fn classification_accepts_arbitrary_text(text: String) -> bool {
        let class = StatementClass::of(&text);
        class.kind != StatementKind::Read || class.statement_count > 0
    }

    fn bind_message_round_trips(values: Vec<u8>) -> bool {
        let mut buffer = BytesMut::new();
        let fields = frontend::BindFields { portal: "p", statement: "s", values: &values };
        frontend::put_bind(&mut buffer, &fields);
        let frame = split_frame(&mut buffer, 1 << 20).ok().flatten();
        frame.is_some_and(|frame| frontend::read_bind(&frame) == Ok(fields))
    }
}
