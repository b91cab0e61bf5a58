//! A request with a key: recorded in the transaction of its effect.

use std::time::Duration;

use super::sql;
use crate::invariant::{self, Invariant};
use crate::refusal::{Doubt, Ran, Refusal};

/// When to come back for a key whose other run has not ended.
const KEY_BUSY_RETRY_AFTER: Duration = Duration::from_millis(50);

/// What to send to the primary next; the statement is the caller's own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// A statement of ours, as a simple query.
    Internal(String),
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
pub enum Directive {
    /// Send this.
    Send(Step),
    /// It ran and is committed. It may be acknowledged once the write lease of its term is found
    /// valid *now*; otherwise the caller gets [`Keyed::unconfirmed`].
    Done {
        /// The command tag.
        tag: String,
    },
    /// It ran before and is committed.
    AlreadyDone {
        /// The command tag of that run.
        tag: String,
    },
    /// It failed by its own error, which the caller gets; nothing of it is kept.
    Failed,
    /// Nothing of it is kept, or the key will tell; it may be run again from the start, by this
    /// host within its retry budget or by the caller. Otherwise the caller gets the refusal.
    Retry(Refusal),
    /// The caller gets this.
    Refuse(Refusal),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    Recording,
    CreatingTable,
    Running,
    Committing { tag: String },
    RollingBack(RollbackReason),
    LookingUp,
    Ended,
}

/// Why a transaction is rolled back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RollbackReason {
    KeyRecorded,
    MissingTable,
    StatementFailed,
    InternalFailed,
}

/// Follows one attempt at a request with a key.
///
/// ```
/// use flamingopost_core::once::keyed::{Event, Keyed, Directive, Step};
///
/// let (mut keyed, first) = Keyed::start("bid-77", "9f2c");
/// assert!(matches!(first, Step::Internal(_)));
/// let tag = "INSERT 0 1".to_owned();
/// assert_eq!(keyed.handle(Event::Done { tag: tag.clone() }), Directive::Send(Step::Statement));
/// assert!(matches!(keyed.handle(Event::Done { tag: tag.clone() }), Directive::Send(Step::Internal(_))));
/// assert_eq!(keyed.handle(Event::Done { tag: "COMMIT".to_owned() }), Directive::Done { tag });
/// ```
#[derive(Debug, PartialEq, Eq)]
pub struct Keyed {
    key: String,
    request: String,
    state: State,
    table_created: bool,
    /// Whether a commit left for the server without an answer that it failed.
    commit_sent: bool,
}

impl Keyed {
    /// An attempt, and the first thing to send. `request` is a digest of the statement and its
    /// parameters: the same key with another request is refused.
    pub fn start(key: &str, request: &str) -> (Keyed, Step) {
        let keyed = Keyed {
            key: key.to_owned(),
            request: request.to_owned(),
            state: State::Recording,
            table_created: false,
            commit_sent: false,
        };
        let step = Step::Internal(sql::begin(key, request));
        (keyed, step)
    }

    /// Takes what came of the last step.
    pub fn handle(&mut self, event: Event) -> Directive {
        let state = std::mem::replace(&mut self.state, State::Ended);
        let directive = match event {
            Event::Done { tag } => self.done(state, tag),
            Event::Failed { sqlstate } => self.failed(state, &sqlstate),
            Event::Found(stored) => self.found(stored),
            Event::Broken(doubt) => self.broken(doubt),
        };
        self.check_refusal(&directive);
        directive
    }

    /// Whether the request ran, as far as this attempt can prove.
    pub fn ran(&self) -> Ran {
        if self.commit_sent {
            Ran::Unknown
        } else {
            Ran::No
        }
    }

    /// What the caller gets where the commit cannot be confirmed.
    pub fn unconfirmed(&self, doubt: Doubt) -> Refusal {
        Refusal::OutcomeUnknown { doubt }
    }

