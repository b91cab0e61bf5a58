//! Follows the platform's store: configuration, backend servers, other entry hosts.

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

/// How long after the last failed read the list of servers is not trusted to be complete.
const LIST_DISTRUST_AFTER_FAILURE: Duration = Duration::from_millis(1_500);

/// Pause after changes of the list of servers in a large fleet: those of the next moments come with
/// one call. While 24 servers started, 65 hosts made 24 calls each. Few hosts ask again at once.
const SERVER_CHANGE_DELAY: Duration = Duration::from_millis(600);

/// Pause after changes among entry hosts in a large fleet: while 65 of them started, each made up
/// to 40 calls within 200 ms. Few hosts ask again at once: one that does not know of the others
/// yet would take itself for the majority.
const HOST_CHANGE_DELAY: Duration = Duration::from_millis(1_000);

/// How long a host waits for the answer to its announcement before it reads the list of hosts: the
/// store may tell of the others while it takes no writes, or answers none, and nothing is served
/// before. Many times what a call takes.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(100);

/// Follows the platform's store.
pub struct Watch<C: Codec, P> {
    site: Rc<Site>,
    fleet: Rc<Fleet<C>>,
    platform: Rc<P>,
    election: Rc<Election<C, P>>,
    servers_failed_at: Cell<Option<Duration>>,
    /// Whether the store has acknowledged this host's entry.
    announced: Cell<bool>,
}

/// What the store has told of one of its lists.
enum Batch<T> {
    /// The whole list.
    Snapshot(Vec<Entry<T>>),
    /// What has changed.
    Changes(Vec<Change<T>>),
}

impl<C: Codec, P: Platform> Watch<C, P> {
    /// Ready to run.
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

    /// Whether the list of servers may lack entries of living servers.
    pub fn may_miss_servers(&self) -> bool {
        let now = self.site.now();
        self.servers_failed_at
            .get()
            .is_some_and(|at| now < at + LIST_DISTRUST_AFTER_FAILURE)
    }

    /// Follows the configuration, for ever.
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
                    // The list of servers may have come first, and is answered next in seconds: until
                    // then nobody would replace the primary of a service that is new here.
                    self.election.start_new_services();
                    let version = self.fleet.version();
                    feed.record_read(version, Some(version));
                }
                WaitOutcome::Answered(Err(error)) => self.record_failure(&mut poll, &error).await,
                WaitOutcome::Cancelled(doubt) => self.record_cancellation(&mut poll, doubt),
            }
        }
    }

    /// Follows the list of servers, for ever.
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

    /// Announces this host and follows the list of others, for ever.
    pub async fn follow_hosts(self: Rc<Self>, own: Peer) {
        let feed = &self.fleet.feeds.peers;
        let mut poll = PollState::new("hosts", self.site.now());
        let (watch, announcing) = (Rc::clone(&self), own.clone());
        let announced = tokio::task::spawn_local(async move { watch.announce(&announcing).await });
        // Where the store is well, one call then tells of this host as well.
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

    /// Announces this host, as often as it takes.
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

    /// Pauses after a change, so that many hosts do not make a call for each of many changes.
    async fn delay_in_large_fleet(&self, pause: Duration) {
        if !self.fleet.is_small() {
            tokio::time::sleep(pause).await;
        }
    }

    /// Reads the whole list of servers.
    async fn read_servers(&self) -> Result<Read<Batch<Backend>>, Error> {
        let read = self.platform.backends().await?;
        Ok(read.map(Batch::Snapshot))
    }

    /// Reads changes of the list of servers after `after`, waiting for some at most `wait`.
    async fn read_server_changes(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<Read<Batch<Backend>>, Error> {
        let read = self.platform.next_backends(after, wait).await?;
        Ok(read.map(Batch::Changes))
    }

    fn apply_servers(&self, read: Read<Batch<Backend>>) {
        self.fleet.feeds.backends.record(&read);
        match read.value {
            Batch::Snapshot(entries) => self.fleet.apply_server_list(entries),
            Batch::Changes(changes) => changes
                .into_iter()
                .for_each(|it| self.fleet.apply_server_change(it)),
        }
    }

    /// Reads the whole list of entry hosts.
    async fn read_hosts(&self) -> Result<Read<Batch<Peer>>, Error> {
        let read = self.platform.peers().await?;
        Ok(read.map(Batch::Snapshot))
    }

    /// Reads changes among entry hosts after `after`, waiting for some at most `wait`.
    async fn read_host_changes(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<Read<Batch<Peer>>, Error> {
        let read = self.platform.next_peers(after, wait).await?;
        Ok(read.map(Batch::Changes))
    }

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

    /// Announces this host once more: the store no longer has its entry.
    ///
    /// Guards against majorities that are counted without it by hosts that start later, after a store
    /// was restored from a copy of before its announcement.
    fn announce_again(self: &Rc<Self>, own: &Peer) {
        // The first announcement may still be on its way.
        if !self.announced.replace(false) {
            return;
        }
        let (watch, own) = (Rc::clone(self), own.clone());
        tokio::task::spawn_local(async move { watch.announce(&own).await });
    }

    /// Takes configurations in the order of their writing. One that cannot be read never replaces
    /// one that can, and is passed over: to ask for it again would bring the same.
    fn apply_configurations(&self, configurations: Vec<Entry<Configuration>>, took: Duration) {
        for configuration in configurations {
            match configuration {
                Ok(configuration) => self.fleet.adopt(configuration, took),
                Err(unusable) => self.fleet.refuse_configuration(&unusable),
            }
        }
    }

    /// Everything up to `revision` was read. Returns whether that holds: it does not where the answer
    /// is of an epoch that is over by now, after a pause before the next call.
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

    /// A call that waited for changes was given up.
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

    async fn record_failure(&self, poll: &mut PollState, error: &Error) {
        let what = poll.table();
        meter::platform_call(what, false);
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
