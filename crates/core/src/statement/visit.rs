//! Conversion of the parser's syntax tree to a [`Part`]; the only module that depends on the tree.

use std::collections::BTreeSet;
use std::ops::ControlFlow;

use sqlparser::ast::{
    self, ContextModifier, CopySource, CopyTarget, Expr, Query, Select, SetExpr, TableFactor,
    TransactionMode, Value, Visit, Visitor,
};

use super::function::{self, Effect};
use super::shape::{TEMPORARY_SCHEMA, folded, full_name, object_name};
use super::{Action, Part, SessionState};
use crate::rule::Access;

/// Classifies one statement.
pub(super) fn part(statement: &ast::Statement) -> Part {
    let mut walk = Walk::default();
    let _ = statement.visit(&mut walk);
    let action = action(statement);
    let access = access(statement, &action, &walk);
    let session_state = session_state(&action, &walk);
    Part {
        action,
        access,
        tables: walk.tables(),
        session_state,
    }
}

/// What a walk over the whole syntax tree finds.
#[derive(Debug, Default)]
struct Walk {
    /// Names in the position of a table.
    relations: BTreeSet<String>,
    /// Names among these that are a common table expression or a function.
    other_names: BTreeSet<String>,
    /// Whether anything in the tree may write.
    writes: bool,
    /// Whether a function in the tree leaves state on its connection.
    keeps_state: bool,
    /// Whether the statement uses or creates a temporary table.
    temporary: bool,
}

impl Walk {
    fn tables(self) -> BTreeSet<String> {
        &self.relations - &self.other_names
    }

    fn call(&mut self, name: &ast::ObjectName) {
        match function::effect(&full_name(name)) {
            Effect::Reads => {}
            Effect::Writes => self.writes = true,
            Effect::KeepsState => {
                self.writes = true;
                self.keeps_state = true;
            }
        }
    }
}

