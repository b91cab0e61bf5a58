//! A caller: keeps a session for as long as it lasts, writes items of its own, reads everybody's.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use flamingopost_standin::pooled::Reply;
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::ledger::{Fate, Ledger, Seen, Write};
use crate::problem::Kind;
use crate::process::Host;
use crate::session::{Error, Session};

/// Items that each caller writes.
const ITEMS: u64 = 3;

/// How long a caller waits for an answer before it gives its session up: several times the longest
/// time that any statement may take.
pub const PATIENCE: Duration = Duration::from_secs(6);

/// How long a host that runs undisturbed may take to answer: the route's limit and what relays
/// and a crowded machine add.
pub const ANSWER: Duration = Duration::from_secs(4);

/// A database that callers use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Database {
    /// Its name.
    pub name: &'static str,
    /// Kind of its route.
    pub kind: &'static str,
    /// How old data may be.
    pub age: Duration,
    /// Whether a session sees its own writes whatever their age.
    pub own: bool,
}

/// Databases of the one service, by how fresh their reads are.
pub const DATABASES: [Database; 3] = [
    Database {
        name: "bids",
        kind: "primary",
        age: Duration::ZERO,
        own: true,
    },
    Database {
        name: "lots",
        kind: "bounded_staleness",
        age: Duration::from_millis(1_500),
        own: false,
    },
    Database {
        name: "sales",
        kind: "read_your_writes",
        age: Duration::from_millis(2_500),
        own: true,
    },
];

/// A caller.
pub struct Caller {
    number: u64,
    callers: u64,
    dice: ChaCha8Rng,
    hosts: Arc<Vec<Host>>,
    ledger: Arc<Ledger>,
    stop: Arc<AtomicBool>,
}

/// A session and what the caller knows of it.
struct Open {
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
enum Next {
    /// It goes on with its session.
    On,
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
        ledger: Arc<Ledger>,
        stop: Arc<AtomicBool>,
    ) -> Caller {
        Caller {
            number,
            callers,
            dice: ChaCha8Rng::seed_from_u64(seed ^ (number << 32)),
            hosts,
            ledger,
            stop,
        }
    }

