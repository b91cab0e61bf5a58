//! What a shard's actor can be told and asked.

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

/// The configuration in force has changed.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Configure(pub Arc<Config>);

/// The platform's list or the operators' drains have changed.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Hinted(pub Arc<Hints>);

/// An entry host renews its lease.
#[derive(Message)]
#[rtype(result = "lease::Reply")]
pub struct Renew(pub lease::Renewal);

/// A controller is there, or asks for a promise.
#[derive(Message)]
#[rtype(result = "Option<Promise>")]
pub struct Asked(pub PromiseRequest);

/// A successor wants this process to give up.
#[derive(Message)]
#[rtype(result = "Released")]
pub struct GiveUp(pub Release);

/// An operator wants a planned promotion.
#[derive(Message)]
#[rtype(result = "Ordered")]
pub struct Order(pub String);

/// An operator wants to know the state; `None` where another process leads the shard.
#[derive(Message)]
#[rtype(result = "Option<status::Status>")]
pub struct Report;

/// An operator has made sure that these hosts are gone, and wants this process to take over.
#[derive(Message)]
#[rtype(result = "Claimed")]
pub struct Claim(pub BTreeSet<String>);

/// The process is about to end: a standby is to take over. Answers whether this process still
/// leads the shard.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct Retire;

/// The process is over.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Quit;

impl Handler<Configure> for Shard {
    type Result = ();

    fn handle(&mut self, message: Configure, ctx: &mut Self::Context) {
        self.configure(message.0);
        self.step(ctx);
    }
}

impl Handler<Hinted> for Shard {
    type Result = ();

    fn handle(&mut self, message: Hinted, ctx: &mut Self::Context) {
        self.take_hints(&message.0);
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

impl Handler<Quit> for Shard {
    type Result = ();

    fn handle(&mut self, _: Quit, ctx: &mut Self::Context) {
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

impl Handler<Asked> for Shard {
    type Result = MessageResult<Asked>;

    fn handle(&mut self, message: Asked, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.asked(&message.0))
    }
}

impl Handler<GiveUp> for Shard {
    type Result = MessageResult<GiveUp>;

    fn handle(&mut self, message: GiveUp, ctx: &mut Self::Context) -> Self::Result {
        let released = self.give_up(&message.0);
        self.step(ctx);
        MessageResult(released)
    }
}

impl Handler<Order> for Shard {
    type Result = MessageResult<Order>;

    fn handle(&mut self, message: Order, ctx: &mut Self::Context) -> Self::Result {
        let ordered = self.order(&message.0);
        self.step(ctx);
        MessageResult(ordered)
    }
}

impl Handler<Report> for Shard {
    type Result = MessageResult<Report>;

    fn handle(&mut self, _: Report, _: &mut Self::Context) -> Self::Result {
        MessageResult(shard_status::report(self))
    }
}
