//! Reads the floors of a shard's previous controller and persists those of the current one.

use actix::fut::ActorFutureExt as _;
use actix::{AsyncContext as _, Context, WrapFuture as _};
use flamingopost_daemon::event::Event as _;
use flamingopost_platform::error::Error;
use flamingopost_platform::table::{Change, Condition, Outcome, Row, Table as _, Tag};

use crate::budgets::Floors;
use crate::event::Event as Log;
use crate::floors;
use crate::shard::Shard;

/// State of the row of floors.
#[derive(Debug, Default)]
pub(crate) struct RowState {
    /// Tag of the row, `None` if the row does not exist or has not been read.
    tag: Option<Tag>,
    /// Whether a request is in flight.
    in_flight: bool,
}

impl Shard {
    /// Reads or writes the row if necessary. Called periodically.
    pub(crate) fn sync_floors(&mut self, ctx: &mut Context<Self>) {
        if !self.was_leading || self.floors_row.in_flight {
            return;
        }
        if !self.budgets.is_loaded() {
            self.load_floors(ctx);
        } else if let Some(floors) = self.budgets.unpersisted() {
            self.write_floors(floors, ctx);
        }
    }

    fn load_floors(&mut self, ctx: &mut Context<Self>) {
        self.floors_row.in_flight = true;
        let (shared, key) = (self.shared.clone(), floors::key(self.number));
        let epoch = self.controller.row().map(|row| row.epoch);
        let reading = async move { shared.platform().read(&key).await };
        ctx.spawn(reading.into_actor(self).map(move |result, shard, _| {
            shard.floors_row.in_flight = false;
            // If the epoch has changed since the read, another controller may have written the row.
            if shard.controller.row().map(|row| row.epoch) == epoch {
                shard.on_floors_read(result);
            }
        }));
    }

    fn on_floors_read(&mut self, result: Result<Option<Row>, Error>) {
        let now = self.shared.now();
        let Ok(row) = result else {
            return;
        };
        self.floors_row.tag = row.as_ref().map(|row| row.tag.clone());
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
        self.floors_row.in_flight = true;
        let change = Change {
            key: floors::key(self.number),
            condition: self
                .floors_row
                .tag
                .clone()
                .map_or(Condition::Absent, Condition::Tag),
            body: floors::encode(&floors, &self.shared.directory()),
        };
        let shared = self.shared.clone();
        let writing = async move { shared.platform().write(vec![change]).await };
        ctx.spawn(writing.into_actor(self).map(move |result, shard, _| {
            shard.floors_row.in_flight = false;
            shard.on_floors_written(floors, result);
        }));
    }

    fn on_floors_written(&mut self, floors: Floors, result: Result<Outcome, Error>) {
        match result {
            Ok(Outcome::Written(tags)) => {
                self.floors_row.tag = tags.into_iter().next();
                self.budgets.record_persisted(floors);
            }
            // Another controller has written the row, or the answer to an earlier write was lost.
            // The row has to be read before floors are granted on its basis.
            Ok(Outcome::Conflict) | Err(_) => self.budgets.invalidate_persisted(),
        }
    }
}
