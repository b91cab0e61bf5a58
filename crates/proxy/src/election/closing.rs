//! Ends the term of a primary before its successor is ordered: announces the end to the other hosts
//! and gathers their confirmations.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::key::{HostKey, ServerKey};
use flamingopost_core::quorum::{CLOCK_MARGIN, Closing, LEASE_DURATION};
use flamingopost_core::succession::{FencingToken, PROMOTION_TIMEOUT, Succession, Trouble};
use flamingopost_core::term::Term;

use super::Election;
use crate::codec::Codec;
use crate::peer::{
    CLOSING_PROTOCOL, ELECTORATE_PROTOCOL, EndedTerm, HANDOVER_PROTOCOL, Heard,
    NAMED_TERM_PROTOCOL, Payload,
};
use crate::platform::Platform;
use crate::service::{HANDOVER_MARGIN, Service};

/// How long statements are still sent to a leaving primary after the end of its term is announced.
/// Callers wait for the successor from then on. It is not zero, so that answers to statements in
/// flight are accepted for [`HANDOVER_MARGIN`].
const LEAVING_NOTICE: Duration = Duration::from_millis(10);

/// Longest time for which a leaving primary is used after the end of its term is announced, besides the
/// time for which the order waits in a large fleet.
const HANDOVER_TIMEOUT: Duration = PROMOTION_TIMEOUT;

/// When hosts stop using a primary whose term ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Schedule {
    /// At once, and ignore what it still answers.
    Now,
    /// This long after they have learned of the end. Answers count for [`HANDOVER_MARGIN`] more, and
    /// the order waits for that.
    After(Duration),
    /// When they learn that the successor leads, or after this time.
    AtLead(Duration),
}

impl Schedule {
    /// Returns how long after the announcement hosts stop that do not watch the successor.
    fn serves(self) -> Duration {
        match self {
            Schedule::Now | Schedule::AtLead(_) => Duration::ZERO,
            Schedule::After(serves) => serves,
        }
    }

    /// Returns for how long the order has to wait after a host has confirmed the end.
    fn in_use(self) -> Duration {
        match self {
            Schedule::Now | Schedule::AtLead(_) => Duration::ZERO,
            Schedule::After(serves) => serves + HANDOVER_MARGIN,
        }
    }

    /// Returns the message that announces `ended_term` to hosts that confirm it.
    fn announcement(self, ended_term: EndedTerm) -> Payload {
        match self {
            Schedule::Now | Schedule::After(_) => Payload::TermClosing { ended_term },
            Schedule::AtLead(serves) => Payload::HandoverStarted {
                ended_term,
                serves: u32::try_from(serves.as_millis()).unwrap_or(u32::MAX),
            },
        }
    }
}

impl<C: Codec, P: Platform> Election<C, P> {
    /// Announces to the other hosts that the current term ends and that `server` is to succeed its
    /// primary.
    pub(super) fn end_term(
        self: &Rc<Self>,
        service: &Rc<Service<C>>,
        succession: &Rc<RefCell<Succession>>,
        server: ServerKey,
        token: FencingToken,
    ) {
        let Some(successor) = service.to_peer_server(server) else {
            return;
        };
        let schedule = self.schedule(service);
        let received = succession.borrow().successor_position(server);
        let ended_term = EndedTerm::new(
            service.name.clone(),
            service.newest_term(),
            token.0,
            (successor, received),
            schedule.serves(),
        );
        let now = self.site.now();
        let mut closing = Closing::announced(now, schedule.in_use())
            .with_other_hosts(self.may_be_used_by_others(service));
        self.confirm_for_former_builds(service, succession, &mut closing);
        if service.end_term(&ended_term) {
            self.record_ended_term(&service.name);
        }
        if let Schedule::AtLead(serves) = schedule
            && service.start_handover(&ended_term, serves)
        {
            closing = closing.with_watched(server);
            self.watch_successor(service, server, token.0);
        }
        for (_, peer) in self.fleet.peers().iter() {
            let ended_term = ended_term.clone();
            let payload = match peer.protocol >= CLOSING_PROTOCOL {
                true => schedule.announcement(ended_term),
                false => Payload::PromotionStarted { ended_term },
            };
            self.send(service, payload, peer.address);
        }
        succession.borrow_mut().record_end_of_term(closing);
        service.failover_notify.notify_one();
    }

    /// Returns when hosts stop using the primary of `service` if its term ends now.
    ///
    /// A primary that fails is not used any more. One that leaves serves until its successor leads,
    /// unless its commits are synchronous, since its successor would lack those that only another
    /// replica receives after the successor's last report, or another order may be in transit. In a
    /// large fleet, the order waits for the leases of hosts that do not confirm, and a leaving primary
    /// serves meanwhile.
    fn schedule(&self, service: &Rc<Service<C>>) -> Schedule {
        if self.trouble(service) != Some(Trouble::Leaving) {
            return Schedule::Now;
        }
        let wait = match self.fleet.is_small() {
            true => Duration::ZERO,
            false => LEASE_DURATION + CLOCK_MARGIN,
        };
        let is_watched_by_all = self
            .fleet
            .peers()
            .iter()
            .all(|(_, peer)| peer.protocol >= HANDOVER_PROTOCOL);
        let may_overlap = service.awaits_successor();
        match is_watched_by_all && !may_overlap && !self.fleet.is_synchronous(&service.name) {
            true => Schedule::AtLead(wait + HANDOVER_TIMEOUT),
            false => Schedule::After(wait.max(LEAVING_NOTICE)),
        }
    }

