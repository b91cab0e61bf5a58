//! Requests with and without a key run at most once, against a fake service.
//!
//! The randomised test uses fixed seeds. `FLAMINGOPOST_SCHEDULES=N` and `FLAMINGOPOST_SEED=N` make
//! it run other seeds, or more of them.

use std::collections::BTreeMap;

use flamingopost_core::once::keyed::{Directive, Event, Keyed, Step, Stored};
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

fn internal(text: &str) -> Directive {
    Directive::Send(Step::Internal(text.to_owned()))
}

/// Returns a keyed request whose commit was sent.
fn committing() -> Keyed {
    let (mut keyed, _) = Keyed::start("k", REQUEST);
    keyed.handle(done("INSERT 0 1"));
    keyed.handle(done("INSERT 0 1"));
    keyed
}

/// A caller resubmits a request through another host because the first answer was lost. The key is
/// found, and the caller gets the command tag of the first run.
#[test]
fn a_resubmission_returns_the_first_result() {
    let (mut keyed, _) = Keyed::start("k", REQUEST);
    assert_eq!(
        keyed.handle(failed(sql::UNIQUE_VIOLATION)),
        internal(sql::ROLLBACK)
    );
    assert_eq!(keyed.handle(done("ROLLBACK")), internal(&sql::look_up("k")));
    let stored = Stored {
        request: REQUEST.to_owned(),
        tag: "INSERT 0 1".to_owned(),
    };
    let tag = stored.tag.clone();
    assert_eq!(
        keyed.handle(Event::Found(Some(stored))),
        Directive::AlreadyDone { tag }
    );
}

/// Guards against reporting a request as done because its key was used, by mistake, for a different
/// request before.
#[test]
fn a_key_of_another_request_is_refused() {
    let (mut keyed, _) = Keyed::start("k", REQUEST);
    keyed.handle(failed(sql::UNIQUE_VIOLATION));
    keyed.handle(done("ROLLBACK"));
    let stored = Stored {
        request: "other".to_owned(),
        tag: "INSERT 0 1".to_owned(),
    };
    let key = "k".to_owned();
    let refusal = Refusal::KeyMismatch { key };
    assert_eq!(
        keyed.handle(Event::Found(Some(stored))),
        Directive::Refuse(refusal)
    );
}

#[test]
fn the_key_table_is_created_once_if_it_is_missing() {
    let (mut keyed, first) = Keyed::start("k", REQUEST);
    assert_eq!(
        keyed.handle(failed(sql::UNDEFINED_TABLE)),
        internal(sql::ROLLBACK)
    );
    assert_eq!(keyed.handle(done("ROLLBACK")), internal(sql::CREATE_TABLE));
    assert_eq!(keyed.handle(done("CREATE TABLE")), Directive::Send(first));
    let refused = keyed.handle(failed(sql::UNDEFINED_TABLE));
    assert_eq!(refused, internal(sql::ROLLBACK), "created once only");
    assert!(matches!(
        keyed.handle(done("ROLLBACK")),
        Directive::Retry(_)
    ));
}

/// A connection is lost before the commit is sent, so the server rolls the transaction back and
/// "not run" is true.
#[test]
fn a_connection_lost_before_the_commit_reports_not_run() {
    let (mut keyed, _) = Keyed::start("k", REQUEST);
    keyed.handle(done("INSERT 0 1"));
    assert_eq!(
        keyed.handle(broken()),
        Directive::Retry(Refusal::TransactionLost)
    );
    assert_eq!(keyed.ran(), Ran::No);
}

/// The commit was sent and its answer is lost, so "not run" would be a guess.
#[test]
fn a_connection_lost_after_the_commit_reports_unknown() {
    let mut keyed = committing();
    let doubt = Doubt::ConnectionLost;
    let unknown = Refusal::OutcomeUnknown { doubt };
    assert_eq!(keyed.handle(broken()), Directive::Retry(unknown));
    assert_eq!(keyed.ran(), Ran::Unknown);
}

