//! Polls the fleet's rows in the table service.
//!
//! In a fleet of the present size, one read of the rows' prefix serves every shard of the process,
//! the configuration and the drains. In a large fleet (a thousand services) the process reads only
//! the head and the rows of shards that it leads or stands by for. It reads all rows once a minute,
//! to find shards that have lost their controller and all standbys.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use flamingopost_daemon::event::Event as _;
use flamingopost_daemon::stop::Phase;
use flamingopost_platform::error::Error;
use flamingopost_platform::head::{FLEET_PREFIX, HEAD_KEY, Head};
use flamingopost_platform::table::{Row, Table as _};
use tokio::sync::{mpsc, oneshot};

use crate::event::Event as Log;
use crate::shared::Shared;
use crate::spread;

/// Minimum time between two reads of all rows, so that requests of many shards share one read.
const MIN_READ_SPACING: Duration = Duration::from_millis(100);

/// Total size of all rows in bytes above which they are read rarely. A host may use 23 KB/s of the
/// network, and all rows would be read several times a second.
const LARGE_FLEET_BYTES: usize = 32 << 10;

/// Minimum time between two reads of all rows in a large fleet.
const LARGE_FLEET_READ_SPACING: Duration = Duration::from_millis(400);

/// Time between two reads of all rows in a large fleet without a request for one.
const LARGE_FLEET_POLL_INTERVAL: Duration = Duration::from_secs(60);

/// Maximum number of rows that are read individually. Each is read twice a second, and a process
/// may send ten requests a second.
const MAX_SINGLE_ROW_READS: usize = 4;

/// Time since its last read after which a row no longer counts towards [`MAX_SINGLE_ROW_READS`].
const NAMED_ROW_EXPIRY: Duration = Duration::from_secs(2);

/// Time between two reads of the head row alone in a large fleet.
const HEAD_INTERVAL: Duration = Duration::from_secs(2);

/// The result of one read of the fleet's rows.
#[derive(Debug, Clone, Default)]
pub struct Read {
    /// Time at which the read was sent. Authority is counted from this time.
    pub sent: Duration,
    /// The rows by key, or `None` if the read failed.
    pub rows: Option<Arc<BTreeMap<String, Row>>>,
}

/// Whether a shard's row names this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Participation {
    /// The process is the controller or a standby of the shard and reads its row often.
    Named,
    /// The row does not name the process.
    Unnamed,
}

/// Requests reads of the fleet's rows.
#[derive(Clone)]
pub struct Reader {
    shared: Arc<Shared>,
    requests: mpsc::UnboundedSender<oneshot::Sender<Read>>,
    last_read: Arc<LastRead>,
}

/// State kept from the last read of all rows.
#[derive(Default)]
struct LastRead {
    large: AtomicBool,
    latest: Mutex<Read>,
    /// Time of the last read of each row that names this process.
    named_reads: Mutex<BTreeMap<String, Duration>>,
}

impl Reader {
    /// Reads the row `key`. If the row names this process, the read is sent after this call: an
    /// authority counted from an older read would outlive its row.
    pub async fn read(&self, key: &str, participation: Participation) -> Read {
        match (self.is_large(), participation) {
            (true, Participation::Unnamed) => self.latest(),
            (true, Participation::Named) if !self.has_many_rows(key) => self.read_one(key).await,
            _ => self.read_all().await,
        }
    }

    async fn read_all(&self) -> Read {
        let (sender, receiver) = oneshot::channel();
        let _stopped = self.requests.send(sender);
        receiver.await.unwrap_or_default()
    }

    /// Reports whether so many rows name this process that reading all rows takes fewer requests
    /// than reading each. After takeovers one process may lead many shards. Individual reads would
    /// then queue up behind the rate limit until every authority had expired.
    fn has_many_rows(&self, key: &str) -> bool {
        let now = self.shared.now();
        let named = self.last_read.named_reads.lock();
        let mut named = named.unwrap_or_else(PoisonError::into_inner);
        named.insert(key.to_owned(), now);
        named.retain(|_, asked| now < *asked + NAMED_ROW_EXPIRY);
        named.len() > MAX_SINGLE_ROW_READS
    }

