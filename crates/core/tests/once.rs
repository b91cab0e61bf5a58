//! At most once: keyed and unkeyed requests against a fake service.
//!
//! The randomised run takes `FLAMINGOPOST_SCHEDULES=N` and `FLAMINGOPOST_SEED=N` for longer runs
//! by hand; without them, fixed seeds.

use std::collections::BTreeMap;

use flamingopost_core::once::keyed::{Event, Keyed, Next, Step, Stored};
use flamingopost_core::once::single::Single;
use flamingopost_core::once::sql;
use flamingopost_core::refusal::{Doubt, Ran, Refusal};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const CI_SCHEDULES: u64 = 2_000;
const REQUEST: &str = "digest";

fn done(tag: &str) -> Event {
    Event::Done {
        tag: tag.to_owned(),
    }
}

fn failed(sqlstate: &str) -> Event {
    Event::Failed {
        sqlstate: sqlstate.to_owned(),
    }
}

fn broken() -> Event {
    Event::Broken(Doubt::ConnectionLost)
}

fn ours(text: &str) -> Next {
    Next::Send(Step::Ours(text.to_owned()))
}

/// A keyed request that has come as far as its commit.
fn committing() -> Keyed {
    let (mut keyed, _) = Keyed::start("k", REQUEST);
    keyed.on(done("INSERT 0 1"));
    keyed.on(done("INSERT 0 1"));
    keyed
}

/// An importer's desk resubmits an airway bill through another host because the first answer was
/// lost. The key is found, and the answer is that of the first run.
#[test]
fn a_resubmission_gets_the_first_answer() {
    let (mut keyed, _) = Keyed::start("k", REQUEST);
    assert_eq!(keyed.on(failed(sql::DUPLICATE)), ours(sql::ROLLBACK));
    assert_eq!(keyed.on(done("ROLLBACK")), ours(&sql::look_up("k")));
    let stored = Stored {
        request: REQUEST.to_owned(),
        tag: "INSERT 0 1".to_owned(),
    };
    let tag = stored.tag.clone();
    assert_eq!(
        keyed.on(Event::Found(Some(stored))),
        Next::DoneBefore { tag }
    );
}

/// A program uses one key for two different bids by mistake. The second did not run, and must
/// not be told that it did.
#[test]
fn a_key_of_another_request_is_refused() {
    let (mut keyed, _) = Keyed::start("k", REQUEST);
    keyed.on(failed(sql::DUPLICATE));
    keyed.on(done("ROLLBACK"));
    let stored = Stored {
        request: "other".to_owned(),
        tag: "INSERT 0 1".to_owned(),
    };
    let key = "k".to_owned();
    let refusal = Refusal::KeyMismatch { key };
    assert_eq!(keyed.on(Event::Found(Some(stored))), Next::Refuse(refusal));
}

#[test]
fn the_record_is_created_where_there_is_none() {
    let (mut keyed, first) = Keyed::start("k", REQUEST);
    assert_eq!(keyed.on(failed(sql::NO_TABLE)), ours(sql::ROLLBACK));
    assert_eq!(keyed.on(done("ROLLBACK")), ours(sql::INSTALL));
    assert_eq!(keyed.on(done("CREATE TABLE")), Next::Send(first));
    let refused = keyed.on(failed(sql::NO_TABLE));
    assert_eq!(refused, ours(sql::ROLLBACK), "created once only");
    assert!(matches!(keyed.on(done("ROLLBACK")), Next::Again(_)));
}

/// The connection breaks before the commit was sent: the server undoes the transaction. "Not
/// run" is true.
#[test]
fn a_break_before_the_commit_is_not_run() {
    let (mut keyed, _) = Keyed::start("k", REQUEST);
    keyed.on(done("INSERT 0 1"));
    assert_eq!(keyed.on(broken()), Next::Again(Refusal::TransactionLost));
    assert_eq!(keyed.ran(), Ran::No);
}

/// The commit left and its answer is lost: "not run" would be a guess.
#[test]
fn a_break_after_the_commit_is_unknown() {
    let mut keyed = committing();
    let doubt = Doubt::ConnectionLost;
    let unknown = Refusal::OutcomeUnknown { doubt };
    assert_eq!(keyed.on(broken()), Next::Again(unknown));
    assert_eq!(keyed.ran(), Ran::Unknown);
}

