//! Counts and bounds what this process asks of the platform.
//!
//! The platform's services carry a few hundred writes and two thousand reads a second for the
//! whole fleet. A fault that makes many processes try again at once must not use that up: each
//! process waits its turn by a token bucket.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use flamingopost_core::clock::Clock;
use flamingopost_platform::error::Error;
use flamingopost_platform::hosts::{self, Host};
use flamingopost_platform::object;
use flamingopost_platform::table::{self, Change, Outcome, Row};

/// Requests a second that one process makes at most, once its burst is used up.
const READS_PER_SECOND: f64 = 10.0;
const WRITES_PER_SECOND: f64 = 5.0;
/// Requests that may follow each other at once.
const BURST_REQUESTS: f64 = 20.0;

const COUNTER: &str = "flamingopost_platform_requests_total";

/// Everything that the platform gives, behind one bound.
#[derive(Clone)]
pub struct Platform {
    table: Arc<dyn table::Table>,
    store: Arc<dyn object::Store>,
    list: Arc<dyn hosts::List>,
    reads: Arc<Bucket>,
    writes: Arc<Bucket>,
}

impl Platform {
    /// Bounds the use of `client` by the time of `clock`.
    pub fn new<C>(client: C, clock: Arc<dyn Clock>) -> Platform
    where
        C: table::Table + object::Store + hosts::List + 'static,
    {
        let client = Arc::new(client);
        Platform {
            table: client.clone(),
            store: client.clone(),
            list: client,
            reads: Arc::new(Bucket::new(READS_PER_SECOND, clock.clone())),
            writes: Arc::new(Bucket::new(WRITES_PER_SECOND, clock)),
        }
    }
}

#[async_trait]
impl table::Table for Platform {
    async fn read(&self, key: &str) -> Result<Option<Row>, Error> {
        self.reads.take().await;
        count("table", "read", self.table.read(key).await)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Row>, Error> {
        self.reads.take().await;
        count("table", "read", self.table.list(prefix).await)
    }

    async fn write(&self, changes: Vec<Change>) -> Result<Outcome, Error> {
        self.writes.take().await;
        count("table", "write", self.table.write(changes).await)
    }
}

#[async_trait]
impl object::Store for Platform {
    async fn get(&self, key: &str) -> Result<Option<Vec<u8>>, Error> {
        self.reads.take().await;
        count("object", "read", self.store.get(key).await)
    }

    async fn put(&self, key: &str, body: Vec<u8>) -> Result<(), Error> {
        self.writes.take().await;
        count("object", "write", self.store.put(key, body).await)
    }
}

#[async_trait]
impl hosts::List for Platform {
    async fn hosts(&self) -> Result<Vec<Host>, Error> {
        self.reads.take().await;
        count("hosts", "read", self.list.hosts().await)
    }
}

fn count<T>(
    service: &'static str,
    kind: &'static str,
    result: Result<T, Error>,
) -> Result<T, Error> {
    let outcome = match &result {
        Ok(_) => "answered",
        Err(_) => "failed",
    };
    metrics::counter!(COUNTER, "service" => service, "kind" => kind, "outcome" => outcome)
        .increment(1);
    result
}

/// A token bucket; a request that finds it empty waits.
struct Bucket {
    rate: f64,
    clock: Arc<dyn Clock>,
    level: Mutex<Level>,
}

struct Level {
    tokens: f64,
    updated: Duration,
}

impl Bucket {
    fn new(rate: f64, clock: Arc<dyn Clock>) -> Bucket {
        let updated = clock.now();
        Bucket {
            rate,
            clock,
            level: Mutex::new(Level {
                tokens: BURST_REQUESTS,
                updated,
            }),
        }
    }

    async fn take(&self) {
        let wait = self.reserve();
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
    }

    /// Takes a token, one of the future if need be, and says how far in the future it lies.
    fn reserve(&self) -> Duration {
        let mut level = self.level.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.clock.now();
        let gained = now.saturating_sub(level.updated).as_secs_f64() * self.rate;
        level.tokens = (level.tokens + gained).min(BURST_REQUESTS) - 1.0;
        level.updated = now;
        Duration::from_secs_f64((-level.tokens).max(0.0) / self.rate)
    }
}