#[test]
fn a_commit_that_the_server_rolled_back_is_not_run() {
    let mut keyed = committing();
    assert_eq!(
        keyed.handle(done("ROLLBACK")),
        Directive::Retry(Refusal::TransactionLost)
    );
    let mut keyed = committing();
    assert_eq!(keyed.handle(failed("23514")), internal(sql::ROLLBACK));
    assert_eq!(keyed.handle(done("ROLLBACK")), Directive::Failed);
    assert_eq!(keyed.ran(), Ran::No);
}

#[test]
fn a_statement_that_fails_leaves_no_key() {
    let (mut keyed, _) = Keyed::start("k", REQUEST);
    keyed.handle(done("INSERT 0 1"));
    assert_eq!(keyed.handle(failed("23514")), internal(sql::ROLLBACK));
    assert_eq!(keyed.handle(done("ROLLBACK")), Directive::Failed);
}

/// Two hosts record one key at the same time. Only the primary key of the table makes the second
/// one wait and fail. The fake service below relies on it without checking the SQL.
#[test]
fn the_key_table_has_the_key_as_its_primary_key() {
    assert!(sql::CREATE_TABLE.contains("(key text PRIMARY KEY,"));
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
    assert_eq!(single.unknown_outcome(Doubt::DeadlinePassed), None);
    single.mark_sent();
    let unknown = single.unknown_outcome(Doubt::DeadlinePassed).unwrap();
    assert_eq!(unknown.ran(), Ran::Unknown);
    single.record_outcome(true);
    assert_eq!(single.ran(), Ran::No);
}

#[test]
#[should_panic(expected = "at_most_once")]
fn sending_an_unkeyed_request_twice_is_caught() {
    let mut single = Single::default();
    single.mark_sent();
    single.mark_sent();
}

#[test]
#[should_panic(expected = "true_refusal")]
fn reporting_not_run_for_a_sent_request_is_caught() {
    let mut single = Single::default();
    single.mark_sent();
    single.check_refusal(Refusal::TransactionLost);
}

/// Data of a server of the fake service: committed keys, and how often each request took effect.
#[derive(Debug, Clone, Default)]
struct Data {
    keys: BTreeMap<String, Stored>,
    effects: BTreeMap<String, u32>,
}

/// The open transaction of a connection.
#[derive(Debug, Clone, Default)]
struct Transaction {
    key: Option<(String, Stored)>,
    effect: Option<String>,
    failed: bool,
}

/// A fake service with a primary, a lagging replica, and commits whose connection was lost and that
/// the primary finishes later.
struct Service {
    random: ChaCha8Rng,
    primary: Data,
    replica: Data,
    pending_commits: Vec<Transaction>,
}