#[test]
fn a_commit_that_the_server_rolled_back_is_not_run() {
    let mut keyed = committing();
    assert_eq!(
        keyed.on(done("ROLLBACK")),
        Next::Again(Refusal::TransactionLost)
    );
    let mut keyed = committing();
    assert_eq!(keyed.on(failed("23514")), ours(sql::ROLLBACK));
    assert_eq!(keyed.on(done("ROLLBACK")), Next::Failed);
    assert_eq!(keyed.ran(), Ran::No);
}

#[test]
fn a_statement_that_fails_leaves_no_key() {
    let (mut keyed, _) = Keyed::start("k", REQUEST);
    keyed.on(done("INSERT 0 1"));
    assert_eq!(keyed.on(failed("23514")), ours(sql::ROLLBACK));
    assert_eq!(keyed.on(done("ROLLBACK")), Next::Failed);
}

/// Two hosts record one key at once. Only the record's primary key makes the second wait and fail;
/// the fake service below takes that for granted.
#[test]
fn the_record_has_the_key_as_its_primary_key() {
    assert!(sql::INSTALL.contains("(key text PRIMARY KEY,"));
}

#[test]
fn keys_cannot_break_out_of_their_literal() {
    let text = sql::look_up("a' OR '1'='1");
    assert!(text.ends_with("key = 'a'' OR ''1''=''1'"), "{text}");
    let text = sql::look_up(r"a\' OR 1=1 --");
    assert!(text.ends_with(r"key = E'a\\'' OR 1=1 --'"), "{text}");
}

#[test]
fn an_unkeyed_request_is_not_run_until_it_is_sent() {
    let mut single = Single::default();
    assert_eq!(single.doubt(Doubt::DeadlinePassed), None);
    single.send();
    let unknown = single.doubt(Doubt::DeadlinePassed).unwrap();
    assert_eq!(unknown.ran(), Ran::Unknown);
    single.answered(true);
    assert_eq!(single.ran(), Ran::No);
}

#[test]
#[should_panic(expected = "at_most_once")]
fn sending_an_unkeyed_request_twice_is_caught() {
    let mut single = Single::default();
    single.send();
    single.send();
}

#[test]
#[should_panic(expected = "true_refusal")]
fn saying_not_run_of_a_sent_request_is_caught() {
    let mut single = Single::default();
    single.send();
    single.refuse(Refusal::TransactionLost);
}

/// A server of the fake service: its committed keys and how often each request took effect.
#[derive(Debug, Clone, Default)]
struct Data {
    keys: BTreeMap<String, Stored>,
    effects: BTreeMap<String, u32>,
}

/// An open transaction of one connection.
#[derive(Debug, Clone, Default)]
struct Transaction {
    key: Option<(String, Stored)>,
    effect: Option<String>,
    failed: bool,
}

/// The service: a primary, a replica that lags, and commits that a broken connection left behind
/// and that the primary finishes later.
struct Service {
    random: ChaCha8Rng,
    primary: Data,
    replica: Data,
    stray: Vec<Transaction>,
}

/// What a statement came to, and whether the answer arrives.
enum Answer {
    Event(Event),
    Lost,
}

impl Service {
    fn new(seed: u64) -> Service {
        Service {
            random: ChaCha8Rng::seed_from_u64(seed),
            primary: Data::default(),
            replica: Data::default(),
            stray: Vec::new(),
        }
    }

    /// Time passes: the replica catches up or not, stray commits land or not, the primary dies.
    fn drift(&mut self) {
        if self.random.random_ratio(1, 4) {
            self.replica = self.primary.clone();
        }
        if self.random.random_ratio(1, 3) {
            for transaction in std::mem::take(&mut self.stray) {
                self.commit(transaction);
            }
        }
        if self.random.random_ratio(1, 40) {
            self.primary = self.replica.clone();
            self.stray.clear();
        }
    }

    /// How often `key` has taken effect or may yet.
    fn possible(&self, key: &str) -> u32 {
        let ran = self.primary.effects.get(key).copied().unwrap_or(0);
        let waits = |transaction: &&Transaction| transaction.effect.as_deref() == Some(key);
        ran + self.stray.iter().filter(waits).count() as u32
    }

    fn commit(&mut self, transaction: Transaction) {
        if let Some(effect) = transaction.effect {
            *self.primary.effects.entry(effect).or_default() += 1;
        }
        self.primary.keys.extend(transaction.key);
    }

    /// An insert of a key waits for every transaction that has inserted it and not ended.
    fn settle(&mut self, key: &str) {
        let holds = |transaction: &Transaction| {
            let held = transaction.key.as_ref();
            held.is_some_and(|(held, _)| held == key)
        };
        let (held, rest) = std::mem::take(&mut self.stray).into_iter().partition(holds);
        self.stray = rest;
        let held: Vec<Transaction> = held;
        for transaction in held {
            if self.random.random_bool(0.5) {
                self.commit(transaction);
            }
        }
    }

