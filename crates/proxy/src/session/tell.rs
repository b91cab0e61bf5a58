//! What a caller is told, and what is remembered and logged of it.

use std::time::Duration;

use flamingopost_core::key::ServerKey;
use flamingopost_core::position::Position;

use super::{Session, State};
use crate::back::Outcome;
use crate::codec::Codec;
use crate::event::Event;
use crate::front;
use crate::message::{Code, Query, Transaction};
use crate::meter::{self, StatementEnd};
use crate::service::Service;

impl<C: Codec> Session<C> {
    pub(super) fn saw(&mut self, service: &Service<C>, position: Option<Position>) {
        if let Some(position) = position {
            let seen = self.seen.entry(service.name.clone()).or_default();
            *seen = (*seen).max(position);
        }
    }

    pub(super) fn timeout(&self) -> Duration {
        let timeout = self.context.fleet.timeout(&self.database);
        timeout.unwrap_or(front::TIMEOUT)
    }

    pub(super) fn deliver(
        &mut self,
        outcome: &Outcome,
        transaction: Transaction,
        end: StatementEnd,
        since: Duration,
    ) {
        self.front.answer(outcome, transaction);
        let end = match &outcome.end {
            Ok(_) => end,
            Err(fault) => StatementEnd::Error(fault.code),
        };
        let took = self.context.site.now().saturating_sub(since);
        meter::statement(&self.database, end, took);
    }

    /// Tells the caller an error of this host's own, and logs why.
    pub(super) fn tell(&mut self, query: &Query, code: Code, reason: &str, since: Duration) {
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
        self.refuse(code, reason.as_bytes());
    }

    pub(super) fn lost(
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

    pub(super) fn doubt(
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

    pub(super) fn refuse(&mut self, code: Code, reason: &[u8]) {
        self.front.error(code, reason);
        let told = self.told();
        self.front.ready(told, None);
    }

    pub(super) fn acknowledge(&mut self) {
        self.front.complete(None);
        let told = self.told();
        self.front.ready(told, None);
    }

    /// Whether a transaction is open, as the caller is told.
    pub(super) fn told(&self) -> Transaction {
        match self.transaction {
            State::Idle => Transaction::Idle,
            State::Begun(_) | State::Open(_) => Transaction::Open,
            State::Failed => Transaction::Failed,
        }
    }
}

/// Bytes of a caller, for logs.
pub(super) fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}
