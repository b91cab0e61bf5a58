//! The link to controllers, while they move, die, lag and lie.

mod common;
#[path = "common/control.rs"]
mod control;

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use control::{Control, PRIMARY, SERVICE, TERM, knowledge, view};
use flamingopost_core::clock::{Clock, Manual};
use flamingopost_core::digest::Digest;
use flamingopost_core::key::ServiceKey;
use flamingopost_core::lease::{Acknowledge, Leader};
use flamingopost_core::position::Position;
use flamingopost_daemon::clock::Boot;
use flamingopost_daemon::stop::{Phase, Stop};
use flamingopost_daemon::token::Token;
use flamingopost_entry::link::{self, Host, Link, Options};
use flamingopost_entry::report::Outcome;
use flamingopost_entry::rpc;
use flamingopost_entry::shared::Shared;
use flamingopost_platform::fake::{Fault, Platform};
use flamingopost_platform::head::{HEAD_KEY, Head, body_key};
use flamingopost_platform::object::Store as _;
use flamingopost_platform::table::{Change, Condition, Table as _};
use flamingopost_wire::close::Close;
use flamingopost_wire::knowledge::Knowledge;
use flamingopost_wire::rpc::EntryClient as _;
use jsonrpsee::http_client::HttpClientBuilder;

const BODY: &str = "
[zone bole-hall]
region = addis-ababa
[customer tesfa]
[class bid]
weight = 10
deadline = 300ms
[fleet]
shards = 1
default_class = bid
[service auction-ledger]
customer = tesfa
slots = 3
connections = 36
connect_cost = 30ms
[server auction-ledger-1]
service = auction-ledger
zone = bole-hall
address = 127.0.0.1:7001
";

const PATIENCE: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(50);

struct Entry {
    shared: Arc<Shared>,
    link: Arc<Link>,
    rpc: std::net::SocketAddr,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.shared.stop().stop();
    }
}

impl Entry {
    async fn start(
        clock: Arc<dyn Clock>,
        platform: Arc<Platform>,
        peers: &[&Control],
        relay: Option<&Control>,
    ) -> Entry {
        let shared = Arc::new(Shared::new(clock, Stop::default()));
        let socket = TcpListener::bind("127.0.0.1:0").unwrap();
        let rpc = socket.local_addr().unwrap();
        let options = Options {
            host: Host {
                name: "bole-1".to_owned(),
                zone: "bole-hall".to_owned(),
                rpc: rpc.to_string(),
            },
            peers: peers.iter().map(|peer| peer.address).collect(),
            relay: relay.map(|relay| relay.address),
            poll: POLL,
            token: Token::new(""),
        };
        let link = link::start(shared.clone(), options, platform.clone(), platform);
        rpc::serve(socket, &Token::new(""), shared.clone(), link.clone())
            .await
            .unwrap();
        Entry { shared, link, rpc }
    }

    fn service(&self) -> ServiceKey {
        self.shared.intern(|names| names.services.intern(SERVICE))
    }

    fn version(&self) -> u64 {
        self.shared.adopted().map_or(0, |adopted| adopted.version)
    }

    fn is_leased(&self) -> bool {
        matches!(self.shared.leader(self.service()), Leader::Open { .. })
    }

    fn acknowledge(&self, log: u64) -> Acknowledge {
        let term = TERM.parse().unwrap();
        self.shared
            .acknowledge(self.service(), term, Position { term, log })
    }
}

/// A controller, and an entry host that holds a lease of it.
async fn leased() -> (Control, Entry) {
    let platform = Arc::new(Platform::default());
    put(&platform, 1, BODY).await;
    let control = Control::start(Knowledge::default()).await;
    control.names(&control, 1);
    let entry = Entry::start(Arc::new(Boot), platform, &[&control], None).await;
    until("a lease", || entry.is_leased()).await;
    (control, entry)
}