    fn run(&mut self, key: &str, step: &Step, open: &mut Transaction) -> Answer {
        self.drift();
        let lost = self.random.random_ratio(1, 8);
        if lost && self.random.random_bool(0.5) {
            *open = Transaction::default();
            return Answer::Lost;
        }
        let event = self.execute(key, step, open, lost);
        if lost {
            *open = Transaction::default();
            return Answer::Lost;
        }
        Answer::Event(event)
    }

    fn execute(&mut self, key: &str, step: &Step, open: &mut Transaction, lost: bool) -> Event {
        let text = match step {
            Step::Statement => {
                open.effect = Some(key.to_owned());
                return done("INSERT 0 1");
            }
            Step::Ours(text) => text.as_str(),
        };
        if text.starts_with("BEGIN") {
            self.settle(key);
            if self.primary.keys.contains_key(key) {
                open.failed = true;
                return failed(sql::DUPLICATE);
            }
            let stored = Stored {
                request: REQUEST.to_owned(),
                tag: String::new(),
            };
            open.key = Some((key.to_owned(), stored));
            return done("INSERT 0 1");
        }
        if text.ends_with("COMMIT") {
            return self.end(open, lost);
        }
        if text.starts_with("SELECT") {
            return Event::Found(self.primary.keys.get(key).cloned());
        }
        *open = Transaction::default();
        done("ROLLBACK")
    }

    /// A commit whose answer is lost may still be at work when the caller asks again.
    fn end(&mut self, open: &mut Transaction, lost: bool) -> Event {
        let mut transaction = std::mem::take(open);
        if transaction.failed {
            return done("ROLLBACK");
        }
        if let Some((_, stored)) = &mut transaction.key {
            stored.tag = "INSERT 0 1".to_owned();
        }
        if lost && self.random.random_bool(0.5) {
            self.stray.push(transaction);
        } else {
            self.commit(transaction);
        }
        done("COMMIT")
    }
}

/// One attempt through one host, to its end.
fn attempt(service: &mut Service, key: &str) -> Next {
    let (mut keyed, mut step) = Keyed::start(key, REQUEST);
    let mut open = Transaction::default();
    loop {
        let event = match service.run(key, &step, &mut open) {
            Answer::Event(event) => event,
            Answer::Lost => broken(),
        };
        match keyed.on(event) {
            Next::Send(next) => step = next,
            next => return next,
        }
    }
}

/// Bids are resubmitted through whichever host is there until an answer says that they ran,
/// while answers are lost, commits land late and primaries are replaced by lagging replicas.
/// In the log that survives no bid ever counts twice, and one that is told "done before" is there.
#[test]
fn randomised_resubmissions_never_run_twice() {
    let number = |name: &str| std::env::var(name).ok()?.parse::<u64>().ok();
    let schedules = number("FLAMINGOPOST_SCHEDULES").unwrap_or(CI_SCHEDULES);
    let first = number("FLAMINGOPOST_SEED").unwrap_or(1);
    let (mut before, mut unknown, mut not_run) = (0, 0, 0);
    for seed in first..first + schedules {
        let mut service = Service::new(seed);
        for number in 0..20 {
            let key = format!("bid-{number}");
            for _ in 0..20 {
                let possible = service.possible(&key);
                let next = attempt(&mut service, &key);
                let effects = service.primary.effects.get(&key).copied().unwrap_or(0);
                assert!(effects <= 1, "seed {seed}: {key} ran {effects} times");
                match next {
                    Next::Done { .. } => break,
                    Next::DoneBefore { .. } => {
                        assert_eq!(
                            effects, 1,
                            "seed {seed}: {key} is told done and is not there"
                        );
                        before += 1;
                        break;
                    }
                    Next::Again(refusal) if refusal.ran() == Ran::Unknown => unknown += 1,
                    Next::Again(_) => {
                        let after = service.possible(&key);
                        assert!(
                            after <= possible,
                            "seed {seed}: {key} is told not run and may"
                        );
                        not_run += 1;
                    }
                    other => panic!("seed {seed}: {other:?}"),
                }
            }
        }
    }
    println!(
        "{schedules} schedules from {first}: {before} done before, {unknown} unknown, {not_run} not run"
    );
    assert!(before > 0 && unknown > 0 && not_run > 0);
}
