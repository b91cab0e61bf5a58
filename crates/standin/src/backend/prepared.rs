//! A statement that was parsed once and may run often.

use std::sync::{Arc, OnceLock};

use pgwire::api::Type;

use super::infer::Column;
use super::sql::Statement;

/// A statement with all that does not change from run to run.
#[derive(Debug)]
pub(crate) struct Prepared {
    pub(crate) statement: Statement,
    pub(crate) types: Vec<Type>,
    pub(crate) columns: OnceLock<Arc<Vec<Column>>>,
}

impl Prepared {
    /// A statement whose columns nobody has asked for yet.
    pub(crate) fn new(statement: Statement, types: Vec<Type>) -> Prepared {
        Prepared {
            statement,
            types,
            columns: OnceLock::new(),
        }
    }
}
