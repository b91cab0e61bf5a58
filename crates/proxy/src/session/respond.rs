//! Responses to the caller, and their logs and metrics.

use std::time::Duration;

use flamingopost_core::key::ServerKey;
use flamingopost_core::position::Position;

use super::{Session, TransactionState};
use crate::caller_connection;
use crate::caller_state::StateFull;
use crate::codec::Codec;
use crate::event::Event;
use crate::message::{Code, Query, Transaction};
use crate::meter::{self, StatementEnd};
use crate::rejection::Reason;
use crate::server_connection::Outcome;
use crate::service::Service;

impl<C: Codec> Session<C> {
    pub(super) fn record_seen(&mut self, service: &Service<C>, position: Option<Position>) {
        if let Some(position) = position {
            let seen = self.seen_positions.entry(service.name.clone()).or_default();
            *seen = (*seen).max(position);
        }
    }

    pub(super) fn timeout(&self) -> Duration {
        let timeout = self.context.fleet.timeout(&self.database);
        timeout.unwrap_or(caller_connection::DEFAULT_STATEMENT_TIMEOUT)
    }

    pub(super) fn deliver(
        &mut self,
        outcome: &Outcome,
        transaction: Transaction,
        end: StatementEnd,
        since: Duration,
    ) {
        self.caller.answer(outcome, transaction);
        let end = match &outcome.end {
            Ok(_) => end,
            Err(error) => {
                if error.code.did_not_run() {
                    self.count_rejection(Reason::of_server(error.code));
                }
                StatementEnd::Error(error.code)
            }
        };
        let took = self.context.site.now().saturating_sub(since);
        meter::statement(&self.database, end, took);
        if let Some(label) = self.context.fleet.team_label(self.gate.team()) {
            meter::team_statement(&label, took);
        }
    }

    /// Reports an error raised by this host to the caller, logs the reason, and counts the rejection.
    /// `why` is absent if the request may have run.
    pub(super) fn report_error(
        &mut self,
        query: &Query,
        code: Code,
        why: Option<Reason>,
        reason: &str,
        since: Duration,
    ) {
        let took = self.context.site.now().saturating_sub(since);
        let route = self.context.fleet.route(&self.database);
        let leader = route.map(|(_, service)| service.name_of(service.leader()));
        self.context.site.log(&Event::Refused {
            id: text(&query.id),
            database: self.database.clone(),
            reason: format!("{code:?}: {reason}"),
            millis: took.as_millis(),
            leader: leader.unwrap_or_default(),
            version: self.context.fleet.version(),
        });
        meter::statement(&self.database, StatementEnd::Error(code), took);
        if let Some(why) = why {
            self.count_rejection(why);
        }
        self.send_error(code, reason.as_bytes());
    }

    /// Counts a rejected request of this session.
    pub(super) fn count_rejection(&self, reason: Reason) {
        let team = self.gate.team();
        self.context.count_rejection(reason, &self.database, team);
    }

    pub(super) fn log_transaction_lost(
        &self,
        query: &Query,
        service: &Service<C>,
        server: ServerKey,
        reason: &str,
    ) {
        self.context.site.log(&Event::TransactionLost {
            id: text(&query.id),
            database: self.database.clone(),
            server: service.name_of(Some(server)),
            reason: reason.to_owned(),
        });
    }

    pub(super) fn log_in_doubt(
        &self,
        query: &Query,
        service: &Service<C>,
        server: ServerKey,
        reason: &str,
        since: Duration,
    ) {
        let took = self.context.site.now().saturating_sub(since);
        self.context.site.log(&Event::InDoubt {
            id: text(&query.id),
            database: self.database.clone(),
            reason: reason.to_owned(),
            server: service.name_of(Some(server)),
            millis: took.as_millis(),
        });
    }

    /// Rejects a request that needs no server.
    pub(super) fn refuse(&mut self, code: Code, why: Reason, reason: &[u8]) {
        self.count_rejection(why);
        self.send_error(code, reason);
    }

    /// Acknowledges a change of the session's state, or rejects it if there was no room.
    pub(super) fn acknowledge_state(&mut self, kept: Result<(), StateFull>) {
        match kept {
            Ok(()) => self.acknowledge(),
            Err(full) => {
                let reason = full.to_string();
                self.refuse(Code::Malformed, Reason::InvalidRequest, reason.as_bytes());
            }
        }
    }

    /// Rejects the use of a prepared statement that does not exist.
    pub(super) fn refuse_unprepared(&mut self) {
        let reason = b"no statement was prepared by this name";
        self.refuse(Code::NoStatement, Reason::InvalidRequest, reason);
    }

    /// Rejects the end of a transaction where none is open.
    pub(super) fn refuse_outside_transaction(&mut self) {
        let reason = b"no transaction is open";
        self.refuse(Code::Malformed, Reason::InvalidRequest, reason);
    }

    /// Rejects a statement on a database that is no longer configured.
    pub(super) fn refuse_without_route(&mut self) {
        let reason = b"there is no such database any more";
        self.refuse(Code::NoDatabase, Reason::UnknownDatabase, reason);
    }

    fn send_error(&mut self, code: Code, reason: &[u8]) {
        self.caller.error(code, reason);
        let transaction = self.transaction_status();
        self.caller.ready(transaction, None);
    }

    pub(super) fn acknowledge(&mut self) {
        self.caller.complete(None);
        let transaction = self.transaction_status();
        self.caller.ready(transaction, None);
    }

    /// Returns the transaction status that is reported to the caller.
    pub(super) fn transaction_status(&self) -> Transaction {
        match self.transaction {
            TransactionState::Idle => Transaction::Idle,
            TransactionState::Begun(_) | TransactionState::Open(_) => Transaction::Open,
            TransactionState::Failed => Transaction::Failed,
        }
    }
}

/// Converts bytes sent by a caller to text for logs.
pub(super) fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}
