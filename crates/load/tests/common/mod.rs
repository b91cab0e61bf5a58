//! Small histories, made by hand.

use flamingopost_load::class::Kind;
use flamingopost_load::history::{Attempt, Entry, Final, History, Loss, Operation, Seen};
use flamingopost_load::outcome::Outcome;

const MILLI: i64 = 1000;

/// An operation of session `session` from `start` to `end`, in ms, with one attempt.
pub fn operation(session: u32, sequence: i64, kind: Kind, start: i64, end: i64) -> Operation {
    let key = format!("r-{session}-{sequence}");
    let token = format!("{key}.0");
    Operation {
        session,
        sequence,
        service: "ledger".to_owned(),
        class: format!("{kind:?}"),
        kind,
        key,
        intended_us: start * MILLI,
        start_us: start * MILLI,
        end_us: end * MILLI,
        deadline_us: 100 * MILLI,
        attempts: vec![Attempt {
            target: 0,
            start_us: start * MILLI,
            end_us: end * MILLI,
            token: token.clone(),
            outcome: Outcome::Done,
            state: None,
            position: None,
            seen: Seen {
                token: (!kind.writes()).then_some(token),
                ..Seen::default()
            },
        }],
        sees: None,
        register: None,
        value: None,
    }
}

/// Changes of an operation, for short tests; each test file uses some.
#[allow(dead_code)]
pub trait Change {
    /// Its attempt ends with `outcome` and SQLSTATE `state`.
    fn refused(self, outcome: Outcome, state: &str) -> Operation;
    /// Its attempt leaves the session at `position`.
    fn at(self, position: &str) -> Operation;
    /// Its answer shows `seen`, and the right token.
    fn saw(self, seen: Seen) -> Operation;
    /// It touches register 1; a write writes `value`, a read reads it.
    fn register(self, value: i64) -> Operation;
}

impl Change for Operation {
    fn refused(mut self, outcome: Outcome, state: &str) -> Operation {
        self.attempts[0].outcome = outcome;
        self.attempts[0].state = Some(state.to_owned());
        self.attempts[0].seen = Seen::default();
        self
    }

    fn at(mut self, position: &str) -> Operation {
        self.attempts[0].position = Some(position.to_owned());
        self
    }

    fn saw(mut self, seen: Seen) -> Operation {
        let token = self.attempts[0].seen.token.take();
        self.attempts[0].seen = Seen { token, ..seen };
        self
    }

    fn register(mut self, value: i64) -> Operation {
        self.register = Some(1);
        if self.kind.writes() {
            self.value = Some(value);
        } else {
            self.attempts[0].seen.value = Some(value);
        }
        self
    }
}

/// A history of `operations` that left the keys `finals` in final table 0.
pub fn history(operations: Vec<Operation>, finals: &[(&str, u64)]) -> History {
    let finals = finals.iter().map(|(key, count)| Final {
        list: 0,
        key: (*key).to_owned(),
        count: *count,
    });
    History {
        operations,
        finals: Some(finals.collect()),
        losses: Vec::new(),
    }
}

/// A report that term `ended_by` began at `start`, without what was written up to `acknowledged`.
#[allow(dead_code)]
pub fn loss(ended_by: &str, start: u64, acknowledged: &str) -> Entry {
    Entry::Loss(Loss {
        service: "ledger".to_owned(),
        ended_by: ended_by.to_owned(),
        start,
        acknowledged: acknowledged.to_owned(),
    })
}
