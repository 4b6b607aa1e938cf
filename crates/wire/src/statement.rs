//! Classes of SQL texts, found by `sqlparser` and kept in a bounded cache.

use std::collections::{BTreeSet, HashMap};
use std::hash::{BuildHasher as _, RandomState};
use std::ops::ControlFlow;
use std::sync::Arc;

use parking_lot::Mutex;
use sqlparser::ast::{
    Expr, Query, Set, SetExpr, Statement, TransactionAccessMode, TransactionMode, Visit, Visitor,
};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;

/// Number of independently locked parts of the cache.
const CACHE_SHARDS: usize = 16;
/// Texts kept in each generation of a shard.
const SHARD_ENTRIES: usize = 512;
/// Longest text that is cached or parsed, in bytes; longer ones count as writes.
const MAX_PARSED_BYTES: usize = 64 * 1024;
/// Functions without side effects whose result depends on the data and arguments alone.
const PURE_FUNCTIONS: &[&str] = &[
    "abs",
    "array_agg",
    "avg",
    "ceil",
    "char_length",
    "coalesce",
    "concat",
    "count",
    "date_trunc",
    "dense_rank",
    "extract",
    "first_value",
    "floor",
    "greatest",
    "ifnull",
    "json_agg",
    "lag",
    "last_value",
    "lead",
    "least",
    "left",
    "length",
    "lower",
    "ltrim",
    "max",
    "min",
    "mod",
    "nullif",
    "rank",
    "replace",
    "right",
    "round",
    "row_number",
    "rtrim",
    "split_part",
    "string_agg",
    "substr",
    "substring",
    "sum",
    "to_char",
    "trim",
    "upper",
    "version",
    "current_schema",
    "current_database",
];

/// What running a text does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StatementKind {
    /// Nothing: no statement stands in the text.
    Empty,
    /// Reads only.
    Read,
    /// Writes, or cannot be classified.
    Write,
    /// Begins a transaction.
    Begin,
    /// Begins a transaction that only reads.
    BeginReadOnly,
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Works on a savepoint inside a transaction.
    Savepoint,
    /// Sets or shows a parameter of the session.
    Session,
    /// Needs a feature that the proxy refuses.
    Unsupported,
    /// Several statements, at least one of which controls a transaction.
    Mixed,
}

/// Parameter statement of a session.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SessionStatement {
    /// Sets a parameter.
    Set {
        /// Name of the parameter in lower case.
        name: String,
        /// Value without quotes.
        value: String,
    },
    /// Shows a parameter.
    Show {
        /// Name of the parameter in lower case.
        name: String,
    },
    /// Resets a parameter, or all of them.
    Reset,
}

/// Class of one SQL text.
#[derive(Clone, Debug)]
pub struct StatementClass {
    /// What running the text does.
    pub kind: StatementKind,
    /// Number of statements in the text.
    pub statement_count: usize,
    /// Tables that the text names, in lower case.
    pub tables: Vec<String>,
    /// Parameter statement, if the kind is `Session`.
    pub session: Option<SessionStatement>,
    /// Feature that is refused, if the kind is `Unsupported`.
    pub unsupported_feature: &'static str,
}

impl StatementClass {
    /// Classifies `text` without a cache.
    pub fn of(text: &str) -> Self {
        if text.len() > MAX_PARSED_BYTES {
            return Self::plain(StatementKind::Write, 1);
        }
        match Parser::parse_sql(&PostgreSqlDialect {}, text) {
            Ok(statements) => Self::of_statements(&statements),
            Err(_) => Self::of_unparsed(text),
        }
    }

    fn plain(kind: StatementKind, count: usize) -> Self {
        Self {
            kind,
            statement_count: count,
            tables: Vec::new(),
            session: None,
            unsupported_feature: "",
        }
    }

    fn unsupported(feature: &'static str) -> Self {
        Self { unsupported_feature: feature, ..Self::plain(StatementKind::Unsupported, 1) }
    }

