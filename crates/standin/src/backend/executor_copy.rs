//! COPY in both directions.

use bytes::BytesMut;
use pgwire::api::Type;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::copy::{CopyData, CopyDone, CopyOutResponse};
use rusqlite::params_from_iter;
use rusqlite::types::ValueRef;

use super::copy;
use super::error::Error;
use super::executor::{Executor, Outcome};
use super::value;

/// A COPY FROM STDIN under way.
#[derive(Debug)]
pub(crate) struct CopyIn {
    sql: String,
    kinds: Vec<Type>,
    buffer: BytesMut,
    rows: usize,
}

impl CopyIn {
    /// How many columns it fills.
    pub(crate) fn width(&self) -> usize {
        self.kinds.len()
    }
}

impl Executor {
    pub(crate) async fn copy_out(&mut self, query: &str) -> Result<Outcome, Error> {
        let _slot = self.slot().await?;
        self.spend(None, &[]).await?;
        let mut prepared = self.engine.connection.prepare_cached(query)?;
        let kinds: Vec<Type> = prepared
            .columns()
            .map(|column| column.decl_type().map_or(Type::TEXT, value::declared))
            .collect();
        let width = kinds.len();
        let response = CopyOutResponse::new(0, width as i16, vec![0; width]);
        let mut messages = vec![PgWireBackendMessage::CopyOutResponse(response)];
        let mut rows = prepared.query([])?;
        while let Some(row) = rows.next()? {
            let fields = (0..width).map(|index| row.get_ref(index).unwrap_or(ValueRef::Null));
            let line = copy::line(fields.zip(&kinds));
            messages.push(PgWireBackendMessage::CopyData(CopyData::new(line)));
        }
        let count = messages.len() - 1;
        messages.push(PgWireBackendMessage::CopyDone(CopyDone::new()));
        Ok(Outcome::Done {
            rows: messages,
            tag: format!("COPY {count}"),
        })
    }

    pub(crate) async fn copy_in(
        &mut self,
        table: &str,
        columns: Option<&str>,
    ) -> Result<Outcome, Error> {
        let list = columns.unwrap_or("*");
        let kinds: Vec<Type> = self
            .engine
            .connection
            .prepare(&format!("SELECT {list} FROM {table}"))?
            .columns()
            .map(|column| column.decl_type().map_or(Type::TEXT, value::declared))
            .collect();
        self.begin_write().await?;
        let holders: Vec<String> = (1..=kinds.len())
            .map(|number| format!("?{number}"))
            .collect();
        let into = columns.map_or_else(String::new, |columns| format!(" ({columns})"));
        let sql = format!("INSERT INTO {table}{into} VALUES ({})", holders.join(", "));
        Ok(Outcome::CopyIn(CopyIn {
            sql,
            kinds,
            buffer: BytesMut::new(),
            rows: 0,
        }))
    }

    /// Takes what the caller sent for a COPY.
    pub(crate) fn copy_data(&mut self, copy: &mut CopyIn, data: &[u8]) -> Result<(), Error> {
        copy.buffer.extend_from_slice(data);
        while let Some(end) = copy.buffer.iter().position(|byte| *byte == b'\n') {
            let line = copy.buffer.split_to(end + 1);
            self.copy_line(copy, &line[..end])?;
        }
        Ok(())
    }

    /// Ends a COPY; tells how many rows came.
    pub(crate) fn copy_done(&mut self, mut copy: CopyIn) -> Result<usize, Error> {
        if !copy.buffer.is_empty() {
            let line = copy.buffer.split();
            self.copy_line(&mut copy, &line)?;
        }
        Ok(copy.rows)
    }

    fn copy_line(&mut self, copy: &mut CopyIn, line: &[u8]) -> Result<(), Error> {
        if line == b"\\." {
            return Ok(());
        }
        let values = copy::values(line, &copy.kinds)?;
        self.engine
            .connection
            .prepare_cached(&copy.sql)?
            .execute(params_from_iter(&values))?;
        self.transaction.record(&copy.sql, &values);
        copy.rows += 1;
        Ok(())
    }
}
