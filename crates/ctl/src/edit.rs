//! Edits of single entries that keep the rest of a document's text, comments included.

use snafu::{OptionExt as _, ResultExt as _, Snafu};
use state::credential::KeyHash;
use toml_edit::{ArrayOfTables, DocumentMut, Item, Table, Value, value};

/// Error of an edit.
#[derive(Debug, Snafu)]
pub enum EditError {
    /// The document is not valid TOML.
    #[snafu(display("cannot parse the document: {source}"))]
    Syntax {
        /// Cause reported by the TOML parser.
        source: toml_edit::TomlError,
    },
    /// The entry does not exist.
    #[snafu(display("{section} {name:?} does not exist"))]
    NotFound {
        /// Section of the entry.
        section: &'static str,
        /// Name of the entry.
        name: String,
    },
    /// The entry to add exists.
    #[snafu(display("{section} {name:?} already exists"))]
    AlreadyExists {
        /// Section of the entry.
        section: &'static str,
        /// Name of the entry.
        name: String,
    },
}

/// Edit of one entry of a document.
#[derive(Clone, Debug)]
pub enum DocumentEdit {
    /// Adds a team.
    AddTeam { name: String, rate: f64, burst: f64 },
    /// Sets the rate and burst limits of a team.
    SetTeamLimits { name: String, rate: f64, burst: f64 },
    /// Removes a team.
    RemoveTeam { name: String },
    /// Adds a key hash to a team.
    AddKey { team: String, hash: KeyHash },
    /// Removes the key hash with a fingerprint from a team.
    RemoveKey { team: String, fingerprint: String },
    /// Marks a database as leaving, or clears the mark.
    SetLeaving { database: String, leaving: bool },
}

/// Applies an edit to the text of a document and returns the new text.
pub fn apply_edit(text: &str, edit: &DocumentEdit) -> Result<String, EditError> {
    let mut document: DocumentMut = text.parse().context(SyntaxSnafu)?;
    match edit {
        DocumentEdit::AddTeam { name, rate, burst } => {
            add_team(&mut document, name, *rate, *burst)?;
        }
        DocumentEdit::SetTeamLimits { name, rate, burst } => {
            let team = find_entry(&mut document, "team", name)?;
            team["rate"] = value(*rate);
            team["burst"] = value(*burst);
        }
        DocumentEdit::RemoveTeam { name } => {
            find_entry(&mut document, "team", name)?;
            let teams = section_entries(&mut document, "team");
            teams.retain(|team| !has_name(team, name));
        }
        DocumentEdit::AddKey { team, hash } => {
            let keys = find_entry(&mut document, "team", team)?.entry("keys");
            let keys = keys.or_insert(value(toml_edit::Array::new()));
            if let Some(keys) = keys.as_array_mut() {
                keys.push(hash.to_string());
            }
        }
        DocumentEdit::RemoveKey { team, fingerprint } => {
            remove_key(&mut document, team, fingerprint)?;
        }
        DocumentEdit::SetLeaving { database, leaving } => {
            find_entry(&mut document, "database", database)?["leaving"] = value(*leaving);
        }
    }
    Ok(document.to_string())
}

fn add_team(
    document: &mut DocumentMut,
    name: &str,
    rate: f64,
    burst: f64,
) -> Result<(), EditError> {
    if find_entry(document, "team", name).is_ok() {
        return AlreadyExistsSnafu { section: "team", name }.fail();
    }
    let mut team = Table::new();
    team["name"] = value(name);
    team["rate"] = value(rate);
    team["burst"] = value(burst);
    section_entries(document, "team").push(team);
    Ok(())
}

fn remove_key(document: &mut DocumentMut, team: &str, fingerprint: &str) -> Result<(), EditError> {
    let not_found = NotFoundSnafu { section: "key", name: fingerprint };
    let keys = find_entry(document, "team", team)?.get_mut("keys").and_then(Item::as_array_mut);
    let keys = keys.context(not_found)?;
    let matches = |key: &Value| {
        let hash: Option<KeyHash> = key.as_str().and_then(|text| text.parse().ok());
        hash.is_some_and(|hash| hash.fingerprint() == fingerprint)
    };
    let old_count = keys.len();
    keys.retain(|key| !matches(key));
    if keys.len() == old_count {
        return not_found.fail();
    }
    Ok(())
}

fn section_entries<'a>(document: &'a mut DocumentMut, section: &str) -> &'a mut ArrayOfTables {
    let item = document.entry(section).or_insert(Item::ArrayOfTables(ArrayOfTables::new()));
    if !item.is_array_of_tables() {
        *item = Item::ArrayOfTables(ArrayOfTables::new());
    }
    item.as_array_of_tables_mut().expect("the item was made an array of tables")
}

fn find_entry<'a>(
    document: &'a mut DocumentMut,
    section: &'static str,
    name: &str,
) -> Result<&'a mut Table, EditError> {
    let found = section_entries(document, section).iter_mut().find(|table| has_name(table, name));
    found.context(NotFoundSnafu { section, name })
}

fn has_name(table: &Table, name: &str) -> bool {
    table.get("name").and_then(Item::as_str) == Some(name)
}
