//! Handles messages from other entry hosts.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::epoch::Epoch;
use flamingopost_core::key::HostKey;
use flamingopost_core::quorum::Standing;
use flamingopost_core::term::Term;

use super::ended_terms::{Heartbeat, Page};
use super::{Election, successor};
use crate::codec::Codec;
use crate::peer::{EndedTerm, Message, NAMED_TERM_PROTOCOL, Payload, Server};
use crate::platform::Platform;
use crate::service::{ResolvedServer, Service};

impl<C: Codec, P: Platform> Election<C, P> {
    /// Receives messages from other hosts and handles them, forever.
    ///
    /// # Errors
    /// Returns an error if the socket is unusable.
    pub async fn listen(self: Rc<Self>) -> std::io::Result<()> {
        loop {
            let (message, from) = self.socket.receive().await?;
            self.handle(message, from);
        }
    }

    /// Handles one message. Any message from a listed host counts as contact with it. Heartbeats
    /// and acknowledgements from hosts that are not listed are ignored.
    fn handle(self: &Rc<Self>, message: Message, from: SocketAddr) {
        if let Some(host) = self.fleet.peer(&message.host) {
            self.fleet
                .with_quorum(|quorum, now| quorum.record_message(host, now));
            match message.payload {
                Payload::Heartbeat {
                    sent,
                    out_of_touch,
                    epoch,
                    sample_requests,
                    ended_terms,
                } => {
                    let beat = Heartbeat {
                        sent,
                        process: None,
                        out_of_touch,
                        sample_requests,
                        names_electorate: false,
                    };
                    self.record_heartbeat(host, epoch);
                    self.answer_heartbeat(host, &beat, from);
                    return self.apply_ended_terms(&message.host, &ended_terms);
                }
                Payload::ProcessHeartbeat {
                    process,
                    sent,
                    out_of_touch,
                    epoch,
                    sample_requests,
                    ended_terms,
                } => {
                    let beat = Heartbeat {
                        sent,
                        process: Some(process),
                        out_of_touch,
                        sample_requests,
                        names_electorate: false,
                    };
                    self.record_heartbeat(host, epoch);
                    self.answer_heartbeat(host, &beat, from);
                    return self.apply_ended_terms(&message.host, &ended_terms);
                }
                Payload::ElectorHeartbeat {
                    process,
                    sent,
                    out_of_touch,
                    epoch,
                    sample_requests,
                    ended_terms,
                    standing,
                } => {
                    let beat = Heartbeat {
                        sent,
                        process: Some(process),
                        out_of_touch,
                        sample_requests,
                        names_electorate: true,
                    };
                    self.record_heartbeat(host, epoch);
                    if self.record_standing(host, process, &standing, from) {
                        self.answer_heartbeat(host, &beat, from);
                    }
                    return self.apply_ended_terms(&message.host, &ended_terms);
                }
                Payload::ElectorAck {
                    sent,
                    process,
                    progress,
                    in_touch,
                    samples,
                    standing,
                } => {
                    self.fleet.record_peer_epoch(host, Epoch(progress.epoch));
                    self.fleet.record_peer_progress(progress);
                    let is_of_same = self.record_standing(host, process, &standing, from);
                    let sent = Duration::from_micros(sent);
                    if is_of_same && self.was_sent(sent) {
                        self.peer_knows_orders(Duration::from_millis(u64::from(in_touch)));
                        self.record_renewal_age(sent, standing.renewal_age);
                        let number = Standing::from(standing).number;
                        self.fleet
                            .with_quorum(|it, _| it.record_reply(host, sent, Some(number)));
                    }
                    self.apply_samples(&samples, sent);
                    return;
                }
                Payload::Electorate { electorate } => {
                    let why = format!("{} has adopted it", message.host);
                    return self.adopt_electorate(&electorate.into(), &why);
                }
                Payload::EndedTerms { ended_terms } => {
                    return self.apply_ended_terms(&message.host, &ended_terms);
                }
                Payload::EndedTermsPage {
                    sent,
                    process,
                    start,
                    from: first,
                    to,
                    is_last,
                    ended_terms,
                } => {
                    self.apply_ended_terms(&message.host, &ended_terms);
                    let page = Page {
                        sent,
                        process,
                        start,
                        from: first,
                        to,
                        is_last,
                    };
                    return self.record_page(host, &page, from);
                }
                Payload::EndedTermsReceived {
                    sent,
                    numbered_by,
                    process,
                    up_to,
                    out_of_touch,
                } => {
                    let beat = Heartbeat {
                        sent,
                        process: Some(process),
                        out_of_touch,
                        sample_requests: Vec::new(),
                        names_electorate: self.names_electorate(host),
                    };
                    if numbered_by == self.process {
                        self.record_confirmation(host, &beat, up_to, from);
                    }
                    return;
                }
                Payload::HeartbeatAck {
                    sent,
                    progress,
                    in_touch,
                    ended_terms,
                    samples,
                } => {
                    self.fleet.record_peer_epoch(host, Epoch(progress.epoch));
                    self.fleet.record_peer_progress(progress);
                    // Ended terms are applied before the acknowledgement extends the lease.
                    self.apply_ended_terms(&message.host, &ended_terms);
                    self.peer_knows_orders(Duration::from_millis(u64::from(in_touch)));
                    let sent = Duration::from_micros(sent);
                    if self.was_sent(sent) && !self.names_electorate(host) {
                        self.fleet
                            .with_quorum(|quorum, _| quorum.record_reply(host, sent, None));
                    }
                    self.apply_samples(&samples, sent);
                    return;
                }
                Payload::OperationRequest {
                    incarnation,
                    sent,
                    requests,
                } => {
                    let requests = requests
                        .iter()
                        .map(|it| (it.team.as_str(), it.request(incarnation, sent)));
                    return self.answer_requests(host, sent, requests, from);
                }
                Payload::OperationGrant { sent, grants } => {
                    return self.apply_grants(host, sent, &grants);
                }
                Payload::ZoneOperationRequest {
                    incarnation,
                    sent,
                    requests,
                } => {
                    let exchange = self.exchange();
                    return exchange.answer(host, (incarnation, sent), &requests);
                }
                Payload::ZoneOperationGrant { sent, grants } => {
                    return self.exchange().apply(host, sent, &grants);
                }
                Payload::NoShares => return self.fleet.record_no_shares(host),
                _ => {}
            }
        }
        match &message.payload {
            Payload::LogQuery => return self.send_logs(&self.fleet.services(), from),
            Payload::ServiceLogQuery { services } => {
                let services = services.iter().filter_map(|it| self.fleet.find_service(it));
                return self.send_logs(&services.collect::<Vec<_>>(), from);
            }
            Payload::LogReply { logs } => return self.apply_logs(logs),
            _ => {}
        }
        let Some(service) = self.fleet.find_service(&message.service) else {
            return;
        };
        let succession = self.services.borrow().get(&service.name).cloned();
        match message.payload {
            // Sent by a host that is not listed yet.
            Payload::Heartbeat { .. }
            | Payload::HeartbeatAck { .. }
            | Payload::OperationRequest { .. }
            | Payload::OperationGrant { .. }
            | Payload::ZoneOperationRequest { .. }
            | Payload::ZoneOperationGrant { .. }
            | Payload::NoShares
            | Payload::ProcessHeartbeat { .. }
            | Payload::EndedTerms { .. }
            | Payload::EndedTermsPage { .. }
            | Payload::EndedTermsReceived { .. }
            | Payload::ElectorHeartbeat { .. }
            | Payload::ElectorAck { .. }
            | Payload::Electorate { .. } => {}
            // Not specific to a service, and handled above.
            Payload::LogQuery | Payload::ServiceLogQuery { .. } | Payload::LogReply { .. } => {}
            Payload::ReachabilityQuery { server, furthest } => {
                service.record_peer_position(furthest.into());
                self.answer_reachability(service, server, from);
            }
            Payload::ReachabilityReply {
                server,
                furthest,
                reaches,
            } => {
                service.record_peer_position(furthest.into());
                let host = self.fleet.peer(&message.host);
                if let (Some(succession), Some(host)) = (succession, host)
                    && is_about_leader(&service, server.as_ref())
                {
                    let opinion = Payload::opinion(reaches);
                    let electors = self.fleet.with_quorum(|it, _| it.other_electors());
                    if electors.contains(&host) {
                        succession.borrow_mut().record_opinion(host, opinion);
                        service.failover_notify.notify_one();
                    }
                }
            }
            Payload::ConnectionShortage { server } => {
                if let ResolvedServer::Listed(server) = service.resolve_server(&server) {
                    service.yield_connections(server);
                }
            }
            Payload::PrimaryObserved { server, term, .. } => {
                service.record_peer_leader(&server, Term::from_number(term));
            }
            Payload::PromotionStarted { ended_term } => {
                let is_new = self.apply_ended_term(&message.host, &ended_term);
                if !is_new && service.renew_hold(&ended_term) {
                    self.defer_to_peer(&service);
                }
            }
            Payload::TermClosing { ended_term } => {
                self.apply_ended_term(&message.host, &ended_term);
                self.confirm_closing(&service, &ended_term, &message.host, from);
            }
            Payload::HandoverStarted { ended_term, serves } => {
                self.apply_ended_term(&message.host, &ended_term);
                let serves = Duration::from_millis(u64::from(serves));
                if service.start_handover(&ended_term, serves) {
                    self.follow_successor(&service, ended_term.token, from);
                }
                self.confirm_closing(&service, &ended_term, &message.host, from);
            }
            Payload::SuccessorQuery { token, sent } => {
                self.record_successor_query(&service, token, sent, from);
            }
            Payload::SuccessorState {
                token,
                sent,
                received,
            } => match received {
                Some(received) => {
                    let asked = Duration::from_micros(sent);
                    if self.was_sent(asked) {
                        service.record_follower(token, asked, received.into());
                    }
                }
                None => service.end_handover(token, successor::TOLD),
            },
            Payload::TermClosed { token, heard } => {
                let listed = self.fleet.find_peer(&message.host);
                if let Some((host, peer)) = listed
                    && peer.protocol < NAMED_TERM_PROTOCOL
                {
                    self.record_closed(&service, host, None, token, &heard);
                }
            }
            Payload::TermEnded { term, token, heard } => {
                let host = self.fleet.peer(&message.host);
                if let Some(host) = host.filter(|host| !self.names_electorate(*host)) {
                    let term = Some(Term::from_number(term));
                    self.record_closed(&service, host, term, token, &heard);
                }
            }
            Payload::TermConfirmed {
                term,
                token,
                number,
                heard,
            } => {
                let own = self.fleet.with_quorum(|it, _| it.number());
                let host = self.fleet.peer(&message.host);
                if let Some(host) = host.filter(|_| own == Some(number.into())) {
                    let term = Some(Term::from_number(term));
                    self.record_closed(&service, host, term, token, &heard);
                }
            }
        }
    }

