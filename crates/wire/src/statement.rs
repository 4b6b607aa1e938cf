//! Classification of SQL texts with `sqlparser`, and a bounded cache of the results.

use std::collections::{BTreeSet, HashMap};
use std::hash::{BuildHasher as _, RandomState};
use std::ops::ControlFlow;
use std::sync::Arc;

use parking_lot::Mutex;
use sqlparser::ast::{
    CloseCursor, DiscardObject, Expr, Ident, Query, Reset, SelectItem, Set, SetExpr, Statement,
    TransactionAccessMode, TransactionMode, Visit, Visitor,
};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;

use crate::effects::{ReadOnlyCheck, SessionEffect, function_name};
use crate::leading_words::leading_words;

/// Number of independently locked cache shards.
const CACHE_SHARDS: usize = 16;
/// Maximum number of texts in one generation of a shard.
const MAX_GENERATION_ENTRIES: usize = 512;
/// Length of the longest text that is parsed and cached, in bytes; longer ones are classified by their
/// first words.
const MAX_PARSED_BYTES: usize = 64 * 1024;
/// Unsupported feature: statements that are prepared by SQL.
const SQL_PREPARE: &str = "PREPARE in SQL; prepare through the protocol instead";
/// Unsupported feature: cursors that are declared by SQL.
const SQL_CURSORS: &str = "cursors in SQL; use portals instead";

/// Function that releases the advisory locks of a session.
const UNLOCK_ALL: &str = "pg_advisory_unlock_all";

/// Effect of a SQL text.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StatementKind {
    /// The text contains no statement.
    Empty,
    /// Reads only, and may run on a replica.
    Read,
    /// Writes, or is not known to be a read.
    Write,
    /// Begins a transaction.
    Begin,
    /// Begins a read-only transaction.
    BeginReadOnly,
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Sets, releases or rolls back to a savepoint.
    Savepoint,
    /// Concerns what the proxy itself keeps for a session.
    Session,
    /// Needs a feature that the proxy does not support.
    Unsupported,
    /// Several statements that are not only reads and writes, such as a whole transaction.
    Mixed,
}

/// Statement on what the proxy itself keeps for a session.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SessionStatement {
    /// Sets a parameter.
    Set {
        /// Name of the parameter in lower case.
        name: String,
        /// Unquoted value.
        value: String,
    },
    /// Shows a parameter.
    Show {
        /// Name of the parameter in lower case.
        name: String,
    },
    /// Resets a parameter, or all of them without a name.
    Reset {
        /// Name of the parameter in lower case.
        name: Option<String>,
    },
    /// Removes a prepared statement, or all of them without a name.
    Deallocate {
        /// Name of the statement.
        name: Option<String>,
    },
    /// Closes all cursors; a session has none that SQL names.
    CloseAll,
    /// Unlistens all channels; a session listens to none.
    UnlistenAll,
    /// Releases the advisory locks of a session, which has none.
    UnlockAll,
    /// Resets the session.
    DiscardAll,
}

/// Classification of one SQL text.
#[derive(Clone, Debug)]
pub struct StatementClass {
    /// Effect of the text.
    pub kind: StatementKind,
    /// Number of statements in the text.
    pub statement_count: usize,
    /// The text may commit more than once.
    pub may_commit_repeatedly: bool,
    /// Tables that the text names, in lower case and without common table expressions.
    pub tables: Vec<String>,
    /// The statements, if the kind is `Session`.
    pub session: Vec<SessionStatement>,
    /// The text may leave something in the session of the connection that runs it.
    pub changes_session: bool,
    /// Name of the unsupported feature, empty unless the kind is `Unsupported`.
    pub unsupported_feature: &'static str,
}

impl StatementClass {
    /// Classifies `text` without the cache.
    pub fn of(text: &str) -> Self {
        if text.len() > MAX_PARSED_BYTES {
            return Self::of_unparsed(text);
        }
        match Parser::parse_sql(&PostgreSqlDialect {}, text) {
            Ok(statements) => Self::of_statements(&statements),
            Err(_) => Self::of_unparsed(text),
        }
    }

    fn with_kind(kind: StatementKind, count: usize) -> Self {
        Self {
            kind,
            statement_count: count,
            may_commit_repeatedly: false,
            tables: Vec::new(),
            session: Vec::new(),
            changes_session: false,
            unsupported_feature: "",
        }
    }

