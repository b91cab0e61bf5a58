//! What a statement waits for before it runs: the right to write, a slot, its cost.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rusqlite::types::Value;
use tokio::sync::OwnedSemaphorePermit;

use super::engine;
use super::error::Error;
use super::executor::Executor;
use super::registry::Handle;
use super::sql::Argument;
use super::state::Role;

impl Executor {
    /// Takes the writer's lock and opens the engine's transaction, unless that was done already.
    ///
    /// It comes before the slot: a transaction that waits for its next statement may hold the
    /// lock, and could never finish if those who wait for the lock held all slots.
    pub(crate) async fn begin_write(&mut self) -> Result<(), Error> {
        if self.shared.state().role == Role::Replica || self.transaction.read_only {
            return Err(Error::ReadOnly);
        }
        if self.transaction.is_writing() {
            return Ok(());
        }
        let timeout = self.parameters.statement_timeout();
        let lock = Arc::clone(&self.shared.writer).lock_owned();
        let writer = interruptible(&self.handle, timeout, lock).await?;
        let term = {
            let state = self.shared.state();
            match (state.role, state.term) {
                (Role::Primary, Some(term)) => term,
                _ => return Err(Error::ReadOnly),
            }
        };
        self.refresh()?;
        self.transaction
            .write(&self.engine, engine::pin(), term, writer)
    }

    pub(crate) async fn slot(&mut self) -> Result<Option<OwnedSemaphorePermit>, Error> {
        let Some(slots) = &self.shared.slots else {
            return Ok(None);
        };
        let timeout = self.parameters.statement_timeout();
        let permit = match Arc::clone(slots).try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => {
                let permit = Arc::clone(slots).acquire_owned();
                // The semaphore is never closed, so only a cancel ends the wait early.
                let permit = interruptible(&self.handle, timeout, permit).await?;
                permit.map_err(|_| Error::StartingUp)?
            }
        };
        Ok(Some(permit))
    }

    /// Lets the time pass that the statement takes.
    pub(crate) async fn spend(
        &mut self,
        sleep: Option<&Argument>,
        parameters: &[Value],
    ) -> Result<(), Error> {
        self.shared.statements.fetch_add(1, Ordering::Relaxed);
        let cost = self.shared.settings.statement_cost + self.shared.switch.slow();
        let asked = match sleep {
            Some(Argument::Text(text)) => text.parse().unwrap_or(0.0),
            Some(Argument::Bound(index)) => match parameters.get(*index) {
                Some(Value::Real(seconds)) => *seconds,
                Some(Value::Integer(seconds)) => *seconds as f64,
                _ => 0.0,
            },
            Some(Argument::Null) | None => 0.0,
        };
        let asked = Duration::try_from_secs_f64(asked).unwrap_or_default();
        let total = cost + asked;
        if !total.is_zero() {
            let timeout = self.parameters.statement_timeout();
            interruptible(&self.handle, timeout, tokio::time::sleep(total)).await?;
        }
        self.shared.switch.running().await;
        Ok(())
    }
}

/// Waits for `work`, a cancel request or the statement's timeout.
pub(crate) async fn interruptible<T>(
    handle: &Handle,
    timeout: Option<Duration>,
    work: impl Future<Output = T>,
) -> Result<T, Error> {
    let expired = async {
        match timeout {
            Some(timeout) => tokio::time::sleep(timeout).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        biased;
        () = handle.canceled() => Err(Error::Canceled),
        done = work => Ok(done),
        () = expired => Err(Error::Timeout),
    }
}
