//! Reads feeds at other hosts that follow the store.

use std::time::Duration;

use flamingopost_core::feed::source::{Failure, Source};
use flamingopost_core::key::HostKey;

use super::Watch;
use crate::codec::Codec;
use crate::event::Event;
use crate::feeds::published::{Batch, Published, Standing};
use crate::feeds::query::{Query, Table};
use crate::feeds::wire::{Answer, Item, WireEntry};
use crate::feeds::{CancelReason, Follower, StuckDetection, WaitOutcome};
use crate::fleet::Relay;
use crate::meter::{self, RelayedRead};
use crate::platform::{Change, Platform, Read, Revision};
use crate::poll_state::PollState;

/// Maximum wait for the end of an outage at one host. Another one is asked after it, because the
/// store may answer that one.
const RECOVERY_WAIT: Duration = Duration::from_secs(4);

/// How long after its start a host waits for the first answers of the electors before it follows
/// the store, for lists that may be that late. Every host would otherwise make waiting calls there that it gives up a moment later.
pub(super) const ELECTOR_CONTACT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Interval between checks for those answers, which take one round trip after the list of hosts.
const ELECTOR_CONTACT_INTERVAL: Duration = Duration::from_millis(50);

/// How long a host waits for the list of hosts before it reads the other feeds at the store: the
/// announcement and a call to a healthy store, with time to spare.
const HOSTS_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval between checks for that list, of which a small fleet waits for one at least.
const HOSTS_INTERVAL: Duration = Duration::from_millis(5);

/// Name of the store in the log.
const STORE: &str = "the store";

/// Where a feed is read next.
#[derive(Debug)]
pub(super) enum ReadFrom {
    /// At the store.
    Store,
    /// At another host.
    Host(RelayRequest),
}

/// A read at another host.
#[derive(Debug)]
pub(super) struct RelayRequest {
    relay: Relay,
    /// Whether to wait until that host can read the store.
    pub(super) recovering: bool,
}

impl<C: Codec, P: Platform> Watch<C, P> {
    /// Waits after the first read of a host in a large fleet until electors are in contact, but not
    /// after `until`. A host that has just started, and has read the whole list, misses changes for
    /// that long.
    pub(super) async fn wait_for_electors(&self, poll: &PollState, until: Duration) {
        let until = until.min(self.started_at + ELECTOR_CONTACT_TIMEOUT);
        while poll.has_read() && self.fleet.lacks_electors() && self.site.now() < until {
            tokio::time::sleep(ELECTOR_CONTACT_INTERVAL).await;
        }
    }

    /// Waits before the first read of a feed until this host can tell where to read it: until it has
    /// read the list of hosts and, in a large fleet, is in contact with the electors. It does not wait
    /// longer than the store and the electors usually take.
    pub(super) async fn wait_for_sources(&self) {
        let until = self.started_at + HOSTS_TIMEOUT;
        while !self.fleet.knows_hosts() && self.site.now() < until {
            tokio::time::sleep(HOSTS_INTERVAL).await;
        }
        let until = self.started_at + ELECTOR_CONTACT_TIMEOUT;
        while self.fleet.lacks_electors() && self.site.now() < until {
            tokio::time::sleep(ELECTOR_CONTACT_INTERVAL).await;
        }
    }

    /// Chooses where `feed` is read next.
    pub(super) fn read_from<T: Item>(
        &self,
        feed: &Follower,
        published: &Published<T>,
        poll: &PollState,
    ) -> ReadFrom {
        let relays = self.fleet.relays();
        let (key, recovering) = match self.choose(feed, &relays) {
            Source::Store => (None, false),
            Source::Host(key) => (Some(key), false),
            Source::Recovering(key) => (Some(key), true),
        };
        let relay = relays.into_iter().find(|relay| Some(relay.key) == key);
        let from = relay.as_ref().map_or(STORE, |relay| relay.host.as_str());
        if *feed.read_at.borrow() != from {
            from.clone_into(&mut feed.read_at.borrow_mut());
            self.site.log(&Event::FeedSource {
                what: poll.table(),
                from: from.to_owned(),
            });
        }
        match relay {
            Some(relay) => ReadFrom::Host(RelayRequest { relay, recovering }),
            None => {
                feed.client.close();
                published.expect_first_read();
                ReadFrom::Store
            }
        }
    }

    /// Reports whether `feed` is read at another host next.
    pub(super) fn is_read_at_host(&self, feed: &Follower) -> bool {
        self.choose(feed, &self.fleet.relays()) != Source::Store
    }

    fn choose(&self, feed: &Follower, relays: &[Relay]) -> Source {
        let keys: Vec<HostKey> = relays.iter().map(|relay| relay.key).collect();
        feed.selector.borrow_mut().next(&keys, self.site.now())
    }

