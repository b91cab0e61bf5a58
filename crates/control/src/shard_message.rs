//! Messages that a shard's actor handles.

use std::collections::BTreeSet;
use std::sync::Arc;

use actix::{ActorContext as _, Handler, Message, MessageResult};
use flamingopost_wire::authority::{Promise, PromiseRequest, Release, Released};
use flamingopost_wire::lease;
use flamingopost_wire::status::{self, Claimed, Ordered};

use crate::config::Config;
use crate::hints::Hints;
use crate::shard::Shard;
use crate::shard_status;

/// Puts a new configuration in force.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Configure(pub Arc<Config>);

/// Updates the platform's host list and the operators' drains.
#[derive(Message)]
#[rtype(result = "()")]
pub struct UpdateHints(pub Arc<Hints>);

/// Renews the lease of an entry host.
#[derive(Message)]
#[rtype(result = "lease::Reply")]
pub struct Renew(pub lease::Renewal);

/// Delivers a heartbeat of the shard's controller, which may request a promise. Returns `None` if
/// the heartbeat's row cannot be decoded.
#[derive(Message)]
#[rtype(result = "Option<Promise>")]
pub struct Heartbeat(pub PromiseRequest);

/// Releases the shard to a successor that requests it.
#[derive(Message)]
#[rtype(result = "Released")]
pub struct ReleaseShard(pub Release);

/// Starts a planned promotion of the named service for an operator.
#[derive(Message)]
#[rtype(result = "Ordered")]
pub struct SwitchOver(pub String);

/// Returns the shard's state for operators, or `None` if another process leads the shard.
#[derive(Message)]
#[rtype(result = "Option<status::Status>")]
pub struct GetStatus;

/// Claims the shard for this process. The operator confirms that the listed hosts are gone.
#[derive(Message)]
#[rtype(result = "Claimed")]
pub struct Claim(pub BTreeSet<String>);

/// Lets a standby take over the shard before the process stops. Returns whether this process still
/// leads the shard.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct Retire;

/// Stops the actor at the end of the process.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Shutdown;

impl Handler<Configure> for Shard {
    type Result = ();

    fn handle(&mut self, message: Configure, ctx: &mut Self::Context) {
        self.configure(message.0);
        self.step(ctx);
    }
}

impl Handler<UpdateHints> for Shard {
    type Result = ();

    fn handle(&mut self, message: UpdateHints, ctx: &mut Self::Context) {
        self.apply_hints(&message.0);
        self.step(ctx);
    }
}

impl Handler<Claim> for Shard {
    type Result = MessageResult<Claim>;

    fn handle(&mut self, message: Claim, ctx: &mut Self::Context) -> Self::Result {
        let claimed = self.claim(&message.0);
        self.step(ctx);
        MessageResult(claimed)
    }
}

impl Handler<Retire> for Shard {
    type Result = bool;

    fn handle(&mut self, _: Retire, _: &mut Self::Context) -> Self::Result {
        self.retiring = true;
        self.controller.view().is_some()
    }
}

impl Handler<Shutdown> for Shard {
    type Result = ();

    fn handle(&mut self, _: Shutdown, ctx: &mut Self::Context) {
        ctx.stop();
    }
}

impl Handler<Renew> for Shard {
    type Result = MessageResult<Renew>;

    fn handle(&mut self, message: Renew, ctx: &mut Self::Context) -> Self::Result {
        let reports_failures = message.0.reports.values().any(|report| report.failures > 0);
        let reply = self.renew(message.0);
        if reports_failures {
            self.step(ctx);
        }
        MessageResult(reply)
    }
}

impl Handler<Heartbeat> for Shard {
    type Result = MessageResult<Heartbeat>;

    fn handle(&mut self, message: Heartbeat, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.on_heartbeat(&message.0))
    }
}

impl Handler<ReleaseShard> for Shard {
    type Result = MessageResult<ReleaseShard>;

    fn handle(&mut self, message: ReleaseShard, ctx: &mut Self::Context) -> Self::Result {
        let released = self.on_release(&message.0);
        self.step(ctx);
        MessageResult(released)
    }
}

impl Handler<SwitchOver> for Shard {
    type Result = MessageResult<SwitchOver>;

    fn handle(&mut self, message: SwitchOver, ctx: &mut Self::Context) -> Self::Result {
        let ordered = self.switch_over(&message.0);
        self.step(ctx);
        MessageResult(ordered)
    }
}

impl Handler<GetStatus> for Shard {
    type Result = MessageResult<GetStatus>;

    fn handle(&mut self, _: GetStatus, _: &mut Self::Context) -> Self::Result {
        MessageResult(shard_status::report(self))
    }
}
