//! The search for a server that may answer a request.

use std::time::Duration;

use flamingopost_core::key::ServerKey;
use flamingopost_core::refusal::Refusal;
use flamingopost_core::route::{ReadRequest, Route, TargetRole};
use flamingopost_core::session::need::Need;

use crate::answer::needs_primary;
use crate::request::Request;
use crate::session::Session;
use crate::treatment::Treatment;

/// Share of its time that a read may wait for a replica to catch up before it takes the primary.
const PATIENCE_SHARE: u32 = 4;
/// Longest wait before the servers are looked at again; views and leases wake it earlier.
const LOOK_AGAIN: Duration = Duration::from_millis(50);

/// A server that may answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Found {
    /// The server.
    pub server: ServerKey,
    /// What it is to the request.
    pub part: TargetRole,
    /// What the request asks of its data.
    pub need: Need,
}

impl Session {
    /// Finds a server, waiting while one is about to be there: a replica that catches up, or the
    /// primary of a promotion under way.
    ///
    /// # Errors
    /// No server may answer, and none will before the request's deadline.
    pub async fn seek(
        &mut self,
        request: &Request,
        treatment: &Treatment,
    ) -> Result<Found, Refusal> {
        let writes = needs_primary(request);
        let mut changes = self.context.shared.changes();
        loop {
            changes.mark_unchanged();
            let (need, route) = self.look(writes, treatment)?;
            let left = treatment.deadline.saturating_sub(self.now());
            let (wait, refusal) = match route {
                Route::Go { server, part } => return Ok(Found { server, part, need }),
                Route::Wait { wait } => (wait, None),
                Route::Refuse(refusal) => (patience(&refusal, left)?, Some(refusal)),
            };
            if wait >= left {
                return Err(refusal.unwrap_or(Refusal::DeadlineTooShort {
                    needed: wait,
                    left,
                    retry_after: wait,
                }));
            }
            // Whether a change or the time ended the wait, the answer is to look again.
            let _ = tokio::time::timeout(wait, changes.changed()).await;
        }
    }

    /// A replica other than `taken` that may answer a read, if one is there at once.
    pub fn seek_other(&mut self, taken: ServerKey, treatment: &Treatment) -> Option<Found> {
        let Session {
            service,
            writes: session,
            ..
        } = self;
        let then = &treatment.then;
        service.with_table(|table, now| {
            let age = treatment.max_age;
            let history = table.history();
            let need = session.need(then.target, then.max_age, age, history).ok()?;
            let ask = ReadRequest {
                need,
                max_wait: Duration::ZERO,
                random_bits: rand::random(),
            };
            let server = table.hedge_target(&ask, taken, now)?;
            let part = TargetRole::Replica;
            Some(Found { server, part, need })
        })
    }

    fn look(&mut self, writes: bool, treatment: &Treatment) -> Result<(Need, Route), Refusal> {
        let Session {
            service,
            writes: session,
            ..
        } = self;
        service.with_table(|table, now| {
            session.check_lost_write(table.history())?;
            if writes {
                return Ok((Need::Primary, table.write(now)));
            }
            let then = &treatment.then;
            let need = session.need(
                then.target,
                then.max_age,
                treatment.max_age,
                table.history(),
            )?;
            // Counted from the arrival: a share of what is left would never be used up.
            let allowed = treatment.deadline.saturating_sub(treatment.arrived);
            let patient = treatment.arrived + allowed / PATIENCE_SHARE;
            let ask = ReadRequest {
                need,
                max_wait: patient.saturating_sub(now),
                random_bits: rand::random(),
            };
            Ok((need, table.read(&ask, now)))
        })
    }
}

/// How long to wait before looking again after `refusal`, with `left` to go.
///
/// # Errors
/// The refusal, where waiting does not help, or would take longer than there is time: the request
/// is given up, so the caller is told now and not at its deadline.
fn patience(refusal: &Refusal, left: Duration) -> Result<Duration, Refusal> {
    let helps = matches!(
        refusal,
        Refusal::NoPrimary { .. }
            | Refusal::NoServer { .. }
            | Refusal::PositionNotReached { .. }
            | Refusal::DataTooOld { .. }
    );
    match refusal.retry_after() {
        Some(expected) if helps && expected <= left => Ok(LOOK_AGAIN),
        _ => Err(refusal.clone()),
    }
}
