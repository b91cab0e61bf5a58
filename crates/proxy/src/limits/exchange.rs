//! Datagrams by which hosts lend operations to each other.

use std::collections::BTreeMap;
use std::time::Duration;

use flamingopost_core::key::{HostKey, TeamKey};
use flamingopost_core::limit::LoanAnswer;

use crate::codec::Codec;
use crate::fleet::Fleet;
use crate::peer::{Message, Payload, Socket, TeamLoan, TeamLoanRequest, nanos};
use crate::site::Site;

/// Maximum size of the entries of one message, which has to fit into a datagram.
const MAX_ENTRY_BYTES: usize = 1_000;

/// Size of an entry without the name of its team, at most.
const ENTRY_BYTES: usize = 32;

/// Sends and answers requests to borrow operations.
pub struct Exchange<'a, C: Codec> {
    site: &'a Site,
    fleet: &'a Fleet<C>,
    socket: &'a Socket,
}

impl<'a, C: Codec> Exchange<'a, C> {
    /// Creates the exchange of this host.
    pub fn new(site: &'a Site, fleet: &'a Fleet<C>, socket: &'a Socket) -> Exchange<'a, C> {
        Exchange {
            site,
            fleet,
            socket,
        }
    }

    /// Sends the requests to lenders that are due, and the answers to requests that had to wait.
    pub fn run_due(&self) {
        let now = self.site.now();
        let limits = &self.fleet.limits;
        let sources = |team| self.fleet.sources(team);
        let due = limits.due_loans(sources, |host| self.contact(host), now);
        let mut requests: BTreeMap<HostKey, Vec<TeamLoanRequest>> = BTreeMap::new();
        for (lender, team, request) in due {
            let name = self.site.client_name(team);
            let of_lender = requests.entry(lender).or_default();
            of_lender.push(TeamLoanRequest::new(name, &request));
        }
        for lender in limits.take_probes() {
            requests.entry(lender).or_default();
        }
        for (lender, requests) in requests {
            for requests in split(requests, |it| it.team.len()) {
                let payload = Payload::ZoneOperationRequest {
                    incarnation: limits.incarnation,
                    sent: nanos(now),
                    requests,
                };
                self.send(lender, payload);
            }
        }
        let mut answers: BTreeMap<(HostKey, Duration), Vec<TeamLoan>> = BTreeMap::new();
        for (borrower, team, answer) in limits.loan_answers(|host| self.contact(host), now) {
            let of_request = answers.entry((borrower, answer.sent())).or_default();
            of_request.push(TeamLoan::new(self.site.client_name(team), &answer));
        }
        for ((borrower, sent), loans) in answers {
            self.send_loans(borrower, nanos(sent), loans);
        }
    }

    /// Answers the requests of `host`, whose process `incarnation` sent them at `sent` by its clock.
    pub fn answer(
        &self,
        host: HostKey,
        (incarnation, sent): (u64, u64),
        requests: &[TeamLoanRequest],
    ) {
        let now = self.site.now();
        let answer = |it: &TeamLoanRequest| {
            let request = it.request(incarnation, sent);
            let answer = match self.fleet.limit(&it.team) {
                Some(_) => self.fleet.limits.lend(
                    self.site.team(&it.team),
                    (host, &request),
                    |host| self.contact(host),
                    now,
                )?,
                // This host has another configuration.
                None => LoanAnswer::Unavailable { sent: request.sent },
            };
            Some(TeamLoan::new(it.team.clone(), &answer))
        };
        let loans = requests.iter().filter_map(answer).collect();
        self.send_loans(host, sent, loans);
    }

    /// Applies the answers of `lender` to the requests that were sent at `sent`.
    pub fn apply(&self, lender: HostKey, sent: u64, loans: &[TeamLoan]) {
        let answers: Vec<(TeamKey, LoanAnswer)> = loans
            .iter()
            .map(|it| (self.site.team(&it.team), it.answer(sent)))
            .collect();
        let limits = &self.fleet.limits;
        limits.record_loans(lender, &answers, self.site.now());
    }

    /// Returns when the newest message was sent that `host` has answered.
    fn contact(&self, host: HostKey) -> Option<Duration> {
        self.fleet.with_quorum(|quorum, _| quorum.answered_at(host))
    }

    fn send_loans(&self, host: HostKey, sent: u64, loans: Vec<TeamLoan>) {
        for grants in split(loans, |it| it.team.len()) {
            self.send(host, Payload::ZoneOperationGrant { sent, grants });
        }
    }

    fn send(&self, host: HostKey, payload: Payload) {
        if let Some(address) = self.fleet.peer_address(host) {
            let message = Message {
                host: self.site.host.clone(),
                service: String::new(),
                payload,
            };
            self.socket.send(&message, address);
        }
    }
}

/// Splits the entries of a message into those of several that fit into datagrams. There is one
/// message without entries if there are none, which probes a host or answers a probe.
fn split<T>(entries: Vec<T>, name_bytes: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
    let mut messages = vec![Vec::new()];
    let mut bytes = 0;
    for entry in entries {
        let size = ENTRY_BYTES + name_bytes(&entry);
        if bytes + size > MAX_ENTRY_BYTES && bytes > 0 {
            messages.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        if let Some(message) = messages.last_mut() {
            message.push(entry);
        }
    }
    messages
}
