//! Follows the lists in the platform's store: configuration, backend servers, other entry hosts.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use crate::codec::Codec;
use crate::election::Election;
use crate::event::Event;
use crate::feeds::{CancelReason, StuckDetection, WaitOutcome};
use crate::fleet::Fleet;
use crate::meter;
use crate::platform::{
    Backend, Change, Configuration, Entry, Error, Peer, Platform, Read, Revision,
};
use crate::poll_state::{MIN_BACKOFF, PollFailure, PollRequest, PollState};
use crate::site::Site;

/// How long after a failed read the list of servers may be incomplete.
const LIST_DISTRUST_AFTER_FAILURE: Duration = Duration::from_millis(1_500);

/// Delay after a change to the list of servers in a large fleet, so that one call returns all
/// changes of that time. Without it, 65 hosts made 24 calls each while 24 servers started. A small
/// fleet does not delay.
const SERVER_CHANGE_DELAY: Duration = Duration::from_millis(600);

/// Delay after a change to the list of hosts in a large fleet. Without it, each of 65 hosts made up
/// to 40 calls within 200 ms while they started. A small fleet does not delay, because a host that
/// does not know of the others yet would consider itself the majority.
const HOST_CHANGE_DELAY: Duration = Duration::from_millis(1_000);

/// How long a host waits for its announcement before it reads the list of hosts. The store may
/// return the list while it accepts no writes or does not answer them, and nothing is served before
/// the list is known. This is many times the duration of a call.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(100);

/// Follows the lists in the platform's store.
pub struct Watch<C: Codec, P> {
    site: Rc<Site>,
    fleet: Rc<Fleet<C>>,
    platform: Rc<P>,
    election: Rc<Election<C, P>>,
    /// When the list of servers last could not be read.
    servers_failed_at: Cell<Option<Duration>>,
    /// Whether the store has acknowledged this host's entry.
    announced: Cell<bool>,
}

