//! A request without a key that must not be repeated and is sent only once.

use crate::invariant::{self, Invariant};
use crate::refusal::{Doubt, Ran, Refusal};

/// State of the only attempt at a request.
///
/// ```
/// use flamingopost_core::once::single::Single;
/// use flamingopost_core::refusal::{Doubt, Ran};
///
/// let mut single = Single::default();
/// assert_eq!(single.ran(), Ran::No);
/// single.mark_sent();
/// assert_eq!(single.ran(), Ran::Unknown);
/// assert_eq!(single.unknown_outcome(Doubt::ConnectionLost).unwrap().sqlstate(), "PF101");
/// ```
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Single {
    state: State,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum State {
    #[default]
    Unsent,
    Sent,
    Answered(Ran),
}

impl Single {
    /// Records that the request is about to be written to the socket. From now on it counts as
    /// sent, even if the kernel accepts only a part: how much of it reached the server is unknown.
    pub fn mark_sent(&mut self) {
        invariant::check(Invariant::AtMostOnce, self.state == State::Unsent, || {
            format!(
                "a request that must not be repeated is sent again after {:?}",
                self.state
            )
        });
        self.state = State::Sent;
    }

    /// Records the answer of the server. `failed` stands for an ErrorResponse: the statement, and
    /// its implicit transaction with it, was rolled back.
    pub fn record_outcome(&mut self, failed: bool) {
        self.state = State::Answered(if failed { Ran::No } else { Ran::Yes });
    }

    /// Returns whether the request ran, as far as this host can prove.
    pub fn ran(&self) -> Ran {
        match self.state {
            State::Unsent => Ran::No,
            State::Sent => Ran::Unknown,
            State::Answered(ran) => ran,
        }
    }

    /// Returns the refusal for a request whose answer is no longer awaited.
    ///
    /// Returns `None` if the request was never sent or is known to have failed: the code that knows
    /// why it did not run then reports that reason.
    pub fn unknown_outcome(&self, doubt: Doubt) -> Option<Refusal> {
        (self.ran() != Ran::No).then_some(Refusal::OutcomeUnknown { doubt })
    }

    /// Returns `refusal`, after checking the invariant that a refusal that says "not run" is true.
    pub fn check_refusal(&self, refusal: Refusal) -> Refusal {
        let is_true = refusal.ran() != Ran::No || self.ran() == Ran::No;
        invariant::check(Invariant::TrueRefusal, is_true, || {
            format!("{refusal} is reported for a request in {:?}", self.state)
        });
        refusal
    }
}
