//! Rules of positions, tokens, buckets, credentials and documents.

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

/// Names each case of a rule.
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

struct CoverCase {
    member: (u64, u64, u64),
    seen: (u64, u64),
    covers: bool,
}

fn check_cover(case: CoverCase) {
    let (term, applied, term_start) = case.member;
    let member = MemberPosition { role: MemberRole::Replica, term, applied, term_start };
    let seen = LogPosition::new(case.seen.0, case.seen.1);
    assert_eq!(member.has_applied(seen), case.covers);
}

cases! {
    check_cover {
        same_term_and_behind: CoverCase { member: (2, 9, 4), seen: (2, 10), covers: false };
        same_term_and_level: CoverCase { member: (2, 10, 4), seen: (2, 10), covers: true };
        member_of_an_older_term: CoverCase { member: (1, 99, 0), seen: (2, 5), covers: false };
        old_position_past_the_term_start: CoverCase { member: (2, 5, 4), seen: (1, 7), covers: true };
        old_position_before_the_term_start: CoverCase { member: (3, 5, 9), seen: (1, 7), covers: false };
    }
}

fn check_refused_document(case: (&str, &str)) {
    let (text, expected) = case;
    let error = Document::parse(text).expect_err("the document is refused").to_string();
    assert!(error.contains(expected), "{error}");
}

cases! {
    check_refused_document {
        unknown_field_with_its_place: ("format = 1\n[[team]]\nname = \"a\"\nrates = 3\n", "line 4, column 1");
        unknown_format: ("format = 2\n", "format must be 1");
        name_that_stands_twice: ("format = 1\n[[team]]\nname = \"a\"\n[[team]]\nname = \"a\"\n", "stands twice");
        name_with_a_space: ("format = 1\n[[team]]\nname = \"a b\"\n", "1 to 63");
        rate_that_is_no_number: ("format = 1\n[[team]]\nname = \"a\"\nrate = nan\n", "rate must lie");
        route_without_its_database: ("format = 1\n[[route]]\nname = \"r\"\ndatabase = \"d\"\ntables = [\"t\"]\n", "is not declared");
        database_without_members: ("format = 1\n[[database]]\nname = \"d\"\n", "at least one member");
        key_that_is_no_hash: ("format = 1\n[[team]]\nname = \"a\"\nkeys = [\"secret\"]\n", "sha256$salt$digest");
    }
}

#[test]
fn example_documents_are_valid() {
    for name in ["volksdans", "apmpa"] {
        let path = format!("{}/../../examples/{name}.toml", env!("CARGO_MANIFEST_DIR"));
        let text = std::fs::read_to_string(path).expect("the example is there");
        let document = Document::parse(&text).expect("the example is valid");
        assert_eq!((document.teams.len(), document.databases.len()), (9, 3));
    }
}

#[test]
fn keys_of_names_outlive_a_change_of_the_document() {
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
fn a_key_matches_its_own_hash_only() {
    let hash = KeyHash::generate("right");
    let again: KeyHash = hash.to_string().parse().expect("the printed form is read back");
    assert!(again.matches("right") && !again.matches("wrong") && !again.matches(""));
    assert!(!format!("{hash:?}").contains("right"));
}

fn positions(seen: &[(u8, u64, u64)]) -> SessionPositions {
    let mut positions = SessionPositions::default();
    for (name, term, index) in seen {
        let database = Arc::from(format!("database-{name}"));
        positions.advance(&database, LogPosition::new(*term, *index));
    }
    positions
}

quickcheck! {
    fn a_token_is_read_back_as_written(seen: Vec<(u8, u64, u64)>) -> bool {
        let seen: Vec<_> = seen.into_iter().take(60).collect();
        let codec = TokenCodec::new(b"secret");
        codec.decode(&codec.encode(&positions(&seen))) == Ok(positions(&seen))
    }

    fn a_changed_token_is_refused(seen: Vec<(u8, u64, u64)>, place: usize, letter: u8) -> bool {
        let seen: Vec<_> = seen.into_iter().take(60).collect();
        let codec = TokenCodec::new(b"secret");
        let token = codec.encode(&positions(&seen));
        let mut bytes = token.clone().into_bytes();
        let place = place % bytes.len();
        bytes[place] = b'A' + letter % 26;
        let changed = String::from_utf8_lossy(&bytes).into_owned();
        changed == token || codec.decode(&changed).is_err()
    }

    fn any_text_is_refused_without_a_panic(text: String) -> bool {
        TokenCodec::new(b"secret").decode(&text).is_err()
            && text.parse::<KeyHash>().is_err()
            && text.parse::<MemberStatus>().is_err()
    }

    fn a_status_is_read_back_as_written(numbers: (u64, u64, u64, u64, u64, u64)) -> bool {
        let (term, applied, term_start, promised, received, heard_ms) = numbers;
        let position = MemberPosition { role: MemberRole::Fenced, term, applied, term_start };
        let status =
            MemberStatus { position, promised, last_term: term, received, last_contact_ms: heard_ms };
        status.to_string().parse::<MemberStatus>().ok() == Some(status)
    }

    fn a_bucket_never_exceeds_rate_and_burst(steps: Vec<(u16, u8)>) -> bool {
        let begin = Instant::now();
        let (rate, burst) = (50.0, 20.0);
        let mut bucket = TokenBucket::empty(rate, burst, begin);
        let (mut now, mut taken) = (begin, Vec::new());
        for (millis, count) in steps {
            now += Duration::from_millis(millis.into());
            for _ in 0..count {
                if bucket.take(1.0, now).is_ok() {
                    taken.push(now);
                }
            }
        }
        let last = taken.last().copied().unwrap_or(begin);
        taken.iter().enumerate().all(|(index, first)| {
            let window = (last - *first).as_secs_f64();
            (taken.len() - index) as f64 <= rate * window + burst + 1e-6
        })
    }
}

#[test]
fn a_token_of_another_secret_is_refused() {
    let token = TokenCodec::new(b"one").encode(&positions(&[(1, 2, 3)]));
    assert_eq!(TokenCodec::new(b"two").decode(&token), Err(TokenError::Integrity));
}
