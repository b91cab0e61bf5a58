//! The electorate: which hosts decide by majority, as agreed between them and recorded in the store.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::epoch::Epoch;
use flamingopost_core::key::HostKey;
use flamingopost_core::quorum::{
    Electorate, Evidence, HEARTBEAT_INTERVAL, Prospect, Quorum, Recording, Standing, Step,
};
use flamingopost_daemon::task;

use super::Election;
use crate::codec::Codec;
use crate::event::Event;
use crate::peer::{Payload, WireElectorate, WireStanding};
use crate::platform::{ElectorateRecord, Platform, RecordedElectorate, Revision};

/// How long this host has to have held its lease before it leaves hosts out of the electorate: after a pause
/// of its own process it has not heard most others yet.
const STEADY_TIME: Duration = Duration::from_secs(1);

/// Interval between two decisions whether the electorate is due for a change. In a large fleet each
/// iterates over all hosts.
const CHANGE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Pause after a call about the electorate that the store has not answered. An electorate stays in force
/// for longer than three of them.
const FAILURE_PAUSE: Duration = Duration::from_secs(3);

/// The agreement on the electorate, as far as this host takes part in it.
#[derive(Debug, Default)]
pub(super) struct Agreement {
    recording: Recording<Revision>,
    /// The newest epoch of the store in which it had the electorate that this host had adopted.
    recorded_in: Option<Epoch>,
    /// Whether a call that records an electorate is in flight.
    is_writing: bool,
    /// Until when none is made, after one without an answer.
    paused_until: Duration,
    /// When it was last decided whether the electorate is due for a change.
    checked_at: Option<Duration>,
    /// Whether it was due then.
    is_change_due: bool,
}

impl<C: Codec, P: Platform> Election<C, P> {
    /// Returns what this host says of its place in the electorate.
    pub(super) fn standing(&self) -> WireStanding {
        let (standing, age) = self
            .fleet
            .with_quorum(|it, now| (it.standing(), it.renewal_age(now)));
        let millis = |age: Duration| u32::try_from(age.as_millis() + 1).ok();
        let revision = self.known_revision().unwrap_or_default();
        WireStanding::new(standing, revision.0, age.and_then(millis))
    }

    /// Returns the newest revision of the store that this host knows: the electorate is renewed all the time.
    pub(super) fn known_revision(&self) -> Option<Revision> {
        self.agreement.borrow().recording.revision()
    }

    /// Records what `process` on `host` says of its place in the electorate, and tells it of a newer
    /// electorate. Returns whether both have adopted the same one.
    pub(super) fn record_standing(
        &self,
        host: HostKey,
        process: u64,
        standing: &WireStanding,
        from: SocketAddr,
    ) -> bool {
        let recorded_at = Revision(standing.recorded_at);
        let standing = Standing::from(*standing);
        let (own, lacks_answer) = self.fleet.with_quorum(|quorum, now| {
            quorum.record_standing(host, process, standing, now);
            (quorum.standing().number, quorum.lacks_answer(host))
        });
        // The record of another electorate must not be written over with the one that this host knows.
        if standing.number == own && recorded_at > Revision::default() {
            let now = self.site.now();
            let mut agreement = self.agreement.borrow_mut();
            agreement.recording.observe(recorded_at, now);
        }
        if lacks_answer {
            self.fleet.contact_due.notify_one();
        }
        if standing.number < own
            && let Some(electorate) = self.fleet.electorate()
        {
            let electorate = WireElectorate::from(&electorate);
            self.send_message(String::new(), Payload::Electorate { electorate }, from);
        }
        standing.number == own
    }

    /// Records that the electorate was renewed `age` before the answer to a request sent at `sent`.
    pub(super) fn record_renewal_age(&self, sent: Duration, age: Option<u32>) {
        if let Some(age) = age {
            let at = sent.saturating_sub(Duration::from_millis(u64::from(age)));
            self.fleet.with_quorum(|it, _| it.record_renewal(at));
        }
    }

    /// Adopts `electorate` if it is newer than the present one, for the reason `why`.
    ///
    /// What was confirmed under the former one counts no more. If that has not consented, this host
    /// knows of no change any more than one that has just started.
    pub(super) fn adopt_electorate(&self, electorate: &Electorate, why: &str) {
        let former = self.fleet.electorate();
        if !self.fleet.adopt_electorate(electorate) {
            return;
        }
        {
            // Whether another change is due follows from the new one.
            let mut agreement = self.agreement.borrow_mut();
            agreement.checked_at = None;
            agreement.is_change_due = false;
        }
        for succession in self.services.borrow().values() {
            succession.borrow_mut().forget_confirmations();
        }
        let names = |hosts: &BTreeSet<String>| hosts.iter().cloned().collect::<Vec<_>>().join(", ");
        self.site.log(&Event::ElectorateAdopted {
            number: electorate.number.to_string(),
            formation: electorate.formation,
            electors: names(&electorate.electors),
            former: match electorate.is_joint() {
                true => names(&electorate.former),
                false => "the same".to_owned(),
            },
            why: why.to_owned(),
        });
        if former.is_some_and(|it| it.formation < electorate.formation) {
            self.forget_prior_orders();
        }
        self.fleet.contact_due.notify_one();
    }

