//! Writes that a replica must have before they are acknowledged.

use std::time::Duration;

use flamingopost_core::key::ServerKey;
use flamingopost_core::lease::Acknowledge;
use flamingopost_core::position::Position;
use flamingopost_core::refusal::{Doubt, Refusal};
use flamingopost_core::session::state::State;
use flamingopost_core::term::Term;
use futures::stream::{FuturesUnordered, StreamExt};

use crate::service::Way;
use crate::session::Session;
use crate::treatment::Treatment;

impl Session {
    /// Waits until a replica has `position`, written under `term`.
    ///
    /// # Errors
    /// None has confirmed it in time, or the lease ended meanwhile.
    pub async fn confirm(
        &mut self,
        position: Position,
        term: Term,
        treatment: &Treatment,
    ) -> Result<(), Refusal> {
        let left = treatment.deadline.saturating_sub(self.now());
        let asked = tokio::time::timeout(left, self.ask_replicas(position, left)).await;
        if asked != Ok(true) {
            return Err(Refusal::OutcomeUnknown {
                doubt: Doubt::ReplicaUnconfirmed,
            });
        }
        // The wait may have outlasted the lease that the write was judged by.
        let shared = &self.context.shared;
        match shared.acknowledge(self.service.key, term, position) {
            Acknowledge::Done => Ok(()),
            Acknowledge::Unknown => Err(Refusal::OutcomeUnknown {
                doubt: Doubt::LeaseEnded,
            }),
        }
    }

    async fn ask_replicas(&self, position: Position, left: Duration) -> bool {
        let replicas = self.service.replicas();
        let reached = |(_, _, at): &(ServerKey, Way, Option<Position>)| {
            at.is_some_and(|at| self.service.covers(at, position))
        };
        if replicas.iter().any(reached) {
            return true;
        }
        // Each asks in a task of its own and ends it: one given up halfway would have to close its
        // connection.
        let mut asked: FuturesUnordered<_> = replicas
            .into_iter()
            .map(|(_, way, _)| tokio::spawn(ask(way, position, left)))
            .collect();
        while let Some(has) = asked.next().await {
            if has.unwrap_or(false) {
                return true;
            }
        }
        false
    }
}

async fn ask(way: Way, position: Position, left: Duration) -> bool {
    let Ok(mut lent) = way.pool.lend(&State::default(), left).await else {
        return false;
    };
    let sql = format!(
        "SELECT group_wait('{position}', {})",
        left.as_millis().max(1)
    );
    match lent.back().ask(&sql).await {
        Ok(row) => {
            lent.give_back();
            row.first().and_then(Option::as_deref) == Some("t")
        }
        Err(_) => false,
    }
}