    fn unsupported(feature: &'static str) -> Self {
        Self { unsupported_feature: feature, ..Self::with_kind(StatementKind::Unsupported, 1) }
    }

    /// Classifies a text by its first words, without parsing it.
    fn of_unparsed(text: &str) -> Self {
        let words = leading_words(text);
        let kind = match words.each_ref().map(String::as_str) {
            ["copy", ..] => return Self::unsupported("COPY"),
            ["listen" | "unlisten" | "notify", ..] => {
                return Self::unsupported("LISTEN and NOTIFY");
            }
            ["prepare" | "execute" | "deallocate", ..] => return Self::unsupported(SQL_PREPARE),
            ["declare" | "fetch" | "move" | "close", ..] => return Self::unsupported(SQL_CURSORS),
            ["set" | "show" | "reset" | "discard", ..] => {
                return Self::unsupported("SET, SHOW, RESET and DISCARD in a text of this form");
            }
            ["load", ..] => return Self::unsupported("LOAD"),
            ["create", "temp" | "temporary"] | ["create", "local" | "global"] => {
                return Self::unsupported("temporary objects");
            }
            // A later statement of the text may end a transaction.
            _ if text.trim_end().trim_end_matches(';').contains(';') => {
                let class = Self::with_kind(StatementKind::Mixed, 1);
                return Self { changes_session: true, may_commit_repeatedly: true, ..class };
            }
            ["begin" | "start", ..] => StatementKind::Begin,
            ["commit" | "end", ..] => StatementKind::Commit,
            ["rollback" | "abort", ..] => StatementKind::Rollback,
            ["savepoint" | "release", ..] => StatementKind::Savepoint,
            _ => StatementKind::Write,
        };
        Self { changes_session: true, ..Self::with_kind(kind, 1) }
    }

    fn of_statements(statements: &[Statement]) -> Self {
        match statements {
            [] => Self::with_kind(StatementKind::Empty, 0),
            [statement] => Self::of_statement(statement),
            multiple => Self::of_multiple(multiple),
        }
    }

    fn of_multiple(statements: &[Statement]) -> Self {
        let classes: Vec<Self> = statements.iter().map(Self::of_statement).collect();
        if classes.iter().all(|class| class.kind == StatementKind::Session) {
            let session = classes.into_iter().flat_map(|class| class.session).collect();
            return Self { session, ..Self::with_kind(StatementKind::Session, statements.len()) };
        }
        let kinds = classes.iter().map(|class| class.kind);
        let may_commit_repeatedly = may_commit_repeatedly(kinds);
        let merged = Self::merge(&classes.iter().collect::<Vec<_>>());
        Self { may_commit_repeatedly, ..merged }
    }

    /// Returns the combined class of statements that run in sequence.
    pub fn merge(classes: &[&Self]) -> Self {
        let unsupported = classes.iter().find(|class| class.kind == StatementKind::Unsupported);
        if let Some(unsupported) = unsupported {
            return (*unsupported).clone();
        }
        if classes.iter().any(|class| class.kind == StatementKind::Session) {
            return Self::unsupported("a statement on the session together with other statements");
        }
        let all_of = |kinds: &[StatementKind]| classes.iter().all(|c| kinds.contains(&c.kind));
        let kind = if all_of(&[StatementKind::Read]) {
            StatementKind::Read
        } else if all_of(&[StatementKind::Read, StatementKind::Write]) {
            StatementKind::Write
        } else {
            StatementKind::Mixed
        };
        let tables: BTreeSet<&String> =
            classes.iter().flat_map(|class| class.tables.iter()).collect();
        let tables = tables.into_iter().cloned().collect();
        let changes_session = classes.iter().any(|class| class.changes_session);
        Self { tables, changes_session, ..Self::with_kind(kind, classes.len()) }
    }

    fn of_statement(statement: &Statement) -> Self {
        let class = Self::of_kind(statement);
        match SessionEffect::of(statement) {
            SessionEffect::None => class,
            SessionEffect::Possible => Self { changes_session: true, ..class },
            SessionEffect::Needed(feature) => Self::unsupported(feature),
        }
    }

