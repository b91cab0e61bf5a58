//! The functions by which the platform and other servers of the group talk to a server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use flamingopost_core::position::Position;
use pgwire::api::Type;
use rusqlite::types::Value;
use tokio::time::Instant;

use super::error::{Error, GroupError};
use super::infer::Column;
use super::shared::Shared;
use super::sql::Function;

/// Rows in answer to a call.
pub(crate) type Rows = Vec<Vec<Value>>;

/// The columns that `function` answers with.
pub(crate) fn columns(function: Function) -> Vec<Column> {
    let listed: &[(&str, Type)] = match function {
        Function::Status => &[
            ("term", Type::INT8),
            ("role", Type::TEXT),
            ("position", Type::TEXT),
            ("log", Type::INT8),
            ("age_ms", Type::INT8),
            ("leaving", Type::BOOL),
        ],
        Function::Promote | Function::Follow | Function::Wait => &[(function.name(), Type::BOOL)],
        Function::Spans => &[("term", Type::INT8), ("last", Type::INT8)],
        Function::Log => &[("last", Type::INT8), ("entry", Type::TEXT)],
    };
    listed
        .iter()
        .map(|(name, kind)| Column {
            name: (*name).to_owned(),
            kind: kind.clone(),
        })
        .collect()
}

/// The types of the parameters of `function`.
pub(crate) fn parameters(function: Function) -> Vec<Type> {
    match function {
        Function::Status => vec![],
        Function::Promote => vec![Type::INT8, Type::TEXT],
        Function::Follow | Function::Wait => vec![Type::TEXT, Type::INT8],
        Function::Spans => vec![Type::INT8],
        Function::Log => vec![Type::INT8; 4],
    }
}

/// Answers a call on connection `pid`.
pub(crate) async fn call(
    shared: &Arc<Shared>,
    pid: i32,
    function: Function,
    arguments: &[Value],
) -> Result<Rows, Error> {
    match function {
        Function::Status => Ok(vec![status(shared)]),
        Function::Promote => {
            let reach = match arguments.get(1) {
                Some(Value::Null) | None => None,
                Some(value) => Some(position(Some(value))?),
            };
            shared.promote(number(arguments.first())?, reach)?;
            Ok(truth(true))
        }
        Function::Follow => {
            let text = text(arguments.first())?;
            let primary: SocketAddr = text.parse().map_err(|_| GroupError::Argument(text))?;
            shared.follow(primary, number(arguments.get(1))?, pid)?;
            Ok(truth(true))
        }
        Function::Wait => {
            let wanted = position(arguments.first())?;
            let deadline = deadline(arguments.get(1))?;
            let reached = shared
                .wait(deadline, |state| state.log.contains(wanted))
                .await;
            Ok(truth(reached))
        }
        Function::Spans => spans(shared, number(arguments.first())?),
        Function::Log => entries(shared, arguments).await,
    }
}

fn status(shared: &Shared) -> Vec<Value> {
    let leaving = shared.switch.get().leaving;
    let state = shared.state();
    let position = state.position();
    vec![
        Value::Integer(state.term_number()),
        Value::Text(state.role.name().to_owned()),
        Value::Text(position.to_string()),
        Value::Integer(position.log as i64),
        Value::Integer(state.age_ms()),
        Value::Integer(i64::from(leaving)),
    ]
}

fn spans(shared: &Shared, term: i64) -> Result<Rows, Error> {
    let state = shared.state();
    if !leads(&state, term) {
        return Err(GroupError::NotLeading.into());
    }
    let rows = state
        .log
        .spans()
        .into_iter()
        .map(|span| vec![Value::Integer(span.term), Value::Integer(span.last as i64)]);
    Ok(rows.collect())
}

/// Entries after a position, each with the last position of the log. Without any, one row that
/// tells just that position.
async fn entries(shared: &Shared, arguments: &[Value]) -> Result<Rows, Error> {
    let term = number(arguments.first())?;
    let after = number(arguments.get(1))? as u64;
    let most = number(arguments.get(2))? as usize;
    let deadline = deadline(arguments.get(3))?;
    shared
        .wait(deadline, |state| {
            !leads(state, term) || state.log.last() > after
        })
        .await;
    let state = shared.state();
    if !leads(&state, term) {
        return Err(GroupError::NotLeading.into());
    }
    let last = Value::Integer(state.log.last() as i64);
    let mut rows = Rows::new();
    for entry in state.log.after(after, most) {
        let body = serde_json::to_string(entry)
            .map_err(|error| GroupError::Argument(error.to_string()))?;
        rows.push(vec![last.clone(), Value::Text(body)]);
    }
    if rows.is_empty() {
        rows.push(vec![last, Value::Null]);
    }
    Ok(rows)
}

fn leads(state: &super::state::State, term: i64) -> bool {
    state.role == super::state::Role::Primary && state.term == Some(term)
}

fn truth(truth: bool) -> Rows {
    vec![vec![Value::Integer(i64::from(truth))]]
}

fn text(value: Option<&Value>) -> Result<String, GroupError> {
    match value {
        Some(Value::Text(text)) => Ok(text.clone()),
        other => Err(GroupError::Argument(format!("{other:?}"))),
    }
}

fn number(value: Option<&Value>) -> Result<i64, GroupError> {
    match value {
        Some(Value::Integer(number)) => Ok(*number),
        Some(Value::Text(text)) => text.parse().map_err(|_| GroupError::Argument(text.clone())),
        other => Err(GroupError::Argument(format!("{other:?}"))),
    }
}

fn position(value: Option<&Value>) -> Result<Position, GroupError> {
    let text = text(value)?;
    text.parse().map_err(|_| GroupError::Argument(text))
}

fn deadline(value: Option<&Value>) -> Result<Instant, GroupError> {
    let millis = number(value)?.max(0) as u64;
    Ok(Instant::now() + Duration::from_millis(millis))
}