impl Visitor for Walk {
    type Break = ();

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        for cte in query.with.iter().flat_map(|with| &with.cte_tables) {
            self.other_names.insert(folded(&cte.alias.name));
        }
        // SELECT FOR UPDATE takes row locks, which a replica refuses.
        self.writes |= !query.locks.is_empty();
        if let SetExpr::Table(table) = query.body.as_ref() {
            self.relations.extend(table_command(table));
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_select(&mut self, select: &Select) -> ControlFlow<()> {
        if let Some(into) = &select.into {
            self.writes = true;
            self.temporary |= into.temporary;
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_relation(&mut self, relation: &ast::ObjectName) -> ControlFlow<()> {
        let name = object_name(relation);
        self.temporary |= name.starts_with(TEMPORARY_SCHEMA);
        self.relations.insert(name);
        ControlFlow::Continue(())
    }

    fn pre_visit_table_factor(&mut self, factor: &TableFactor) -> ControlFlow<()> {
        match factor {
            TableFactor::Table {
                name,
                args: Some(_),
                ..
            }
            | TableFactor::Function { name, .. } => {
                self.other_names.insert(object_name(name));
                self.call(name);
            }
            _ => {}
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_expr(&mut self, expr: &Expr) -> ControlFlow<()> {
        if let Expr::Function(function) = expr {
            self.call(&function.name);
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_statement(&mut self, statement: &ast::Statement) -> ControlFlow<()> {
        self.writes |= !changes_no_data_itself(statement);
        self.relations.extend(copied_table(statement));
        ControlFlow::Continue(())
    }
}

/// Returns the table of a `TABLE` command, without the schema `public`.
fn table_command(table: &ast::Table) -> Option<String> {
    let name = folded(table.table_name.as_ref()?);
    let schema = table.schema_name.as_ref().map(folded);
    match schema.as_deref() {
        None | Some("public") => Some(name),
        Some(schema) => Some(format!("{schema}.{name}")),
    }
}

/// Returns the table of a COPY, which the parser's walk does not report as a relation.
fn copied_table(statement: &ast::Statement) -> Option<String> {
    match statement {
        ast::Statement::Copy {
            source: CopySource::Table { table_name, .. },
            ..
        } => Some(object_name(table_name)),
        _ => None,
    }
}

/// Reports whether the statement itself changes no data; the statements inside it may.
fn changes_no_data_itself(statement: &ast::Statement) -> bool {
    match statement {
        ast::Statement::Query(_)
        | ast::Statement::Explain { .. }
        | ast::Statement::Set(_)
        | ast::Statement::Reset(_)
        | ast::Statement::ShowVariable { .. }
        | ast::Statement::Prepare { .. }
        | ast::Statement::Deallocate { .. }
        | ast::Statement::Discard { .. }
        | ast::Statement::Declare { .. }
        | ast::Statement::Fetch { .. }
        | ast::Statement::Close { .. } => true,
        ast::Statement::Copy { to, target, .. } => *to && matches!(target, CopyTarget::Stdout),
        _ => false,
    }
}

fn access(statement: &ast::Statement, action: &Action, walk: &Walk) -> Access {
    if let Action::Begin { read_only } = action {
        return if *read_only {
            Access::Read
        } else {
            Access::Write
        };
    }
    if walk.writes || !changes_no_data_itself(statement) {
        Access::Write
    } else {
        Access::Read
    }
}

fn session_state(action: &Action, walk: &Walk) -> SessionState {
    match action {
        Action::CreateTemporary | Action::Listen { .. } | Action::DeclareCursor { hold: true } => {
            SessionState::Pinned
        }
        _ if walk.keeps_state || walk.temporary => SessionState::Pinned,
        Action::Set { local: false, .. }
        | Action::Reset { .. }
        | Action::Prepare { .. }
        | Action::Deallocate { .. }
        | Action::Discard { .. } => SessionState::Tracked,
        Action::Unknown => SessionState::Pinned,
        _ => SessionState::Unchanged,
    }
}

fn action(statement: &ast::Statement) -> Action {
    use ast::Statement as S;
    match statement {
        S::StartTransaction { modes, .. } => Action::Begin {
            read_only: read_only(modes),
        },
        S::Commit { chain, .. } => Action::Commit { chain: *chain },
        S::Rollback {
            chain,
            savepoint: None,
        } => Action::Rollback { chain: *chain },
        S::Rollback { .. } | S::Savepoint { .. } | S::ReleaseSavepoint { .. } => Action::Savepoint,
        S::Set(set) => set_action(set, statement),
        S::Reset(reset) => reset_action(&reset.reset),
        S::ShowVariable { variable } => Action::Show {
            name: variable.iter().map(folded).collect::<Vec<_>>().join("."),
        },
        S::Prepare { name, .. } => Action::Prepare {
            name: folded(name),
            text: statement.to_string(),
        },
        S::Execute {
            name: Some(name), ..
        } => Action::Execute {
            name: object_name(name),
        },
        S::Deallocate { name, .. } => Action::Deallocate {
            name: name_unless_all(name),
        },
        S::Discard { object_type } => Action::Discard {
            all: matches!(object_type, ast::DiscardObject::ALL),
        },
        S::LISTEN { channel } => Action::Listen {
            channel: folded(channel),
        },
        S::UNLISTEN { channel } => Action::Unlisten {
            channel: folded(channel),
        },
        S::Declare { stmts, .. } => Action::DeclareCursor {
            hold: stmts.iter().any(|cursor| cursor.hold == Some(true)),
        },
        S::Copy { to, target, .. } => copy_action(*to, target),
        _ if creates_temporary(statement) => Action::CreateTemporary,
        _ if leaves_untracked_state(statement) => Action::Unknown,
        _ => Action::Query,
    }
}

fn read_only(modes: &[TransactionMode]) -> bool {
    modes.iter().any(|mode| {
        matches!(
            mode,
            TransactionMode::AccessMode(ast::TransactionAccessMode::ReadOnly)
        )
    })
}

fn copy_action(to: bool, target: &CopyTarget) -> Action {
    match (to, target) {
        (true, CopyTarget::Stdout) => Action::CopyOut,
        (false, CopyTarget::Stdin) => Action::CopyIn,
        _ => Action::Query,
    }
}

fn name_unless_all(name: &ast::Ident) -> Option<String> {
    let name_text = folded(name);
    let all = name.quote_style.is_none() && name_text == "all";
    (!all).then_some(name_text)
}

fn reset_action(reset: &ast::Reset) -> Action {
    match reset {
        ast::Reset::ALL => Action::Reset { name: None },
        ast::Reset::SessionAuthorization => Action::Unknown,
        ast::Reset::ConfigurationParameter(name) => Action::Reset {
            name: Some(object_name(name).to_lowercase()),
        },
    }
}

fn set_action(set: &ast::Set, statement: &ast::Statement) -> Action {
    let text = statement.to_string();
    match set {
        ast::Set::SingleAssignment {
            scope,
            variable,
            values,
            ..
        } => Action::Set {
            name: object_name(variable).to_lowercase(),
            value: single_value(values),
            local: *scope == Some(ContextModifier::Local),
            text,
        },
        ast::Set::SetTimeZone { local, value } => Action::Set {
            name: "timezone".to_owned(),
            value: plain_value(value),
            local: *local,
            text,
        },
        ast::Set::SetRole {
            context_modifier,
            role_name,
        } => Action::Set {
            name: "role".to_owned(),
            value: role_name.as_ref().map(folded),
            local: *context_modifier == Some(ContextModifier::Local),
            text,
        },
        ast::Set::SetNames { charset_name, .. } => Action::Set {
            name: "client_encoding".to_owned(),
            value: Some(charset_name.value.clone()),
            local: false,
            text,
        },
        ast::Set::SetTransaction { session: false, .. } => Action::Query,
        _ => Action::Unknown,
    }
}

fn single_value(values: &[Expr]) -> Option<String> {
    match values {
        [value] => plain_value(value),
        _ => None,
    }
}

fn plain_value(value: &Expr) -> Option<String> {
    match value {
        Expr::Identifier(ident) => Some(ident.value.clone()),
        Expr::Value(value) => match &value.value {
            Value::SingleQuotedString(text)
            | Value::DollarQuotedString(ast::DollarQuotedString { value: text, .. }) => {
                Some(text.clone())
            }
            Value::Number(number, _) => Some(number.to_string()),
            Value::Boolean(flag) => Some(flag.to_string()),
            _ => None,
        },
        _ => None,
    }
}

fn creates_temporary(statement: &ast::Statement) -> bool {
    match statement {
        ast::Statement::CreateTable(table) => table.temporary,
        ast::Statement::CreateView(view) => view.temporary,
        ast::Statement::CreateSequence { temporary, .. } => *temporary,
        _ => false,
    }
}

/// Reports whether the statement leaves state on its connection that is not tracked.
fn leaves_untracked_state(statement: &ast::Statement) -> bool {
    matches!(
        statement,
        ast::Statement::Load { .. } | ast::Statement::Use(_) | ast::Statement::AlterSession { .. }
    )
}