    /// Applies the record of the electorate as read from the store.
    pub(super) fn apply_recorded(&self, recorded: Option<&RecordedElectorate>) {
        let now = self.site.now();
        let mut agreement = self.agreement.borrow_mut();
        match recorded {
            Some(recorded) => agreement.recording.observe(recorded.revision, now),
            None => agreement.recording.observe_absence(now),
        }
        drop(agreement);
        let Some((recorded, electorate)) =
            recorded.and_then(|it| Some((it, it.electorate.as_ref()?)))
        else {
            return;
        };
        self.adopt_electorate(electorate, "it is recorded in the store");
        let own = self.fleet.with_quorum(|it, _| it.number());
        if own == Some(electorate.number) {
            self.agreement.borrow_mut().recorded_in = Some(recorded.revision.epoch());
        }
    }

    /// Reports whether the store has had the electorate of this host in `epoch`: it lacks none that its
    /// copy lacked.
    pub(super) fn is_electorate_recorded_in(&self, epoch: Epoch) -> bool {
        self.agreement.borrow().recorded_in == Some(epoch)
    }

    /// Reports whether this host may extend leases: its process knows what a former one may have
    /// confirmed, and does not form an electorate without the consent of the present one.
    pub(super) fn is_extending_leases(&self) -> bool {
        let is_caught_up = self.fleet.with_quorum(|it, _| it.is_caught_up());
        is_caught_up && !self.agreement.borrow().recording.is_withholding()
    }

    /// Reports whether this host waits for an electorate, or for others to tell it of changes, so that
    /// hosts which start are served soon.
    pub(super) fn is_catching_up(&self) -> bool {
        let is_behind = |quorum: &mut Quorum, _| quorum.is_elector() && !quorum.is_caught_up();
        self.fleet.knows_hosts() && self.fleet.with_quorum(is_behind)
    }

    /// Does what is due about the electorate.
    pub(super) fn drive_electorate(self: &Rc<Self>) {
        let is_paused = {
            let agreement = self.agreement.borrow();
            agreement.is_writing || self.site.now() < agreement.paused_until
        };
        if is_paused || !self.has_known_hosts_for(Duration::ZERO) {
            return;
        }
        let Some(electorate) = self.fleet.electorate() else {
            return self.form_first();
        };
        let prospect = self.prospect(&electorate);
        let step = self
            .fleet
            .with_quorum(|quorum, now| quorum.next_step(&prospect, now));
        // The call for the configuration shows when the store is back.
        let is_in_outage = self.fleet.feeds.published_configuration.is_in_outage();
        match step {
            Step::Wait => {}
            Step::Renew | Step::Change if is_in_outage => {}
            Step::Renew => self.record_electorate(electorate, "it was renewed"),
            Step::Change => {
                let electors = self.next_electors(&electorate);
                let next = electorate.followed_by(electors, self.process);
                self.record_electorate(next, "the one before has agreed");
            }
            Step::Replace(evidence) => self.replace_electorate(&electorate, evidence),
        }
    }

    /// Forms the first electorate of the fleet, once the store is known to have none that can be read.
    fn form_first(self: &Rc<Self>) {
        let is_elector = self.fleet.with_quorum(|it, _| it.is_elector());
        if !is_elector {
            return;
        }
        if !self.agreement.borrow().recording.is_known() {
            return self.learn_electorate();
        }
        // Hosts that start together have listed each other by then.
        if !self.has_known_hosts_for(HEARTBEAT_INTERVAL) {
            return;
        }
        let electors = self.fleet.desired_electors();
        let first = Electorate::first(electors, self.process);
        self.record_electorate(first, "it is the first one");
    }