    /// Reports whether hosts other than the electors may use the primary of `service`. None uses one
    /// whose process has ended.
    fn may_be_used_by_others(&self, service: &Rc<Service<C>>) -> bool {
        let has_ended = matches!(self.trouble(service), Some(Trouble::Refuses { .. }));
        !self.fleet.is_small() && !has_ended
    }

    /// Counts electors of an earlier build, which confirm nothing, as they count themselves: they are
    /// told the end like an order, and have answered the inquiry.
    fn confirm_for_former_builds(
        &self,
        service: &Rc<Service<C>>,
        succession: &Rc<RefCell<Succession>>,
        closing: &mut Closing,
    ) {
        let answered = match self.trouble(service) {
            Some(Trouble::Leaving) => self.fleet.with_quorum(|it, now| it.recently_heard(now)),
            _ => succession.borrow().answered_hosts(),
        };
        let now = self.site.now();
        for (key, peer) in self.fleet.electors().iter() {
            if peer.protocol < CLOSING_PROTOCOL && answered.contains(key) {
                closing.confirm(*key, [], now);
            }
        }
    }

    /// Repeats the announcement of the end of a term to electors that have not confirmed it, since
    /// datagrams are lost.
    pub(super) fn repeat_closing(
        &self,
        service: &Rc<Service<C>>,
        succession: &Rc<RefCell<Succession>>,
    ) {
        let succession = succession.borrow();
        let Some((closing, ended_term)) = succession.closing().zip(service.newest_replacement())
        else {
            return;
        };
        let schedule = match service.remaining_handover_time() {
            Some(remaining) => Schedule::AtLead(remaining),
            None => Schedule::After(ended_term.serves()),
        };
        for (key, peer) in self.fleet.electors().iter() {
            if peer.protocol >= CLOSING_PROTOCOL && !closing.is_confirmed(*key) {
                let payload = schedule.announcement(ended_term.clone());
                self.send(service, payload, peer.address);
            }
        }
    }

    /// Confirms the end of a term to `host` at `to`, which has announced it, if this host exchanges
    /// heartbeats with it. A host that knows of a newer order reports that instead.
    pub(super) fn confirm_closing(
        &self,
        service: &Rc<Service<C>>,
        ended_term: &EndedTerm,
        host: &str,
        to: SocketAddr,
    ) {
        let Some(newest) = service.newest_replacement() else {
            return;
        };
        let number = self.fleet.with_quorum(|quorum, _| quorum.number());
        if !self.fleet.is_small() && !self.fleet.with_quorum(|quorum, _| quorum.is_elector()) {
            return;
        }
        let is_newest = (newest.term(), newest.token) == (ended_term.term(), ended_term.token);
        let announcer = self.fleet.find_peer(host);
        let understands = |protocol| {
            announcer
                .as_ref()
                .is_some_and(|it| it.1.protocol >= protocol)
        };
        let token = ended_term.token;
        let is_term_named = understands(NAMED_TERM_PROTOCOL);
        let number = number.filter(|_| understands(ELECTORATE_PROTOCOL));
        let payload = match (is_newest, is_term_named, number) {
            (true, true, Some(number)) => Payload::TermConfirmed {
                term: ended_term.term().number(),
                token,
                number: number.into(),
                heard: self.heard_electors(),
            },
            (true, true, None) => Payload::TermEnded {
                term: ended_term.term().number(),
                token,
                heard: self.heard_electors(),
            },
            (true, false, _) => Payload::TermClosed {
                token,
                heard: self.heard_electors(),
            },
            (false, _, _) => Payload::EndedTerms {
                ended_terms: vec![newest],
            },
        };
        self.send(service, payload, to);
    }

    /// Returns when this host last heard from each of the other electors.
    fn heard_electors(&self) -> Vec<Heard> {
        let electors = self.fleet.electors();
        let heard = |quorum: &mut flamingopost_core::quorum::Quorum, now| {
            let heard = electors.iter().filter_map(|(key, peer)| {
                let age = quorum.age(*key, now)?;
                Some(Heard::new(peer.host.clone(), age))
            });
            heard.collect()
        };
        self.fleet.with_quorum(heard)
    }

    /// Records that `host` has confirmed the end of `term`, if it names that, announced under `token`.
    pub(super) fn record_closed(
        &self,
        service: &Rc<Service<C>>,
        host: HostKey,
        term: Option<Term>,
        token: u64,
        heard: &[Heard],
    ) {
        let Some(succession) = self.services.borrow().get(&service.name).cloned() else {
            return;
        };
        let now = self.site.now();
        let token = FencingToken(token);
        let mut succession = succession.borrow_mut();
        let mut listed = Vec::new();
        for it in heard.iter().filter(|it| it.host != self.site.host) {
            let at = now.saturating_sub(it.age());
            match self.fleet.peer(&it.host) {
                Some(key) => listed.push((key, at)),
                None => succession.record_unlisted(token, at),
            }
        }
        succession.record_closed(host, (term, token), listed, now);
        service.failover_notify.notify_one();
    }
}
