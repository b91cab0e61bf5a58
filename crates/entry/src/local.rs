//! Requests that this host answers itself: its own session parameters, statements that only
//! concern what it tracks, and whatever follows in a transaction whose connection is gone.

use flamingopost_core::refusal::Refusal;
use flamingopost_core::session::state::{Effect, Transaction};
use flamingopost_core::session::{MAX_AGE, POSITION, TAG};
use flamingopost_core::statement::{Action, Statement};

use crate::reply;
use crate::request::{self, End, Request};
use crate::session::Session;

/// What names of this host's own parameters start with.
const OWN: &str = "flamingopost.";
/// SQLSTATE of a prepared statement that does not exist.
const NO_STATEMENT: &str = "26000";
/// SQLSTATE of a parameter that does not exist.
const NO_PARAMETER: &str = "42704";

/// Whether a request was answered here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// It was.
    Given,
    /// It needs a server.
    None,
}

/// An answer of this host.
enum Reply {
    /// Only a command tag.
    Done(&'static str),
    /// One row of one column.
    Value {
        /// Name of the column.
        name: String,
        /// The value.
        value: String,
    },
}

/// An error in place of an answer.
enum Error {
    Refused(Refusal),
    Failed {
        sqlstate: &'static str,
        text: String,
    },
}

impl From<Refusal> for Error {
    fn from(refusal: Refusal) -> Error {
        Error::Refused(refusal)
    }
}

/// Answers `request` if it needs no server.
pub fn answer(session: &mut Session, request: &Request) -> Answer {
    if session.held.is_none() && request.is_bare() {
        give(session, request, &Reply::Done(""));
        return Answer::Given;
    }
    if session.orphaned {
        answer_orphan(session, request);
        return Answer::Given;
    }
    let Some(action) = action(session, request) else {
        return Answer::None;
    };
    let runs = !request.runs.is_empty();
    match reply(session, &action, runs) {
        Ok(reply) => give(session, request, &reply),
        Err(error) => fail(session, request, &error),
    }
    Answer::Given
}

/// The action of `request` if it is one that this host takes itself.
fn action(session: &Session, request: &Request) -> Option<Action> {
    let mut statements = request.runs.iter().chain(&request.names);
    let first = statements.next()?;
    let action = first.action()?;
    // A batch that mixes own and other statements goes to a server, which knows nothing of
    // this host's parameters and says so.
    let same = |other: &Statement| other.action() == Some(action);
    (is_ours(session, action) && statements.all(same)).then(|| action.clone())
}

fn is_ours(session: &Session, action: &Action) -> bool {
    let free = session.held.is_none();
    match action {
        Action::Set { name, .. } | Action::Show { name } => name.starts_with(OWN),
        Action::Reset { name: Some(name) } => name.starts_with(OWN),
        Action::Reset { name: None } => free,
        Action::Discard { all: true } => session.state.transaction() == Transaction::Idle,
        Action::Deallocate { name: None } => free,
        Action::Deallocate { name: Some(name) } => {
            free || session.statements.find(name.as_bytes()).is_some()
        }
        _ => false,
    }
}

fn reply(session: &mut Session, action: &Action, runs: bool) -> Result<Reply, Error> {
    match action {
        Action::Show { name } => show(session, name),
        Action::Set { .. } if !runs => Ok(Reply::Done("SET")),
        Action::Set { name, value, .. } => {
            set(session, name, value.as_deref().unwrap_or_default())?;
            Ok(Reply::Done("SET"))
        }
        _ if !runs => Ok(Reply::Done("")),
        Action::Reset { name: Some(name) } => {
            set(session, name, "")?;
            Ok(Reply::Done("RESET"))
        }
        Action::Reset { name: None } => {
            session.state.apply(Effect::ResetAll);
            forget(session);
            Ok(Reply::Done("RESET"))
        }
        Action::Discard { .. } => {
            // What pins the session is discarded with the connection that carries it.
            session.held = None;
            session.state.apply(Effect::DiscardAll);
            session.statements.clear();
            forget(session);
            Ok(Reply::Done("DISCARD ALL"))
        }
        Action::Deallocate { name: None } => {
            session.statements.clear();
            Ok(Reply::Done("DEALLOCATE ALL"))
        }
        Action::Deallocate { name: Some(name) } => {
            if session.statements.remove(name.as_bytes()) {
                return Ok(Reply::Done("DEALLOCATE"));
            }
            Err(Error::Failed {
                sqlstate: NO_STATEMENT,
                text: format!("prepared statement \"{name}\" does not exist"),
            })
        }
        _ => Ok(Reply::Done("")),
    }
}

fn forget(session: &mut Session) {
    let now = session.now();
    session.writes.reset(now);
}

fn show(session: &Session, name: &str) -> Result<Reply, Error> {
    let value = match name {
        POSITION => session
            .writes
            .position()
            .map(|position| position.to_string()),
        MAX_AGE => session
            .writes
            .max_age()
            .map(|age| format!("{}ms", age.as_millis())),
        TAG => session.writes.tag().map(str::to_owned),
        _ => return Err(no_parameter(name)),
    };
    Ok(Reply::Value {
        name: name.to_owned(),
        value: value.unwrap_or_default(),
    })
}

/// Sets one of this host's parameters.
fn set(session: &mut Session, name: &str, value: &str) -> Result<(), Error> {
    match name {
        POSITION => take_position(session, value)?,
        MAX_AGE => session.writes.set_max_age(value)?,
        TAG => session.writes.set_tag(value),
        _ => return Err(no_parameter(name)),
    }
    Ok(())
}

/// Takes the position that a caller brought.
///
/// # Errors
/// A value that is no position.
pub fn take_position(session: &mut Session, value: &str) -> Result<(), Refusal> {
    let Session {
        service, writes, ..
    } = session;
    service.with_table(|table, now| writes.set_position(value, now, table.history()))
}

fn no_parameter(name: &str) -> Error {
    Error::Failed {
        sqlstate: NO_PARAMETER,
        text: format!("unrecognized configuration parameter \"{name}\""),
    }
}

/// The server has rolled the transaction back, since its connection ended; what is left is what
/// PostgreSQL does in a failed transaction.
fn answer_orphan(session: &mut Session, request: &Request) {
    let ends = |action: &Action| {
        matches!(
            action,
            Action::Rollback { chain: false } | Action::Commit { chain: false }
        )
    };
    if request.runs.is_empty() && request.is_bare() {
        return give(session, request, &Reply::Done(""));
    }
    if request.action().is_some_and(ends) {
        session.orphaned = false;
        session.state.apply(Effect::Rollback);
        session.state.set_transaction(Transaction::Idle);
        return give(session, request, &Reply::Done("ROLLBACK"));
    }
    fail(session, request, &Error::Refused(Refusal::TransactionLost));
}

fn fail(session: &mut Session, request: &Request, error: &Error) {
    match error {
        Error::Refused(refusal) => reply::refusal(&mut session.front.out, refusal),
        Error::Failed { sqlstate, text } => reply::error(&mut session.front.out, sqlstate, text),
    }
    session.end_refused(request);
}

/// Gives `reply` in the place of a server's answer.
fn give(session: &mut Session, request: &Request, reply: &Reply) {
    if request.end == End::Simple {
        describe(session, reply, false);
        execute(session, reply);
        return session.ready();
    }
    for item in &request.items {
        match item.frame.tag() {
            b'P' => reply::bare(&mut session.front.out, b'1'),
            b'B' => reply::bare(&mut session.front.out, b'2'),
            b'C' => reply::bare(&mut session.front.out, b'3'),
            b'D' => {
                let target = request::target(&item.frame);
                let statement = target.is_some_and(|(kind, _)| kind == b'S');
                if statement {
                    reply::no_parameters(&mut session.front.out);
                }
                describe(session, reply, true);
            }
            b'E' => execute(session, reply),
            b'S' => session.ready(),
            _ => {}
        }
    }
}

fn describe(session: &mut Session, reply: &Reply, asked: bool) {
    match reply {
        Reply::Value { name, .. } => reply::column(&mut session.front.out, name),
        Reply::Done(_) if asked => reply::bare(&mut session.front.out, b'n'),
        Reply::Done(_) => {}
    }
}

fn execute(session: &mut Session, reply: &Reply) {
    match reply {
        Reply::Value { value, .. } => {
            reply::row(&mut session.front.out, value);
            reply::complete(&mut session.front.out, "SHOW");
        }
        Reply::Done("") => {}
        Reply::Done(tag) => reply::complete(&mut session.front.out, tag),
    }
}
