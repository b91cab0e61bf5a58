//! How many extra attempts a host may make.

/// Retries as a share of requests.
const RETRY_SHARE: f64 = 0.1;
/// Hedges as a share of requests.
const HEDGE_SHARE: f64 = 0.05;
/// Most tokens that are saved up: a burst after a quiet time stays small.
const MAX_TOKENS: f64 = 10.0;

/// A token bucket that first attempts fill and extra attempts empty. Extra attempts stay a fixed
/// share of the requests, so a fault that fails everything adds that share to the load and no
/// more; without it, retries multiply the load just when there is least to spare.
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
    /// A budget of retries.
    pub fn retries() -> Budget {
        Budget::of(RETRY_SHARE)
    }

    /// A budget of hedges.
    pub fn hedges() -> Budget {
        Budget::of(HEDGE_SHARE)
    }

    /// A first attempt is made.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + self.share).min(MAX_TOKENS);
    }

    /// Whether no extra attempt can be paid for now.
    pub fn is_exhausted(&self) -> bool {
        self.tokens < 1.0 - 1e-9
    }

    /// Pays for one extra attempt. `false`: it must not be made.
    #[must_use]
    pub fn take(&mut self) -> bool {
        // Ten fills of a tenth add up to slightly less than one.
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
