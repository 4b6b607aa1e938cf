//! Type inference for parameters and computed columns, whose types SQLite does not report.

use std::ops::ControlFlow;

use rusqlite::Connection;
use sqlparser::ast::{
    BinaryOperator, Expr, InTarget, Insert, ObjectName, SetExpr, Statement, TableObject, Value,
    Visit, Visitor,
};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;

use crate::value::{oid, oid_from_declared_type};

/// Infers the type OID of every parameter of `sql`; defaults to text.
pub fn infer_parameter_types(connection: &Connection, sql: &str, count: usize) -> Vec<u32> {
    let mut types = vec![oid::TEXT; count];
    if count == 0 {
        return types;
    }
    let Ok(statements) = Parser::parse_sql(&PostgreSqlDialect {}, sql) else {
        return types;
    };
    let mut visitor = ParameterVisitor::default();
    let _ = statements.visit(&mut visitor);
    let columns = table_columns(connection, &visitor.tables);
    let find = |column: &ColumnReference| match column {
        ColumnReference::Name(name) => columns.iter().find(|column| column.name == *name),
        ColumnReference::Position(index) => columns.get(*index),
    };
    for (parameter, column) in visitor.references {
        let oid = find(&column).map(|column| column.oid);
        let parameter_type = parameter.checked_sub(1).and_then(|index| types.get_mut(index));
        if let (Some(oid), Some(parameter_type)) = (oid, parameter_type) {
            *parameter_type = oid;
        }
    }
    for parameter in visitor.limit_parameters {
        if let Some(parameter_type) =
            parameter.checked_sub(1).and_then(|index| types.get_mut(index))
        {
            *parameter_type = oid::INT8;
        }
    }
    types
}

/// Infers the type OID of a computed column from its expression; defaults to text.
pub fn infer_expression_type(expression: &str) -> u32 {
    let lower = expression.to_ascii_lowercase();
    let integer_functions = ["count(", "sum(", "length(", "max(", "min(", "total("];
    if integer_functions.iter().any(|prefix| lower.starts_with(prefix)) {
        return oid::INT8;
    }
    if lower.parse::<i64>().is_ok() {
        return oid::INT4;
    }
    oid::TEXT
}

/// Column of a table that a statement refers to.
struct TableColumn {
    name: String,
    oid: u32,
}

/// Returns the columns of the tables in order.
fn table_columns(connection: &Connection, tables: &[String]) -> Vec<TableColumn> {
    let mut columns = Vec::new();
    for table in tables {
        let Ok(mut statement) = connection.prepare("SELECT name, type FROM pragma_table_info(?)")
        else {
            continue;
        };
        let rows = statement
            .query_map([table], |row| Ok((row.get::<_, String>(0)?, row.get::<_, String>(1)?)));
        for (name, declared) in rows.into_iter().flatten().flatten() {
            let oid = oid_from_declared_type(&declared);
            columns.push(TableColumn { name: name.to_lowercase(), oid });
        }
    }
    columns
}

/// Column that a parameter is compared with or stored into.
enum ColumnReference {
    /// Column with this name.
    Name(String),
    /// Column at this index of the first table.
    Position(usize),
}

/// Collects the column that each parameter is compared with or stored into.
#[derive(Default)]
struct ParameterVisitor {
    tables: Vec<String>,
    /// Parameter numbers, from one, with their columns.
    references: Vec<(usize, ColumnReference)>,
    /// Numbers of the parameters of `LIMIT` and `OFFSET`, which are 64-bit integers.
    limit_parameters: Vec<usize>,
}

impl ParameterVisitor {
    /// Records the column `other` for the parameter `value`; does nothing for other expressions.
    fn record_comparison(&mut self, value: &Expr, other: &Expr) {
        if let (Some(parameter), Some(column)) = (parameter_number(value), column_name(other)) {
            self.references.push((parameter, ColumnReference::Name(column)));
        }
    }

    fn record_insert(&mut self, insert: &Insert) {
        if let TableObject::TableName(name) = &insert.table {
            self.tables.push(name.to_string().to_lowercase());
        }
        let Some(SetExpr::Values(values)) = insert.source.as_ref().map(|query| &*query.body) else {
            return;
        };
        for row in &values.rows {
            for (index, value) in row.iter().enumerate() {
                let Some(parameter) = parameter_number(value) else {
                    continue;
                };
                let column = match insert.columns.get(index) {
                    Some(column) => ColumnReference::Name(column.to_string().to_lowercase()),
                    None => ColumnReference::Position(index),
                };
                self.references.push((parameter, column));
            }
        }
    }
}

impl Visitor for ParameterVisitor {
    type Break = ();

    fn pre_visit_relation(&mut self, relation: &ObjectName) -> ControlFlow<()> {
        self.tables.push(relation.to_string().to_lowercase());
        ControlFlow::Continue(())
    }

    fn pre_visit_statement(&mut self, statement: &Statement) -> ControlFlow<()> {
        match statement {
            Statement::Insert(insert) => self.record_insert(insert),
            Statement::Update(update) => {
                for assignment in &update.assignments {
                    if let Some(parameter) = parameter_number(&assignment.value) {
                        let column = assignment.target.to_string().to_lowercase();
                        self.references.push((parameter, ColumnReference::Name(column)));
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
            self.limit_parameters.extend(limit.as_ref().and_then(parameter_number));
            self.limit_parameters
                .extend(offset.as_ref().and_then(|offset| parameter_number(&offset.value)));
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_expr(&mut self, expression: &Expr) -> ControlFlow<()> {
        match expression {
            Expr::BinaryOp { left, op, right } if has_same_type_operands(op) => {
                self.record_comparison(left, right);
                self.record_comparison(right, left);
            }
            Expr::Between { expr, low, high, .. } => {
                self.record_comparison(low, expr);
                self.record_comparison(high, expr);
            }
            Expr::In { expr, target: InTarget::List(list), .. } => {
                list.iter().for_each(|item| self.record_comparison(item, expr));
            }
            _ => {}
        }
        ControlFlow::Continue(())
    }
}

fn has_same_type_operands(operator: &BinaryOperator) -> bool {
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

fn parameter_number(expression: &Expr) -> Option<usize> {
    match expression {
        Expr::Value(value) => match &value.value {
            Value::Placeholder(name) => name.strip_prefix('$')?.parse().ok(),
            _ => None,
        },
        Expr::Nested(inner) => parameter_number(inner),
        _ => None,
    }
}

fn column_name(expression: &Expr) -> Option<String> {
    match expression {
        Expr::Identifier(name) => Some(name.value.to_lowercase()),
        Expr::CompoundIdentifier(names) => Some(names.last()?.value.to_lowercase()),
        Expr::Nested(inner) => column_name(inner),
        _ => None,
    }
}
