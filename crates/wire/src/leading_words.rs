//! First words of a SQL text, without the comments before them.

/// Number of words that are returned.
const WORD_COUNT: usize = 2;

/// Returns the first words of a text in lower case; empty where there is none.
pub fn leading_words(text: &str) -> [String; WORD_COUNT] {
    let mut rest = text;
    std::array::from_fn(|_| {
        rest = skip_blanks(rest);
        let end = rest.find(|c: char| !c.is_ascii_alphabetic()).unwrap_or(rest.len());
        let (word, after) = rest.split_at(end);
        rest = after;
        word.to_ascii_lowercase()
    })
}

/// Skips white space and comments; comments between `/*` and `*/` nest.
pub fn skip_blanks(text: &str) -> &str {
    let mut rest = text;
    loop {
        rest = rest.trim_start();
        if let Some(comment) = rest.strip_prefix("--") {
            rest = comment.split_once('\n').map_or("", |(_, after)| after);
        } else if let Some(comment) = rest.strip_prefix("/*") {
            rest = skip_nested(comment);
        } else {
            return rest;
        }
    }
}

/// Returns what follows the end of a comment whose begin was skipped.
fn skip_nested(text: &str) -> &str {
    let mut rest = text;
    let mut depth = 1;
    while depth > 0 {
        let Some(index) = rest.find(['/', '*']) else {
            return "";
        };
        rest = &rest[index..];
        let step = match rest.get(..2) {
            Some("/*") => 1,
            Some("*/") => -1,
            _ => 0,
        };
        depth += step;
        // A character that is part of no mark is skipped alone.
        rest = &rest[if step == 0 { 1 } else { 2 }..];
    }
    rest
}
