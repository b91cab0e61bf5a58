//! What an account lends to other hosts.

use std::time::Duration;

use super::Account;
use crate::limit::OPERATION_LIFETIME;

/// Shortest remaining lifetime of granted operations that are lent. Shorter ones would expire before they arrive.
const MIN_LENT_LIFETIME: Duration = Duration::from_millis(40);

/// How long operations may be used that were lent from a share. Callers wait for them, so it only
/// has to cover the way, and [`OPERATION_LIFETIME`] is the most.
const SHARE_LOAN_LIFETIME: Duration = Duration::from_millis(200);

/// What an account lends to another host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loan {
    /// These operations, which may be none.
    Lent {
        /// Number of operations.
        operations: u32,
        /// End of their lifetime.
        until: Duration,
        /// Time until there is another one, if there are fewer than needed.
        retry_after: Duration,
    },
    /// It has to wait for an answer of the grantor, until this time at the longest.
    Wait {
        /// Time at which to ask again if no answer has arrived.
        until: Duration,
    },
    /// There is neither contact with the grantor nor a share.
    Unavailable,
}

impl Account {
    /// Takes operations that another host may use: `needed` for which callers wait there, and
    /// `ahead` more if they are granted already.
    pub fn lend(
        &mut self,
        needed: u32,
        ahead: u32,
        contact: Option<Duration>,
        now: Duration,
    ) -> Loan {
        self.expire(now);
        let (mut operations, mut until) = (0, now + OPERATION_LIFETIME);
        let most = needed.saturating_add(ahead);
        let lasting = self.granted.iter_mut();
        for (count, end) in lasting.filter(|(_, end)| *end >= now + MIN_LENT_LIFETIME) {
            let taken = (*count).min(most - operations);
            if taken > 0 {
                *count -= taken;
                operations += taken;
                until = until.min(*end);
            }
        }
        self.granted.retain(|(count, _)| *count > 0);
        let mut retry_after = Duration::ZERO;
        let share_used_from = self.share_used_from(contact, now);
        if operations < needed && now < share_used_from {
            if now < self.exhausted_until {
                retry_after = self.exhausted_until - now;
            } else if operations == 0 {
                let until = share_used_from;
                return Loan::Wait { until };
            }
        } else if operations < needed && !self.has_share(now) {
            if operations == 0 {
                return Loan::Unavailable;
            }
        } else {
            while operations < needed && retry_after.is_zero() {
                match self.take_from_share(now) {
                    Ok(()) => {
                        operations += 1;
                        until = until.min(now + SHARE_LOAN_LIFETIME);
                    }
                    Err(wait) => retry_after = wait.max(Duration::from_millis(1)),
                }
            }
        }
        Loan::Lent {
            operations,
            until,
            retry_after,
        }
    }

    /// Reports whether there is neither contact with the grantor, nor a share, nor an operation
    /// that was granted before.
    pub fn is_unavailable(&self, contact: Option<Duration>, now: Duration) -> bool {
        let holds = self.granted.iter().any(|(_, until)| now < *until);
        !holds && now >= self.share_used_from(contact, now) && !self.has_share(now)
    }
}
