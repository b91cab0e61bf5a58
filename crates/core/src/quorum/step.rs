//! What a host does next about the electorate.

use std::time::Duration;

use super::{
    Group, HEARTBEAT_INTERVAL, LEASE_DURATION, Quorum, RENEWAL_INTERVAL, RENEWAL_LIFETIME,
    UNANIMOUS_LIFETIME,
};

/// Delay between the turns of two hosts to renew or change an electorate.
const RENEWAL_TURN: Duration = Duration::from_secs(2);

/// Part of a lifetime that is waited for besides, for clocks that run at different speeds: one in this
/// many.
const LIFETIME_MARGIN: u32 = 16;

/// What a host does next about the electorate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Nothing.
    Wait,
    /// Record in the store that the electorate is in force.
    Renew,
    /// Record the next electorate in the store, with the consent of the one in force.
    Change,
    /// Record a new electorate in the store in place of one that cannot consent any more.
    Replace(Evidence),
}

/// What shows that an electorate is not in force any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum Evidence {
    /// most electors have started again and know nothing of what they have confirmed
    Forgotten,
    /// the store has not been told for longer than a lease may last without it that the electorate is in force
    Unrenewed,
}

/// What a host knows of the next electorate and of the store's record of the present one.
#[derive(Debug, Clone, Copy, Default)]
pub struct Prospect {
    /// Number of hosts whose turn comes first.
    pub rank: u32,
    /// Whether other hosts than the present electors should decide, and most of them are heard.
    pub is_change_due: bool,
    /// Since when this host has known that the store has the record that it still has.
    pub unchanged_since: Option<Duration>,
    /// Whether the store may lack the newest electorate, since it was restored from a copy.
    pub may_be_copied: bool,
}

impl Quorum {
    /// Decides what to do next about the electorate.
    pub fn next_step(&self, prospect: &Prospect, now: Duration) -> Step {
        let Some(adopted) = &self.adopted else {
            return Step::Wait;
        };
        let turn = RENEWAL_TURN * prospect.rank;
        let is_elector = self.is_elector();
        if self.holds_lease(now) && !is_elector {
            return Step::Wait;
        }
        if self.caught_up && self.holds_lease(now) {
            let is_due = prospect.is_change_due && now >= adopted.at + HEARTBEAT_INTERVAL + turn;
            let renewed_at = self.renewed_at.unwrap_or_default();
            return match is_due && self.is_settled_by_most() {
                true => Step::Change,
                false if now >= renewed_at + RENEWAL_INTERVAL + turn => Step::Renew,
                false => Step::Wait,
            };
        }
        if !self.caught_up && self.is_forgotten(now) {
            return Step::Replace(Evidence::Forgotten);
        }
        // A renewal takes effect only if the record is still that of this electorate.
        let is_unrenewed = self.caught_up && is_elector && self.is_answered(now);
        if is_unrenewed && !prospect.may_be_copied && now >= adopted.at + HEARTBEAT_INTERVAL + turn
        {
            return Step::Renew;
        }
        // An electorate that the store lacks may have left this host out.
        let lifetime = match is_elector && !prospect.may_be_copied {
            true => RENEWAL_LIFETIME,
            false => UNANIMOUS_LIFETIME,
        };
        // A host that forms an electorate extends no lease for as long as one lasts before.
        let lifetime = lifetime + lifetime / LIFETIME_MARGIN - LEASE_DURATION;
        match prospect.unchanged_since {
            Some(since) if now >= since + lifetime => Step::Replace(Evidence::Unrenewed),
            _ => Step::Wait,
        }
    }

    /// Reports whether a majority knows all changes that were confirmed under earlier electorates.
    ///
    /// The next electorate but one may share no host with an earlier one, so each has to pass on what
    /// the one before has confirmed.
    fn is_settled_by_most(&self) -> bool {
        let number = self.number();
        let is_settled = |host| {
            let standing = self.others.get(&host).and_then(|it| it.standing);
            match standing {
                Some(standing) => Some(standing.number) == number && standing.is_settled,
                None => self.counted_at(host).is_some(),
            }
        };
        let mut groups = self.adopted.iter().flat_map(|it| &it.groups);
        groups.all(|it| it.is_majority(it.count(self.is_settled(), is_settled)))
    }

    /// Reports whether there was a moment at which a majority had just started and was not caught up. No
    /// lease was extended since, and none of these processes can catch up any more.
    fn is_forgotten(&self, now: Duration) -> bool {
        let starting = |host| self.others.get(&host).and_then(|it| it.starting);
        let is_forgotten = |group: &Group, at: Duration| {
            let was_starting =
                |host| starting(host).is_some_and(|it| it.since <= at && at <= it.until);
            group.is_majority(group.count(!self.caught_up, was_starting))
        };
        let begins = self.others.values().filter_map(|it| it.starting);
        let moments = begins.map(|it| it.since).chain([now]);
        let groups = || self.adopted.iter().flat_map(|it| &it.groups);
        let mut moments = moments.flat_map(|at| groups().map(move |group| (group, at)));
        moments.any(|(group, at)| is_forgotten(group, at))
    }
}