    fn done(&mut self, state: State, tag: String) -> Directive {
        match state {
            State::Recording => self.send(State::Running, Step::Statement),
            State::CreatingTable => self.restart(),
            State::Running => {
                let commit = sql::commit(&self.key, &tag);
                self.commit_sent = true;
                self.send(State::Committing { tag }, Step::Internal(commit))
            }
            State::Committing { tag: request_tag } => self.commit_answered(request_tag, &tag),
            State::RollingBack(why) => self.rolled_back(why),
            State::LookingUp | State::Ended => Directive::Refuse(self.key_busy()),
        }
    }

    /// A server answers COMMIT of a transaction that had failed with the tag ROLLBACK.
    fn commit_answered(&mut self, request_tag: String, tag: &str) -> Directive {
        if tag == "COMMIT" {
            return Directive::Done { tag: request_tag };
        }
        self.commit_sent = false;
        Directive::Retry(Refusal::TransactionLost)
    }

    fn failed(&mut self, state: State, sqlstate: &str) -> Directive {
        // The server has answered, so nothing of this transaction is committed.
        self.commit_sent = false;
        let why = match (&state, sqlstate) {
            (State::Recording, sql::UNIQUE_VIOLATION) => RollbackReason::KeyRecorded,
            (State::Recording, sql::UNDEFINED_TABLE) if !self.table_created => {
                RollbackReason::MissingTable
            }
            (State::Running | State::Committing { .. }, _) => RollbackReason::StatementFailed,
            (State::RollingBack(why), _) => return self.rolled_back(*why),
            _ => RollbackReason::InternalFailed,
        };
        let rollback = Step::Internal(sql::ROLLBACK.to_owned());
        self.send(State::RollingBack(why), rollback)
    }

    fn rolled_back(&mut self, why: RollbackReason) -> Directive {
        match why {
            RollbackReason::KeyRecorded => {
                let look_up = sql::look_up(&self.key);
                self.send(State::LookingUp, Step::Internal(look_up))
            }
            RollbackReason::MissingTable => {
                self.table_created = true;
                let create_table = sql::CREATE_TABLE.to_owned();
                self.send(State::CreatingTable, Step::Internal(create_table))
            }
            RollbackReason::StatementFailed => Directive::Failed,
            RollbackReason::InternalFailed => Directive::Retry(Refusal::TransactionLost),
        }
    }

    /// The key of another request is never taken as proof that this one ran.
    fn found(&self, stored: Option<Stored>) -> Directive {
        match stored {
            Some(stored) if stored.request == self.request => {
                Directive::AlreadyDone { tag: stored.tag }
            }
            Some(_) => Directive::Refuse(Refusal::KeyMismatch {
                key: self.key.clone(),
            }),
            None => Directive::Retry(self.key_busy()),
        }
    }

    /// Before the commit was sent, a broken connection undoes the transaction: not run. After,
    /// nothing is known; but a new attempt with the key waits at the record for the old
    /// transaction and finds out, so it is safe.
    fn broken(&self, doubt: Doubt) -> Directive {
        match self.ran() {
            Ran::No => Directive::Retry(Refusal::TransactionLost),
            _ => Directive::Retry(Refusal::OutcomeUnknown { doubt }),
        }
    }

    fn restart(&mut self) -> Directive {
        let begin = sql::begin(&self.key, &self.request);
        self.send(State::Recording, Step::Internal(begin))
    }

    fn send(&mut self, state: State, step: Step) -> Directive {
        self.state = state;
        Directive::Send(step)
    }

    fn key_busy(&self) -> Refusal {
        Refusal::KeyBusy {
            key: self.key.clone(),
            retry_after: KEY_BUSY_RETRY_AFTER,
        }
    }

    fn check_refusal(&self, directive: &Directive) {
        if let Directive::Retry(refusal) | Directive::Refuse(refusal) = directive {
            let is_true = refusal.ran() != Ran::No || !self.commit_sent;
            invariant::check(Invariant::TrueRefusal, is_true, || {
                format!(
                    "{refusal} is told after a commit was sent for key {}",
                    self.key
                )
            });
        }
    }
}
