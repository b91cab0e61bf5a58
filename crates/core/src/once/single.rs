//! A request without a key that must not repeat: sent once.

use crate::invariant::{self, Invariant};
use crate::refusal::{Doubt, Ran, Refusal};

/// Follows one request through its only attempt.
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
    /// The request is about to be handed to the socket. From here on it counts as sent, however
    /// little of it the kernel takes: what left cannot be told.
    pub fn mark_sent(&mut self) {
        invariant::check(Invariant::AtMostOnce, self.state == State::Unsent, || {
            format!(
                "a request that must not repeat is sent again after {:?}",
                self.state
            )
        });
        self.state = State::Sent;
    }

    /// The server answered: with `failed`, by an ErrorResponse, which says that the statement
    /// and with it its own transaction was rolled back.
    pub fn record_outcome(&mut self, failed: bool) {
        self.state = State::Answered(if failed { Ran::No } else { Ran::Yes });
    }

    /// Whether it ran, as far as this host can prove.
    pub fn ran(&self) -> Ran {
        match self.state {
            State::Unsent => Ran::No,
            State::Sent => Ran::Unknown,
            State::Answered(ran) => ran,
        }
    }

    /// What to tell the caller when no answer can be waited for: nothing where it was never
    /// sent, so that the true reason "not run" is given by whoever knows it.
    pub fn unknown_outcome(&self, doubt: Doubt) -> Option<Refusal> {
        (self.ran() != Ran::No).then_some(Refusal::OutcomeUnknown { doubt })
    }

    /// `refusal` as it may be told: asserts that one which says "not run" is true.
    pub fn check_refusal(&self, refusal: Refusal) -> Refusal {
        let is_true = refusal.ran() != Ran::No || self.ran() == Ran::No;
        invariant::check(Invariant::TrueRefusal, is_true, || {
            format!("{refusal} is told of a request in {:?}", self.state)
        });
        refusal
    }
}
