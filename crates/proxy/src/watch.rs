//! Follows the platform's store: configuration, backend servers, other entry hosts.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use crate::codec::Codec;
use crate::election::Election;
use crate::event::Event;
use crate::fleet::Fleet;
use crate::meter;
use crate::platform::{Configuration, Entry, Error, Peer, Platform, Read, Revision};
use crate::site::Site;

/// First wait after a call that failed; doubled up to [`PAUSE_MOST`]. Calls to the store are
/// charged for, refused ones too.
const PAUSE: Duration = Duration::from_millis(100);

/// Longest such wait: an outage may end at any moment, and what was missed counts from then.
const PAUSE_MOST: Duration = Duration::from_millis(800);

/// How long after the last failed read the list of servers is not trusted to be complete.
const BLIND: Duration = Duration::from_millis(1_500);

/// How long a call waits for changes among entry hosts, which are rare: the platform's limit is
/// 30 s.
const PEERS_WAIT: Duration = Duration::from_secs(25);

/// Pause after changes of the list of servers in a large fleet: those of the next moments come with
/// one call. While 24 servers started, 65 hosts made 24 calls each. Few hosts ask again at once.
const BACKENDS_REST: Duration = Duration::from_millis(600);

/// Pause after changes among entry hosts in a large fleet: while 65 of them started, each made up
/// to 40 calls within 200 ms. Few hosts ask again at once: one that does not know of the others
/// yet would take itself for the majority.
const PEERS_REST: Duration = Duration::from_millis(1_000);

/// Follows the platform's store.
pub struct Watch<C: Codec, P> {
    site: Rc<Site>,
    fleet: Rc<Fleet<C>>,
    platform: Rc<P>,
    election: Rc<Election<C, P>>,
    failed: Cell<Option<Duration>>,
}

