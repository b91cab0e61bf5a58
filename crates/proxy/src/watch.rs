//! Follows the lists in the platform's store: configuration, backend servers, other entry hosts.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::feed::STUCK_AFTER;
use flamingopost_daemon::task;

use crate::codec::Codec;
use crate::election::Election;
use crate::event::Event;
use crate::feeds::published::{Batch, Standing};
use crate::feeds::query::Table;
use crate::feeds::{CancelReason, Follower, WaitOutcome};
use crate::fleet::Fleet;
use crate::meter;
use crate::platform::{
    Backend, Change, Configuration, Entry, Error, Peer, Platform, Read, Revision,
};
use crate::poll_state::{MIN_BACKOFF, PollFailure, PollState};
use crate::site::Site;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

mod calls;
mod relayed;

use relayed::{ELECTOR_CONTACT_TIMEOUT, ReadFrom};

/// How long after a failed read the list of servers may be incomplete.
const LIST_DISTRUST_AFTER_FAILURE: Duration = Duration::from_millis(1_500);

/// Delay after a change to the list of servers in a large fleet, so that one call returns all
/// changes of that time. Without it, 65 hosts made 24 calls each while 24 servers started. A small
/// fleet does not delay.
///
/// The electors delay independently of each other. A follower of one of them must not count as stuck
/// because another one has read a change earlier.
const SERVER_CHANGE_DELAY: Duration = Duration::from_millis(200);

const _: () = assert!(SERVER_CHANGE_DELAY.as_millis() * 2 <= STUCK_AFTER.as_millis());

/// Delay after a change to the list of hosts in a large fleet. Without it, each of 65 hosts made up
/// to 40 calls within 200 ms while they started. A small fleet does not delay, because a host that
/// does not know of the others yet would consider itself the majority.
const HOST_CHANGE_DELAY: Duration = Duration::from_millis(1_000);

/// How long a host waits for its announcement before it reads the list of hosts. The store may
/// return the list while it accepts no writes or does not answer them, and nothing is served before
/// the list is known. This is many times the duration of a call.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(100);

/// Delay before this host announces itself again. Guards against a storm of calls of two processes that
/// were given the same name, each of which writes over the entry of the other.
const REPEATED_ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(500);

/// Longest time for which the list of hosts waits for the configuration to be answered before it
/// calls the store itself. Only a store that refuses the configuration alone makes it wait as long.
const MAX_PROBE_WAIT: Duration = Duration::from_secs(10);

/// The same for the list of servers. A leaving server may be used for 7 s after its announcement, and
/// this wait is followed by a call of up to 1.2 s and by 0.65 s until followers are notified.
const MAX_SERVER_PROBE_WAIT: Duration = Duration::from_secs(3);

/// Follows the lists in the platform's store.
pub struct Watch<C: Codec, P> {
    site: Rc<Site>,
    fleet: Rc<Fleet<C>>,
    platform: Rc<P>,
    election: Rc<Election<C, P>>,
    /// When this host started.
    started_at: Duration,
    /// When the list of servers last could not be read.
    servers_failed_at: Cell<Option<Duration>>,
    /// Whether the list of servers cannot be read at present, as far as this host knows.
    servers_unreadable: Cell<bool>,
    /// Whether the store has not answered the last call for the configuration.
    configuration_failing: Cell<bool>,
    /// Notifies the feeds that wait for the store to answer the call for the configuration.
    configuration_answered: Notify,
    /// Revision of this host's entry that the store has acknowledged.
    announced: Cell<Option<Revision>>,
}

impl<C: Codec, P: Platform> Watch<C, P> {
    /// Creates a watch that has not started yet.
    pub fn new(
        site: Rc<Site>,
        fleet: Rc<Fleet<C>>,
        platform: Rc<P>,
        election: Rc<Election<C, P>>,
    ) -> Watch<C, P> {
        Watch {
            started_at: site.now(),
            site,
            fleet,
            platform,
            election,
            servers_failed_at: Cell::new(None),
            servers_unreadable: Cell::new(false),
            configuration_failing: Cell::new(false),
            configuration_answered: Notify::new(),
            announced: Cell::new(None),
        }
    }

    /// Reports whether the list of servers may lack entries of running servers.
    pub fn may_miss_servers(&self) -> bool {
        let now = self.site.now();
        let failed_at = self.servers_failed_at.get();
        let failed = failed_at.is_some_and(|at| now < at + LIST_DISTRUST_AFTER_FAILURE);
        failed || self.servers_unreadable.get()
    }

