//! Retry budget: how many extra attempts a host may make.

/// Retries as a fraction of requests.
const RETRY_SHARE: f64 = 0.1;
/// Hedged requests as a fraction of requests.
const HEDGE_SHARE: f64 = 0.05;
/// Greatest number of tokens in a budget. It keeps the burst after a quiet time small.
const MAX_TOKENS: f64 = 10.0;

/// A token bucket that first attempts fill and extra attempts drain.
///
/// Extra attempts stay a fixed fraction of the requests, so a fault that fails every request adds
/// only that fraction to the load. Without a budget, retries multiply the load when the servers
/// have the least capacity to spare.
///
/// ```
/// use flamingopost_core::retry::budget::Budget;
///
/// let mut budget = Budget::retries();
/// let granted = (0..100).filter(|_| budget.take()).count();
/// assert_eq!(granted, 10);
/// budget.record_request();
/// assert!(!budget.take());
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct Budget {
    share: f64,
    tokens: f64,
}

impl Budget {
    /// Returns a full budget for retries.
    pub fn retries() -> Budget {
        Budget::of(RETRY_SHARE)
    }

    /// Returns a full budget for hedged requests.
    pub fn hedges() -> Budget {
        Budget::of(HEDGE_SHARE)
    }

    /// Records a first attempt, which adds a fraction of a token.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + self.share).min(MAX_TOKENS);
    }

    /// Returns whether the budget allows no extra attempt now.
    pub fn is_exhausted(&self) -> bool {
        self.tokens < 1.0 - 1e-9
    }

    /// Takes a token for one extra attempt. Returns `false` if the attempt must not be made.
    #[must_use]
    pub fn take(&mut self) -> bool {
        // Ten additions of a tenth sum up to slightly less than one.
        let enough = self.tokens > 1.0 - 1e-9;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }

    fn of(share: f64) -> Budget {
        Budget {
            share,
            tokens: MAX_TOKENS,
        }
    }
}