/// The result of reading one of the lists.
enum Batch<T> {
    /// The complete list.
    Snapshot(Vec<Entry<T>>),
    /// The changes since the last read.
    Changes(Vec<Change<T>>),
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
            site,
            fleet,
            platform,
            election,
            servers_failed_at: Cell::new(None),
            announced: Cell::new(false),
        }
    }

    /// Reports whether the list of servers may lack entries of running servers.
    pub fn may_miss_servers(&self) -> bool {
        let now = self.site.now();
        self.servers_failed_at
            .get()
            .is_some_and(|at| now < at + LIST_DISTRUST_AFTER_FAILURE)
    }

    /// Follows the configuration, forever.
    pub async fn follow_configuration(self: Rc<Self>) {
        let feed = &self.fleet.feeds.configuration;
        let mut poll = PollState::new("configuration", self.site.now());
        loop {
            let asked = self.site.now();
            let read = match poll.next_request(asked) {
                PollRequest::All => WaitOutcome::Answered(self.platform.configuration().await),
                PollRequest::Changes(after) => {
                    let call = self.platform.next_configuration(after, Duration::ZERO);
                    WaitOutcome::Answered(call.await)
                }
                PollRequest::LongPoll(after) => {
                    let wait = feed.max_wait(self.fleet.stuck_detection());
                    let call = self.platform.next_configuration(after, wait);
                    feed.run_cancellable(call).await
                }
            };
            match read {
                WaitOutcome::Answered(Ok(read)) => {
                    if !self.record_answer(&mut poll, read.revision).await {
                        continue;
                    }
                    self.apply_configurations(read.value, self.site.now().saturating_sub(asked));
                    // The list of servers may have arrived first, and its next answer may take
                    // seconds. Until then no host would replace the primary of a service that is
                    // new here.
                    self.election.start_new_services();
                    let version = self.fleet.version();
                    feed.record_read(version, Some(version));
                }
                WaitOutcome::Answered(Err(error)) => self.record_failure(&mut poll, &error).await,
                WaitOutcome::Cancelled(doubt) => self.record_cancellation(&mut poll, doubt),
            }
        }
    }

    /// Follows the list of servers, forever.
    pub async fn follow_servers(self: Rc<Self>) {
        let feed = &self.fleet.feeds.backends;
        let mut poll = PollState::new("servers", self.site.now());
        loop {
            let read = match poll.next_request(self.site.now()) {
                PollRequest::All => WaitOutcome::Answered(self.read_servers().await),
                PollRequest::Changes(after) => {
                    WaitOutcome::Answered(self.read_server_changes(after, Duration::ZERO).await)
                }
                PollRequest::LongPoll(after) => {
                    let wait = feed.max_wait(self.fleet.stuck_detection());
                    feed.run_cancellable(self.read_server_changes(after, wait))
                        .await
                }
            };
            match read {
                WaitOutcome::Answered(Ok(read)) => {
                    if !self.record_answer(&mut poll, read.revision).await {
                        continue;
                    }
                    self.apply_servers(read);
                    self.election.start_new_services();
                    self.delay_in_large_fleet(SERVER_CHANGE_DELAY).await;
                }
                WaitOutcome::Answered(Err(error)) => {
                    self.servers_failed_at.set(Some(self.site.now()));
                    self.record_failure(&mut poll, &error).await;
                }
                WaitOutcome::Cancelled(doubt) => self.record_cancellation(&mut poll, doubt),
            }
        }
    }

    /// Announces this host and follows the list of other hosts, forever.
    pub async fn follow_hosts(self: Rc<Self>, own: Peer) {
        let feed = &self.fleet.feeds.peers;
        let mut poll = PollState::new("hosts", self.site.now());
        let (watch, announcing) = (Rc::clone(&self), own.clone());
        let announced = tokio::task::spawn_local(async move { watch.announce(&announcing).await });
        // If the store is healthy, one call then returns this host's entry as well.
        let _ = tokio::time::timeout(ANNOUNCEMENT_TIMEOUT, announced).await;
        loop {
            let read = match poll.next_request(self.site.now()) {
                PollRequest::All => WaitOutcome::Answered(self.read_hosts().await),
                PollRequest::Changes(after) => {
                    WaitOutcome::Answered(self.read_host_changes(after, Duration::ZERO).await)
                }
                PollRequest::LongPoll(after) => {
                    let wait = feed.max_wait(StuckDetection::Local);
                    feed.run_cancellable(self.read_host_changes(after, wait))
                        .await
                }
            };
            match read {
                WaitOutcome::Answered(Ok(read)) => {
                    if !self.record_answer(&mut poll, read.revision).await {
                        continue;
                    }
                    self.apply_hosts(read, &own);
                    self.delay_in_large_fleet(HOST_CHANGE_DELAY).await;
                }
                WaitOutcome::Answered(Err(error)) => self.record_failure(&mut poll, &error).await,
                WaitOutcome::Cancelled(doubt) => self.record_cancellation(&mut poll, doubt),
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
                    self.announced.set(true);
                    return;
                }
                Err(error) => self.record_failure(&mut poll, &error).await,
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

    /// Reads the complete list of servers.
    async fn read_servers(&self) -> Result<Read<Batch<Backend>>, Error> {
        let read = self.platform.backends().await?;
        Ok(read.map(Batch::Snapshot))
    }

    /// Waits up to `wait` for changes to the list of servers after `after`.
    async fn read_server_changes(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<Read<Batch<Backend>>, Error> {
        let read = self.platform.next_backends(after, wait).await?;
        Ok(read.map(Batch::Changes))
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
    }

    /// Reads the complete list of entry hosts.
    async fn read_hosts(&self) -> Result<Read<Batch<Peer>>, Error> {
        let read = self.platform.peers().await?;
        Ok(read.map(Batch::Snapshot))
    }

    /// Waits up to `wait` for changes to the list of entry hosts after `after`.
    async fn read_host_changes(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<Read<Batch<Peer>>, Error> {
        let read = self.platform.next_peers(after, wait).await?;
        Ok(read.map(Batch::Changes))
    }

    /// Applies what was read of the list of hosts, and announces this host again if it is missing.
    fn apply_hosts(self: &Rc<Self>, read: Read<Batch<Peer>>, own: &Peer) {
        match read.value {
            Batch::Snapshot(entries) => {
                if !entries.iter().flatten().any(|peer| peer.host == own.host) {
                    self.announce_again(own);
                }
                self.fleet.apply_host_list(entries);
            }
            Batch::Changes(changes) => self.fleet.apply_host_changes(changes),
        }
    }

    /// Announces this host again, because the store no longer has its entry.
    ///
    /// Guards against a majority that is counted without this host, by hosts that start after the
    /// store was restored from a backup older than the announcement.
    fn announce_again(self: &Rc<Self>, own: &Peer) {
        // The first announcement may still be in flight.
        if !self.announced.replace(false) {
            return;
        }
        let (watch, own) = (Rc::clone(self), own.clone());
        tokio::task::spawn_local(async move { watch.announce(&own).await });
    }

    /// Applies configurations in the order in which they were written. A configuration that cannot
    /// be read is skipped and never replaces a readable one. It is not requested again, since the
    /// answer would be the same.
    fn apply_configurations(&self, configurations: Vec<Entry<Configuration>>, took: Duration) {
        for configuration in configurations {
            match configuration {
                Ok(configuration) => self.fleet.adopt(configuration, took),
                Err(unusable) => self.fleet.refuse_configuration(&unusable),
            }
        }
    }

    /// Records that everything up to `revision` was read. Returns whether the answer is valid: it
    /// is not if its epoch is over, and then this pauses before the next call.
    async fn record_answer(&self, poll: &mut PollState, revision: Revision) -> bool {
        let what = poll.table();
        meter::platform_call(what, true);
        if !self.fleet.observe_epoch(revision.epoch()) {
            self.record_cancellation(poll, CancelReason::FormerEpoch);
            tokio::time::sleep(MIN_BACKOFF).await;
            return false;
        }
        if let Some(outage) = poll.answered(revision, self.site.now()) {
            self.site.log(&Event::StoreBack {
                what,
                millis: outage.duration.as_millis(),
                calls: outage.failed_calls,
            });
            self.fleet.feeds.cancel_after_outage();
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

    /// Records and logs a failed call, then pauses before the next one.
    async fn record_failure(&self, poll: &mut PollState, error: &Error) {
        let what = poll.table();
        meter::platform_call(what, false);
        self.fleet.record_failed_read();
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
        tokio::time::sleep(pause).await;
    }
}
