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

/// A statement to run, and the context it needs.
#[derive(Debug, Clone, Copy)]
pub struct Job<'a> {
    /// The caller's statement.
    pub query: &'a Query,
    /// Session state of the caller.
    pub caller_state: &'a CallerState,
    /// The prepared statement to execute, with its arguments.
    pub prepared: Option<(&'a Shape, &'a [u8])>,
    /// The transaction in which it runs.
    pub frame: TransactionFrame,
    /// Position that the server's log must contain for the statement to run.
    pub min_position: Option<Position>,
    /// Time at which a primary that answers is known to have been current.
    pub confirmed_at: Duration,
}

/// The transaction in which a statement runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransactionFrame {
    /// No additional transaction.
    Bare,
    /// A separate transaction that is rolled back afterwards.
    ///
    /// A server that was replaced as primary still answers plain reads, from data that lacks what
    /// its successor has acknowledged. It refuses them inside a writable transaction.
    RolledBack,
    /// A transaction that is opened before the statement and stays open.
    Opens(Access),
}

/// Result of an attempt.
#[derive(Debug)]
pub enum RunResult {
    /// The server answered.
    Answered(Outcome),
    /// The server refused a command that precedes the statement, which was not sent.
    Refused(Code),
    /// The connection was lost before the statement was sent.
    Unsent(server_connection::Error),
    /// The statement was sent, but not answered.
    Unanswered(server_connection::Error),
}

/// Runs `job` on `connection` within the time limit `limit`.
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

/// Returns the error for a connection whose server has restarted.
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
    let trailing = usize::from(job.frame == TransactionFrame::RolledBack);
    drain_answers(connection, trailing + 1).await?;
    let outcome = connection.outcome().await?;
    if drain_answers(connection, 0).await.is_err() {
        // The caller's answer is complete, but the connection must not be reused.
        connection.broken = true;
    }
    Ok(RunResult::Answered(outcome))
}

/// Queues the commands that establish the session's state on the connection.
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

/// Opens the transaction of `job`, if any, and waits for the answer. If both were sent together and
/// the server refused to open the transaction, the statement would run outside of it.
async fn open_transaction<C: Codec>(
    connection: &mut PooledConnection<C>,
    job: &Job<'_>,
) -> Result<Option<Code>, server_connection::Error> {
    let access = match job.frame {
        TransactionFrame::Bare => return Ok(None),
        TransactionFrame::RolledBack => Access::Write,
        TransactionFrame::Opens(access) => access,
    };
    let min_position = match access {
        Access::Read => job.min_position,
        Access::Write => None,
    };
    connection.push(&Command::Begin {
        access,
        min_position,
    });
    let service = Rc::clone(connection.service());
    let sent = service.site.now();
    connection.flush().await?;
    drain_answers(connection, 1).await?;
    let outcome = connection.outcome().await?;
    // Only a primary opens a writable transaction, and opening one takes no slot. The answer
    // therefore vouches for the primary's data even if the statement is then refused because the
    // queue is full. Otherwise an overloaded primary refused the very reads that would have shown
    // this host how fresh the replicas are, and all of them continued to query the primary: 5% of
    // the requests of a day with 65 hosts, permanently, after its replicas had lagged for six
    // seconds.
    let by_primary = access == Access::Write && outcome.end.is_ok();
    let refuted = by_primary && service.is_refuted(connection.server, outcome.position, sent);
    service.record_answer(
        connection.server,
        outcome.position,
        job.confirmed_at,
        by_primary && !refuted,
    );
    if refuted {
        // The server continues to lead a term that has ended, or lacks the service's log. The
        // statement is not sent, and the connection is closed because the transaction is open on
        // it.
        connection.broken = true;
        return Ok(Some(Code::ReadOnly));
    }
    Ok(outcome.end.err().map(|error| error.code))
}

fn push_statement<C: Codec>(connection: &mut PooledConnection<C>, job: &Job<'_>) {
    let min_position = match job.frame {
        TransactionFrame::Bare => job.min_position,
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
            min_position,
        }),
        None => connection.push(&Command::Run {
            id,
            text: &job.query.text,
            min_position,
        }),
    }
}

/// Reads answers until `left` are outstanding.
///
/// # Errors
/// The connection is lost, or a command that precedes the statement failed. The connection's state
/// then differs from the recorded one.
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
