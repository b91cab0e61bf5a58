//! Simulated callers. Each one runs sessions one after the other, writes its own items, and reads
//! those of all callers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use flamingopost_standin::pooled::Reply;
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::history::{History, Outcome, Read, Write};
use crate::problem::Kind;
use crate::process::Host;
use crate::session::{Error, Session};
use crate::teams::Teams;

/// Number of items that each caller writes.
const ITEMS_PER_CALLER: u64 = 3;

/// How long a caller waits for an answer before it abandons its session: several times the longest
/// time that any statement may take.
pub const REPLY_TIMEOUT: Duration = Duration::from_secs(6);

/// How long an undisturbed host may take to answer: the time limit of the route, plus a margin for
/// relays and a busy machine.
pub const ANSWER_LIMIT: Duration = Duration::from_secs(4);

/// A database that callers use, and the consistency of its route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Database {
    /// Name of the database.
    pub name: &'static str,
    /// Consistency kind of its route, as the configuration names it.
    pub kind: &'static str,
    /// Maximum staleness of reads.
    pub max_staleness: Duration,
    /// Whether a session sees its own writes regardless of the allowed staleness.
    pub reads_own_writes: bool,
}

/// Databases of the service, ordered by increasing staleness.
pub const DATABASES: [Database; 3] = [
    Database {
        name: "bids",
        kind: "primary",
        max_staleness: Duration::ZERO,
        reads_own_writes: true,
    },
    Database {
        name: "lots",
        kind: "bounded_staleness",
        max_staleness: Duration::from_millis(1_500),
        reads_own_writes: false,
    },
    Database {
        name: "sales",
        kind: "read_your_writes",
        max_staleness: Duration::from_millis(2_500),
        reads_own_writes: true,
    },
];

/// A simulated caller.
pub struct Caller {
    number: u64,
    callers: u64,
    rng: ChaCha8Rng,
    hosts: Arc<Vec<Host>>,
    history: Arc<History>,
    stop: Arc<AtomicBool>,
    /// The teams, where callers belong to some.
    teams: Option<Arc<Teams>>,
}

/// An open session and the state that the caller expects of it.
struct OpenSession {
    session: Session,
    host: usize,
    database: Database,
    /// The session's value of the setting `yard`, which every row repeats.
    value: String,
    /// The last write to each item that was acknowledged in this session.
    acknowledged: BTreeMap<String, String>,
}

/// An open transaction.
struct Transaction {
    number: u64,
    since: Instant,
    writes: Vec<Write>,
}

/// What a caller does after an operation.
enum Step {
    /// Continues with the session.
    Continue,
    /// Closes the session.
    Close,
}

impl Caller {
    /// Creates caller `number` of `callers`. Its random number generator is seeded from `seed` and
    /// `number`.
    pub fn new(
        number: u64,
        callers: u64,
        seed: u64,
        hosts: Arc<Vec<Host>>,
        history: Arc<History>,
        stop: Arc<AtomicBool>,
        teams: Option<Arc<Teams>>,
    ) -> Caller {
        Caller {
            number,
            callers,
            rng: ChaCha8Rng::seed_from_u64(seed ^ (number << 32)),
            hosts,
            history,
            stop,
            teams,
        }
    }