    /// Follows the configuration, forever.
    pub async fn follow_configuration(self: Rc<Self>) {
        let feed = &self.fleet.feeds.configuration;
        let published = &self.fleet.feeds.published_configuration;
        let mut poll = PollState::new(Table::Configuration.name(), self.site.now());
        self.wait_for_sources().await;
        loop {
            let asked = self.site.now();
            let read = match self.read_from(feed, published, &poll) {
                ReadFrom::Store => match self.read_configuration(&mut poll).await {
                    WaitOutcome::Answered(Ok(read)) => {
                        if !self.record_answer(&mut poll, feed, read.revision).await {
                            continue;
                        }
                        let read = read.map(|it| it.into_iter().map(|it| it.map(Rc::new)));
                        let read = read.map(Iterator::collect);
                        published.record_versions(&read, Standing::Followed);
                        read
                    }
                    WaitOutcome::Answered(Err(error)) => {
                        published.record_failure(&error);
                        if !self.fleet.is_small() {
                            self.fleet.feeds.published_peers.record_path_failure(&error);
                        }
                        self.record_failure(&mut poll, Some(feed), &error).await;
                        continue;
                    }
                    WaitOutcome::Cancelled(doubt) => {
                        self.record_cancellation(&mut poll, doubt);
                        continue;
                    }
                },
                ReadFrom::Host(request) => {
                    self.release_probe_waits();
                    let read = self.read_relayed(feed, published, &mut poll, request);
                    let Some(read) = read.await else {
                        continue;
                    };
                    let read = read.map(Batch::into_entries);
                    published.record_versions(&read, Standing::NotFollowed);
                    read
                }
            };
            self.apply_configurations(read.value, self.site.now().saturating_sub(asked));
            // The list of servers may have arrived first, and its next answer may take seconds.
            // Until then no host would replace the primary of a service that is new here.
            self.election.start_new_services();
            let version = self.fleet.version();
            feed.record_read(version, Some(version));
        }
    }

    /// Follows the list of servers, forever.
    pub async fn follow_servers(self: Rc<Self>) {
        let feed = &self.fleet.feeds.backends;
        let published = &self.fleet.feeds.published_backends;
        let mut poll = PollState::new(Table::Servers.name(), self.site.now());
        let mut first_read_at: Option<Duration> = None;
        self.wait_for_sources().await;
        loop {
            let until = first_read_at.map_or(Duration::ZERO, |at| at + SERVER_CHANGE_DELAY);
            self.wait_for_electors(&poll, until).await;
            match self.read_from(feed, published, &poll) {
                ReadFrom::Store => match self.read_servers(&mut poll).await {
                    WaitOutcome::Answered(Ok(read)) => {
                        if !self.record_answer(&mut poll, feed, read.revision).await {
                            continue;
                        }
                        published.record(&read, Standing::Followed);
                        self.apply_servers(read);
                        first_read_at.get_or_insert(self.site.now());
                        self.delay_in_large_fleet(SERVER_CHANGE_DELAY).await;
                    }
                    WaitOutcome::Answered(Err(error)) => {
                        published.record_failure(&error);
                        self.servers_failed_at.set(Some(self.site.now()));
                        self.record_failure(&mut poll, Some(feed), &error).await;
                    }
                    WaitOutcome::Cancelled(doubt) => self.record_cancellation(&mut poll, doubt),
                },
                ReadFrom::Host(request) => {
                    let is_recovering = request.recovering;
                    self.servers_unreadable.set(is_recovering);
                    let read = self.read_relayed(feed, published, &mut poll, request).await;
                    self.servers_unreadable.set(false);
                    if is_recovering {
                        self.servers_failed_at.set(Some(self.site.now()));
                    }
                    if let Some(read) = read {
                        published.record(&read, Standing::NotFollowed);
                        self.apply_servers(read);
                    }
                }
            }
        }
    }

