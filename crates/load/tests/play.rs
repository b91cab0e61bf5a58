//! Plans played against a real server of the stand-ins.

use std::path::Path;
use std::time::Duration;

use flamingopost_load::caller::Caller;
use flamingopost_load::check::{self, Check};
use flamingopost_load::engine::{self, Way};
use flamingopost_load::history::History;
use flamingopost_load::outcome::Outcome;
use flamingopost_load::plan::Plan;
use flamingopost_standin::backend::fault::Faults;
use flamingopost_standin::backend::{Server, Settings};

const LEADS: i64 = 1 << 32;
const PATIENCE: Duration = Duration::from_secs(5);

const CLASSES: &str = "
[setup]
sql.1 = CREATE TABLE IF NOT EXISTS bids (key text, session text, sequence bigint)
sql.2 = CREATE TABLE IF NOT EXISTS settlements (key text)
sql.3 = CREATE TABLE IF NOT EXISTS releases (key text)
sql.4 = CREATE TABLE IF NOT EXISTS registers (register bigint PRIMARY KEY, value bigint)
[class bid]
kind = write
share = 4
attempts = 3
sql.1 = INSERT INTO bids VALUES ('{key}', '{session}', {sequence})
[class own]
kind = own
sees = bid
share = 4
sql.1 = SELECT '{token}' AS token, coalesce(max(sequence), 0) AS own FROM bids WHERE session = '{session}'
[class bids]
kind = read
share = 2
protocol = prepared
sql.1 = SELECT '{token}' AS token, count(*) AS found FROM bids WHERE sequence = {random 9}
[class settlement]
kind = transaction
transaction = yes
share = 2
sql.1 = INSERT INTO settlements VALUES ('{key}')
sql.2 = INSERT INTO releases SELECT key FROM settlements WHERE key = '{key}'
[class view]
kind = pair
share = 2
sql.1 = SELECT '{token}' AS token, (SELECT count(*) FROM settlements WHERE key = '{pair}') AS first, (SELECT count(*) FROM releases WHERE key = '{pair}') AS second
[class register-write]
kind = register-write
sql.1 = INSERT INTO registers VALUES ({register}, {value}) ON CONFLICT (register) DO UPDATE SET value = excluded.value
[class register-read]
kind = register-read
transaction = yes
sql.1 = SELECT '{token}' AS token, coalesce((SELECT value FROM registers WHERE register = {register}), 0) AS value
[final]
sql.1 = SELECT key FROM bids WHERE session LIKE '{run}-%'
sql.2 = SELECT key FROM settlements WHERE key LIKE '{run}-%'
sql.3 = SELECT key FROM releases WHERE key LIKE '{run}-%'
";

async fn server() -> Server {
    let admin = Some(([127, 0, 0, 1], 0).into());
    let settings = Settings {
        admin,
        ..Settings::new("auction-1", "auction-ledger")
    };
    let server = Server::start(settings).await.unwrap();
    server.promote(LEADS).unwrap();
    server
}

fn plan(server: &Server, more: &str) -> Plan {
    let text = format!(
        "[run]\nrate = 200\nsessions = 20\nduration = 1s\nwarm-up = 0s\n\
         [target]\nurls = postgresql://member@{}/auction-ledger\n{CLASSES}{more}",
        server.address()
    );
    Plan::decode(Path::new("play.ini"), &text).unwrap()
}

async fn play(plan: &Plan) -> History {
    engine::play(plan, Way::Product).await.unwrap().history
}

/// One server, no faults: every check has something to look at and finds nothing.
#[tokio::test(flavor = "multi_thread")]
async fn a_quiet_run_holds() {
    let server = server().await;
    let history = play(&plan(&server, "")).await;
    let report = check::all(&history);
    assert_eq!(report.violations, []);
    for (check, examined) in report.examined {
        // Nothing is refused here, so no refusal can be false.
        assert_eq!(
            examined == 0,
            check == Check::TrueNotRun,
            "{check}: {examined}"
        );
    }
}

/// The server dies in the middle and comes back with its data. Callers whose connections broke
/// know nothing of their last statement; none of them may count it as done or as not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_dies_leaves_unknown_outcomes() {
    let server = server().await;
    let admin = server.admin_address().unwrap();
    let faults = format!(
        "[fault die]\nat = 300ms\nto = primary\npost = http://{admin}/faults {{\"dead\": true}}\n\
         [fault back]\nat = 500ms\npost = http://{admin}/faults {{\"revive\": true}}\n"
    );
    let mut plan = plan(&server, &faults);
    for class in &mut plan.classes {
        // Without a key that the server knows, a second submission would be a second bid.
        class.attempts = 1;
    }
    let history = play(&plan).await;
    let report = check::all(&history);
    assert_eq!(report.violations, []);
    let refused = history
        .operations
        .iter()
        .filter(|one| one.outcome() != Outcome::Done);
    assert!(refused.count() > 0);
}

/// Both guards of sessions are broken on purpose: callers talk to the servers themselves, and
/// roam between the primary and a replica that is half a second late. A member bids and then
/// looks for the bid where it is not; a register read at the replica is stale.
#[tokio::test(flavor = "multi_thread")]
async fn readings_from_a_late_replica_are_caught() {
    let primary = server().await;
    let replica = Settings {
        faults: Faults {
            lag_ms: 500,
            ..Faults::default()
        },
        ..Settings::new("auction-2", "auction-ledger")
    };
    let replica = Server::start(replica).await.unwrap();
    let follow = format!("SELECT group_follow('{}', {LEADS})", primary.address());
    let config = format!(
        "postgresql://flamingopost@{}/auction-ledger",
        replica.address()
    );
    let mut caller = Caller::connect(&config.parse().unwrap(), None, PATIENCE)
        .await
        .unwrap();
    caller.simple(&follow).await.unwrap();
    let mut plan = plan(&primary, "");
    plan.targets.push(config);
    plan.roam = 0.5;
    plan.duration = Duration::from_secs(2);
    let history = play(&plan).await;
    let report = check::all(&history);
    assert!(report.count(Check::ReadYourWrites) > 0);
    assert!(report.count(Check::Linearizable) > 0);
    for check in [Check::AtMostOnce, Check::TrueNotRun, Check::NoLostWrites] {
        assert_eq!(report.count(check), 0, "{check}");
    }
}
