//! A caller: keeps a session for as long as it lasts, writes items of its own, reads everybody's.

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

/// Items that each caller writes.
const ITEMS_PER_CALLER: u64 = 3;

/// How long a caller waits for an answer before it gives its session up: several times the longest
/// time that any statement may take.
pub const REPLY_TIMEOUT: Duration = Duration::from_secs(6);

/// How long a host that runs undisturbed may take to answer: the route's limit and what relays
/// and a crowded machine add.
pub const ANSWER_LIMIT: Duration = Duration::from_secs(4);

/// A database that callers use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Database {
    /// Its name.
    pub name: &'static str,
    /// Kind of its route.
    pub kind: &'static str,
    /// How old data may be.
    pub max_staleness: Duration,
    /// Whether a session sees its own writes whatever their age.
    pub reads_own_writes: bool,
}

/// Databases of the one service, by how fresh their reads are.
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

/// A caller.
pub struct Caller {
    number: u64,
    callers: u64,
    rng: ChaCha8Rng,
    hosts: Arc<Vec<Host>>,
    history: Arc<History>,
    stop: Arc<AtomicBool>,
}

/// A session and what the caller knows of it.
struct OpenSession {
    session: Session,
    host: usize,
    database: Database,
    /// The value that was set in it; rows show it.
    value: String,
    /// What this session has last had acknowledged, by item.
    acknowledged: BTreeMap<String, String>,
}

/// A transaction that is open.
struct Transaction {
    number: u64,
    since: Instant,
    writes: Vec<Write>,
}

/// What a caller does next.
enum Step {
    /// It goes on with its session.
    Continue,
    /// It closes its session.
    Close,
}

impl Caller {
    /// Caller `number` of `callers`.
    pub fn new(
        number: u64,
        callers: u64,
        seed: u64,
        hosts: Arc<Vec<Host>>,
        history: Arc<History>,
        stop: Arc<AtomicBool>,
    ) -> Caller {
        Caller {
            number,
            callers,
            rng: ChaCha8Rng::seed_from_u64(seed ^ (number << 32)),
            hosts,
            history,
            stop,
        }
    }

    /// Works until it is told to stop.
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

    /// Opens a session and gives it a value and a prepared statement of its own.
    async fn open_session(&mut self) -> Option<OpenSession> {
        let host = self.rng.random_range(0..self.hosts.len());
        let database = DATABASES[self.rng.random_range(0..DATABASES.len())];
        let address: SocketAddr = self.hosts[host].settings.callers;
        let session = Session::open(address, database.name).await.ok()?;
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

    /// Sends a statement; gives its identifier with the reply.
    async fn run_statement(
        &self,
        open: &mut OpenSession,
        text: &str,
        transaction: Option<u64>,
    ) -> Result<(String, Reply), Error> {
        let id = format!("{:016x}", self.history.next_number());
        self.history.record_statement(&id, text, transaction);
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

    /// Reads an item, inside `transaction` if there is one; `None` when the session is of no
    /// further use.
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
            // What the transaction itself has written is committed nowhere yet.
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

    /// What a row shows to be written, after a look at whether it shows the session's value.
    fn decode_row(&self, id: &str, row: &str, open: &OpenSession) -> Option<String> {
        let (data, value) = row.split_once(' ').unwrap_or((row, ""));
        if value != format!("yard={}", open.value) {
            let own = &open.value;
            let problem = format!("{id} ran with `{value}` in a session that had set `{own}`");
            self.history.report_problem(Kind::ForeignValues, problem);
        }
        Some(data.to_owned()).filter(|data| data != "-")
    }

    /// Writes one item on its own.
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

    /// Reads and writes in one transaction, which it sometimes rolls back.
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
                // Without its end, nothing of a transaction may be kept.
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

    /// Writes an item inside `transaction`; whether that goes on.
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

    /// Notes how writes ended.
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

    /// The next write of one of its items.
    fn next_write(&mut self) -> Write {
        Write {
            item: item(self.number, self.rng.random_range(0..ITEMS_PER_CALLER)),
            data: format!("d{}", self.history.next_number()),
            outcome: Outcome::Unknown,
            at: Instant::now(),
        }
    }
}

fn item(caller: u64, which: u64) -> String {
    format!("item-{caller}-{which}")
}

fn outcome(reply: &Reply) -> Outcome {
    match (reply.is_done(), reply.is_refused()) {
        (true, _) => Outcome::Acknowledged,
        (false, true) => Outcome::Discarded,
        (false, false) => Outcome::Unknown,
    }
}

fn step_after(reply: &Reply) -> Step {
    match reply.state.as_str() {
        "I" => Step::Continue,
        _ => Step::Close,
    }
}
