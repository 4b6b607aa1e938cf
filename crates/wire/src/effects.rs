//! Effects of a statement: whether it only reads, and what it may leave in the session of its connection.

use std::ops::ControlFlow;

use sqlparser::ast::{
    Expr, ObjectName, Query, Select, SetExpr, Statement, TableFactor, Visit, Visitor,
};

/// Functions without side effects whose result depends only on the data and the arguments.
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
    "generate_series",
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
    "unnest",
    "upper",
    "version",
    "current_schema",
    "current_database",
];
/// Further functions that leave nothing in the session, though their results change.
const STATELESS_FUNCTIONS: &[&str] = &[
    "clock_timestamp",
    "current_date",
    "current_time",
    "current_timestamp",
    "gen_random_uuid",
    "localtimestamp",
    "now",
    "pg_advisory_xact_lock",
    "pg_sleep",
    "pg_try_advisory_xact_lock",
    "random",
    "statement_timestamp",
    "transaction_timestamp",
];
/// Functions whose effect or result is that of the whole session, with the feature that they need.
const SESSION_FUNCTIONS: &[(&str, &str)] = &[
    ("set_config", "set_config"),
    ("pg_advisory_lock", "session-level advisory locks"),
    ("pg_advisory_lock_shared", "session-level advisory locks"),
    ("pg_try_advisory_lock", "session-level advisory locks"),
    ("pg_try_advisory_lock_shared", "session-level advisory locks"),
    ("currval", "currval and lastval; use RETURNING instead"),
    ("lastval", "currval and lastval; use RETURNING instead"),
];
/// Schema of temporary objects.
const TEMPORARY_SCHEMA: &str = "pg_temp";

/// What a statement may leave in its session.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SessionEffect {
    /// Nothing that outlives its transaction.
    None,
    /// Possibly something.
    Possible,
    /// Something that it is useless without; contains the name of the feature.
    Needed(&'static str),
}

impl SessionEffect {
    /// Returns the effect of a statement.
    pub(crate) fn of(statement: &Statement) -> Self {
        let known = match statement {
            Statement::Query(_)
            | Statement::Insert(_)
            | Statement::Update(_)
            | Statement::Delete(_)
            | Statement::Merge { .. } => Self::None,
            Statement::Explain { analyze: false, .. }
            | Statement::StartTransaction { .. }
            | Statement::Commit { .. }
            | Statement::Rollback { .. }
            | Statement::Savepoint { .. }
            | Statement::ReleaseSavepoint { .. } => return Self::None,
            Statement::CreateTable(table) if table.temporary => {
                return Self::Needed("temporary tables");
            }
            Statement::CreateView(view) if view.temporary => {
                return Self::Needed("temporary views");
            }
            Statement::CreateSequence { temporary: true, .. } => {
                return Self::Needed("temporary sequences");
            }
            Statement::Load { .. } => return Self::Needed("LOAD"),
            _ => Self::Possible,
        };
        let mut check = EffectCheck { effect: known };
        // Stops at what is needed, which the check holds.
        let _ = statement.visit(&mut check);
        check.effect
    }
}

/// Collects the effects of the parts of a statement, up to the first that needs the session.
struct EffectCheck {
    effect: SessionEffect,
}

impl EffectCheck {
    fn need(&mut self, feature: &'static str) -> ControlFlow<()> {
        self.effect = SessionEffect::Needed(feature);
        ControlFlow::Break(())
    }

    fn check_function(&mut self, name: &ObjectName) -> ControlFlow<()> {
        let name = function_name(name);
        if let Some((_, feature)) = SESSION_FUNCTIONS.iter().find(|(known, _)| *known == name) {
            return self.need(feature);
        }
        if !is_pure_name(&name) && !STATELESS_FUNCTIONS.contains(&name.as_str()) {
            self.effect = SessionEffect::Possible;
        }
        ControlFlow::Continue(())
    }
}

impl Visitor for EffectCheck {
    type Break = ();

    fn pre_visit_relation(&mut self, relation: &ObjectName) -> ControlFlow<()> {
        let name = relation.to_string().replace('"', "").to_lowercase();
        match name.split_once('.') {
            Some((TEMPORARY_SCHEMA, _)) => self.need("temporary objects"),
            _ => ControlFlow::Continue(()),
        }
    }

    fn pre_visit_select(&mut self, select: &Select) -> ControlFlow<()> {
        match &select.into {
            Some(into) if into.temporary => self.need("temporary tables"),
            _ => ControlFlow::Continue(()),
        }
    }

    fn pre_visit_table_factor(&mut self, factor: &TableFactor) -> ControlFlow<()> {
        match called_function(factor) {
            Some(name) => self.check_function(name),
            None => ControlFlow::Continue(()),
        }
    }

    fn pre_visit_expr(&mut self, expression: &Expr) -> ControlFlow<()> {
        match expression {
            Expr::Function(function) => self.check_function(&function.name),
            _ => ControlFlow::Continue(()),
        }
    }
}

/// Stops at the first part of a query that may write or give another result on a replica.
#[derive(Default)]
pub(crate) struct ReadOnlyCheck;

impl Visitor for ReadOnlyCheck {
    type Break = ();

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        if !query.locks.is_empty() || !is_read_only(&query.body) {
            return ControlFlow::Break(());
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_table_factor(&mut self, factor: &TableFactor) -> ControlFlow<()> {
        match called_function(factor) {
            Some(name) if !is_pure_name(&function_name(name)) => ControlFlow::Break(()),
            _ => ControlFlow::Continue(()),
        }
    }

    fn pre_visit_expr(&mut self, expression: &Expr) -> ControlFlow<()> {
        match expression {
            Expr::Function(function) if !is_pure_name(&function_name(&function.name)) => {
                ControlFlow::Break(())
            }
            _ => ControlFlow::Continue(()),
        }
    }
}

fn is_read_only(body: &SetExpr) -> bool {
    match body {
        SetExpr::Select(select) => select.into.is_none(),
        SetExpr::Query(_) | SetExpr::Values(_) | SetExpr::Table(_) => true,
        SetExpr::SetOperation { left, right, .. } => is_read_only(left) && is_read_only(right),
        _ => false,
    }
}

/// Returns the function whose rows stand for a table, if there is one.
fn called_function(factor: &TableFactor) -> Option<&ObjectName> {
    match factor {
        TableFactor::Table { name, args: Some(_), .. } | TableFactor::Function { name, .. } => {
            Some(name)
        }
        _ => None,
    }
}

/// Returns the name of a function in lower case, without quotes and the server's own schema.
pub(crate) fn function_name(name: &ObjectName) -> String {
    let name = name.to_string().replace('"', "").to_lowercase();
    name.strip_prefix("pg_catalog.").map(str::to_owned).unwrap_or(name)
}

fn is_pure_name(name: &str) -> bool {
    PURE_FUNCTIONS.contains(&name)
}
