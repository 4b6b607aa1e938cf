//! Types of parameters and computed columns, which the embedded engine does not report.

use std::ops::ControlFlow;

use rusqlite::Connection;
use sqlparser::ast::{
    BinaryOperator, Expr, InTarget, Insert, ObjectName, SetExpr, Statement, TableObject, Value,
    Visit, Visitor,
};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;

use crate::value::{oid, oid_of_declaration};

/// Infers the type of every parameter of `sql`; unknown ones count as text.
pub fn parameter_types(connection: &Connection, sql: &str, count: usize) -> Vec<u32> {
    let mut types = vec![oid::TEXT; count];
    if count == 0 {
        return types;
    }
    let Ok(statements) = Parser::parse_sql(&PostgreSqlDialect {}, sql) else {
        return types;
    };
    let mut scan = ParameterScan::default();
    let _ = statements.visit(&mut scan);
    let columns = column_types(connection, &scan.tables);
    let find = |column: &ColumnUse| match column {
        ColumnUse::Named(name) => columns.iter().find(|column| column.name == *name),
        ColumnUse::Numbered(index) => columns.get(*index),
    };
    for (parameter, column) in scan.uses {
        let known = find(&column).map(|column| column.oid);
        let slot = parameter.checked_sub(1).and_then(|index| types.get_mut(index));
        if let (Some(known), Some(slot)) = (known, slot) {
            *slot = known;
        }
    }
    for parameter in scan.limits {
        if let Some(slot) = parameter.checked_sub(1).and_then(|index| types.get_mut(index)) {
            *slot = oid::INT8;
        }
    }
    types
}

/// Guesses the type of a column that has no declaration from its expression.
pub fn expression_type(expression: &str) -> u32 {
    let lower = expression.to_ascii_lowercase();
    let counts = ["count(", "sum(", "length(", "max(", "min(", "total("];
    if counts.iter().any(|prefix| lower.starts_with(prefix)) {
        return oid::INT8;
    }
    if lower.parse::<i64>().is_ok() {
        return oid::INT4;
    }
    oid::TEXT
}

/// Column of a table that a statement names.
struct TableColumn {
    name: String,
    oid: u32,
}

/// Lists the columns of the tables in order.
fn column_types(connection: &Connection, tables: &[String]) -> Vec<TableColumn> {
    let mut types = Vec::new();
    for table in tables {
        let Ok(mut statement) = connection.prepare("SELECT name, type FROM pragma_table_info(?)")
        else {
            continue;
        };
        let rows = statement
            .query_map([table], |row| Ok((row.get::<_, String>(0)?, row.get::<_, String>(1)?)));
        for (name, declaration) in rows.into_iter().flatten().flatten() {
            let oid = oid_of_declaration(&declaration);
            types.push(TableColumn { name: name.to_lowercase(), oid });
        }
    }
    types
}

/// Column that a parameter is compared with or stored into.
enum ColumnUse {
    /// Column with this name.
    Named(String),
    /// Column at this place of the first table.
    Numbered(usize),
}

/// Collects which column each parameter is compared with or stored into.
#[derive(Default)]
struct ParameterScan {
    tables: Vec<String>,
    uses: Vec<(usize, ColumnUse)>,
    limits: Vec<usize>,
}

impl ParameterScan {
    fn relate(&mut self, one: &Expr, other: &Expr) {
        if let (Some(parameter), Some(column)) = (parameter_of(one), column_of(other)) {
            self.uses.push((parameter, ColumnUse::Named(column)));
        }
    }

    fn insert(&mut self, insert: &Insert) {
        if let TableObject::TableName(name) = &insert.table {
            self.tables.push(name.to_string().to_lowercase());
        }
        let Some(SetExpr::Values(values)) = insert.source.as_ref().map(|query| &*query.body) else {
            return;
        };
        for row in &values.rows {
            for (index, value) in row.iter().enumerate() {
                let Some(parameter) = parameter_of(value) else {
                    continue;
                };
                let column = match insert.columns.get(index) {
                    Some(column) => ColumnUse::Named(column.to_string().to_lowercase()),
                    None => ColumnUse::Numbered(index),
                };
                self.uses.push((parameter, column));
            }
        }
    }
}

impl Visitor for ParameterScan {
    type Break = ();

    fn pre_visit_relation(&mut self, relation: &ObjectName) -> ControlFlow<()> {
        self.tables.push(relation.to_string().to_lowercase());
        ControlFlow::Continue(())
    }

    fn pre_visit_statement(&mut self, statement: &Statement) -> ControlFlow<()> {
        match statement {
            Statement::Insert(insert) => self.insert(insert),
            Statement::Update(update) => {
                for assignment in &update.assignments {
                    if let Some(parameter) = parameter_of(&assignment.value) {
                        let column = assignment.target.to_string().to_lowercase();
                        self.uses.push((parameter, ColumnUse::Named(column)));
                    }
                }
            }
            _ => {}
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_query(&mut self, query: &sqlparser::ast::Query) -> ControlFlow<()> {
        if let Some(sqlparser::ast::LimitClause::LimitOffset { limit, offset, .. }) =
            &query.limit_clause
        {
            self.limits.extend(limit.as_ref().and_then(parameter_of));
            self.limits.extend(offset.as_ref().and_then(|offset| parameter_of(&offset.value)));
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_expr(&mut self, expression: &Expr) -> ControlFlow<()> {
        match expression {
            Expr::BinaryOp { left, op, right } if relates(op) => {
                self.relate(left, right);
                self.relate(right, left);
            }
            Expr::Between { expr, low, high, .. } => {
                self.relate(low, expr);
                self.relate(high, expr);
            }
            Expr::In { expr, target: InTarget::List(list), .. } => {
                list.iter().for_each(|item| self.relate(item, expr));
            }
            _ => {}
        }
        ControlFlow::Continue(())
    }
}

fn relates(operator: &BinaryOperator) -> bool {
    matches!(
        operator,
        BinaryOperator::Eq
            | BinaryOperator::NotEq
            | BinaryOperator::Lt
            | BinaryOperator::LtEq
            | BinaryOperator::Gt
            | BinaryOperator::GtEq
            | BinaryOperator::Plus
            | BinaryOperator::Minus
    )
}

fn parameter_of(expression: &Expr) -> Option<usize> {
    match expression {
        Expr::Value(value) => match &value.value {
            Value::Placeholder(name) => name.strip_prefix('$')?.parse().ok(),
            _ => None,
        },
        Expr::Nested(inner) => parameter_of(inner),
        _ => None,
    }
}

fn column_of(expression: &Expr) -> Option<String> {
    match expression {
        Expr::Identifier(name) => Some(name.value.to_lowercase()),
        Expr::CompoundIdentifier(names) => Some(names.last()?.value.to_lowercase()),
        Expr::Nested(inner) => column_of(inner),
        _ => None,
    }
}
