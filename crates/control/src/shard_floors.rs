//! How a shard's controller reads its predecessor's floors and keeps its own.

use actix::fut::ActorFutureExt as _;
use actix::{AsyncContext as _, Context, WrapFuture as _};
use flamingopost_daemon::event::Event as _;
use flamingopost_platform::error::Error;
use flamingopost_platform::table::{Change, Condition, Outcome, Row, Table as _, Tag};

use crate::budgets::Floors;
use crate::event::Event as Log;
use crate::floors;
use crate::shard::Shard;

/// What is known of the row and whether a request is under way.
#[derive(Debug, Default)]
pub(crate) struct Keeper {
    /// Tag of the row; absent where there is none, or none is known.
    tag: Option<Tag>,
    busy: bool,
}

impl Shard {
    /// Reads or writes the row where that is due; called now and then.
    pub(crate) fn keep_floors(&mut self, ctx: &mut Context<Self>) {
        if !self.led || self.keeper.busy {
            return;
        }
        if !self.budgets.is_loaded() {
            self.load_floors(ctx);
        } else if let Some(floors) = self.budgets.unkept() {
            self.write_floors(floors, ctx);
        }
    }

    fn load_floors(&mut self, ctx: &mut Context<Self>) {
        self.keeper.busy = true;
        let (shared, key) = (self.shared.clone(), floors::key(self.number));
        let epoch = self.controller.row().map(|row| row.epoch);
        let reading = async move { shared.platform().read(&key).await };
        ctx.spawn(reading.into_actor(self).map(move |result, shard, _| {
            shard.keeper.busy = false;
            // Read for an authority that has ended meanwhile: another may have written since.
            if shard.controller.row().map(|row| row.epoch) == epoch {
                shard.take_floors(result);
            }
        }));
    }

    fn take_floors(&mut self, result: Result<Option<Row>, Error>) {
        let now = self.shared.now();
        let Ok(row) = result else {
            return;
        };
        self.keeper.tag = row.as_ref().map(|row| row.tag.clone());
        let Some(row) = row else {
            return self.budgets.load(Floors::new(), now);
        };
        let decoded = self
            .shared
            .intern(|directory| floors::decode(&row.body, directory));
        match decoded {
            Ok(floors) => self.budgets.load(floors, now),
            Err(error) => {
                let error = error.to_string();
                Log::BadRow { error }.log();
            }
        }
    }

    fn write_floors(&mut self, floors: Floors, ctx: &mut Context<Self>) {
        self.keeper.busy = true;
        let change = Change {
            key: floors::key(self.number),
            condition: self
                .keeper
                .tag
                .clone()
                .map_or(Condition::Absent, Condition::Tag),
            body: floors::encode(&floors, &self.shared.directory()),
        };
        let shared = self.shared.clone();
        let writing = async move { shared.platform().write(vec![change]).await };
        ctx.spawn(writing.into_actor(self).map(move |result, shard, _| {
            shard.keeper.busy = false;
            shard.take_kept(floors, result);
        }));
    }

    fn take_kept(&mut self, floors: Floors, result: Result<Outcome, Error>) {
        match result {
            Ok(Outcome::Written(tags)) => {
                self.keeper.tag = tags.into_iter().next();
                self.budgets.keep(floors);
            }
            // Another controller has written, or the answer to an earlier write was lost: what
            // the table holds has to be read before anything is promised on it.
            Ok(Outcome::Conflict) | Err(_) => self.budgets.doubt(),
        }
    }
}