    fn of_unparsed(text: &str) -> Self {
        let word = text.trim_start().split(|c: char| !c.is_ascii_alphabetic()).next();
        match word.unwrap_or_default().to_ascii_lowercase().as_str() {
            "copy" => Self::unsupported("COPY"),
            "listen" | "unlisten" | "notify" => Self::unsupported("LISTEN and NOTIFY"),
            _ => Self::plain(StatementKind::Write, 1),
        }
    }

    fn of_statements(statements: &[Statement]) -> Self {
        match statements {
            [] => Self::plain(StatementKind::Empty, 0),
            [statement] => Self::of_statement(statement),
            several => Self::of_several(several),
        }
    }

    fn of_several(statements: &[Statement]) -> Self {
        let classes: Vec<Self> = statements.iter().map(Self::of_statement).collect();
        if classes.iter().any(|class| class.kind == StatementKind::Session) {
            return Self::unsupported("SET and SHOW together with other statements");
        }
        Self::merge(&classes.iter().collect::<Vec<_>>())
    }

    /// Returns the class of statements that run one after the other.
    pub fn merge(classes: &[&Self]) -> Self {
        let refused = classes.iter().find(|class| class.kind == StatementKind::Unsupported);
        if let Some(refused) = refused {
            return (*refused).clone();
        }
        let only = |kinds: &[StatementKind]| classes.iter().all(|c| kinds.contains(&c.kind));
        let kind = if only(&[StatementKind::Read]) {
            StatementKind::Read
        } else if only(&[StatementKind::Read, StatementKind::Write]) {
            StatementKind::Write
        } else {
            StatementKind::Mixed
        };
        let tables: BTreeSet<&String> =
            classes.iter().flat_map(|class| class.tables.iter()).collect();
        let tables = tables.into_iter().cloned().collect();
        Self { tables, ..Self::plain(kind, classes.len()) }
    }

    fn of_statement(statement: &Statement) -> Self {
        match statement {
            Statement::Query(query) => Self::of_query(statement, query),
            Statement::Explain { analyze: false, .. } => Self::with_tables(statement, true),
            Statement::StartTransaction { modes, .. } => {
                let read = TransactionMode::AccessMode(TransactionAccessMode::ReadOnly);
                let only_reads = modes.contains(&read);
                let kind =
                    if only_reads { StatementKind::BeginReadOnly } else { StatementKind::Begin };
                Self::plain(kind, 1)
            }
            Statement::Commit { .. } => Self::plain(StatementKind::Commit, 1),
            Statement::Rollback { savepoint: Some(_), .. }
            | Statement::Savepoint { .. }
            | Statement::ReleaseSavepoint { .. } => Self::plain(StatementKind::Savepoint, 1),
            Statement::Rollback { .. } => Self::plain(StatementKind::Rollback, 1),
            Statement::Copy { .. } => Self::unsupported("COPY"),
            Statement::LISTEN { .. } | Statement::NOTIFY { .. } | Statement::UNLISTEN { .. } => {
                Self::unsupported("LISTEN and NOTIFY")
            }
            Statement::Prepare { .. }
            | Statement::Execute { .. }
            | Statement::Deallocate { .. } => {
                Self::unsupported("PREPARE in SQL; prepare through the protocol instead")
            }
            Statement::Declare { .. } | Statement::Fetch { .. } => {
                Self::unsupported("cursors in SQL; use portals instead")
            }
            Statement::CreateTable(table) if table.temporary => {
                Self::unsupported("temporary tables")
            }
            Statement::Set(set) => Self::of_set(set),
            Statement::ShowVariable { variable } => {
                let words: Vec<&str> = variable.iter().map(|word| word.value.as_str()).collect();
                Self::of_session(SessionStatement::Show { name: words.join(".").to_lowercase() })
            }
            Statement::Reset(_) | Statement::Discard { .. } => {
                Self::of_session(SessionStatement::Reset)
            }
            other => Self::with_tables(other, false),
        }
    }

    fn of_query(statement: &Statement, query: &Query) -> Self {
        let mut scan = ReadScan;
        let locks = !query.locks.is_empty();
        let read = !locks && statement.visit(&mut scan).is_continue();
        Self::with_tables(statement, read)
    }