    /// Returns the class of a statement, whatever it leaves in its session.
    fn of_kind(statement: &Statement) -> Self {
        match statement {
            Statement::Query(query) if releases_locks(query) => {
                Self::of_session(SessionStatement::UnlockAll)
            }
            Statement::Query(query) => Self::of_query(statement, query),
            Statement::Explain { analyze: false, .. } => Self::with_tables(statement, true),
            Statement::StartTransaction { modes, .. } => {
                let read_only_mode = TransactionMode::AccessMode(TransactionAccessMode::ReadOnly);
                let read_only = modes.contains(&read_only_mode);
                let kind =
                    if read_only { StatementKind::BeginReadOnly } else { StatementKind::Begin };
                Self::with_kind(kind, 1)
            }
            Statement::Commit { .. } => Self::with_kind(StatementKind::Commit, 1),
            Statement::Rollback { savepoint: Some(_), .. }
            | Statement::Savepoint { .. }
            | Statement::ReleaseSavepoint { .. } => Self::with_kind(StatementKind::Savepoint, 1),
            Statement::Rollback { .. } => Self::with_kind(StatementKind::Rollback, 1),
            Statement::Copy { .. } => Self::unsupported("COPY"),
            Statement::UNLISTEN { channel } if channel.value == "*" => {
                Self::of_session(SessionStatement::UnlistenAll)
            }
            Statement::LISTEN { .. } | Statement::NOTIFY { .. } | Statement::UNLISTEN { .. } => {
                Self::unsupported("LISTEN and NOTIFY")
            }
            Statement::Prepare { .. } | Statement::Execute { .. } => Self::unsupported(SQL_PREPARE),
            Statement::Deallocate { name, .. } => {
                let is_all = name.quote_style.is_none() && name.value.eq_ignore_ascii_case("all");
                let name = (!is_all).then(|| folded_name(name));
                Self::of_session(SessionStatement::Deallocate { name })
            }
            Statement::Close { cursor: CloseCursor::All } => {
                Self::of_session(SessionStatement::CloseAll)
            }
            Statement::Declare { .. } | Statement::Fetch { .. } => Self::unsupported(SQL_CURSORS),
            Statement::Set(set) => Self::of_set(set),
            Statement::ShowVariable { variable } => {
                let parts: Vec<&str> = variable.iter().map(|part| part.value.as_str()).collect();
                Self::of_session(SessionStatement::Show { name: parts.join(".").to_lowercase() })
            }
            Statement::Reset(statement) => match &statement.reset {
                Reset::ALL => Self::of_session(SessionStatement::Reset { name: None }),
                Reset::ConfigurationParameter(name) => {
                    let name = name.to_string().replace('"', "").to_lowercase();
                    Self::of_session(SessionStatement::Reset { name: Some(name) })
                }
                Reset::SessionAuthorization => Self::unsupported("RESET SESSION AUTHORIZATION"),
            },
            Statement::Discard { object_type: DiscardObject::ALL } => {
                Self::of_session(SessionStatement::DiscardAll)
            }
            Statement::Discard { .. } => Self::unsupported("this form of DISCARD"),
            other => Self::with_tables(other, false),
        }
    }

    fn of_query(statement: &Statement, query: &Query) -> Self {
        let mut check = ReadOnlyCheck;
        let locks_rows = !query.locks.is_empty();
        let read_only = !locks_rows && statement.visit(&mut check).is_continue();
        Self::with_tables(statement, read_only)
    }

    fn of_session(session: SessionStatement) -> Self {
        Self { session: vec![session], ..Self::with_kind(StatementKind::Session, 1) }
    }

    fn of_set(set: &Set) -> Self {
        match set {
            Set::SingleAssignment { variable, values, scope: None, .. } => {
                let value: Vec<String> = values.iter().map(unquoted_value).collect();
                let name = variable.to_string().replace('"', "").to_lowercase();
                Self::of_session(SessionStatement::Set { name, value: value.join(", ") })
            }
            Set::SetNames { charset_name, .. } => Self::of_session(SessionStatement::Set {
                name: "client_encoding".to_owned(),
                value: charset_name.value.clone(),
            }),
            Set::SetTimeZone { value, .. } => Self::of_session(SessionStatement::Set {
                name: "timezone".to_owned(),
                value: unquoted_value(value),
            }),
            _ => Self::unsupported("this form of SET"),
        }
    }

    fn with_tables(statement: &Statement, read_only: bool) -> Self {
        let mut collector = TableCollector::default();
        let _ = statement.visit(&mut collector);
        let tables = collector.tables.difference(&collector.cte_names).cloned().collect();
        let kind = if read_only { StatementKind::Read } else { StatementKind::Write };
        Self { tables, ..Self::with_kind(kind, 1) }
    }
}

