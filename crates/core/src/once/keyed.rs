//! A request with a key: recorded in the transaction of its effect.

use std::time::Duration;

use super::sql;
use crate::invariant::{self, Invariant};
use crate::refusal::{Doubt, Ran, Refusal};

/// When to come back for a key whose other run has not ended.
const BUSY: Duration = Duration::from_millis(50);

/// What to send to the primary next; the statement is the caller's own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// A statement of ours, as a simple query.
    Ours(String),
    /// The caller's statement.
    Statement,
}

/// What came of the last step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// It succeeded with this command tag; of several statements, the last one's.
    Done {
        /// The command tag.
        tag: String,
    },
    /// It failed with this SQLSTATE.
    Failed {
        /// The SQLSTATE.
        sqlstate: String,
    },
    /// The look-up returned this row, or none.
    Found(Option<Stored>),
    /// The connection broke, or the deadline passed and it was given up.
    Broken(Doubt),
}

/// What is recorded for a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored {
    /// Digest of the request that used the key.
    pub request: String,
    /// Its command tag.
    pub tag: String,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// Send this.
    Send(Step),
    /// It ran and is committed. It may be acknowledged once the write lease of its term is found
    /// valid *now*; otherwise the caller gets [`Keyed::unconfirmed`].
    Done {
        /// The command tag.
        tag: String,
    },
    /// It ran before and is committed.
    DoneBefore {
        /// The command tag of that run.
        tag: String,
    },
    /// It failed by its own error, which the caller gets; nothing of it is kept.
    Failed,
    /// Nothing of it is kept, or the key will tell; it may be run again from the start, by this
    /// host within its retry budget or by the caller. Otherwise the caller gets the refusal.
    Again(Refusal),
    /// The caller gets this.
    Refuse(Refusal),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    Recording,
    Installing,
    Running,
    Committing { tag: String },
    Undoing(Undone),
    LookingUp,
    Ended,
}

/// Why a transaction is rolled back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Undone {
    Duplicate,
    NoTable,
    OwnError,
    OurError,
}

/// Follows one attempt at a request with a key.
///
/// ```
/// use flamingopost_core::once::keyed::{Event, Keyed, Next, Step};
///
/// let (mut keyed, first) = Keyed::start("bid-77", "9f2c");
/// assert!(matches!(first, Step::Ours(_)));
/// let tag = "INSERT 0 1".to_owned();
/// assert_eq!(keyed.on(Event::Done { tag: tag.clone() }), Next::Send(Step::Statement));
/// assert!(matches!(keyed.on(Event::Done { tag: tag.clone() }), Next::Send(Step::Ours(_))));
/// assert_eq!(keyed.on(Event::Done { tag: "COMMIT".to_owned() }), Next::Done { tag });
/// ```
#[derive(Debug, PartialEq, Eq)]
pub struct Keyed {
    key: String,
    request: String,
    state: State,
    installed: bool,
    /// Whether a commit left for the server without an answer that it failed.
    committed: bool,
}

impl Keyed {
    /// An attempt, and the first thing to send. `request` is a digest of the statement and its
    /// parameters: the same key with another request is refused.
    pub fn start(key: &str, request: &str) -> (Keyed, Step) {
        let keyed = Keyed {
            key: key.to_owned(),
            request: request.to_owned(),
            state: State::Recording,
            installed: false,
            committed: false,
        };
        let step = Step::Ours(sql::begin(key, request));
        (keyed, step)
    }

    /// Takes what came of the last step.
    pub fn on(&mut self, event: Event) -> Next {
        let state = std::mem::replace(&mut self.state, State::Ended);
        let next = match event {
            Event::Done { tag } => self.done(state, tag),
            Event::Failed { sqlstate } => self.failed(state, &sqlstate),
            Event::Found(stored) => self.found(stored),
            Event::Broken(doubt) => self.broken(doubt),
        };
        self.check(&next);
        next
    }

