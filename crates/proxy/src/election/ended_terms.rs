//! Changes of primaries, as this host tells the other hosts of them and learns of them.

use std::net::SocketAddr;
use std::time::Duration;

use flamingopost_core::change_log::Coverage;
use flamingopost_core::key::HostKey;

use super::Election;
use super::messaging::PROPAGATION_WINDOW;
use crate::codec::Codec;
use crate::event::Event;
use crate::peer::{EndedTerm, Payload, pages};
use crate::platform::{Platform, Revision};
use crate::service::Service;

/// Largest number of services that are not configured here of which a change is kept. Any name may be in
/// a message.
const MAX_UNCONFIGURED: usize = 1_024;

/// A heartbeat to be answered.
pub(super) struct Heartbeat {
    /// When it was sent, by its sender's clock, in microseconds.
    pub sent: u64,
    /// The process that has sent it, if it names one.
    pub process: Option<u64>,
    /// For how long its sender may have missed notifications, in milliseconds.
    pub out_of_touch: u32,
    /// Services of which its sender needs samples.
    pub sample_requests: Vec<String>,
    /// Whether its sender counts only answers that name the electorate.
    pub names_electorate: bool,
}

/// A part of the changes that another host has sent.
pub(super) struct Page {
    pub sent: u64,
    pub process: u64,
    pub start: u64,
    pub from: u64,
    pub to: u64,
    pub is_last: bool,
}

impl<C: Codec, P: Platform> Election<C, P> {
    /// Answers a heartbeat of `host`.
    ///
    /// The acknowledgement extends a lease, so its receiver must know each change that this host
    /// knows. It follows once the receiver has confirmed all of them. A host of an earlier build
    /// confirms nothing, and gets those that it may have missed by its own account, as far as they fit
    /// into one message.
    ///
    /// Guards against a replaced primary that a host keeps relying on. A heartbeat that arrives late, as
    /// a partition ends, tells that its sender was in contact with a majority when it was sent, and
    /// a change that this host has known for long may be news to that sender all the same.
    pub(super) fn answer_heartbeat(&self, host: HostKey, beat: &Heartbeat, to: SocketAddr) {
        let ended_terms = match beat.process {
            Some(process) if !self.may_extend_lease(host, process, beat) => return,
            Some(process) => {
                let unconfirmed = self.unconfirmed_ended_terms(host, process);
                if !unconfirmed.is_empty() {
                    return self.send_changes(beat.sent, unconfirmed, to);
                }
                Vec::new()
            }
            None => {
                let missed = Duration::from_millis(u64::from(beat.out_of_touch));
                let missed = self.recent_ended_terms(missed + PROPAGATION_WINDOW);
                pages(missed).into_iter().next().unwrap_or_default()
            }
        };
        let (sent, progress) = (beat.sent, self.fleet.feed_progress());
        let in_touch = self.quorum_held_ms();
        let samples = self.samples(&beat.sample_requests);
        let ack = match beat.names_electorate {
            true => Payload::ElectorAck {
                sent,
                process: self.process,
                progress,
                in_touch,
                samples,
                standing: self.standing(),
            },
            false => Payload::HeartbeatAck {
                sent,
                progress,
                in_touch,
                ended_terms,
                samples,
            },
        };
        self.send_message(String::new(), ack, to);
    }

    /// Reports whether this host may extend the lease of `process` of `host`, which was in contact with a
    /// majority `out_of_touch` milliseconds before it asked.
    ///
    /// Guards against a host that confirms the end of a term and is started again: its new process knew
    /// nothing of that, and extended the lease of a host that had not heard of it. On a host of an earlier
    /// build, a process without any contact yet looks for earlier orders itself.
    fn may_extend_lease(&self, host: HostKey, process: u64, beat: &Heartbeat) -> bool {
        if self.is_extending_leases() {
            return true;
        }
        let mut fresh = self.fresh_processes.borrow_mut();
        if !beat.names_electorate && beat.out_of_touch == u32::MAX {
            fresh.insert(host, process);
        }
        fresh.get(&host) == Some(&process)
    }

    /// Returns the changes that `process` of `host` has not confirmed, with their numbers. A service that
    /// is not configured any more has none.
    fn unconfirmed_ended_terms(&self, host: HostKey, process: u64) -> Vec<(u64, EndedTerm)> {
        let log = self.ended_terms.borrow();
        let unconfirmed = log.unconfirmed(host, process).into_iter();
        let ended = unconfirmed.filter_map(|(number, service)| {
            let ended = self.fleet.find_service(service)?.newest_replacement()?;
            Some((number, ended))
        });
        ended.collect()
    }

    /// Sends numbered `changes` in pages that are to be confirmed.
    fn send_changes(&self, sent: u64, changes: Vec<(u64, EndedTerm)>, to: SocketAddr) {
        let (numbers, ended): (Vec<u64>, Vec<EndedTerm>) = changes.into_iter().unzip();
        let pages = pages(ended);
        let start = numbers.first().map_or(0, |first| first - 1);
        let (mut from, mut done, count) = (start, 0, pages.len());
        for (index, ended_terms) in pages.into_iter().enumerate() {
            done += ended_terms.len();
            let Some(last) = numbers.get(done - 1) else {
                return;
            };
            let page = Payload::EndedTermsPage {
                sent,
                process: self.process,
                start,
                from,
                to: *last,
                is_last: index + 1 == count,
                ended_terms,
            };
            self.send_message(String::new(), page, to);
            from = *last;
        }
    }