    /// Reports whether this process can have sent a request at `sent`, which an answer names. What was sent
    /// before it started was sent by a former process on this host, and an answer to what is yet to be sent
    /// would be valid beyond its time.
    fn was_sent(&self, sent: Duration) -> bool {
        (self.started_at..=self.site.now()).contains(&sent)
    }

    fn record_heartbeat(&self, host: HostKey, epoch: u64) {
        self.fleet.record_peer_epoch(host, Epoch(epoch));
        self.fleet.record_heartbeat(host);
    }

    /// Reports whether `host` names the electorate in its messages: it runs no earlier build.
    fn names_electorate(&self, host: HostKey) -> bool {
        self.fleet
            .with_quorum(|quorum, _| quorum.names_electorate(host))
    }

    fn apply_ended_terms(&self, host: &str, ended_terms: &[EndedTerm]) {
        for ended in ended_terms {
            self.apply_ended_term(host, ended);
        }
    }
}

/// Reports whether a report from another host about `server` concerns the primary known to this
/// host. No server is named if there is no primary.
fn is_about_leader<C: Codec>(service: &Rc<Service<C>>, server: Option<&Server>) -> bool {
    match (
        server.map(|server| service.resolve_server(server)),
        service.leader(),
    ) {
        (Some(ResolvedServer::Listed(server)), Some(leader)) => server == leader,
        (None, None) => true,
        _ => false,
    }
}