    /// Whether the request ran, as far as this attempt can prove.
    pub fn ran(&self) -> Ran {
        if self.committed {
            Ran::Unknown
        } else {
            Ran::No
        }
    }

    /// What the caller gets where the commit cannot be confirmed.
    pub fn unconfirmed(&self, doubt: Doubt) -> Refusal {
        Refusal::OutcomeUnknown { doubt }
    }

    fn done(&mut self, state: State, tag: String) -> Next {
        match state {
            State::Recording => self.go(State::Running, Step::Statement),
            State::Installing => self.record(),
            State::Running => {
                let commit = sql::commit(&self.key, &tag);
                self.committed = true;
                self.go(State::Committing { tag }, Step::Ours(commit))
            }
            State::Committing { tag: ours } => self.committed(ours, &tag),
            State::Undoing(why) => self.undone(why),
            State::LookingUp | State::Ended => Next::Refuse(self.busy()),
        }
    }

    /// A server answers COMMIT of a transaction that had failed with the tag ROLLBACK.
    fn committed(&mut self, ours: String, tag: &str) -> Next {
        if tag == "COMMIT" {
            return Next::Done { tag: ours };
        }
        self.committed = false;
        Next::Again(Refusal::TransactionLost)
    }

    fn failed(&mut self, state: State, sqlstate: &str) -> Next {
        // The server has answered, so nothing of this transaction is committed.
        self.committed = false;
        let why = match (&state, sqlstate) {
            (State::Recording, sql::DUPLICATE) => Undone::Duplicate,
            (State::Recording, sql::NO_TABLE) if !self.installed => Undone::NoTable,
            (State::Running | State::Committing { .. }, _) => Undone::OwnError,
            (State::Undoing(why), _) => return self.undone(*why),
            _ => Undone::OurError,
        };
        let rollback = Step::Ours(sql::ROLLBACK.to_owned());
        self.go(State::Undoing(why), rollback)
    }

    fn undone(&mut self, why: Undone) -> Next {
        match why {
            Undone::Duplicate => {
                let look_up = sql::look_up(&self.key);
                self.go(State::LookingUp, Step::Ours(look_up))
            }
            Undone::NoTable => {
                self.installed = true;
                let install = sql::INSTALL.to_owned();
                self.go(State::Installing, Step::Ours(install))
            }
            Undone::OwnError => Next::Failed,
            Undone::OurError => Next::Again(Refusal::TransactionLost),
        }
    }

    /// The key of another request is never taken as proof that this one ran.
    fn found(&self, stored: Option<Stored>) -> Next {
        match stored {
            Some(stored) if stored.request == self.request => Next::DoneBefore { tag: stored.tag },
            Some(_) => Next::Refuse(Refusal::KeyMismatch {
                key: self.key.clone(),
            }),
            None => Next::Again(self.busy()),
        }
    }

    /// Before the commit was sent, a broken connection undoes the transaction: not run. After,
    /// nothing is known; but a new attempt with the key waits at the record for the old
    /// transaction and finds out, so it is safe.
    fn broken(&self, doubt: Doubt) -> Next {
        match self.ran() {
            Ran::No => Next::Again(Refusal::TransactionLost),
            _ => Next::Again(Refusal::OutcomeUnknown { doubt }),
        }
    }

    fn record(&mut self) -> Next {
        let begin = sql::begin(&self.key, &self.request);
        self.go(State::Recording, Step::Ours(begin))
    }

    fn go(&mut self, state: State, step: Step) -> Next {
        self.state = state;
        Next::Send(step)
    }

    fn busy(&self) -> Refusal {
        Refusal::KeyBusy {
            key: self.key.clone(),
            retry_after: BUSY,
        }
    }

    fn check(&self, next: &Next) {
        if let Next::Again(refusal) | Next::Refuse(refusal) = next {
            let truthful = refusal.ran() != Ran::No || !self.committed;
            invariant::check(Invariant::TrueRefusal, truthful, || {
                format!(
                    "{refusal} is told after a commit was sent for key {}",
                    self.key
                )
            });
        }
    }
}
