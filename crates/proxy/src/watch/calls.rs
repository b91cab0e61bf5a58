//! Calls to the store for the feeds.

use std::time::Duration;

use super::Watch;
use crate::codec::Codec;
use crate::feeds::published::Batch;
use crate::feeds::{StuckDetection, WaitOutcome};
use crate::platform::{Backend, Configuration, Entry, Error, Peer, Platform, Read, Revision};
use crate::poll_state::{PollRequest, PollState};

impl<C: Codec, P: Platform> Watch<C, P> {
    /// Makes the next call to the store for the configuration.
    pub(super) async fn read_configuration(
        &self,
        poll: &mut PollState,
    ) -> WaitOutcome<Result<Read<Vec<Entry<Configuration>>>, Error>> {
        let feed = &self.fleet.feeds.configuration;
        match poll.next_request(self.site.now()) {
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
        }
    }

    /// Makes the next call to the store for the list of servers.
    pub(super) async fn read_servers(
        &self,
        poll: &mut PollState,
    ) -> WaitOutcome<Result<Read<Batch<Backend>>, Error>> {
        let feed = &self.fleet.feeds.backends;
        match poll.next_request(self.site.now()) {
            PollRequest::All => {
                let read = self.platform.backends().await;
                WaitOutcome::Answered(read.map(|read| read.map(Batch::Snapshot)))
            }
            PollRequest::Changes(after) => {
                WaitOutcome::Answered(self.read_server_changes(after, Duration::ZERO).await)
            }
            PollRequest::LongPoll(after) => {
                let wait = feed.max_wait(self.fleet.stuck_detection());
                feed.run_cancellable(self.read_server_changes(after, wait))
                    .await
            }
        }
    }

    /// Makes the next call to the store for the list of hosts.
    pub(super) async fn read_hosts(
        &self,
        poll: &mut PollState,
    ) -> WaitOutcome<Result<Read<Batch<Peer>>, Error>> {
        let feed = &self.fleet.feeds.peers;
        match poll.next_request(self.site.now()) {
            PollRequest::All => {
                let read = self.platform.peers().await;
                WaitOutcome::Answered(read.map(|read| read.map(Batch::Snapshot)))
            }
            PollRequest::Changes(after) => {
                WaitOutcome::Answered(self.read_host_changes(after, Duration::ZERO).await)
            }
            PollRequest::LongPoll(after) => {
                let wait = feed.max_wait(StuckDetection::Local);
                feed.run_cancellable(self.read_host_changes(after, wait))
                    .await
            }
        }
    }

    /// Waits up to `wait` for changes to the list of servers after `after`.
    pub(super) async fn read_server_changes(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<Read<Batch<Backend>>, Error> {
        let read = self.platform.next_backends(after, wait).await?;
        Ok(read.map(Batch::Changes))
    }

    /// Waits up to `wait` for changes to the list of entry hosts after `after`.
    pub(super) async fn read_host_changes(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<Read<Batch<Peer>>, Error> {
        let read = self.platform.next_peers(after, wait).await?;
        Ok(read.map(Batch::Changes))
    }
}