    /// Reads `feed` at another host. Returns `None` if nothing usable was read, which is recorded.
    pub(super) async fn read_relayed<T: Item>(
        &self,
        feed: &Follower,
        published: &Published<T>,
        poll: &mut PollState,
        request: RelayRequest,
    ) -> Option<Read<Batch<T>>> {
        published.set_standing(Standing::NotFollowed);
        let RelayRequest { relay, recovering } = request;
        let longest = feed.max_wait(StuckDetection::ByPeers);
        let (last_read, is_outdated) = poll.last_read();
        let newest_epoch = self.fleet.with_epochs(|epochs, _| epochs.newest_epoch());
        let newest_epoch = Revision::new(newest_epoch, 0);
        let query = Query {
            table: table_of(poll),
            // An answer from before the newest epoch would not be applied.
            after: last_read.max(newest_epoch),
            whole: is_outdated || last_read < newest_epoch,
            recovering,
            wait: match recovering {
                true => RECOVERY_WAIT,
                false => longest,
            },
        };
        feed.asked_host.set(Some(relay.key));
        feed.discard_cancellation();
        let call = feed.client.ask::<T>(relay.address, &query);
        let outcome = feed.run_cancellable(call).await;
        feed.asked_host.set(None);
        let answer = match outcome {
            WaitOutcome::Answered(Ok(answer)) => answer,
            WaitOutcome::Answered(Err(error)) => {
                self.record_relay_failure(
                    feed,
                    poll,
                    &relay,
                    Failure::Unusable,
                    &error.to_string(),
                );
                return None;
            }
            WaitOutcome::Cancelled(doubt) => {
                self.record_cancellation(poll, doubt);
                if doubt == CancelReason::Behind {
                    let now = self.site.now();
                    let mut selector = feed.selector.borrow_mut();
                    selector.record_failure(relay.key, Failure::Behind, now);
                }
                return None;
            }
        };
        let refusal = match answer {
            Answer::List {
                revision,
                newest,
                entries,
            } if self.is_valid(Revision(revision), &query) => {
                let revision = Revision(revision);
                let entries = entries.into_iter().map(WireEntry::into_entry).collect();
                // Changes are cheaper to apply than a whole list, which logs each of its entries.
                let is_whole = query.whole || revision.epoch() != last_read.epoch();
                let value = match is_whole {
                    true => Batch::Snapshot(entries),
                    false => Batch::Changes(published.changes_to(entries)),
                };
                meter::relayed_read(poll.table(), RelayedRead::Changed);
                let newest = newest.map(Revision);
                return Some(self.record_relayed(feed, poll, &relay, value, revision, newest));
            }
            Answer::Changes {
                revision,
                newest,
                entries,
                removed,
            } if !query.whole && self.is_valid(Revision(revision), &query) => {
                let entries = entries.into_iter().map(|it| Change::from(it.into_entry()));
                let changes = removed.into_iter().map(Change::Removed).chain(entries);
                meter::relayed_read(poll.table(), RelayedRead::Changed);
                let (value, newest) = (Batch::Changes(changes.collect()), newest.map(Revision));
                let revision = Revision(revision);
                return Some(self.record_relayed(feed, poll, &relay, value, revision, newest));
            }
            Answer::Unchanged { revision }
                if !query.whole && self.is_valid(Revision(revision), &query) =>
            {
                meter::relayed_read(poll.table(), RelayedRead::Unchanged);
                let (value, revision) = (Batch::Changes(Vec::new()), Revision(revision));
                return Some(self.record_relayed(feed, poll, &relay, value, revision, None));
            }
            Answer::List { .. } | Answer::Changes { .. } | Answer::Unchanged { .. } => {
                (Failure::Unusable, "the answer is from before what was read")
            }
            Answer::Outage => (Failure::Outage, "it cannot read the store"),
            Answer::NotFollowed => (Failure::Unusable, "it does not follow the store"),
        };
        self.record_relay_failure(feed, poll, &relay, refusal.0, refusal.1);
        None
    }

    /// Reports whether an answer as of `revision` may be applied: this host goes back neither to an
    /// earlier epoch nor to an earlier revision.
    fn is_valid(&self, revision: Revision, query: &Query) -> bool {
        revision >= query.after && self.fleet.observe_epoch(revision.epoch())
    }

    fn record_relayed<T>(
        &self,
        feed: &Follower,
        poll: &mut PollState,
        relay: &Relay,
        value: Batch<T>,
        revision: Revision,
        newest: Option<Revision>,
    ) -> Read<Batch<T>> {
        feed.selector.borrow_mut().record_host_answer(relay.key);
        poll.relayed(revision, self.site.now());
        Read {
            value,
            revision,
            newest,
        }
    }

    fn record_relay_failure(
        &self,
        feed: &Follower,
        poll: &PollState,
        relay: &Relay,
        failure: Failure,
        why: &str,
    ) {
        let outcome = match failure {
            Failure::Outage => RelayedRead::Outage,
            Failure::Unusable | Failure::Behind => RelayedRead::Failed,
        };
        meter::relayed_read(poll.table(), outcome);
        self.site.log(&Event::FeedUnrelayed {
            what: poll.table(),
            host: relay.host.clone(),
            why: why.to_owned(),
        });
        let mut selector = feed.selector.borrow_mut();
        selector.record_failure(relay.key, failure, self.site.now());
    }
}

/// Returns the table that `poll` reads.
fn table_of(poll: &PollState) -> Table {
    let tables = [Table::Configuration, Table::Servers, Table::Hosts];
    let named = tables.into_iter().find(|it| it.name() == poll.table());
    named.unwrap_or(Table::Hosts)
}
