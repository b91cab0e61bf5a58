//! Leadership of a shard: random fault schedules and minimal failure scenarios.

mod failures;
mod schedules;
mod world;
