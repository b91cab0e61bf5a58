//! Second copies of slow reads: whichever server begins to answer first is listened to.

use std::io;
use std::mem;
use std::time::Duration;

use flamingopost_core::route::TargetRole;

use crate::attempt::Fault;
use crate::exchange::{self, End, Progress, Sent};
use crate::held::Held;
use crate::plan::Plan;
use crate::request::{self, Request};
use crate::session::Session;
use crate::treatment::Treatment;

/// A copy under way on another server.
struct Copy {
    held: Held,
    sent: Sent,
    began: Duration,
}

/// Who began to answer first.
enum First {
    Original(io::Result<()>),
    Copy(io::Result<()>),
}

impl Session {
    /// The first attempt at `request` on `held`. Where its rule allows a hedge, a copy is sent to
    /// another replica when the answer is late, and `held` becomes the connection that answered.
    pub async fn race(
        &mut self,
        held: &mut Box<Held>,
        request: &Request,
        treatment: &Treatment,
        sent: Duration,
        progress: &mut Progress,
    ) -> Result<End, Fault> {
        let Some(rule) = hedged(held, request, treatment) else {
            return self
                .attempt(held, request, treatment.deadline, progress)
                .await;
        };
        let Some(wait) = self.service.hedge_wait(rule) else {
            // Too little was learnt yet, and this is what it is learnt from.
            let end = self
                .attempt(held, request, treatment.deadline, progress)
                .await?;
            self.service.hedge_answered(self.now() - sent);
            return Ok(end);
        };
        let left = treatment.deadline.saturating_sub(sent);
        let work = self.run_hedged(held, request, treatment, wait, progress);
        match tokio::time::timeout(left, work).await {
            Ok(outcome) => outcome,
            Err(_) => Err(Fault::Late),
        }
    }

    async fn run_hedged(
        &mut self,
        held: &mut Box<Held>,
        request: &Request,
        treatment: &Treatment,
        wait: Duration,
        progress: &mut Progress,
    ) -> Result<End, Fault> {
        self.replay(held).await?;
        let began = self.now();
        let back = held.lent.back();
        let plan = Plan::new(request, back);
        let _running = self.handle.begin(back.cancel.clone());
        let mut sent = exchange::send(back, progress, plan).await?;
        match tokio::time::timeout(wait, back.fill()).await {
            Ok(filled) => {
                filled.map_err(|_| Fault::Broken)?;
                self.service.hedge_answered(self.now() - began);
                return self.receive(held, request, progress, sent).await;
            }
            // When it would have come is not known; later than expected is what counts.
            Err(_) => self.service.hedge_answered(wait * 2),
        }
        if let Some(mut copy) = self.copy(held, request, treatment, progress).await {
            let first = tokio::select! {
                filled = held.lent.back().fill() => First::Original(filled),
                filled = copy.held.lent.back().fill() => First::Copy(filled),
            };
            let copy_wins = match &first {
                First::Original(filled) => filled.is_err(),
                First::Copy(filled) => filled.is_ok(),
            };
            let server = copy.held.lent.server();
            let took = self.now().saturating_sub(copy.began);
            let answered = matches!(first, First::Copy(Ok(())));
            self.service.finished(server, answered.then_some(took));
            if copy_wins {
                mem::swap(&mut **held, &mut copy.held);
                mem::swap(&mut sent, &mut copy.sent);
            }
            // The loser's answer goes to nobody.
            match first {
                First::Original(Err(_)) | First::Copy(Err(_)) => drop(copy),
                First::Original(Ok(())) | First::Copy(Ok(())) => copy.held.finish(),
            }
        }
        self.receive(held, request, progress, sent).await
    }

    /// Sends a copy to another replica, if the budget allows it and a connection is idle there: a
    /// hedge must not wait, and must not take the place of a first attempt.
    async fn copy(
        &mut self,
        held: &Held,
        request: &Request,
        treatment: &Treatment,
        progress: &mut Progress,
    ) -> Option<Copy> {
        let found = self.seek_other(held.lent.server(), treatment)?;
        let way = self.service.way(found.server)?;
        if way.gate.waiting() > 0 || !self.service.may_hedge() {
            return None;
        }
        let lent = way.pool.lend_idle(&self.state)?;
        let mut copy = Held {
            lent,
            part: found.part,
            need: found.need,
            wrote: false,
            ack: held.ack,
            tainted: false,
        };
        self.replay(&mut copy).await.ok()?;
        let began = self.now();
        let back = copy.lent.back();
        let plan = Plan::new(request, back);
        let sent = exchange::send(back, progress, plan).await.ok()?;
        metrics::counter!("flamingopost_hedges_total").increment(1);
        self.service.started(found.server);
        Some(Copy {
            held: copy,
            sent,
            began,
        })
    }
}

/// After which wait the rule wants a copy: only of what reads, may repeat, and is answered by a
/// replica.
fn hedged(held: &Held, request: &Request, treatment: &Treatment) -> Option<Duration> {
    let rule = treatment.then.hedge?;
    let safe = request.only_reads()
        && treatment.then.repeatable
        && request.end != request::End::Flush
        && held.part == TargetRole::Replica;
    safe.then_some(rule)
}