    /// Announces this host and follows the list of other hosts, forever.
    pub async fn follow_hosts(self: Rc<Self>, own: Peer) {
        let feed = &self.fleet.feeds.peers;
        let published = &self.fleet.feeds.published_peers;
        let mut poll = PollState::new(Table::Hosts.name(), self.site.now());
        let contact_until = self.started_at + ELECTOR_CONTACT_TIMEOUT;
        let announced = self.start_announcement(&own, Duration::ZERO);
        // If the store is healthy, one call then returns this host's entry as well.
        let _ = tokio::time::timeout(ANNOUNCEMENT_TIMEOUT, announced).await;
        loop {
            self.wait_for_electors(&poll, contact_until).await;
            if !self.fleet.is_small() && published.is_in_outage() {
                // Only an answer lets followers read the list here again, so it must come soon.
                poll.cancelled(CancelReason::Outage);
            }
            match self.read_from(feed, published, &poll) {
                ReadFrom::Store => match self.read_hosts(&mut poll).await {
                    WaitOutcome::Answered(Ok(read)) => {
                        if !self.record_answer(&mut poll, feed, read.revision).await {
                            continue;
                        }
                        published.record(&read, Standing::Followed);
                        self.apply_hosts(read, &own);
                        self.delay_in_large_fleet(HOST_CHANGE_DELAY).await;
                    }
                    WaitOutcome::Answered(Err(error)) => {
                        published.record_failure(&error);
                        self.record_failure(&mut poll, Some(feed), &error).await;
                    }
                    WaitOutcome::Cancelled(doubt) => self.record_cancellation(&mut poll, doubt),
                },
                ReadFrom::Host(request) => {
                    let read = self.read_relayed(feed, published, &mut poll, request);
                    if let Some(read) = read.await {
                        published.record(&read, Standing::NotFollowed);
                        self.apply_hosts(read, &own);
                    }
                }
            }
        }
    }

    /// Announces this host, and retries until it succeeds.
    async fn announce(&self, own: &Peer) {
        let mut poll = PollState::new("announcement", self.site.now());
        loop {
            match self.platform.announce(own).await {
                Ok(token) => {
                    self.site.log(&Event::Announced { token: token.0 });
                    self.election.reserve_token(token);
                    self.announced.set(Some(token.revision()));
                    return;
                }
                Err(error) => self.record_failure(&mut poll, None, &error).await,
            }
        }
    }

    /// Pauses after a change in a large fleet, so that many hosts do not make a call for each of
    /// many changes.
    async fn delay_in_large_fleet(&self, pause: Duration) {
        if !self.fleet.is_small() {
            tokio::time::sleep(pause).await;
        }
    }

    /// Applies what was read of the list of servers.
    fn apply_servers(&self, read: Read<Batch<Backend>>) {
        self.fleet.feeds.backends.record(&read);
        match read.value {
            Batch::Snapshot(entries) => self.fleet.apply_server_list(entries),
            Batch::Changes(changes) => changes
                .into_iter()
                .for_each(|it| self.fleet.apply_server_change(it)),
        }
        self.election.start_new_services();
    }

    /// Applies what was read of the list of hosts, and announces this host again if it is missing there or
    /// listed otherwise.
    fn apply_hosts(self: &Rc<Self>, read: Read<Batch<Peer>>, own: &Peer) {
        match read.value {
            Batch::Snapshot(entries) => {
                if !entries.iter().flatten().any(|peer| peer == own) {
                    self.announce_again(own, read.revision);
                }
                self.fleet.apply_host_list(entries);
            }
            Batch::Changes(changes) => {
                let is_own = |change: &&Change<Peer>| own_entry(change, own).is_some();
                let newest = changes.iter().rev().find(is_own);
                if newest.is_some_and(|change| own_entry(change, own) == Some(false)) {
                    self.announce_again(own, read.revision);
                }
                self.fleet.apply_host_changes(changes);
            }
        }
        self.election.forget_unlisted_hosts();
    }

    /// Announces this host again, because the list as of `read` lacks its entry or has another one.
    ///
    /// Any writer of the store may replace or remove the entry, and only this host writes it again.
    ///
    /// Guards against a majority that is counted without this host, by hosts that start after the
    /// store was restored from a backup older than the announcement. Such a backup may also have the entry
    /// of a former process, with another address or another version of the messages.
    fn announce_again(self: &Rc<Self>, own: &Peer, read: Revision) {
        // The first announcement may still be in flight, and another host may have read the list
        // before it.
        if self
            .announced
            .get()
            .is_none_or(|announced| read < announced)
        {
            return;
        }
        self.announced.set(None);
        self.start_announcement(own, REPEATED_ANNOUNCEMENT_DELAY);
    }

    /// Announces this host after `delay`, in a task of its own.
    fn start_announcement(self: &Rc<Self>, own: &Peer, delay: Duration) -> JoinHandle<()> {
        let (watch, own) = (Rc::clone(self), own.clone());
        task::complete("announcement", move || {
            let (watch, own) = (Rc::clone(&watch), own.clone());
            async move {
                tokio::time::sleep(delay).await;
                watch.announce(&own).await;
            }
        })
    }

    /// Applies configurations in the order in which they were written. A configuration that cannot
    /// be read is skipped and never replaces a readable one. It is not requested again, since the
    /// answer would be the same.
    fn apply_configurations(&self, configurations: Vec<Entry<Rc<Configuration>>>, took: Duration) {
        for configuration in configurations {
            match configuration {
                Ok(configuration) => self.fleet.adopt(configuration, took),
                Err(unusable) => self.fleet.refuse_configuration(&unusable),
            }
        }
    }