/// Returns whether statements that run in sequence may commit more than once, in a block or outside.
///
/// Outside of blocks all writes up to the end are one transaction.
pub fn may_commit_repeatedly(kinds: impl Iterator<Item = StatementKind> + Clone) -> bool {
    [false, true].into_iter().any(|begins_in_block| {
        let (mut in_block, mut has_written) = (begins_in_block, begins_in_block);
        let mut commit_count = 0;
        for kind in kinds.clone() {
            match kind {
                StatementKind::Begin | StatementKind::BeginReadOnly => in_block = true,
                StatementKind::Commit | StatementKind::Rollback => {
                    commit_count += usize::from(has_written && kind == StatementKind::Commit);
                    (in_block, has_written) = (false, false);
                }
                StatementKind::Write => has_written = true,
                StatementKind::Mixed => return true,
                StatementKind::Read
                | StatementKind::Savepoint
                | StatementKind::Session
                | StatementKind::Empty
                | StatementKind::Unsupported => {}
            }
        }
        commit_count + usize::from(has_written && !in_block) > 1
    })
}

/// Returns whether a query does nothing but release the advisory locks of its session.
fn releases_locks(query: &Query) -> bool {
    let SetExpr::Select(select) = &*query.body else {
        return false;
    };
    match &select.projection[..] {
        [SelectItem::UnnamedExpr(Expr::Function(function))] if select.from.is_empty() => {
            function_name(&function.name) == UNLOCK_ALL
        }
        _ => false,
    }
}

/// Returns a name as the server stores it: in lower case unless it is quoted.
fn folded_name(name: &Ident) -> String {
    match name.quote_style {
        Some(_) => name.value.clone(),
        None => name.value.to_lowercase(),
    }
}

fn unquoted_value(value: &Expr) -> String {
    value.to_string().trim_matches('\'').to_owned()
}

/// Collects the names of relations and of common table expressions.
#[derive(Default)]
struct TableCollector {
    tables: BTreeSet<String>,
    cte_names: BTreeSet<String>,
}

impl Visitor for TableCollector {
    type Break = ();

    fn pre_visit_relation(&mut self, relation: &sqlparser::ast::ObjectName) -> ControlFlow<()> {
        self.tables.insert(relation.to_string().replace('"', "").to_lowercase());
        ControlFlow::Continue(())
    }

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        let expressions = query.with.iter().flat_map(|with| with.cte_tables.iter());
        for expression in expressions {
            self.cte_names.insert(expression.alias.name.value.to_lowercase());
        }
        ControlFlow::Continue(())
    }
}

/// One locked shard; the older generation is dropped when the newer one is full.
#[derive(Default)]
struct CacheShard {
    newer: HashMap<Box<str>, Arc<StatementClass>>,
    older: HashMap<Box<str>, Arc<StatementClass>>,
}

impl CacheShard {
    fn get(&mut self, text: &str) -> Option<Arc<StatementClass>> {
        if let Some(class) = self.newer.get(text) {
            return Some(class.clone());
        }
        let (text, class) = self.older.remove_entry(text)?;
        self.insert(text, class.clone());
        Some(class)
    }

    fn insert(&mut self, text: Box<str>, class: Arc<StatementClass>) {
        if self.newer.len() >= MAX_GENERATION_ENTRIES {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(text, class);
    }
}

/// Bounded cache of statement classes, split into shards.
pub struct StatementCache {
    hasher: RandomState,
    shards: Vec<Mutex<CacheShard>>,
}

impl Default for StatementCache {
    fn default() -> Self {
        let shards = (0..CACHE_SHARDS).map(|_| Mutex::default()).collect();
        Self { hasher: RandomState::new(), shards }
    }
}

impl StatementCache {
    /// Returns the class of `text`, which is parsed only on a cache miss.
    pub fn classify(&self, text: &str) -> Arc<StatementClass> {
        let index = self.hasher.hash_one(text) as usize % CACHE_SHARDS;
        if let Some(class) = self.shards[index].lock().get(text) {
            return class;
        }
        let class = Arc::new(StatementClass::of(text));
        if text.len() <= MAX_PARSED_BYTES {
            self.shards[index].lock().insert(text.into(), class.clone());
        }
        class
    }

    /// Returns the number of cached texts.
    pub fn len(&self) -> usize {
        self.shards
            .iter()
            .map(|shard| {
                let shard = shard.lock();
                shard.newer.len() + shard.older.len()
            })
            .sum()
    }

    /// Returns whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
