//! What a host knows of its contact with another one.

use std::time::Duration;

use super::Standing;

/// The contact with one other host.
#[derive(Debug, Clone, Copy)]
pub(super) struct Contact {
    /// When the last request was sent that the host has answered.
    pub answered_at: Option<Duration>,
    /// When the last one was sent that it has answered under the present electorate.
    pub counted_at: Option<Duration>,
    /// When the last message arrived from the host, or when it was first listed.
    pub heard_at: Duration,
    /// What it has last said of itself. Hosts of earlier builds say nothing.
    pub standing: Option<Standing>,
    /// During which time its process has said that it is not caught up with the present electorate.
    pub starting: Option<Starting>,
}

/// A time during which a process was not caught up.
#[derive(Debug, Clone, Copy)]
pub(super) struct Starting {
    process: u64,
    pub since: Duration,
    pub until: Duration,
}

impl Contact {
    /// Returns the contact with a host that was listed at `now`.
    pub fn new(now: Duration) -> Contact {
        Contact {
            answered_at: None,
            counted_at: None,
            heard_at: now,
            standing: None,
            starting: None,
        }
    }

    /// Records at `now` what `process` on the host says of itself, and whether it is not caught up with
    /// the present electorate.
    pub fn record_standing(
        &mut self,
        process: u64,
        standing: Standing,
        is_starting: bool,
        now: Duration,
    ) {
        self.standing = Some(standing);
        let same = self.starting.filter(|it| it.process == process);
        self.starting = is_starting.then_some(Starting {
            process,
            since: same.map_or(now, |it| it.since),
            until: now,
        });
    }
}