    /// Records that everything up to `revision` was read. Returns whether the answer is valid: it
    /// is not if its epoch is over, and then this pauses before the next call.
    async fn record_answer(
        &self,
        poll: &mut PollState,
        feed: &Follower,
        revision: Revision,
    ) -> bool {
        let what = poll.table();
        meter::platform_call(what, true);
        if what == Table::Configuration.name() {
            self.release_probe_waits();
        }
        if !self.fleet.observe_epoch(revision.epoch()) {
            self.record_cancellation(poll, CancelReason::FormerEpoch);
            tokio::time::sleep(MIN_BACKOFF).await;
            return false;
        }
        let now = self.site.now();
        feed.record_store_answer(now);
        if let Some(outage) = poll.answered(revision, now) {
            self.site.log(&Event::StoreBack {
                what,
                millis: outage.duration.as_millis(),
                calls: outage.failed_calls,
            });
            self.fleet.feeds.cancel_after_outage(outage.last_failed_at);
        }
        true
    }

    /// Records that a call waiting for changes was cancelled.
    fn record_cancellation(&self, poll: &mut PollState, doubt: CancelReason) {
        let what = poll.table();
        match doubt {
            CancelReason::Behind => self.site.log(&Event::FeedStuck { what }),
            CancelReason::Outage
            | CancelReason::PeersLost
            | CancelReason::Restored
            | CancelReason::PossiblyStale
            | CancelReason::FormerEpoch => self.site.log(&Event::FeedDoubted {
                what,
                doubt: doubt.to_string(),
            }),
        }
        poll.cancelled(doubt);
    }

    /// Records and logs a failed call, then pauses before the next one, unless the feed is read at
    /// another host next.
    async fn record_failure(&self, poll: &mut PollState, feed: Option<&Follower>, error: &Error) {
        let what = poll.table();
        meter::platform_call(what, false);
        self.fleet.record_failed_read();
        if let Some(feed) = feed {
            feed.selector.borrow_mut().record_store_failure();
        }
        let pause = match poll.failed(error, self.site.now()) {
            PollFailure::HistoryGone { pause } => {
                self.site.log(&Event::HistoryGone { what });
                pause
            }
            PollFailure::OutageBegan {
                called,
                silent,
                pause,
            } => {
                self.site.log(&Event::StoreLost {
                    what,
                    error: error.to_string(),
                    called: called.as_millis(),
                    silent: silent.as_millis(),
                });
                pause
            }
            PollFailure::OutageContinues { pause } => pause,
        };
        if feed.is_some_and(|feed| self.is_read_at_host(feed)) {
            return;
        }
        let is_probe = what == Table::Configuration.name();
        match error {
            Error::HistoryGone if is_probe => self.release_probe_waits(),
            _ if is_probe => self.configuration_failing.set(true),
            _ => {}
        }
        let waits_for_probe = *error != Error::HistoryGone && feed.is_some() && !is_probe;
        if waits_for_probe && self.configuration_failing.get() && !self.fleet.is_small() {
            return self.wait_for_configuration(what).await;
        }
        tokio::time::sleep(pause).await;
    }

    /// Waits until the store has answered the call for the configuration. During an outage only
    /// that call is repeated, and the other feeds of this host wait for it.
    async fn wait_for_configuration(&self, what: &'static str) {
        let is_servers = what == Table::Servers.name();
        self.servers_unreadable
            .set(is_servers || self.servers_unreadable.get());
        let longest = match is_servers {
            true => MAX_SERVER_PROBE_WAIT,
            false => MAX_PROBE_WAIT,
        };
        let answered = self.configuration_answered.notified();
        let _ = tokio::time::timeout(longest, answered).await;
        if is_servers {
            self.servers_unreadable.set(false);
            self.servers_failed_at.set(Some(self.site.now()));
        }
    }

    /// Lets the feeds that wait for the configuration to be answered call the store themselves.
    fn release_probe_waits(&self) {
        if self.configuration_failing.replace(false) {
            self.configuration_answered.notify_waiters();
        }
    }
}

/// Returns whether `change` leaves the entry `own` of this host in the list, or `None` if it is one of
/// another host.
fn own_entry(change: &Change<Peer>, own: &Peer) -> Option<bool> {
    match change {
        Change::Put(peer) => (peer.host == own.host).then(|| peer == own),
        Change::Unusable(unusable) => (unusable.id == own.host).then_some(false),
        Change::Removed(host) => (*host == own.host).then_some(false),
    }
}
