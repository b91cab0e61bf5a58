//! One attempt to run a statement on a connection.

use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::position::Position;
use tokio::time::timeout;

use crate::caller_state::{CallerState, Step};
use crate::codec::Codec;
use crate::message::{Access, Code, Command, Query, Shape};
use crate::server_connection::{self, Outcome};
use crate::service::PooledConnection;

/// What is run.
#[derive(Debug, Clone, Copy)]
pub struct Job<'a> {
    /// The caller's statement.
    pub query: &'a Query,
    /// What the caller's session carries.
    pub caller_state: &'a CallerState,
    /// The prepared statement that it uses, with its arguments.
    pub prepared: Option<(&'a Shape, &'a [u8])>,
    /// What goes around it.
    pub frame: TransactionFrame,
    /// What the server's log must contain for it to run.
    pub after: Option<Position>,
    /// Up to when what a primary shows by it is known to be current.
    pub confirmed_at: Duration,
}

/// What goes around a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransactionFrame {
    /// Nothing.
    Bare,
    /// A transaction of its own that is rolled back.
    ///
    /// A server that was replaced as primary still answers plain reads, from data that lack what
    /// its successor has acknowledged. Inside a transaction it refuses.
    RolledBack,
    /// A transaction is opened before it and stays open.
    Opens(Access),
}

/// How an attempt ended.
#[derive(Debug)]
pub enum RunResult {
    /// The server answered.
    Answered(Outcome),
    /// The server refused what goes before the statement; the statement was not sent.
    Refused(Code),
    /// The connection was lost before the statement was sent.
    Unsent(server_connection::Error),
    /// The statement was sent and there is no answer.
    Unanswered(server_connection::Error),
}

/// Runs `job` on `lent` within `limit`.
pub async fn run<C: Codec>(
    connection: &mut PooledConnection<C>,
    job: &Job<'_>,
    limit: Duration,
) -> RunResult {
    let restart_signal = connection.restart_signal();
    if restart_signal.is_raised() {
        return RunResult::Unsent(restarted_error());
    }
    let mut sent = false;
    let _pending_answer = connection.track_answer();
    let ran = tokio::select! {
        biased;
        ran = timeout(limit, exchange(connection, job, &mut sent)) => ran,
        () = restart_signal.raised() => Ok(Err(restarted_error())),
    };
    match ran {
        Ok(Ok(ran)) => ran,
        Ok(Err(error)) if sent => RunResult::Unanswered(error),
        Ok(Err(error)) => RunResult::Unsent(error),
        Err(_) => {
            let error = server_connection::Error::Io(std::io::ErrorKind::TimedOut.into());
            match sent {
                true => RunResult::Unanswered(error),
                false => RunResult::Unsent(error),
            }
        }
    }
}

/// The start of the server that a connection leads to is over.
fn restarted_error() -> server_connection::Error {
    server_connection::Error::Io(std::io::ErrorKind::ConnectionAborted.into())
}

async fn exchange<C: Codec>(
    connection: &mut PooledConnection<C>,
    job: &Job<'_>,
    sent: &mut bool,
) -> Result<RunResult, server_connection::Error> {
    prepare_connection(connection, job);
    if let Some(code) = open_transaction(connection, job).await? {
        return Ok(RunResult::Refused(code));
    }
    push_statement(connection, job);
    if job.frame == TransactionFrame::RolledBack {
        connection.push(&Command::Rollback);
    }
    *sent = true;
    connection.flush().await?;
    let after = usize::from(job.frame == TransactionFrame::RolledBack);
    drain_answers(connection, after + 1).await?;
    let outcome = connection.outcome().await?;
    if drain_answers(connection, 0).await.is_err() {
        // The caller's answer is complete; only the connection is not to be used again.
        connection.broken = true;
    }
    Ok(RunResult::Answered(outcome))
}

/// Queues what makes the connection fit for the session.
fn prepare_connection<C: Codec>(connection: &mut PooledConnection<C>, job: &Job<'_>) {
    let shape = job.prepared.map(|(shape, _)| shape);
    for step in connection.connection_state.steps(job.caller_state, shape) {
        match &step {
            Step::Discard => connection.push(&Command::Discard),
            Step::Set(name, value) => connection.push(&Command::Set { name, value }),
            Step::Prepare(name, shape) => connection.push(&Command::Prepare { name, shape }),
        }
    }
}

/// Opens the transaction of `job`, if it has one, and waits for the answer: sent together with
/// the statement, a refused opening would leave the statement to run outside of it.
async fn open_transaction<C: Codec>(
    connection: &mut PooledConnection<C>,
    job: &Job<'_>,
) -> Result<Option<Code>, server_connection::Error> {
    let access = match job.frame {
        TransactionFrame::Bare => return Ok(None),
        TransactionFrame::RolledBack => Access::Write,
        TransactionFrame::Opens(access) => access,
    };
    let after = match access {
        Access::Read => job.after,
        Access::Write => None,
    };
    connection.push(&Command::Begin { access, after });
    let service = Rc::clone(connection.service());
    let sent = service.site.now();
    connection.flush().await?;
    drain_answers(connection, 1).await?;
    let outcome = connection.outcome().await?;
    // Only a primary opens a transaction that may write, and it takes no slot for that: its
    // answer vouches for its data also where the statement is then refused for a full queue.
    // Without it a crowded primary refused the very reads that would have shown this host how
    // fresh the replicas are, and all of them went on asking the primary: 5% of the requests of
    // a day with 65 hosts, for good, after its replicas had been behind for six seconds.
    let by_primary = access == Access::Write && outcome.end.is_ok();
    let refuted = by_primary && service.is_refuted(connection.server, outcome.position, sent);
    service.record_answer(
        connection.server,
        outcome.position,
        job.confirmed_at,
        by_primary && !refuted,
    );
    if refuted {
        // It goes on leading a term that is over, or without its log. The statement is not sent
        // there, and the connection is closed, since the transaction is open on it.
        connection.broken = true;
        return Ok(Some(Code::ReadOnly));
    }
    Ok(outcome.end.err().map(|error| error.code))
}

fn push_statement<C: Codec>(connection: &mut PooledConnection<C>, job: &Job<'_>) {
    let after = match job.frame {
        TransactionFrame::Bare => job.after,
        TransactionFrame::RolledBack | TransactionFrame::Opens(_) => None,
    };
    let id = &job.query.id;
    let named = job.prepared.and_then(|(shape, arguments)| {
        let name = connection.connection_state.name(shape)?;
        Some((name, arguments))
    });
    match named {
        Some((name, arguments)) => connection.push(&Command::Execute {
            id,
            name: &name,
            arguments,
            after,
        }),
        None => connection.push(&Command::Run {
            id,
            text: &job.query.text,
            after,
        }),
    }
}

/// Reads answers until `left` are outstanding. What went before the statement cannot fail
/// without the connection being out of step with what it is thought to carry.
async fn drain_answers<C: Codec>(
    connection: &mut PooledConnection<C>,
    left: usize,
) -> Result<(), server_connection::Error> {
    while connection.pending() > left {
        let outcome = connection.outcome().await?;
        if let Err(error) = outcome.end {
            return Err(server_connection::Error::Refused(error.code));
        }
    }
    Ok(())
}