/// The outcome of a statement, or `Lost` if the answer does not arrive.
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
            pending_commits: Vec::new(),
        }
    }

    /// Lets time pass: at random, the replica catches up, pending commits finish, or the primary
    /// fails over to the replica.
    fn advance(&mut self) {
        if self.random.random_ratio(1, 4) {
            self.replica = self.primary.clone();
        }
        if self.random.random_ratio(1, 3) {
            for transaction in std::mem::take(&mut self.pending_commits) {
                self.commit(transaction);
            }
        }
        if self.random.random_ratio(1, 40) {
            self.primary = self.replica.clone();
            self.pending_commits.clear();
        }
    }

    /// Returns how often the request of `key` took effect, counting pending commits.
    fn possible_effects(&self, key: &str) -> u32 {
        let ran = self.primary.effects.get(key).copied().unwrap_or(0);
        let waits = |transaction: &&Transaction| transaction.effect.as_deref() == Some(key);
        ran + self.pending_commits.iter().filter(waits).count() as u32
    }

    fn commit(&mut self, transaction: Transaction) {
        if let Some(effect) = transaction.effect {
            *self.primary.effects.entry(effect).or_default() += 1;
        }
        self.primary.keys.extend(transaction.key);
    }

    /// Ends, by commit or rollback, every pending transaction that has inserted `key`: an insert of
    /// the same key waits for them.
    fn finish_transactions_with(&mut self, key: &str) {
        let holds = |transaction: &Transaction| {
            let own_key = transaction.key.as_ref();
            own_key.is_some_and(|(own_key, _)| own_key == key)
        };
        let (matching, rest) = std::mem::take(&mut self.pending_commits)
            .into_iter()
            .partition(holds);
        self.pending_commits = rest;
        let matching: Vec<Transaction> = matching;
        for transaction in matching {
            if self.random.random_bool(0.5) {
                self.commit(transaction);
            }
        }
    }

    fn run(&mut self, key: &str, step: &Step, open: &mut Transaction) -> Answer {
        self.advance();
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
            Step::Internal(text) => text.as_str(),
        };
        if text.starts_with("BEGIN") {
            self.finish_transactions_with(key);
            if self.primary.keys.contains_key(key) {
                open.failed = true;
                return failed(sql::UNIQUE_VIOLATION);
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

    /// Ends the open transaction. A commit whose answer is lost may still be pending when the
    /// caller retries.
    fn end(&mut self, open: &mut Transaction, lost: bool) -> Event {
        let mut transaction = std::mem::take(open);
        if transaction.failed {
            return done("ROLLBACK");
        }
        if let Some((_, stored)) = &mut transaction.key {
            stored.tag = "INSERT 0 1".to_owned();
        }
        if lost && self.random.random_bool(0.5) {
            self.pending_commits.push(transaction);
        } else {
            self.commit(transaction);
        }
        done("COMMIT")
    }
}

/// Runs one attempt through one host to its end.
fn attempt(service: &mut Service, key: &str) -> Directive {
    let (mut keyed, mut step) = Keyed::start(key, REQUEST);
    let mut open = Transaction::default();
    loop {
        let event = match service.run(key, &step, &mut open) {
            Answer::Event(event) => event,
            Answer::Lost => broken(),
        };
        match keyed.handle(event) {
            Directive::Send(next) => step = next,
            directive => return directive,
        }
    }
}

/// Requests are resubmitted until an answer says that they ran, while answers are lost, commits
/// finish late and the primary fails over to a lagging replica. In the surviving data no request
/// ever took effect twice, and each one that is reported as already done is there.
#[test]
fn randomised_resubmissions_never_run_twice() {
    let number = |name: &str| std::env::var(name).ok()?.parse::<u64>().ok();
    let schedules = number("FLAMINGOPOST_SCHEDULES").unwrap_or(CI_SCHEDULES);
    let first = number("FLAMINGOPOST_SEED").unwrap_or(1);
    let (mut already_done, mut unknown, mut not_run) = (0, 0, 0);
    for seed in first..first + schedules {
        let mut service = Service::new(seed);
        for number in 0..20 {
            let key = format!("bid-{number}");
            for _ in 0..20 {
                let possible = service.possible_effects(&key);
                let directive = attempt(&mut service, &key);
                let effects = service.primary.effects.get(&key).copied().unwrap_or(0);
                assert!(effects <= 1, "seed {seed}: {key} ran {effects} times");
                match directive {
                    Directive::Done { .. } => break,
                    Directive::AlreadyDone { .. } => {
                        assert_eq!(
                            effects, 1,
                            "seed {seed}: {key} is reported as done and is not there"
                        );
                        already_done += 1;
                        break;
                    }
                    Directive::Retry(refusal) if refusal.ran() == Ran::Unknown => unknown += 1,
                    Directive::Retry(_) => {
                        let after = service.possible_effects(&key);
                        assert!(
                            after <= possible,
                            "seed {seed}: {key} is reported as not run and may still run"
                        );
                        not_run += 1;
                    }
                    other => panic!("seed {seed}: {other:?}"),
                }
            }
        }
    }
    println!(
        "{schedules} schedules from {first}: {already_done} done before, {unknown} unknown, {not_run} not run"
    );
    assert!(already_done > 0 && unknown > 0 && not_run > 0);
}
