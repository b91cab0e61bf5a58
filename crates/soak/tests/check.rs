//! Every check finds the violation that it is meant for, and none in a correct history.

use std::time::{Duration, Instant};

use flamingopost_soak::check::{Record, verify};
use flamingopost_soak::history::{History, Outcome, Read, Write};
use flamingopost_soak::problem::Kind;
use flamingopost_soak::teams::Limit;
use flamingopost_standin::pooled::{Entry, Order, Rollback, Run};

/// A run with one caller, which writes `a` and then `b` to an item and reads `b`.
struct Scenario {
    history: History,
    record: Record,
    start: Instant,
}

fn run(id: &str, text: &str, connection: u64) -> Run {
    Run {
        server: "ledger-1".to_owned(),
        id: id.to_owned(),
        text: text.to_owned(),
        connection,
        client: String::new(),
        at: Instant::now(),
        proof: format!("proof-{id}"),
    }
}

fn order(holder: &str, token: u64) -> Order {
    Order {
        service: "ledger".to_owned(),
        server: "ledger-2".to_owned(),
        holder: holder.to_owned(),
        token,
        accepted: true,
    }
}

fn scenario() -> Scenario {
    let scenario = Scenario {
        history: History::default(),
        record: Record::default(),
        start: Instant::now(),
    };
    let mut scenario =
        scenario
            .write("1", "a", Outcome::Acknowledged)
            .write("2", "b", Outcome::Acknowledged);
    scenario.read("3", Some("b"), Duration::ZERO, None);
    scenario
}

impl Scenario {
    /// Adds a write of `data` that a server ran and committed.
    fn write(mut self, id: &str, data: &str, outcome: Outcome) -> Scenario {
        let text = format!("STORE item {data}");
        self.history.record_statement(id, &text, None, None);
        if outcome == Outcome::Acknowledged {
            self.history.record_proof(id, &format!("proof-{id}"));
        }
        self.history.record_write(Write {
            item: "item".to_owned(),
            data: data.to_owned(),
            outcome,
            at: self.start,
        });
        let number = self.record.log.len() as u64 + 1;
        self.record.log.push(Entry::new(1, number, "item", data));
        self.record.runs.push(run(id, &text, 7));
        self
    }

    /// Adds a read, 500 ms after the writes, that a server ran and that returned `data`.
    fn read(
        &mut self,
        id: &str,
        data: Option<&str>,
        max_staleness: Duration,
        own_write: Option<&str>,
    ) {
        self.history.record_statement(id, "FETCH item", None, None);
        self.history.record_proof(id, &format!("proof-{id}"));
        self.record.runs.push(run(id, "WAITLSN 1.2 FETCH item", 8));
        self.history.record_read(Read {
            id: id.to_owned(),
            item: "item".to_owned(),
            since: self.start + Duration::from_millis(500),
            until: self.start + Duration::from_millis(600),
            max_staleness,
            own_write: own_write.map(str::to_owned),
            data: data.map(str::to_owned),
        });
    }

    /// Returns the kinds of the problems that the checks find.
    fn kinds(&self) -> Vec<Kind> {
        let problems = verify(&self.history, &self.record).problems;
        problems.into_iter().map(|problem| problem.kind).collect()
    }
}

#[test]
fn a_correct_history_passes() {
    assert_eq!(scenario().kinds(), []);
}

#[test]
fn an_old_read_is_stale_unless_its_route_allows_the_age() {
    let mut old = scenario();
    old.read("4", Some("a"), Duration::ZERO, None);
    assert_eq!(old.kinds(), [Kind::Stale]);
    let mut allowed = scenario();
    allowed.read("4", Some("a"), Duration::from_secs(1), None);
    assert_eq!(allowed.kinds(), []);
    let mut own = scenario();
    own.read("4", None, Duration::from_secs(1), Some("a"));
    assert_eq!(own.kinds(), [Kind::Stale]);
}

/// Guards against reporting a read as stale that was answered between the promotion that rolled a
/// commit back and the one that restored it. Before and after that, the commit must be visible.
#[test]
fn a_read_may_miss_a_commit_only_while_that_is_rolled_back() {
    let kinds = |rolled_back: u64, restored: u64| {
        let mut scenario = scenario();
        let at = |millis| scenario.start + Duration::from_millis(millis);
        let rollback = Rollback {
            entry: scenario.record.log[1].clone(),
            at: at(rolled_back),
            restored: Some(at(restored)),
        };
        scenario.record.rollbacks.push(rollback);
        scenario.read("4", Some("a"), Duration::ZERO, None);
        scenario.read("5", Some("a"), Duration::from_secs(1), Some("b"));
        scenario.kinds()
    };
    assert_eq!(kinds(550, 900), []);
    assert_eq!(kinds(601, 900), [Kind::Stale, Kind::Stale]);
    assert_eq!(kinds(100, 500), [Kind::Stale, Kind::Stale]);
}

#[test]
fn a_read_of_uncommitted_data_is_found() {
    let mut scenario = scenario();
    scenario.read("4", Some("c"), Duration::ZERO, None);
    assert_eq!(scenario.kinds(), [Kind::Uncommitted]);
    let entry = Entry::new(1, 3, "item", "c");
    scenario.record.rollbacks.push(Rollback::new(entry));
    assert_eq!(scenario.kinds(), [], "a promotion rolled it back");
}

