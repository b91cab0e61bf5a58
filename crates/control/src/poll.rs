//! Reads the fleet's rows.
//!
//! In a fleet of today one read of their prefix serves every shard of the process, the
//! configuration and the drains. Where that read has grown large (a thousand services), the
//! process reads only the rows of shards that it leads or stands by for, and the head; all rows
//! once a minute, for shards that nobody is left to lead.

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

/// Least time between two reads of all rows, so that many shards that ask share one.
const SPACING: Duration = Duration::from_millis(100);

/// Bytes of all rows beyond which they are read rarely. A host's share of the network is 23 KB a
/// second, and all rows would be read several times a second.
const LARGE: usize = 32 << 10;

/// The same in a large fleet.
const LARGE_SPACING: Duration = Duration::from_millis(400);

/// Time between two reads of all rows in a large fleet, where nobody asks.
const LARGE_INTERVAL: Duration = Duration::from_secs(60);

/// Rows that are read one by one at most; each is asked for twice a second, of the ten requests a
/// second that a process makes.
const MANY: usize = 4;

/// How long a row counts as asked for.
const NAMED_FOR: Duration = Duration::from_secs(2);

/// Time between two reads of the head alone in a large fleet.
const HEAD_INTERVAL: Duration = Duration::from_secs(2);

/// The fleet's rows as one read found them, or that it failed.
#[derive(Debug, Clone, Default)]
pub struct Read {
    /// When the read was sent; authority is dated from here.
    pub sent: Duration,
    /// The rows by key, where the read was answered.
    pub rows: Option<Arc<BTreeMap<String, Row>>>,
}

/// What a process is to a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// It leads it or is named as a standby: its row has to be read often.
    Named,
    /// It is not named.
    Other,
}

/// Where reads are asked for.
#[derive(Clone)]
pub struct Reader {
    shared: Arc<Shared>,
    asked: mpsc::UnboundedSender<oneshot::Sender<Read>>,
    seen: Arc<Seen>,
}

/// What the last read of all rows showed.
#[derive(Default)]
struct Seen {
    large: AtomicBool,
    latest: Mutex<Read>,
    /// When rows of shards that name this process were last asked for.
    named: Mutex<BTreeMap<String, Duration>>,
}

impl Reader {
    /// A read that finds the row `key`, sent after this call: an authority that dated an old read
    /// as new would outlive its row.
    pub async fn read(&self, key: &str, part: Part) -> Read {
        match (self.is_large(), part) {
            (true, Part::Other) => self.latest(),
            (true, Part::Named) if !self.names_many(key) => self.read_one(key).await,
            _ => self.read_all().await,
        }
    }

    async fn read_all(&self) -> Read {
        let (sender, receiver) = oneshot::channel();
        let _stopped = self.asked.send(sender);
        receiver.await.unwrap_or_default()
    }

    /// Whether so many shards name this process that one read of all rows is asked for less often
    /// than a read of each. After takeovers shards gather on a process; row by row their reads
    /// would wait for each other by the bound on requests until every authority had run out.
    fn names_many(&self, key: &str) -> bool {
        let now = self.shared.now();
        let named = self.seen.named.lock();
        let mut named = named.unwrap_or_else(PoisonError::into_inner);
        named.insert(key.to_owned(), now);
        named.retain(|_, asked| now < *asked + NAMED_FOR);
        named.len() > MANY
    }

    fn latest(&self) -> Read {
        let latest = self.seen.latest.lock();
        latest.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The row `key` as it was a moment ago; read anew where all rows are not read often.
    pub async fn glance(&self, key: &str) -> Read {
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
        self.seen.large.load(Ordering::Relaxed)
    }
}

/// Starts to read until the process stops.
pub fn start(shared: Arc<Shared>, spread: spread::Handle) -> Reader {
    let (sender, receiver) = mpsc::unbounded_channel();
    let reader = Reader {
        shared,
        asked: sender,
        seen: Arc::default(),
    };
    tokio::spawn(all(reader.clone(), spread.clone(), receiver));
    tokio::spawn(head(reader.clone(), spread));
    reader
}

/// Reads all rows, when somebody asks and at least once each poll interval.
async fn all(
    reader: Reader,
    spread: spread::Handle,
    mut asked: mpsc::UnboundedReceiver<oneshot::Sender<Read>>,
) {
    let shared = reader.shared.clone();
    let interval = shared.settings().platform.poll;
    let mut silent_since = None;
    while shared.stop().phase() != Phase::Stopped {
        let patience = match reader.is_large() {
            true => LARGE_INTERVAL,
            false => interval,
        };
        let first = tokio::time::timeout(jittered(patience), asked.recv()).await;
        let first = first.ok().flatten();
        let mut waiting: Vec<oneshot::Sender<Read>> = first.into_iter().collect();
        while let Ok(another) = asked.try_recv() {
            waiting.push(another);
        }
        let sent = shared.now();
        let result = shared.platform().list(FLEET_PREFIX).await;
        note(&mut silent_since, shared.now(), result.as_ref().err());
        shared.set_silent(result.is_err());
        let read = read(sent, result);
        reader.see(&read);
        spread.tell(event(&read));
        for sender in waiting {
            let _gone = sender.send(read.clone());
        }
        let spacing = match reader.is_large() {
            true => LARGE_SPACING,
            false => SPACING,
        };
        tokio::time::sleep(spacing).await;
    }
}

impl Reader {
    fn see(&self, read: &Read) {
        let Some(rows) = &read.rows else {
            return;
        };
        let bytes: usize = rows.values().map(|row| row.body.len()).sum();
        self.seen.large.store(bytes > LARGE, Ordering::Relaxed);
        let latest = self.seen.latest.lock();
        *latest.unwrap_or_else(PoisonError::into_inner) = read.clone();
    }
}

/// Reads the head alone while all rows are not read often.
async fn head(reader: Reader, spread: spread::Handle) {
    while reader.shared.stop().phase() != Phase::Stopped {
        tokio::time::sleep(jittered(HEAD_INTERVAL)).await;
        if reader.is_large() {
            spread.tell(event(&reader.read_one(HEAD_KEY).await));
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

fn event(read: &Read) -> spread::Event {
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

fn note(silent_since: &mut Option<Duration>, now: Duration, error: Option<&Error>) {
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

/// `span` with a random part of up to a tenth more, so that processes that were started together
/// do not go on asking together.
pub fn jittered(span: Duration) -> Duration {
    span.mul_f64(1.0 + rand::random::<f64>() / 10.0)
}