/// Waits for `condition`, which holds sooner or later unless something is broken.
async fn until(what: &str, condition: impl Fn() -> bool) {
    let waited = tokio::time::timeout(PATIENCE, async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    assert!(waited.await.is_ok(), "never came: {what}");
}

async fn put(platform: &Platform, version: u64, body: &str) {
    let digest = Digest::of(body.as_bytes());
    platform
        .put(&body_key(digest), body.as_bytes().to_vec())
        .await
        .unwrap();
    put_head(platform, version, body).await;
}

async fn put_head(platform: &Platform, version: u64, body: &str) {
    let head = Head {
        version,
        digest: Digest::of(body.as_bytes()).to_string(),
        submission: format!("submission-{version}"),
        operator: "ayele".to_owned(),
        at_ms: 0,
    };
    let row = platform.read(HEAD_KEY).await.unwrap();
    let change = Change {
        key: HEAD_KEY.to_owned(),
        condition: row.map_or(Condition::Absent, |row| Condition::Tag(row.tag)),
        body: head.encode(),
    };
    platform.write(vec![change]).await.unwrap();
}

fn body(version: u64) -> String {
    format!("; version {version}\n{BODY}")
}

#[tokio::test]
async fn a_host_gets_configuration_controller_and_lease() {
    let (control, entry) = leased().await;
    assert_eq!(entry.version(), 1);
    assert_eq!(entry.acknowledge(7), Acknowledge::Done);
    let primary = entry.shared.directory().servers.find(PRIMARY).unwrap();
    assert_eq!(entry.shared.allotment(primary), 5);
    let renewal = control.state().renewals[0].clone();
    assert_eq!((renewal.config, renewal.version), (1, None));
    assert_eq!(renewal.rpc, entry.rpc.to_string());
}

/// An operator drains the host by its name, at whichever controller is at hand. The host learns of
/// it with its next lease and begins to end; it does not wait for somebody to log in to it.
#[tokio::test]
async fn a_host_drains_when_its_controller_says_so() {
    let (control, entry) = leased().await;
    assert_eq!(entry.shared.stop().phase(), Phase::Running);
    control.state().drain = true;
    until("the drain", || {
        entry.shared.stop().phase() == Phase::Draining
    })
    .await;
}

/// All hosts of a zone were replaced while the platform's store is down. Callers find hosts that
/// know nothing. A control process elsewhere still has the configuration in force and knows the
/// controller: the fresh host serves by what it tells.
#[tokio::test]
async fn a_fresh_host_learns_from_a_peer_while_the_store_is_down() {
    let platform = Arc::new(Platform::default());
    platform.set_fault(Fault {
        down: true,
        ..Fault::default()
    });
    let control = Control::start(knowledge(4, BODY)).await;
    control.names(&control, 1);
    let entry = Entry::start(Arc::new(Boot), platform, &[&control], None).await;
    until("a lease", || entry.is_leased()).await;
    assert_eq!(entry.version(), 4);
}

/// The store is down, and one control process is behind the other. A fresh host that took the
/// first answer would put an older configuration in force than its zone already had.
#[tokio::test]
async fn a_fresh_host_takes_the_highest_of_its_peers() {
    let platform = Arc::new(Platform::default());
    platform.set_fault(Fault {
        down: true,
        ..Fault::default()
    });
    let behind = Control::start(knowledge(3, &body(3))).await;
    let ahead = Control::start(knowledge(4, &body(4))).await;
    let entry = Entry::start(Arc::new(Boot), platform, &[&behind, &ahead], None).await;
    let mut adoptions = entry.shared.adoptions();
    let first = tokio::time::timeout(PATIENCE, adoptions.wait_for(Option::is_some));
    let first = first.await.unwrap().unwrap().as_ref().unwrap().version;
    assert_eq!(first, 4);
}

/// Operators have submitted version 2 and see it in force. Then a reader of the table that lags
/// answers with version 1 again, and a control process that was cut off says 1 as well. Rules
/// that were withdrawn must not come back.
#[tokio::test]
async fn a_configuration_never_goes_back() {
    let platform = Arc::new(Platform::default());
    put(&platform, 1, &body(1)).await;
    put(&platform, 2, &body(2)).await;
    let control = Control::start(knowledge(1, &body(1))).await;
    control.names(&control, 1);
    let entry = Entry::start(Arc::new(Boot), platform.clone(), &[&control], None).await;
    until("version 2", || entry.version() == 2).await;
    put_head(&platform, 1, &body(1)).await;
    let (reads, renewals) = (platform.reads(), control.state().renewals.len());
    until("ten more reads", || platform.reads() > reads + 10).await;
    until("a renewal", || control.state().renewals.len() > renewals).await;
    assert_eq!(entry.version(), 2);
}

#[tokio::test]
async fn a_version_that_a_controller_names_is_fetched_from_it() {
    let platform = Arc::new(Platform::default());
    put(&platform, 1, &body(1)).await;
    let control = Control::start(knowledge(1, &body(1))).await;
    control.names(&control, 1);
    let entry = Entry::start(Arc::new(Boot), platform.clone(), &[&control], None).await;
    until("a lease", || entry.is_leased()).await;
    platform.set_fault(Fault {
        down: true,
        ..Fault::default()
    });
    let controllers = control.state().knowledge.controllers.clone();
    control.state().knowledge = Knowledge {
        controllers,
        ..knowledge(2, &body(2))
    };
    until("version 2", || entry.version() == 2).await;
}

/// A control process has been given a damaged body, or lies. Its digest does not fit, and a host
/// that took it would serve by rules that nobody submitted.
#[tokio::test]
async fn a_damaged_body_is_not_put_in_force() {
    let platform = Arc::new(Platform::default());
    platform.set_fault(Fault {
        down: true,
        ..Fault::default()
    });
    let mut lie = knowledge(9, &body(9));
    lie.body = Some(body(8));
    let liar = Control::start(lie).await;
    let entry = Entry::start(Arc::new(Boot), platform.clone(), &[&liar], None).await;
    let reads = platform.reads();
    until("ten more polls", || platform.reads() > reads + 10).await;
    assert_eq!(entry.version(), 0);
}

/// The controller of the shard is replaced by its standby. The old one still answers: it refuses
/// and says who leads now. Writes have to go on under a lease of the new one.
#[tokio::test]
async fn a_controller_that_was_replaced_names_its_successor() {
    let platform = Arc::new(Platform::default());
    put(&platform, 1, BODY).await;
    let old = Control::start(Knowledge::default()).await;
    let new = Control::start(Knowledge::default()).await;
    old.names(&old, 1);
    let entry = Entry::start(Arc::new(Boot), platform, &[&old], None).await;
    until("a lease", || entry.is_leased()).await;
    new.state().view.version.epoch = 2;
    old.state().grants = Err(Some(new.address.to_string()));
    until("a lease of the new one", || {
        let version = entry.shared.leases().version(0);
        version.is_some_and(|version| version.epoch == 2)
    })
    .await;
    assert!(entry.is_leased());
}

/// The host of the controller dies with no word. Renewals fail; another control process, which
/// the host knows from its settings, names the successor.
#[tokio::test]
async fn a_controller_that_died_is_looked_for_at_others() {
    let platform = Arc::new(Platform::default());
    put(&platform, 1, BODY).await;
    let (old, new) = (
        Control::start(Knowledge::default()).await,
        Control::start(Knowledge::default()).await,
    );
    let other = Control::start(Knowledge::default()).await;
    other.names(&old, 1);
    let entry = Entry::start(Arc::new(Boot), platform, &[&other], None).await;
    until("a lease", || entry.is_leased()).await;
    old.die().await;
    new.state().view.version.epoch = 2;
    other.names(&new, 2);
    until("a renewal at the new one", || {
        !new.state().renewals.is_empty()
    })
    .await;
    until("a lease", || entry.is_leased()).await;
}

/// A hypervisor stops the whole machine for a minute between a write's answer and the word to
/// its caller. Meanwhile another server was promoted. The host must not say "done" by a lease
/// that ran out while it did not run, and must find its feet again afterwards.
#[tokio::test]
async fn a_lease_that_ran_out_in_a_pause_acknowledges_nothing() {
    let platform = Arc::new(Platform::default());
    put(&platform, 1, BODY).await;
    let control = Control::start(Knowledge::default()).await;
    control.names(&control, 1);
    let clock = Arc::new(Manual::default());
    let entry = Entry::start(clock.clone(), platform, &[&control], None).await;
    until("a lease", || entry.is_leased()).await;
    assert_eq!(entry.acknowledge(7), Acknowledge::Done);
    control.state().grants = Err(None);
    let sent = control.state().renewals.len();
    until("renewals refused", || {
        control.state().renewals.len() > sent + 1
    })
    .await;
    clock.advance(Duration::from_secs(60));
    assert_eq!(entry.acknowledge(8), Acknowledge::Unknown);
    assert!(matches!(
        entry.shared.leader(entry.service()),
        Leader::Lapsed { .. }
    ));
    let primary = entry.shared.directory().servers.find(PRIMARY).unwrap();
    assert_eq!(
        entry.shared.allotment(primary),
        0,
        "its connections may be another's"
    );
    control.state().grants = Ok(());
    until("a lease", || entry.is_leased()).await;
    assert_eq!(entry.acknowledge(9), Acknowledge::Done);
}

/// A primary is replaced. The controller closes its term at every host; once a host has answered,
/// no write of that term may be acknowledged there, and the answer must tell the highest one that
/// was: the replica to be promoted has to have it.
#[tokio::test]
async fn a_closed_term_acknowledges_nothing_and_tells_what_it_did() {
    let (control, entry) = leased().await;
    assert_eq!(entry.acknowledge(7), Acknowledge::Done);
    control.state().view = view(2, TERM, None);
    let close = Close {
        shard: 0,
        view: view(2, TERM, None),
        config: 1,
    };
    let client = HttpClientBuilder::default()
        .build(format!("http://{}", entry.rpc))
        .unwrap();
    let closed = client.close(close).await.unwrap();
    assert_eq!(closed.acknowledged[SERVICE], "1.0/7");
    assert_eq!(closed.incarnation, entry.shared.incarnation());
    assert_eq!(entry.acknowledge(8), Acknowledge::Unknown);

    let mut opened = view(3, "1.1", Some("auction-ledger-2"));
    opened
        .services
        .get_mut(SERVICE)
        .unwrap()
        .history
        .insert("1.1".to_owned(), 7);
    control.state().view = opened.clone();
    let push = Close {
        shard: 0,
        view: opened,
        config: 1,
    };
    assert_eq!(client.view(push).await.unwrap(), 1);
    until("the new term", || entry.is_leased()).await;
    let told = client.knowledge(0).await.unwrap();
    assert_eq!((told.version, told.body.as_deref()), (1, Some(BODY)));
}

/// The zone's relay dies. Hosts that insisted on it would all lose their leases at once, with
/// every controller alive.
#[tokio::test]
async fn a_dead_relay_is_passed_by() {
    let platform = Arc::new(Platform::default());
    put(&platform, 1, BODY).await;
    let control = Control::start(Knowledge::default()).await;
    let relay = Control::start(Knowledge::default()).await;
    control.names(&control, 1);
    relay.names(&control, 1);
    let clock = Arc::new(Boot);
    let entry = Entry::start(clock, platform, &[&control], Some(&relay)).await;
    until("a lease by the relay", || entry.is_leased()).await;
    assert!(control.state().renewals.is_empty());
    relay.die().await;
    until("a renewal past it", || !control.state().renewals.is_empty()).await;
    until("a lease", || entry.is_leased()).await;
}

/// The control process that settings name as the relay was not set up as one, and refuses. The
/// host must not go without leases for that.
#[tokio::test]
async fn a_relay_that_refuses_is_passed_by() {
    let platform = Arc::new(Platform::default());
    put(&platform, 1, BODY).await;
    let control = Control::start(Knowledge::default()).await;
    let relay = Control::start(Knowledge::default()).await;
    relay.state().grants = Err(None);
    control.names(&control, 1);
    let clock = Arc::new(Boot);
    let entry = Entry::start(clock, platform, &[&control], Some(&relay)).await;
    until("a lease past the relay", || entry.is_leased()).await;
    assert!(!relay.state().renewals.is_empty());
}

/// A backend server refuses connections. The controller hears of it with the next renewal, which
/// goes out at once, and a renewal that is lost does not take the report with it.
#[tokio::test]
async fn trouble_with_a_server_is_reported_even_when_a_renewal_is_lost() {
    let (control, entry) = leased().await;
    let primary = entry.shared.directory().servers.find(PRIMARY).unwrap();
    control.state().grants = Err(None);
    entry.shared.report(primary, Outcome::Broken);
    let reported = |control: &Control| {
        let state = control.state();
        let reports = state
            .renewals
            .iter()
            .filter_map(|one| one.reports.get(PRIMARY));
        reports.filter(|report| report.broken == 1).count()
    };
    until("the report, refused", || reported(&control) >= 1).await;
    until("the report again", || reported(&control) >= 2).await;
}

#[tokio::test]
async fn a_stopping_host_gives_up_its_leases() {
    let (control, entry) = leased().await;
    entry.link.farewell().await;
    assert!(
        control
            .state()
            .renewals
            .iter()
            .any(|renewal| renewal.stopping)
    );
}