    /// Runs operations until `stop` is set.
    pub async fn run(mut self) {
        while !self.stop.load(Ordering::Relaxed) {
            let Some(mut open) = self.open_session().await else {
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            let operations = self.rng.random_range(5..200);
            for _ in 0..operations {
                if self.stop.load(Ordering::Relaxed) {
                    break;
                }
                match self.run_operation(&mut open).await {
                    Step::Continue => {}
                    Step::Close => break,
                }
                let pause = self.rng.random_range(1..=60);
                tokio::time::sleep(Duration::from_millis(pause)).await;
            }
        }
    }

    /// Opens a session on a random host and database, sets a value that is unique to it, and
    /// prepares a statement.
    async fn open_session(&mut self) -> Option<OpenSession> {
        let host = self.rng.random_range(0..self.hosts.len());
        let database = DATABASES[self.rng.random_range(0..DATABASES.len())];
        let address: SocketAddr = self.hosts[host].settings.callers;
        let teams = self.teams.as_ref();
        let key = teams.map_or_else(|| "anybody".to_owned(), |teams| teams.key(self.number));
        let session = Session::open(address, database.name, &key).await.ok()?;
        let value = format!("y{}", self.history.next_number());
        let mut open = OpenSession {
            session,
            host,
            database,
            value,
            acknowledged: BTreeMap::new(),
        };
        let set = format!("SET yard {}", open.value);
        for text in [set.as_str(), "PREPARE s1 FETCH shape"] {
            let reply = self.run_statement(&mut open, text, None).await.ok()?;
            if !reply.1.is_done() {
                return None;
            }
        }
        Some(open)
    }

    /// Runs one random operation: a read, a write or a transaction.
    async fn run_operation(&mut self, open: &mut OpenSession) -> Step {
        match self.rng.random_range(0..10) {
            0..=4 => match self.read(open, None).await {
                Some(()) => Step::Continue,
                None => Step::Close,
            },
            5..=6 => self.write(open).await,
            _ => self.transact(open).await,
        }
    }

    /// Sends a statement and returns its identifier and reply. Reports replies that are late or
    /// malformed.
    async fn run_statement(
        &self,
        open: &mut OpenSession,
        text: &str,
        transaction: Option<u64>,
    ) -> Result<(String, Reply), Error> {
        let id = format!("{:016x}", self.history.next_number());
        let team = self.teams.as_ref().map(|_| Teams::name(self.number));
        self.history.record_statement(&id, text, transaction, team);
        let start = Instant::now();
        let reply = open.session.run(&id, text, REPLY_TIMEOUT).await;
        let host = &self.hosts[open.host];
        if start.elapsed() > ANSWER_LIMIT && host.is_undisturbed(start) {
            let took = start.elapsed();
            let name = &host.settings.name;
            let problem = format!("{id} `{text}` took {took:?} at {name}");
            self.history.report_problem(Kind::Slow, problem);
        }
        match &reply {
            Ok(reply) => {
                if let Some(proof) = reply.proof() {
                    self.history.record_proof(&id, proof);
                }
            }
            Err(Error::UnexpectedReply(line)) => {
                let problem = format!("`{line}` answered to {id} `{text}`");
                self.history.report_problem(Kind::UnexpectedReply, problem);
            }
            Err(Error::Closed | Error::Timeout(_)) => {}
        }
        reply.map(|reply| (id, reply))
    }

    /// Reads an item, inside `transaction` if there is one. Returns `None` if the session cannot be
    /// used any further.
    async fn read(
        &mut self,
        open: &mut OpenSession,
        transaction: Option<&Transaction>,
    ) -> Option<()> {
        let writer = match self.rng.random_bool(0.5) {
            true => self.number,
            false => self.rng.random_range(0..self.callers),
        };
        let item = item(writer, self.rng.random_range(0..ITEMS_PER_CALLER));
        let text = match self.rng.random_bool(0.3) {
            true => format!("EXECUTE s1 {item}"),
            false => format!("FETCH {item}"),
        };
        let since = transaction.map_or_else(Instant::now, |it| it.since);
        let own_write = open.acknowledged.get(&item).cloned();
        let asked = self
            .run_statement(open, &text, transaction.map(|it| it.number))
            .await;
        let Ok((id, reply)) = asked else {
            self.history.count(Outcome::Unknown);
            return None;
        };
        if reply.is_done() {
            let data = self.decode_row(&id, reply.row(), open);
            // The transaction's own writes are not committed yet.
            let written_here =
                transaction.is_some_and(|it| it.writes.iter().any(|it| it.item == item));
            if !written_here {
                self.history.record_read(Read {
                    id,
                    item,
                    since,
                    until: Instant::now(),
                    max_staleness: open.database.max_staleness,
                    own_write: own_write.filter(|_| open.database.reads_own_writes),
                    data,
                });
            }
        }
        self.history.count(outcome(&reply));
        match (transaction.is_some(), reply.state.as_str()) {
            (false, "I") | (true, "T") => Some(()),
            _ => None,
        }
    }

    /// Returns the item's value from a row, and checks that the row carries the session's setting.
    fn decode_row(&self, id: &str, row: &str, open: &OpenSession) -> Option<String> {
        let (data, value) = row.split_once(' ').unwrap_or((row, ""));
        if value != format!("yard={}", open.value) {
            let own = &open.value;
            let problem = format!("{id} ran with `{value}` in a session that had set `{own}`");
            self.history.report_problem(Kind::ForeignValues, problem);
        }
        Some(data.to_owned()).filter(|data| data != "-")
    }

    /// Writes one item outside of a transaction.
    async fn write(&mut self, open: &mut OpenSession) -> Step {
        let write = self.next_write();
        let text = format!("STORE {} {}", write.item, write.data);
        let asked = self.run_statement(open, &text, None).await;
        let (outcome, step) = match &asked {
            Err(_) => (Outcome::Unknown, Step::Close),
            Ok((_, reply)) => (outcome(reply), step_after(reply)),
        };
        self.history.count(outcome);
        self.record_writes(open, vec![write], outcome);
        step
    }

    /// Runs a transaction of reads and writes, and commits it or sometimes rolls it back.
    async fn transact(&mut self, open: &mut OpenSession) -> Step {
        let mut transaction = Transaction {
            number: self.history.next_number(),
            since: Instant::now(),
            writes: Vec::new(),
        };
        let begun = self
            .run_statement(open, "BEGIN", Some(transaction.number))
            .await;
        if !begun.is_ok_and(|(_, reply)| reply.state == "T") {
            return Step::Close;
        }
        for _ in 0..self.rng.random_range(1..4) {
            let continues = match self.rng.random_bool(0.5) {
                true => self.read(open, Some(&transaction)).await.is_some(),
                false => self.write_in_transaction(open, &mut transaction).await,
            };
            if !continues {
                // A transaction that was never committed must not have any effect.
                self.record_writes(open, transaction.writes, Outcome::Discarded);
                return Step::Close;
            }
            let pause = self.rng.random_range(0..40);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        let (text, rolls_back) = match self.rng.random_bool(0.15) {
            true => ("ROLLBACK", true),
            false => ("COMMIT", false),
        };
        let ended = self
            .run_statement(open, text, Some(transaction.number))
            .await;
        let (outcome, step) = match &ended {
            _ if rolls_back => (Outcome::Discarded, Step::Close),
            Err(_) => (Outcome::Unknown, Step::Close),
            Ok((_, reply)) => (outcome(reply), step_after(reply)),
        };
        self.history.count(outcome);
        self.record_writes(open, transaction.writes, outcome);
        step
    }

    /// Writes an item inside `transaction` and returns whether the transaction is still open.
    async fn write_in_transaction(
        &mut self,
        open: &mut OpenSession,
        transaction: &mut Transaction,
    ) -> bool {
        let write = self.next_write();
        let text = format!("STORE {} {}", write.item, write.data);
        transaction.writes.push(write);
        let asked = self
            .run_statement(open, &text, Some(transaction.number))
            .await;
        asked.is_ok_and(|(_, reply)| reply.is_done() && reply.state == "T")
    }

    /// Records writes with their outcome.
    fn record_writes(&self, open: &mut OpenSession, writes: Vec<Write>, outcome: Outcome) {
        for mut write in writes {
            write.outcome = outcome;
            write.at = Instant::now();
            if outcome == Outcome::Acknowledged {
                let data = write.data.clone();
                open.acknowledged.insert(write.item.clone(), data);
            }
            self.history.record_write(write);
        }
    }

    /// Returns a new write to one of this caller's items.
    fn next_write(&mut self) -> Write {
        Write {
            item: item(self.number, self.rng.random_range(0..ITEMS_PER_CALLER)),
            data: format!("d{}", self.history.next_number()),
            outcome: Outcome::Unknown,
            at: Instant::now(),
        }
    }
}

/// Name of an item of a caller.
fn item(caller: u64, which: u64) -> String {
    format!("item-{caller}-{which}")
}

/// Classifies a reply by what it promises about the statement's effect.
fn outcome(reply: &Reply) -> Outcome {
    match (reply.is_done(), reply.is_refused()) {
        (true, _) => Outcome::Acknowledged,
        (false, true) => Outcome::Discarded,
        (false, false) => Outcome::Unknown,
    }
}

/// The session continues after a reply only if it is outside of a transaction.
fn step_after(reply: &Reply) -> Step {
    match reply.state.as_str() {
        "I" => Step::Continue,
        _ => Step::Close,
    }
}