#[test]
fn a_missing_acknowledged_write_is_lost() {
    let mut scenario = scenario().write("4", "c", Outcome::Acknowledged);
    let gone = scenario.record.log.pop().expect("it was written");
    assert_eq!(scenario.kinds(), [Kind::Lost]);
    scenario.record.rollbacks.push(Rollback::new(gone));
    assert_eq!(scenario.kinds(), [], "a promotion rolled it back");
}

#[test]
fn a_committed_write_that_was_refused_is_found() {
    assert_eq!(
        scenario().write("4", "c", Outcome::Discarded).kinds(),
        [Kind::FalselyRefused]
    );
    let open = scenario().write("4", "c", Outcome::Unknown);
    assert_eq!(open.kinds(), []);
}

#[test]
fn a_write_committed_twice_is_found() {
    let mut scenario = scenario();
    scenario.record.log.push(Entry::new(1, 3, "item", "b"));
    assert!(scenario.kinds().contains(&Kind::Duplicated));
}

#[test]
fn a_statement_that_no_caller_sent_is_found() {
    let mut unsent = scenario();
    unsent.record.runs.push(run("9", "FETCH item", 7));
    assert_eq!(unsent.kinds(), [Kind::Unsent]);
    let mut changed = scenario();
    changed.record.runs[0].text = "STORE item z".to_owned();
    assert_eq!(changed.kinds(), [Kind::Unsent]);
    let mut written = scenario();
    written.record.log.push(Entry::new(1, 3, "item", "z"));
    assert_eq!(written.kinds(), [Kind::Unsent]);
}

#[test]
fn a_success_without_proof_of_execution_is_found() {
    let scenario = scenario();
    scenario.history.record_proof("3", "made-up");
    assert_eq!(scenario.kinds(), [Kind::Unproved]);
}

#[test]
fn a_transaction_that_shares_or_changes_its_connection_is_found() {
    let transaction = |scenario: &mut Scenario, connections: [u64; 2]| {
        for (id, connection) in ["5", "6"].into_iter().zip(connections) {
            scenario
                .history
                .record_statement(id, "FETCH item", Some(1), None);
            scenario.record.runs.push(run(id, "FETCH item", connection));
        }
    };
    let mut right = scenario();
    transaction(&mut right, [3, 3]);
    assert_eq!(right.kinds(), []);
    let mut moved = scenario();
    transaction(&mut moved, [3, 4]);
    assert_eq!(moved.kinds(), [Kind::Unpinned]);
    let mut shared = scenario();
    transaction(&mut shared, [3, 3]);
    shared
        .history
        .record_statement("8", "FETCH item", None, None);
    let position = shared.record.runs.len() - 1;
    shared
        .record
        .runs
        .insert(position, run("8", "FETCH item", 3));
    assert_eq!(shared.kinds(), [Kind::Unpinned]);
}

#[test]
fn a_fencing_token_used_by_two_hosts_is_found() {
    let mut scenario = scenario();
    scenario.record.orders = vec![
        order("entry-1", 5),
        order("entry-1", 5),
        order("entry-2", 6),
    ];
    assert_eq!(scenario.kinds(), []);
    scenario.record.orders.push(order("entry-2", 5));
    assert_eq!(scenario.kinds(), [Kind::SharedToken]);
}

/// Adds `count` operations of `team-1`, 10 ms apart, that servers ran in the name of `client`.
fn add_operations(scenario: &mut Scenario, count: u64, client: &str) {
    for number in 0..count {
        let id = format!("t{number}");
        let team = Some("team-1".to_owned());
        scenario
            .history
            .record_statement(&id, "FETCH item", None, team);
        scenario.record.runs.push(Run {
            client: client.to_owned(),
            at: scenario.start + Duration::from_millis(number * 10),
            ..run(&id, "FETCH item", 9)
        });
    }
}

#[test]
fn a_statement_in_the_name_of_another_team_is_found() {
    let mut scenario = scenario();
    add_operations(&mut scenario, 1, "team-1");
    assert_eq!(scenario.kinds(), []);
    add_operations(&mut scenario, 1, "team-2");
    assert_eq!(scenario.kinds(), [Kind::ForeignTeam]);
}

#[test]
fn a_window_over_a_teams_limit_is_found() {
    let limit = |since, rate| Limit { since, rate };
    let mut scenario = scenario();
    // (10 x 5 + 10) x 1.1 + 20 operations are allowed in 5 s.
    scenario.record.limits = vec![vec![], vec![limit(scenario.start, 10)]];
    add_operations(&mut scenario, 86, "team-1");
    assert_eq!(scenario.kinds(), []);
    add_operations(&mut scenario, 87, "team-1");
    assert!(scenario.kinds().contains(&Kind::OverLimit));
    let before = scenario.start.checked_sub(Duration::from_secs(8));
    let lowered = limit(before.expect("a running clock"), 3);
    scenario.record.limits[1].push(lowered);
    assert!(scenario.kinds().contains(&Kind::OverLimit));
}