    fn latest(&self) -> Read {
        let latest = self.last_read.latest.lock();
        latest.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the row `key` from the last read of all rows. In a large fleet, where that read may
    /// be old, reads the row itself.
    pub async fn read_recent(&self, key: &str) -> Read {
        if self.is_large() {
            return self.read_one(key).await;
        }
        self.latest()
    }

    async fn read_one(&self, key: &str) -> Read {
        let sent = self.shared.now();
        let result = self.shared.platform().read(key).await;
        read(sent, result.map(|row| row.into_iter().collect()))
    }

    fn is_large(&self) -> bool {
        self.last_read.large.load(Ordering::Relaxed)
    }
}

/// Starts the polling tasks, which run until the process stops.
pub fn start(shared: Arc<Shared>, spread: spread::Handle) -> Reader {
    let (sender, receiver) = mpsc::unbounded_channel();
    let reader = Reader {
        shared,
        requests: sender,
        last_read: Arc::default(),
    };
    tokio::spawn(poll_rows(reader.clone(), spread.clone(), receiver));
    tokio::spawn(poll_head(reader.clone(), spread));
    reader
}

/// Reads all rows on request, and at least once per poll interval.
async fn poll_rows(
    reader: Reader,
    spread: spread::Handle,
    mut requests: mpsc::UnboundedReceiver<oneshot::Sender<Read>>,
) {
    let shared = reader.shared.clone();
    let interval = shared.settings().platform.poll;
    let mut silent_since = None;
    while shared.stop().phase() != Phase::Stopped {
        let poll_interval = match reader.is_large() {
            true => LARGE_FLEET_POLL_INTERVAL,
            false => interval,
        };
        let first = tokio::time::timeout(jittered(poll_interval), requests.recv()).await;
        let first = first.ok().flatten();
        let mut waiting: Vec<oneshot::Sender<Read>> = first.into_iter().collect();
        while let Ok(another) = requests.try_recv() {
            waiting.push(another);
        }
        let sent = shared.now();
        let result = shared.platform().list(FLEET_PREFIX).await;
        log_availability(&mut silent_since, shared.now(), result.as_ref().err());
        shared.set_platform_silent(result.is_err());
        let read = read(sent, result);
        reader.record(&read);
        spread.send(head_event(&read));
        for sender in waiting {
            let _gone = sender.send(read.clone());
        }
        let spacing = match reader.is_large() {
            true => LARGE_FLEET_READ_SPACING,
            false => MIN_READ_SPACING,
        };
        tokio::time::sleep(spacing).await;
    }
}

impl Reader {
    fn record(&self, read: &Read) {
        let Some(rows) = &read.rows else {
            return;
        };
        let bytes: usize = rows.values().map(|row| row.body.len()).sum();
        self.last_read
            .large
            .store(bytes > LARGE_FLEET_BYTES, Ordering::Relaxed);
        let latest = self.last_read.latest.lock();
        *latest.unwrap_or_else(PoisonError::into_inner) = read.clone();
    }
}

/// Reads the head row alone while the fleet is large.
async fn poll_head(reader: Reader, spread: spread::Handle) {
    while reader.shared.stop().phase() != Phase::Stopped {
        tokio::time::sleep(jittered(HEAD_INTERVAL)).await;
        if reader.is_large() {
            spread.send(head_event(&reader.read_one(HEAD_KEY).await));
        }
    }
}

fn read(sent: Duration, result: Result<Vec<Row>, Error>) -> Read {
    let rows = result.ok().map(|rows| {
        let by_key = rows.into_iter().map(|row| (row.key.clone(), row));
        Arc::new(by_key.collect())
    });
    Read { sent, rows }
}

fn head_event(read: &Read) -> spread::Event {
    let Some(rows) = &read.rows else {
        return spread::Event::HeadFailed;
    };
    let Some(row) = rows.get(HEAD_KEY) else {
        return spread::Event::Head(None);
    };
    match Head::decode(&row.body) {
        Ok(head) => spread::Event::Head(Some(head)),
        Err(error) => {
            let error = error.to_string();
            Log::BadRow { error }.log();
            spread::Event::HeadFailed
        }
    }
}

fn log_availability(silent_since: &mut Option<Duration>, now: Duration, error: Option<&Error>) {
    match (&silent_since, error) {
        (None, Some(error)) => {
            *silent_since = Some(now);
            let error = error.to_string();
            Log::PlatformSilent { error }.log();
        }
        (Some(since), None) => {
            let seconds = now.saturating_sub(*since).as_secs();
            *silent_since = None;
            Log::PlatformBack { seconds }.log();
        }
        _ => {}
    }
}

/// Returns `span` plus up to a tenth of it at random, so that processes that started together do
/// not keep polling at the same time.
pub fn jittered(span: Duration) -> Duration {
    span.mul_f64(1.0 + rand::random::<f64>() / 10.0)
}