    /// Works until it is told to stop.
    pub async fn run(mut self) {
        while !self.stop.load(Ordering::Relaxed) {
            let Some(mut open) = self.open().await else {
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            let last = self.dice.random_range(5..200);
            for _ in 0..last {
                if self.stop.load(Ordering::Relaxed) {
                    break;
                }
                match self.operate(&mut open).await {
                    Next::On => {}
                    Next::Close => break,
                }
                let pause = self.dice.random_range(1..=60);
                tokio::time::sleep(Duration::from_millis(pause)).await;
            }
        }
    }

    /// Opens a session and gives it a value and a prepared statement of its own.
    async fn open(&mut self) -> Option<Open> {
        let host = self.dice.random_range(0..self.hosts.len());
        let database = DATABASES[self.dice.random_range(0..DATABASES.len())];
        let address: SocketAddr = self.hosts[host].settings.callers;
        let session = Session::open(address, database.name).await.ok()?;
        let value = format!("y{}", self.ledger.next());
        let mut open = Open {
            session,
            host,
            database,
            value,
            acknowledged: BTreeMap::new(),
        };
        let set = format!("SET yard {}", open.value);
        for text in [set.as_str(), "PREPARE s1 FETCH shape"] {
            let reply = self.ask(&mut open, text, None).await.ok()?;
            if !reply.1.is_done() {
                return None;
            }
        }
        Some(open)
    }

    async fn operate(&mut self, open: &mut Open) -> Next {
        match self.dice.random_range(0..10) {
            0..=4 => match self.read(open, None).await {
                Some(()) => Next::On,
                None => Next::Close,
            },
            5..=6 => self.write(open).await,
            _ => self.transact(open).await,
        }
    }

    /// Sends a statement; gives its identifier with the reply.
    async fn ask(
        &self,
        open: &mut Open,
        text: &str,
        transaction: Option<u64>,
    ) -> Result<(String, Reply), Error> {
        let id = format!("{:016x}", self.ledger.next());
        self.ledger.send(&id, text, transaction);
        let start = Instant::now();
        let reply = open.session.run(&id, text, PATIENCE).await;
        let host = &self.hosts[open.host];
        if start.elapsed() > ANSWER && host.is_calm(start) {
            let took = start.elapsed();
            let name = &host.settings.name;
            let problem = format!("{id} `{text}` took {took:?} at {name}");
            self.ledger.object(Kind::Slow, problem);
        }
        match &reply {
            Ok(reply) => {
                if let Some(proof) = reply.proof() {
                    self.ledger.prove(&id, proof);
                }
            }
            Err(Error::Nonsense(line)) => {
                let problem = format!("`{line}` answered to {id} `{text}`");
                self.ledger.object(Kind::Nonsense, problem);
            }
            Err(Error::Closed | Error::Silent(_)) => {}
        }
        reply.map(|reply| (id, reply))
    }

    /// Reads an item, inside `transaction` if there is one; `None` when the session is of no
    /// further use.
    async fn read(&mut self, open: &mut Open, transaction: Option<&Transaction>) -> Option<()> {
        let writer = match self.dice.random_bool(0.5) {
            true => self.number,
            false => self.dice.random_range(0..self.callers),
        };
        let item = item(writer, self.dice.random_range(0..ITEMS));
        let text = match self.dice.random_bool(0.3) {
            true => format!("EXECUTE s1 {item}"),
            false => format!("FETCH {item}"),
        };
        let since = transaction.map_or_else(Instant::now, |it| it.since);
        let own = open.acknowledged.get(&item).cloned();
        let asked = self.ask(open, &text, transaction.map(|it| it.number)).await;
        let Ok((id, reply)) = asked else {
            self.ledger.count(Fate::Open);
            return None;
        };
        if reply.is_done() {
            let data = self.decode(&id, reply.row(), open);
            // What the transaction itself has written is committed nowhere yet.
            let staged = transaction.is_some_and(|it| it.writes.iter().any(|it| it.item == item));
            if !staged {
                self.ledger.see(Seen {
                    id,
                    item,
                    since,
                    until: Instant::now(),
                    age: open.database.age,
                    own: own.filter(|_| open.database.own),
                    data,
                });
            }
        }
        self.ledger.count(fate(&reply));
        match (transaction.is_some(), reply.state.as_str()) {
            (false, "I") | (true, "T") => Some(()),
            _ => None,
        }
    }

    /// What a row shows to be written, after a look at whether it shows the session's value.
    fn decode(&self, id: &str, row: &str, open: &Open) -> Option<String> {
        let (data, value) = row.split_once(' ').unwrap_or((row, ""));
        if value != format!("yard={}", open.value) {
            let own = &open.value;
            let problem = format!("{id} ran with `{value}` in a session that had set `{own}`");
            self.ledger.object(Kind::ForeignValues, problem);
        }
        Some(data.to_owned()).filter(|data| data != "-")
    }

    /// Writes one item on its own.
    async fn write(&mut self, open: &mut Open) -> Next {
        let write = self.draw();
        let text = format!("STORE {} {}", write.item, write.data);
        let asked = self.ask(open, &text, None).await;
        let (fate, next) = match &asked {
            Err(_) => (Fate::Open, Next::Close),
            Ok((_, reply)) => (fate(reply), after(reply)),
        };
        self.ledger.count(fate);
        self.settle(open, vec![write], fate);
        next
    }

    /// Reads and writes in one transaction, which it sometimes rolls back.
    async fn transact(&mut self, open: &mut Open) -> Next {
        let mut transaction = Transaction {
            number: self.ledger.next(),
            since: Instant::now(),
            writes: Vec::new(),
        };
        let begun = self.ask(open, "BEGIN", Some(transaction.number)).await;
        if !begun.is_ok_and(|(_, reply)| reply.state == "T") {
            return Next::Close;
        }
        for _ in 0..self.dice.random_range(1..4) {
            let goes_on = match self.dice.random_bool(0.5) {
                true => self.read(open, Some(&transaction)).await.is_some(),
                false => self.stage(open, &mut transaction).await,
            };
            if !goes_on {
                // Without its end, nothing of a transaction may be kept.
                self.settle(open, transaction.writes, Fate::Dropped);
                return Next::Close;
            }
            let pause = self.dice.random_range(0..40);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        let (text, rolls_back) = match self.dice.random_bool(0.15) {
            true => ("ROLLBACK", true),
            false => ("COMMIT", false),
        };
        let ended = self.ask(open, text, Some(transaction.number)).await;
        let (fate, next) = match &ended {
            _ if rolls_back => (Fate::Dropped, Next::Close),
            Err(_) => (Fate::Open, Next::Close),
            Ok((_, reply)) => (fate(reply), after(reply)),
        };
        self.ledger.count(fate);
        self.settle(open, transaction.writes, fate);
        next
    }

    /// Writes an item inside `transaction`; whether that goes on.
    async fn stage(&mut self, open: &mut Open, transaction: &mut Transaction) -> bool {
        let write = self.draw();
        let text = format!("STORE {} {}", write.item, write.data);
        transaction.writes.push(write);
        let asked = self.ask(open, &text, Some(transaction.number)).await;
        asked.is_ok_and(|(_, reply)| reply.is_done() && reply.state == "T")
    }

    /// Notes how writes ended.
    fn settle(&self, open: &mut Open, writes: Vec<Write>, fate: Fate) {
        for mut write in writes {
            write.fate = fate;
            write.at = Instant::now();
            if fate == Fate::Kept {
                let data = write.data.clone();
                open.acknowledged.insert(write.item.clone(), data);
            }
            self.ledger.write(write);
        }
    }

    /// The next write of one of its items.
    fn draw(&mut self) -> Write {
        Write {
            item: item(self.number, self.dice.random_range(0..ITEMS)),
            data: format!("d{}", self.ledger.next()),
            fate: Fate::Open,
            at: Instant::now(),
        }
    }
}

fn item(caller: u64, which: u64) -> String {
    format!("item-{caller}-{which}")
}

fn fate(reply: &Reply) -> Fate {
    match (reply.is_done(), reply.is_refused()) {
        (true, _) => Fate::Kept,
        (false, true) => Fate::Dropped,
        (false, false) => Fate::Open,
    }
}

fn after(reply: &Reply) -> Next {
    match reply.state.as_str() {
        "I" => Next::On,
        _ => Next::Close,
    }
}
