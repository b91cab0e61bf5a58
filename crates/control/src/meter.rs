//! Counts and rate-limits this process's requests to the platform.
//!
//! The platform's services handle a few hundred writes and 2,000 reads a second for the whole
//! fleet. A fault that makes many processes retry at the same time must not exhaust this capacity,
//! so each process is limited by token buckets.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use flamingopost_core::clock::Clock;
use flamingopost_platform::error::Error;
use flamingopost_platform::hosts::{self, Host};
use flamingopost_platform::object;
use flamingopost_platform::table::{self, Change, Outcome, Row};

/// Maximum sustained rate of read requests of one process.
const READS_PER_SECOND: f64 = 10.0;
/// Maximum sustained rate of write requests of one process.
const WRITES_PER_SECOND: f64 = 5.0;
/// Number of requests that may be sent in a burst without waiting.
const BURST_REQUESTS: f64 = 20.0;

const COUNTER: &str = "flamingopost_platform_requests_total";

/// The platform's services behind rate limits for reads and writes.
#[derive(Clone)]
pub struct Platform {
    table: Arc<dyn table::Table>,
    store: Arc<dyn object::Store>,
    list: Arc<dyn hosts::List>,
    reads: Arc<Bucket>,
    writes: Arc<Bucket>,
}

impl Platform {
    /// Limits the request rate of `client`, measured by `clock`.
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

/// A token bucket. A request that finds it empty waits.
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

    /// Takes a token and returns the time to wait until it is available. The level may go negative:
    /// tokens are then reserved in advance.
    fn reserve(&self) -> Duration {
        let mut level = self.level.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.clock.now();
        let gained = now.saturating_sub(level.updated).as_secs_f64() * self.rate;
        level.tokens = (level.tokens + gained).min(BURST_REQUESTS) - 1.0;
        level.updated = now;
        Duration::from_secs_f64((-level.tokens).max(0.0) / self.rate)
    }
}