/// How one of the store's tables fares.
struct Track {
    what: &'static str,
    lost: Option<Duration>,
    pause: Duration,
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
            failed: Cell::new(None),
        }
    }

    /// Whether the list of servers may lack entries of living servers.
    pub fn is_blind(&self) -> bool {
        let now = self.site.now();
        self.failed.get().is_some_and(|at| now < at + BLIND)
    }

    /// Follows the configuration, for ever.
    pub async fn configuration(self: Rc<Self>) {
        let mut track = Track::new("configuration");
        let mut after: Option<Revision> = None;
        loop {
            let asked = self.site.now();
            let read = match after {
                None => self.platform.configuration().await,
                Some(after) => self.follow_configuration(after, &track).await,
            };
            match read {
                Ok(Read {
                    value, revision, ..
                }) => {
                    track.answered(&self.site);
                    after = Some(revision);
                    let took = self.site.now().saturating_sub(asked);
                    self.adopt(value, took);
                    let version = self.fleet.version();
                    let feed = &self.fleet.feeds.configuration;
                    feed.read(version, Some(version));
                }
                Err(error) => self.failed(&mut track, &error, &mut after).await,
            }
        }
    }

    /// Follows the list of servers, for ever.
    pub async fn backends(self: Rc<Self>) {
        let mut track = Track::new("servers");
        let mut after: Option<Revision> = None;
        loop {
            let read = match after {
                None => self.list_backends().await,
                Some(after) => self.follow_backends(after, &track).await,
            };
            match read {
                Ok(revision) => {
                    track.answered(&self.site);
                    after = Some(revision);
                    self.election.attend();
                    self.rest(BACKENDS_REST).await;
                }
                Err(error) => {
                    self.failed.set(Some(self.site.now()));
                    self.failed(&mut track, &error, &mut after).await;
                }
            }
        }
    }

    /// Announces this host and follows the list of others, for ever.
    pub async fn peers(self: Rc<Self>, own: Peer) {
        let mut track = Track::new("hosts");
        let mut after: Option<Revision> = None;
        let mut announced = false;
        loop {
            if !announced {
                match self.platform.announce(&own).await {
                    Ok(token) => {
                        announced = true;
                        self.site.log(&Event::Announced { token: token.0 });
                        self.election.reserve(token);
                    }
                    Err(error) => {
                        self.failed(&mut track, &error, &mut after).await;
                        continue;
                    }
                }
            }
            let read = match after {
                None => self.platform.peers().await.map(|read| {
                    self.fleet.list_peers(read.value);
                    read.revision
                }),
                Some(after) => self
                    .platform
                    .next_peers(after, PEERS_WAIT)
                    .await
                    .map(|read| {
                        self.fleet.change_peers(read.value);
                        read.revision
                    }),
            };
            match read {
                Ok(revision) => {
                    track.answered(&self.site);
                    after = Some(revision);
                    self.rest(PEERS_REST).await;
                }
                Err(error) => self.failed(&mut track, &error, &mut after).await,
            }
        }
    }

    /// Waits for a configuration newer than the one at `after`.
    async fn follow_configuration(
        &self,
        after: Revision,
        track: &Track,
    ) -> Result<Read<Vec<Entry<Configuration>>>, Error> {
        let wait = self.fleet.patience().wait();
        let call = self.platform.next_configuration(after, wait);
        match self.fleet.feeds.configuration.unless_stuck(call).await {
            Some(read) => read,
            None => {
                self.given_up(track);
                self.platform.configuration().await
            }
        }
    }

    /// Pauses after a change, so that many hosts do not make a call for each of many changes.
    async fn rest(&self, pause: Duration) {
        if !self.fleet.is_small() {
            tokio::time::sleep(pause).await;
        }
    }

    /// Reads the whole list of servers.
    async fn list_backends(&self) -> Result<Revision, Error> {
        let read = self.platform.backends().await?;
        self.fleet.feeds.backends.took(&read);
        self.fleet.list(read.value);
        Ok(read.revision)
    }

    /// Waits for changes of the list of servers after `after`.
    async fn follow_backends(&self, after: Revision, track: &Track) -> Result<Revision, Error> {
        let feed = &self.fleet.feeds.backends;
        let wait = self.fleet.patience().wait();
        let call = self.platform.next_backends(after, wait);
        let Some(read) = feed.unless_stuck(call).await else {
            self.given_up(track);
            return self.list_backends().await;
        };
        let read = read?;
        feed.took(&read);
        for change in read.value {
            self.fleet.change(change);
        }
        Ok(read.revision)
    }

    /// A call that waited for changes was given up, since others have got some meanwhile.
    fn given_up(&self, track: &Track) {
        let what = track.what;
        self.site.log(&Event::FeedStuck { what });
    }

    /// Takes configurations in the order of their writing. One that cannot be read never replaces
    /// one that can, and is passed over: to ask for it again would bring the same.
    fn adopt(&self, configurations: Vec<Entry<Configuration>>, took: Duration) {
        for configuration in configurations {
            match configuration {
                Ok(configuration) => self.fleet.adopt(configuration, took),
                Err(unusable) => self.fleet.refuse(&unusable),
            }
        }
    }

    async fn failed(&self, track: &mut Track, error: &Error, after: &mut Option<Revision>) {
        meter::platform_call(track.what, false);
        if *error == Error::HistoryGone {
            let what = track.what;
            self.site.log(&Event::HistoryGone { what });
            *after = None;
            return;
        }
        track.lost(&self.site, error);
        tokio::time::sleep(track.pause).await;
    }
}

impl Track {
    fn new(what: &'static str) -> Track {
        Track {
            what,
            lost: None,
            pause: PAUSE,
        }
    }

    fn answered(&mut self, site: &Site) {
        meter::platform_call(self.what, true);
        self.pause = PAUSE;
        if let Some(lost) = self.lost.take() {
            site.log(&Event::StoreBack {
                what: self.what,
                millis: site.now().saturating_sub(lost).as_millis(),
            });
        }
    }

    fn lost(&mut self, site: &Site, error: &Error) {
        self.pause = (self.pause * 2).min(PAUSE_MOST);
        if self.lost.is_none() {
            self.lost = Some(site.now());
            site.log(&Event::StoreLost {
                what: self.what,
                error: error.to_string(),
            });
        }
    }
}