    /// Returns what decides on the next step about `electorate`.
    fn prospect(&self, electorate: &Electorate) -> Prospect {
        let now = self.site.now();
        let mut agreement = self.agreement.borrow_mut();
        let is_recent = |at| now < at + CHANGE_CHECK_INTERVAL;
        let is_checked = !self.fleet.is_small() && agreement.checked_at.is_some_and(is_recent);
        let (holds_lease, since) = self.lease_state.get();
        let is_steady = now >= since + STEADY_TIME;
        if holds_lease && (!is_checked || electorate.is_joint()) {
            let next = self.next_electors(electorate);
            let is_other = electorate.is_joint() || next != electorate.electors;
            let leaves_out = !next.is_superset(&electorate.electors);
            let hears_all = self.fleet.has_been_elector_for(STEADY_TIME);
            let heard = next.iter().filter(|host| self.fleet.hears(host)).count();
            let hears_most = heard * 2 > next.len();
            agreement.checked_at = Some(now);
            agreement.is_change_due =
                is_other && hears_all && hears_most && (is_steady || !leaves_out);
        }
        let before = electorate.electors.iter();
        let before = before.take_while(|host| **host != self.site.host);
        let rank = before.filter(|host| self.fleet.hears(host)).count();
        Prospect {
            rank: u32::try_from(rank).unwrap_or(u32::MAX),
            is_change_due: holds_lease && agreement.is_change_due,
            unchanged_since: agreement.recording.unchanged_since(),
            may_be_copied: self.claims_verified_in.get() < self.epoch(),
        }
    }

    /// Returns the electors that should follow those of `electorate`: the same once more, if it is joint.
    fn next_electors(&self, electorate: &Electorate) -> BTreeSet<String> {
        match electorate.is_joint() {
            true => electorate.electors.clone(),
            false => self.fleet.desired_electors(),
        }
    }

    /// Records an electorate of the hosts that this one hears in place of `electorate`.
    ///
    /// If that was not renewed, its electors may still all answer each other without the store. So this
    /// host answers nobody for as long as a lease lasts before.
    fn replace_electorate(self: &Rc<Self>, electorate: &Electorate, evidence: Evidence) {
        let now = self.site.now();
        if evidence == Evidence::Unrenewed {
            let mut agreement = self.agreement.borrow_mut();
            if !agreement.recording.withhold(now) {
                return;
            }
        }
        let mut electors = self.fleet.desired_electors();
        electors.retain(|host| self.fleet.hears(host));
        // This host alone knows when the new record was written, and tells only as an elector.
        electors.insert(self.site.host.clone());
        let next = electorate.replaced_by(electors, self.process);
        self.record_electorate(next, &evidence.to_string());
    }

    /// Reads the electorate's record, and the claims, in the store.
    fn learn_electorate(self: &Rc<Self>) {
        if self.is_reading_claims.replace(true) {
            return;
        }
        let (election, panicked) = (Rc::clone(self), Rc::clone(self));
        let read = async move {
            // The store may be slow, and nothing is served before the electorate is known.
            let read = election.platform.claims().await;
            election.is_reading_claims.set(false);
            match read.ok().and_then(|read| election.apply_claims(read)) {
                Some(_) => election.fleet.contact_due.notify_one(),
                None => election.pause_recording(),
            }
        };
        task::spawn_or_else("electorate_read", read, move || {
            panicked.is_reading_claims.set(false);
            panicked.pause_recording();
        });
    }

    /// Records `electorate` in the store in place of the newest record known, and adopts it then.
    fn record_electorate(self: &Rc<Self>, electorate: Electorate, why: &str) {
        let expected = self.known_revision();
        // The same count may stand for another transaction since the store was restored.
        if expected.is_some_and(|it| it.epoch() != self.epoch()) {
            return self.learn_electorate();
        }
        self.agreement.borrow_mut().is_writing = true;
        let replaced = self.fleet.electorate().map(|it| it.formation);
        let (election, why) = (Rc::clone(self), why.to_owned());
        let panicked = Rc::clone(self);
        let write = async move {
            let sent = election.site.now();
            let platform = &election.platform;
            let recorded = platform.record_electorate(&electorate, expected).await;
            election.agreement.borrow_mut().is_writing = false;
            match recorded {
                Ok(ElectorateRecord::Written(revision)) => {
                    let now = election.site.now();
                    let mut agreement = election.agreement.borrow_mut();
                    agreement.recording.observe(revision, now);
                    agreement.recorded_in = Some(revision.epoch());
                    drop(agreement);
                    if let Some(replaced) = replaced {
                        election
                            .fleet
                            .with_quorum(|it, _| it.record_formation(replaced));
                    }
                    election.adopt_electorate(&electorate, &why);
                    election.fleet.with_quorum(|it, _| it.record_renewal(sent));
                }
                Ok(ElectorateRecord::Changed(other)) => election.apply_recorded(other.as_ref()),
                Err(_) => return election.pause_recording(),
            }
            election.fleet.contact_due.notify_one();
        };
        task::spawn_or_else("electorate_write", write, move || {
            panicked.agreement.borrow_mut().is_writing = false;
            panicked.pause_recording();
        });
    }

    /// Makes no call about the electorate for [`FAILURE_PAUSE`].
    fn pause_recording(&self) {
        let until = self.site.now() + FAILURE_PAUSE;
        self.agreement.borrow_mut().paused_until = until;
    }
}
