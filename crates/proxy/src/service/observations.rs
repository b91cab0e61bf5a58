//! What answers and failures of servers, and other hosts, tell about a service.

use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::key::ServerKey;
use flamingopost_core::leader::Role;
use flamingopost_core::position::Position;
use flamingopost_core::term::Term;

use super::{ResolvedServer, Service};
use crate::codec::{self, Codec};
use crate::message::Status;
use crate::peer;
use crate::server_connection;

impl<C: Codec> Service<C> {
    /// Records an answer of a server, at `position`, to a request sent at `sent`.
    ///
    /// `led` means that only a primary could give this answer, and that this host held a lease when
    /// it sent the request.
    pub fn record_answer(
        self: &Rc<Self>,
        server: ServerKey,
        position: Option<Position>,
        sent: Duration,
        by_primary: bool,
    ) {
        let now = self.site.now();
        let mut state = self.state.borrow_mut();
        if let Some(entry) = state.servers.get_mut(&server) {
            entry.contact.record_answer(now);
            entry.has_shown_position |= position.is_some();
        }
        let Some(position) = position else {
            return;
        };
        if state.can_check_now() {
            self.failover_notify.notify_one();
        }
        let passed = state.freshness.passed_at(position);
        let proven = state.proven_position(server, position);
        if let Some(server) = state.dispatch.server_mut(server) {
            server.record_position(proven, passed, now);
        }
        state.freshness.record_term(position.term);
        state.leader.record_log_term(server, position.term);
        if by_primary && !state.log_extent.lacks(position, sent) {
            state.freshness.add_sample(position, sent);
            state.leader.record_term_led(server, position.term);
            self.sample_arrived();
        }
        // New writes to an empty log would be mistaken for proof of the complete log.
        if !state.leader.is_distrusted(server) {
            state.record_position(server, position, now);
        }
    }

    /// Records that a request took `took` at a server.
    pub fn record_latency(&self, server: ServerKey, took: Duration) {
        let now = self.site.now();
        if let Some(server) = self.state.borrow_mut().dispatch.server_mut(server) {
            server.record_latency(took, now);
        }
    }

    /// Records that a server's request queue was full.
    pub fn record_busy(&self, server: ServerKey) {
        let now = self.site.now();
        self.state.borrow_mut().dispatch.queue_full(server, now);
    }

    /// Records that a server refused a request because it is not the primary.
    pub fn record_not_primary(self: &Rc<Self>, server: ServerKey) {
        self.state.borrow_mut().leader.record_not_primary(server);
        self.refresh_leader();
    }

    /// Records that a server refused a read because it lacks a position that a primary had reached
    /// at `at`.
    pub fn record_lagging(&self, server: ServerKey, at: Duration) {
        let now = self.site.now();
        self.state
            .borrow_mut()
            .dispatch
            .replica_lagging(server, at, now);
    }

    /// Records the status of a server that was queried at `sent`.
    pub fn record_status(self: &Rc<Self>, server: ServerKey, status: &Status, sent: Duration) {
        let now = self.site.now();
        {
            let mut state = self.state.borrow_mut();
            if let Some(entry) = state.servers.get_mut(&server) {
                entry.contact.record_answer(now);
            }
            state.leader.record_role(server, status.role, status.term);
            if status.role == Role::Primary {
                state.freshness.record_term(status.term);
            }
        }
        if !self.record_older_log(server, status, sent) {
            self.check_log(server, status.received, sent);
        }
        self.refresh_leader();
    }

    /// Records that another host has seen `server` lead `term`.
    pub fn record_peer_leader(self: &Rc<Self>, server: &peer::Server, term: Term) {
        let ResolvedServer::Listed(server) = self.resolve_server(server) else {
            return;
        };
        {
            let mut state = self.state.borrow_mut();
            state.freshness.record_term(term);
            state.leader.record_role(server, Role::Primary, term);
        }
        self.refresh_leader();
    }

    /// Records that a request sent to a server at `sent` failed.
    pub fn record_failure(
        self: &Rc<Self>,
        server: ServerKey,
        error: &server_connection::Error,
        sent: Duration,
    ) {
        let now = self.site.now();
        let mut state = self.state.borrow_mut();
        let Some(entry) = state.servers.get_mut(&server) else {
            return;
        };
        match failure_kind(error) {
            FailureKind::Refused => entry.contact.record_refusal(now),
            FailureKind::Silent => entry.contact.record_timeout(sent),
            FailureKind::None => entry.contact.record_answer(now),
        }
        if matches!(failure_kind(error), FailureKind::Refused) {
            state.record_broken_connection(server);
        }
        let is_invalid = is_invalid(error);
        if is_invalid {
            state.leader.record_invalid_answer(server);
        }
        let leads = state.dispatch.leader() == Some(server);
        drop(state);
        if is_invalid {
            self.refresh_leader();
        }
        if leads {
            self.failover_notify.notify_one();
        }
    }

    /// Records that a server has answered nothing sent since `since`, and did not answer on another
    /// connection either.
    pub fn record_silence(&self, server: ServerKey, since: Duration) {
        if let Some(entry) = self.state.borrow_mut().servers.get_mut(&server) {
            entry.contact.record_timeout(since);
        }
        self.failover_notify.notify_one();
    }
}

/// Reports whether a server gave an answer that cannot be decoded. One that is only too long may be valid.
fn is_invalid(error: &server_connection::Error) -> bool {
    match error {
        server_connection::Error::Codec(error) => match error {
            codec::Error::TooLong(_) | codec::Error::AnswerTooLong(_) => false,
            codec::Error::BadTerminator
            | codec::Error::UnknownMessage
            | codec::Error::MissingField
            | codec::Error::BadField => true,
        },
        server_connection::Error::Io(_) | server_connection::Error::Refused(_) => false,
    }
}

enum FailureKind {
    Refused,
    Silent,
    /// The server answered, so it is reachable.
    None,
}

fn failure_kind(error: &server_connection::Error) -> FailureKind {
    match error {
        server_connection::Error::Io(error) if error.kind() == std::io::ErrorKind::TimedOut => {
            FailureKind::Silent
        }
        server_connection::Error::Io(_) => FailureKind::Refused,
        server_connection::Error::Codec(_) | server_connection::Error::Refused(_) => {
            FailureKind::None
        }
    }
}
