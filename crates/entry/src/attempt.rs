//! One attempt at a request on one connection.

use std::time::Duration;

use flamingopost_core::invariant::{self, Invariant};
use flamingopost_core::refusal::Doubt;
use flamingopost_core::session::state::Replay;

use crate::back;
use crate::exchange::{self, Break, End, Exchange, Progress, Sent};
use crate::front;
use crate::held::Held;
use crate::plan::Plan;
use crate::request::Request;
use crate::session::Session;

/// Why an attempt brought no answer.
#[derive(Debug)]
pub enum Fault {
    /// The caller is gone.
    Caller(front::Error),
    /// The connection broke, or the server's answer made no sense.
    Broken,
    /// The deadline passed.
    Late,
    /// The session's settings could not be brought to the connection; nothing else was sent.
    Settings,
}

impl From<Break> for Fault {
    fn from(fault: Break) -> Fault {
        match fault {
            Break::Front(error) => Fault::Caller(error),
            Break::Back(_) | Break::Mismatch => Fault::Broken,
        }
    }
}

impl Fault {
    /// Why the outcome of something that was sent is unknown.
    pub fn doubt(&self) -> Doubt {
        match self {
            Fault::Late => Doubt::DeadlinePassed,
            _ => Doubt::ConnectionLost,
        }
    }
}

impl Session {
    /// Sends `request` on `held` and passes the answer on, but for its end. `progress` tells how
    /// far it came, whatever the outcome.
    pub async fn attempt(
        &mut self,
        held: &mut Held,
        request: &Request,
        deadline: Duration,
        progress: &mut Progress,
    ) -> Result<End, Fault> {
        let left = deadline.saturating_sub(self.now());
        if left.is_zero() {
            return Err(Fault::Late);
        }
        let work = self.exchange(held, request, progress);
        match tokio::time::timeout(left, work).await {
            Ok(outcome) => outcome,
            Err(_) => Err(Fault::Late),
        }
    }

    async fn exchange(
        &mut self,
        held: &mut Held,
        request: &Request,
        progress: &mut Progress,
    ) -> Result<End, Fault> {
        self.replay(held).await?;
        let back = held.lent.back();
        let resting = back.pending == 0 && !back.torn();
        invariant::check(Invariant::MixedTransactions, resting, || {
            format!("a request is sent while {} answers are due", back.pending)
        });
        let plan = Plan::new(request, back);
        let _running = self.handle.begin(back.cancel.clone());
        let sent = exchange::send(back, progress, plan).await?;
        self.receive(held, request, progress, sent).await
    }

    /// Passes on the answer to what was sent on `held`.
    pub async fn receive(
        &mut self,
        held: &mut Held,
        request: &Request,
        progress: &mut Progress,
        sent: Sent,
    ) -> Result<End, Fault> {
        let hold_all = request.commits_inside();
        let back = held.lent.back();
        let mut exchange = Exchange::new(&mut self.front, back, progress, hold_all, sent);
        Ok(exchange.receive().await?)
    }

    /// Brings what the session set to the connection, before anything of the caller's is sent:
    /// a statement must not run under another session's settings.
    pub async fn replay(&mut self, held: &mut Held) -> Result<(), Fault> {
        let back = held.lent.back();
        let replays = self.state.replay(&back.carried);
        if replays.is_empty() {
            return Ok(());
        }
        let statements: Vec<String> = replays.iter().map(statement).collect();
        match back.ask(&statements.join("; ")).await {
            Ok(_) => {
                back.carried = self.state.connection_parameters();
                Ok(())
            }
            Err(back::Error::Refused { .. }) => Err(Fault::Settings),
            Err(_) => Err(Fault::Broken),
        }
    }
}

fn statement(replay: &Replay) -> String {
    match replay {
        Replay::Set { text, .. } => text.clone(),
        Replay::Reset { name } => format!("RESET {name}"),
    }
}
