//! Invariants of positions, session tokens, token buckets, credentials and documents.

use std::sync::Arc;
use std::time::{Duration, Instant};

use quickcheck::quickcheck;
use state::bucket::TokenBucket;
use state::catalog::DocumentCatalog;
use state::credential::KeyHash;
use state::document::Document;
use state::position::{LogPosition, MemberPosition, MemberRole, MemberStatus};
use state::session::SessionPositions;
use state::token::{TokenCodec, TokenError};

/// Defines one test per case of a check.
macro_rules! cases {
    ($check:ident { $($name:ident: $input:expr;)* }) => {
        $(
            #[test]
            fn $name() {
                $check($input);
            }
        )*
    };
}

struct AppliedCase {
    member: (u64, u64, u64),
    target: (u64, u64),
    expected: bool,
}

fn check_has_applied(case: AppliedCase) {
    let (term, applied, term_start) = case.member;
    let member = MemberPosition { role: MemberRole::Replica, term, applied, term_start };
    let target = LogPosition::new(case.target.0, case.target.1);
    assert_eq!(member.has_applied(target), case.expected);
}

cases! {
    check_has_applied {
        target_of_the_same_term_is_not_applied_when_behind: AppliedCase { member: (2, 9, 4), target: (2, 10), expected: false };
        target_of_the_same_term_is_applied_when_caught_up: AppliedCase { member: (2, 10, 4), target: (2, 10), expected: true };
        target_of_a_newer_term_is_not_applied: AppliedCase { member: (1, 99, 0), target: (2, 5), expected: false };
        target_of_an_older_term_is_applied_past_the_term_start: AppliedCase { member: (2, 5, 4), target: (1, 7), expected: true };
        target_of_an_older_term_is_not_applied_when_behind: AppliedCase { member: (3, 5, 9), target: (1, 7), expected: false };
    }
}

fn check_invalid_document(case: (&str, &str)) {
    let (text, expected) = case;
    let error = Document::parse(text).expect_err("the document is rejected").to_string();
    assert!(error.contains(expected), "{error}");
}

cases! {
    check_invalid_document {
        unknown_field_is_rejected_with_line_and_column: ("format = 1\n[[team]]\nname = \"a\"\nrates = 3\n", "line 4, column 1");
        unsupported_format_version_is_rejected: ("format = 2\n", "format must be 1");
        duplicate_name_is_rejected: ("format = 1\n[[team]]\nname = \"a\"\n[[team]]\nname = \"a\"\n", "name is declared more than once");
        name_with_a_space_is_rejected: ("format = 1\n[[team]]\nname = \"a b\"\n", "1 to 63");
        rate_that_is_not_a_number_is_rejected: ("format = 1\n[[team]]\nname = \"a\"\nrate = nan\n", "rate must be between");
        route_of_an_undeclared_database_is_rejected: ("format = 1\n[[route]]\nname = \"r\"\ndatabase = \"d\"\ntables = [\"t\"]\n", "is not declared");
        database_without_members_is_rejected: ("format = 1\n[[database]]\nname = \"d\"\n", "at least one member");
        malformed_key_hash_is_rejected: ("format = 1\n[[team]]\nname = \"a\"\nkeys = [\"secret\"]\n", "sha256$salt$digest");
    }
}

#[test]
fn example_documents_are_valid() {
    for name in ["volksdans", "apmpa"] {
        let path = format!("{}/../../examples/{name}.toml", env!("CARGO_MANIFEST_DIR"));
        let text = std::fs::read_to_string(path).expect("the example can be read");
        let document = Document::parse(&text).expect("the example is valid");
        assert_eq!((document.teams.len(), document.databases.len()), (9, 3));
    }
}

#[test]
fn ids_stay_stable_across_revisions() {
    let first = Document::parse("format = 1\n[[team]]\nname = \"a\"\n[[team]]\nname = \"b\"\n");
    let second = Document::parse("format = 1\n[[team]]\nname = \"b\"\nrate = 7\n");
    let before = DocumentCatalog::default().updated(1, &first.expect("valid"));
    let after = before.updated(2, &second.expect("valid"));
    assert_eq!(before.team_id("b"), after.team_id("b"));
    let (a, b) = (before.team_id("a").expect("a"), after.team_id("b").expect("b"));
    assert!(after.team(a).is_none());
    assert_eq!(after.team(b).map(|team| team.rate), Some(7.0));
}

#[test]
fn key_hash_matches_its_own_key_only() {
    let hash = KeyHash::generate("right");
    let parsed: KeyHash = hash.to_string().parse().expect("the text form is valid");
    assert!(parsed.matches("right") && !parsed.matches("wrong") && !parsed.matches(""));
    assert!(!format!("{hash:?}").contains("right"));
}

fn positions(entries: &[(u8, u64, u64)]) -> SessionPositions {
    let mut positions = SessionPositions::default();
    for (name, term, index) in entries {
        let database = Arc::from(format!("database-{name}"));
        positions.advance(&database, LogPosition::new(*term, *index));
    }
    positions
}

quickcheck! {
    fn token_round_trip(entries: Vec<(u8, u64, u64)>) -> bool {
        let entries: Vec<_> = entries.into_iter().take(60).collect();
        let codec = TokenCodec::new(b"secret");
        codec.decode(&codec.encode(&positions(&entries))) == Ok(positions(&entries))
    }

    fn modified_token_is_rejected(entries: Vec<(u8, u64, u64)>, index: usize, letter: u8) -> bool {
        let entries: Vec<_> = entries.into_iter().take(60).collect();
        let codec = TokenCodec::new(b"secret");
        let token = codec.encode(&positions(&entries));
        let mut bytes = token.clone().into_bytes();
        let index = index % bytes.len();
        bytes[index] = b'A' + letter % 26;
        let modified = String::from_utf8_lossy(&bytes).into_owned();
        modified == token || codec.decode(&modified).is_err()
    }

    fn arbitrary_text_is_rejected_without_a_panic(text: String) -> bool {
        TokenCodec::new(b"secret").decode(&text).is_err()
            && text.parse::<KeyHash>().is_err()
            && text.parse::<MemberStatus>().is_err()
    }

    fn status_round_trip(numbers: (u64, u64, u64, u64, u64, u64)) -> bool {
        let (term, applied, term_start, promised, received, last_contact_ms) = numbers;
        let position = MemberPosition { role: MemberRole::Fenced, term, applied, term_start };
        let status =
            MemberStatus { position, promised, last_term: term, received, last_contact_ms };
        status.to_string().parse::<MemberStatus>().ok() == Some(status)
    }

    fn bucket_never_exceeds_rate_and_burst(steps: Vec<(u16, u8)>) -> bool {
        let start = Instant::now();
        let (rate, burst) = (50.0, 20.0);
        let mut bucket = TokenBucket::empty(rate, burst, start);
        let (mut now, mut taken_at) = (start, Vec::new());
        for (millis, count) in steps {
            now += Duration::from_millis(millis.into());
            for _ in 0..count {
                if bucket.take(1.0, now).is_ok() {
                    taken_at.push(now);
                }
            }
        }
        let last = taken_at.last().copied().unwrap_or(start);
        taken_at.iter().enumerate().all(|(index, first)| {
            let window = (last - *first).as_secs_f64();
            (taken_at.len() - index) as f64 <= rate * window + burst + 1e-6
        })
    }
}

#[test]
fn token_of_another_secret_is_rejected() {
    let token = TokenCodec::new(b"one").encode(&positions(&[(1, 2, 3)]));
    assert_eq!(TokenCodec::new(b"two").decode(&token), Err(TokenError::Integrity));
}
