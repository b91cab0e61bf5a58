//! Leadership of a shard: random schedules, and failures in their shortest form.

mod failures;
mod schedules;
mod world;
