//! Changes of single entries that leave the rest of a document's text as it is.

use snafu::{OptionExt as _, ResultExt as _, Snafu};
use state::credential::KeyHash;
use toml_edit::{ArrayOfTables, DocumentMut, Item, Table, Value, value};

/// Errors of a change.
#[derive(Debug, Snafu)]
pub enum EditError {
    /// The document cannot be read.
    #[snafu(display("{source}"))]
    Syntax {
        /// Cause reported by the TOML reader.
        source: toml_edit::TomlError,
    },
    /// There is no such entry.
    #[snafu(display("there is no {section} {name:?}"))]
    Missing {
        /// Section of the entry.
        section: &'static str,
        /// Name of the entry.
        name: String,
    },
    /// There is such an entry already.
    #[snafu(display("there is a {section} {name:?} already"))]
    Present {
        /// Section of the entry.
        section: &'static str,
        /// Name of the entry.
        name: String,
    },
}

/// Change of one entry.
#[derive(Clone, Debug)]
pub enum DocumentEdit {
    /// Adds a team.
    AddTeam { name: String, rate: f64, burst: f64 },
    /// Sets the limits of a team.
    LimitTeam { name: String, rate: f64, burst: f64 },
    /// Removes a team.
    RemoveTeam { name: String },
    /// Adds a key hash to a team.
    AddKey { team: String, hash: KeyHash },
    /// Removes a key hash from a team.
    RemoveKey { team: String, fingerprint: String },
    /// Lets a database leave or takes it back.
    SetLeaving { database: String, leaving: bool },
}

/// Applies a change to the text of a document.
pub fn apply(text: &str, edit: &DocumentEdit) -> Result<String, EditError> {
    let mut document: DocumentMut = text.parse().context(SyntaxSnafu)?;
    match edit {
        DocumentEdit::AddTeam { name, rate, burst } => {
            add_team(&mut document, name, *rate, *burst)?;
        }
        DocumentEdit::LimitTeam { name, rate, burst } => {
            let team = entry(&mut document, "team", name)?;
            team["rate"] = value(*rate);
            team["burst"] = value(*burst);
        }
        DocumentEdit::RemoveTeam { name } => {
            entry(&mut document, "team", name)?;
            let teams = tables(&mut document, "team");
            teams.retain(|team| !is_named(team, name));
        }
        DocumentEdit::AddKey { team, hash } => {
            let keys = entry(&mut document, "team", team)?.entry("keys");
            let keys = keys.or_insert(value(toml_edit::Array::new()));
            if let Some(keys) = keys.as_array_mut() {
                keys.push(hash.to_string());
            }
        }
        DocumentEdit::RemoveKey { team, fingerprint } => {
            remove_key(&mut document, team, fingerprint)?;
        }
        DocumentEdit::SetLeaving { database, leaving } => {
            entry(&mut document, "database", database)?["leaving"] = value(*leaving);
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
    if entry(document, "team", name).is_ok() {
        return PresentSnafu { section: "team", name }.fail();
    }
    let mut team = Table::new();
    team["name"] = value(name);
    team["rate"] = value(rate);
    team["burst"] = value(burst);
    tables(document, "team").push(team);
    Ok(())
}

fn remove_key(document: &mut DocumentMut, team: &str, fingerprint: &str) -> Result<(), EditError> {
    let missing = MissingSnafu { section: "key", name: fingerprint };
    let keys = entry(document, "team", team)?.get_mut("keys").and_then(Item::as_array_mut);
    let keys = keys.context(missing)?;
    let matches = |key: &Value| {
        let hash: Option<KeyHash> = key.as_str().and_then(|text| text.parse().ok());
        hash.is_some_and(|hash| hash.fingerprint() == fingerprint)
    };
    let before = keys.len();
    keys.retain(|key| !matches(key));
    if keys.len() == before {
        return missing.fail();
    }
    Ok(())
}

fn tables<'a>(document: &'a mut DocumentMut, section: &str) -> &'a mut ArrayOfTables {
    let item = document.entry(section).or_insert(Item::ArrayOfTables(ArrayOfTables::new()));
    if !item.is_array_of_tables() {
        *item = Item::ArrayOfTables(ArrayOfTables::new());
    }
    item.as_array_of_tables_mut().expect("the item was made an array of tables")
}

fn entry<'a>(
    document: &'a mut DocumentMut,
    section: &'static str,
    name: &str,
) -> Result<&'a mut Table, EditError> {
    let found = tables(document, section).iter_mut().find(|table| is_named(table, name));
    found.context(MissingSnafu { section, name })
}

fn is_named(table: &Table, name: &str) -> bool {
    table.get("name").and_then(Item::as_str) == Some(name)
}