    fn of_session(session: SessionStatement) -> Self {
        Self { session: Some(session), ..Self::plain(StatementKind::Session, 1) }
    }

    fn of_set(set: &Set) -> Self {
        match set {
            Set::SingleAssignment { variable, values, scope: None, .. } => {
                let value: Vec<String> = values.iter().map(set_value).collect();
                let name = variable.to_string().replace('"', "").to_lowercase();
                Self::of_session(SessionStatement::Set { name, value: value.join(", ") })
            }
            Set::SetNames { charset_name, .. } => Self::of_session(SessionStatement::Set {
                name: "client_encoding".to_owned(),
                value: charset_name.value.clone(),
            }),
            Set::SetTimeZone { value, .. } => Self::of_session(SessionStatement::Set {
                name: "timezone".to_owned(),
                value: set_value(value),
            }),
            _ => Self::unsupported("this form of SET"),
        }
    }

    fn with_tables(statement: &Statement, read: bool) -> Self {
        let mut scan = TableScan::default();
        let _ = statement.visit(&mut scan);
        let tables = scan.tables.difference(&scan.aliases).cloned().collect();
        let kind = if read { StatementKind::Read } else { StatementKind::Write };
        Self { tables, ..Self::plain(kind, 1) }
    }
}

fn set_value(value: &Expr) -> String {
    value.to_string().trim_matches('\'').to_owned()
}

/// Collects table names and the names of common table expressions.
#[derive(Default)]
struct TableScan {
    tables: BTreeSet<String>,
    aliases: BTreeSet<String>,
}

impl Visitor for TableScan {
    type Break = ();

    fn pre_visit_relation(&mut self, relation: &sqlparser::ast::ObjectName) -> ControlFlow<()> {
        self.tables.insert(relation.to_string().replace('"', "").to_lowercase());
        ControlFlow::Continue(())
    }

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        let expressions = query.with.iter().flat_map(|with| with.cte_tables.iter());
        for expression in expressions {
            self.aliases.insert(expression.alias.name.value.to_lowercase());
        }
        ControlFlow::Continue(())
    }
}

/// Stops at the first part of a query that may write or that a replica may answer differently.
#[derive(Default)]
struct ReadScan;

impl Visitor for ReadScan {
    type Break = ();

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        if !query.locks.is_empty() || !reads_only(&query.body) {
            return ControlFlow::Break(());
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_expr(&mut self, expression: &Expr) -> ControlFlow<()> {
        let Expr::Function(function) = expression else {
            return ControlFlow::Continue(());
        };
        let name = function.name.to_string().to_lowercase();
        let name = name.strip_prefix("pg_catalog.").unwrap_or(&name);
        if PURE_FUNCTIONS.contains(&name) {
            return ControlFlow::Continue(());
        }
        ControlFlow::Break(())
    }
}

fn reads_only(body: &SetExpr) -> bool {
    match body {
        SetExpr::Select(select) => select.into.is_none(),
        SetExpr::Query(_) | SetExpr::Values(_) | SetExpr::Table(_) => true,
        SetExpr::SetOperation { left, right, .. } => reads_only(left) && reads_only(right),
        _ => false,
    }
}

/// One locked part of the cache; the older generation is dropped when the newer one is full.
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
        if self.newer.len() >= SHARD_ENTRIES {
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
    /// Returns the class of `text`, parsing it at most once while it stays in use.
    pub fn classify(&self, text: &str) -> Arc<StatementClass> {
        let slot = self.hasher.hash_one(text) as usize % CACHE_SHARDS;
        if let Some(class) = self.shards[slot].lock().get(text) {
            return class;
        }
        let class = Arc::new(StatementClass::of(text));
        if text.len() <= MAX_PARSED_BYTES {
            self.shards[slot].lock().insert(text.into(), class.clone());
        }
        class
    }

    /// Returns the number of texts held.
    pub fn len(&self) -> usize {
        self.shards
            .iter()
            .map(|shard| {
                let shard = shard.lock();
                shard.newer.len() + shard.older.len()
            })
            .sum()
    }

    /// Tells whether no text is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
