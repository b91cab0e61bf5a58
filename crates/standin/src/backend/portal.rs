//! Bound statements, and how their results are described.

use std::sync::Arc;

use pgwire::api::Type;
use pgwire::messages::data::{FieldDescription, RowDescription};
use rusqlite::types::Value;

use super::error::Error;
use super::executor::{Executor, Outcome};
use super::infer::Column;
use super::prepared::Prepared;
use super::sql::{Argument, Kind};
use super::value;

/// A bound statement.
pub(crate) struct Portal {
    pub(crate) prepared: Arc<Prepared>,
    pub(crate) parameters: Vec<Value>,
    pub(crate) formats: Vec<i16>,
    /// Rows that the caller has not fetched yet, once the statement ran.
    pub(crate) rest: Option<Outcome>,
}

impl Portal {
    /// A statement with its parameters, its result wanted as text.
    pub(crate) fn new(prepared: Arc<Prepared>, parameters: Vec<Value>) -> Portal {
        Portal {
            prepared,
            parameters,
            formats: Vec::new(),
            rest: None,
        }
    }

    /// The columns of the result.
    pub(crate) fn columns(&self, executor: &Executor) -> Result<Arc<Vec<Column>>, Error> {
        match self.prepared.statement.kind {
            Kind::CopyOut { .. } => Ok(Arc::default()),
            _ => executor.describe(&self.prepared, &self.parameters),
        }
    }

    /// Runs the statement from its start.
    pub(crate) async fn run(&self, executor: &mut Executor) -> Result<Outcome, Error> {
        let columns = self.columns(executor)?;
        executor
            .run(&self.prepared, &self.parameters, &columns, &self.formats)
            .await
    }
}

/// The format of the field at `index`, by the rules for lists of format codes.
pub(crate) fn format_of(codes: &[i16], index: usize) -> i16 {
    match codes {
        [] => 0,
        [all] => *all,
        each => each.get(index).copied().unwrap_or(0),
    }
}

/// The message that describes `columns` as sent in `formats`.
pub(crate) fn description(columns: &[Column], formats: &[i16]) -> RowDescription {
    let fields = columns.iter().enumerate().map(|(index, column)| {
        let width = match column.kind {
            Type::INT8 | Type::FLOAT8 => 8,
            Type::BOOL => 1,
            _ => -1,
        };
        let format = format_of(formats, index);
        FieldDescription::new(
            column.name.clone(),
            0,
            0,
            column.kind.oid(),
            width,
            -1,
            format,
        )
    });
    RowDescription::new(fields.collect())
}

/// The parameters that an `EXECUTE` writes out.
pub(crate) fn written_out(
    prepared: &Prepared,
    arguments: &[Argument],
) -> Result<Vec<Value>, Error> {
    let (given, wanted) = (arguments.len(), prepared.types.len());
    if given != wanted {
        return Err(Error::Arity(given, wanted));
    }
    arguments
        .iter()
        .zip(&prepared.types)
        .map(|(argument, kind)| match argument {
            Argument::Text(text) => value::decode(kind, value::TEXT, text.as_bytes()),
            Argument::Null | Argument::Bound(_) => Ok(Value::Null),
        })
        .collect()
}