    /// Records a page of changes from `host`, whose changes were applied, and confirms it with the
    /// last one. Nothing that was received has to be sent again, also if another page was lost.
    pub(super) fn record_page(&self, host: HostKey, page: &Page, to: SocketAddr) {
        let mut received = self.received_terms.borrow_mut();
        let coverage = received
            .entry(host)
            .or_insert_with(|| Coverage::new(page.process));
        if coverage.process() != page.process {
            *coverage = Coverage::new(page.process);
        }
        coverage.record(page.from, page.to);
        if !page.is_last {
            return;
        }
        let up_to = coverage.complete_after(page.start);
        let confirmation = Payload::EndedTermsReceived {
            sent: page.sent,
            numbered_by: page.process,
            process: self.process,
            up_to,
            out_of_touch: self.quorum_age_ms(self.site.now()),
        };
        self.send_message(String::new(), confirmation, to);
    }

    /// Records that the sender of `beat` has received all changes up to the one numbered `up_to`, and
    /// answers its heartbeat again if that is news. Otherwise a page was lost, and all that are not
    /// confirmed are sent with its next heartbeat.
    pub(super) fn record_confirmation(
        &self,
        host: HostKey,
        beat: &Heartbeat,
        up_to: u64,
        to: SocketAddr,
    ) {
        let Some(process) = beat.process else {
            return;
        };
        let is_new = self.ended_terms.borrow_mut().confirm(host, process, up_to);
        if is_new {
            self.answer_heartbeat(host, beat, to);
        }
    }

    /// Forgets what was exchanged with hosts that are not listed any more.
    pub fn forget_unlisted_hosts(&self) {
        let listed = |host| self.fleet.is_listed(host);
        self.ended_terms.borrow_mut().retain_hosts(listed);
        self.received_terms
            .borrow_mut()
            .retain(|host, _| listed(*host));
        self.fresh_processes
            .borrow_mut()
            .retain(|host, _| listed(*host));
    }

    /// Returns the changes of primaries that this host has learned of within `age`.
    ///
    /// An order is announced to each host by a single datagram, which may be lost or miss a host
    /// that is partitioned. So the messages that keep a lease alive carry the change as well.
    pub(super) fn recent_ended_terms(&self, age: Duration) -> Vec<EndedTerm> {
        let since = self.site.now().saturating_sub(age);
        let log = self.ended_terms.borrow();
        let recent = log.recent(since);
        self.ended_terms_of(recent.into_iter().map(|(_, service)| service))
    }

    /// Returns the newest change of each of `services`.
    fn ended_terms_of<'a>(&self, services: impl Iterator<Item = &'a str>) -> Vec<EndedTerm> {
        let ended = services.filter_map(|it| self.fleet.find_service(it)?.newest_replacement());
        ended.collect()
    }

    /// Records that this host has learned of a change of the primary of `service`.
    pub(super) fn record_ended_term(&self, service: &str) {
        let now = self.site.now();
        self.site.record_primary_change();
        self.ended_terms.borrow_mut().record(service, now);
    }

    /// Keeps a change of a service that is not configured here yet, which its reporter does not report
    /// again.
    fn keep_until_configured(&self, host: &str, ended: &EndedTerm) {
        let mut kept = self.unconfigured_terms.borrow_mut();
        let order = |it: &EndedTerm| (it.term(), it.token);
        let known = kept.get(&ended.service).map(|(_, known)| order(known));
        if known.is_none() && kept.len() >= MAX_UNCONFIGURED {
            return;
        }
        if known < Some(order(ended)) {
            kept.insert(ended.service.clone(), (host.to_owned(), ended.clone()));
        }
    }

    /// Applies what other hosts have reported of `service` before it was configured here.
    pub(super) fn apply_kept_term(&self, service: &str) {
        let kept = self.unconfigured_terms.borrow_mut().remove(service);
        if let Some((host, ended)) = kept {
            self.apply_ended_term(&host, &ended);
        }
    }

    /// Records that another host reports a primary as replaced. Returns whether that was new.
    pub(super) fn apply_ended_term(&self, host: &str, ended: &EndedTerm) -> bool {
        let Some(service) = self.fleet.find_service(&ended.service) else {
            self.keep_until_configured(host, ended);
            return false;
        };
        if !service.end_term(ended) {
            return false;
        }
        self.record_ended_term(&service.name);
        self.record_peer_change(&service.name, ended.term().number().unsigned_abs());
        self.record_claim(&service.name, Revision(ended.token), self.site.now());
        self.site.log(&Event::OtherActs {
            service: service.name.clone(),
            host: host.to_owned(),
        });
        self.defer_to_peer(&service);
        true
    }

    /// Leaves the change of the primary of `service` to another host.
    pub(super) fn defer_to_peer(&self, service: &Service<C>) {
        if let Some(succession) = self.services.borrow().get(&service.name) {
            succession.borrow_mut().defer_to_peer(self.site.now());
        }
    }
}
