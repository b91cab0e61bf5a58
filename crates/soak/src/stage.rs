//! Everything that one run consists of, from its start to its end.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::time::{Duration, Instant};

use flamingopost_standin::pooled::{Faults, Mode, Replaced, Site};
use flamingopost_standin::ports;
use tokio::task::JoinSet;

use crate::caller::{Caller, DATABASES};
use crate::check::Record;
use crate::fault::Victim;
use crate::ledger::{Fate, Ledger, Write};
use crate::net::{End, Net};
use crate::plan::Plan;
use crate::problem::Kind;
use crate::process::{Host, Settings};
use crate::session::Session;

/// The one service of a run.
pub(crate) const SERVICE: &str = "ledger";

/// How long hosts have to end; half of it is left to open transactions.
pub(crate) const GRACE: Duration = Duration::from_secs(2);

/// What a host may take beyond its grace, on a machine that runs all of them.
pub(crate) const GRACE_MARGIN: Duration = Duration::from_secs(2);

/// How long everything may take to work again after the last fault.
const RECOVERY: Duration = Duration::from_secs(12);

/// How long hosts may take to get ready at the start.
const START: Duration = Duration::from_secs(20);

/// Memory that a host may use: it serves a handful of callers, and its logs have bounds.
const MEMORY: u64 = 64 << 20;

/// How long one question at the end may take.
const QUESTION: Duration = Duration::from_secs(3);

/// Everything that one run consists of.
pub(crate) struct Stage {
    pub(crate) site: Site,
    pub(crate) net: Net,
    pub(crate) hosts: Arc<Vec<Host>>,
    pub(crate) ledger: Arc<Ledger>,
    pub(crate) plan: Plan,
    configurations: AtomicU16,
}

impl Stage {
    /// Starts everything; hosts may not serve yet.
    pub(crate) async fn set(plan: Plan, program: &Path, folder: &Path) -> io::Result<Stage> {
        let site = Site::start(&[SERVICE], plan.sizes).await?;
        if plan.lax {
            site.group(SERVICE).set_replaced(Replaced::LeadsOn);
            site.set_fencing(false);
        }
        let net = Net::default();
        let names: BTreeMap<String, usize> =
            (0..plan.hosts).map(|host| (name(host), host)).collect();
        let names = Arc::new(names);
        for number in 0..plan.sizes.servers {
            let (id, end) = (server(number), End::Server(number));
            let relay = net
                .server(end, site.address(&id), Arc::clone(&names))
                .await?;
            site.show(&id, relay);
        }
        let ports: Vec<[SocketAddr; 3]> = (0..plan.hosts)
            .map(|_| [(); 3].map(|()| ports::free()))
            .collect();
        let senders = ports
            .iter()
            .enumerate()
            .map(|(host, ports)| (ports[2], host));
        let senders: Arc<BTreeMap<SocketAddr, usize>> = Arc::new(senders.collect());
        let mut hosts = Vec::new();
        for (host, [callers, probe, peers]) in ports.into_iter().enumerate() {
            let (from, store, orders) = (End::Host(host), site.store_address, site.orders_address);
            let names = Arc::clone(&names);
            hosts.push(Host::new(Settings {
                program: program.to_owned(),
                folder: PathBuf::from(folder),
                name: name(host),
                zone: format!("zone-{}", host % plan.zones + 1),
                callers,
                probe,
                peers,
                announced: net.peers(host, peers, names, Arc::clone(&senders)).await?,
                store: net.link(from, End::Store, store).await?,
                orders: net.link(from, End::Orders, orders).await?,
                promotion: plan.sizes.promotion,
                grace: GRACE,
                unread: plan.unread == Some(host),
            })?);
        }
        let stage = Stage {
            site,
            net,
            hosts: Arc::new(hosts),
            ledger: Arc::default(),
            plan,
            configurations: AtomicU16::new(0),
        };
        stage.configure();
        for host in stage.hosts.iter() {
            host.start()?;
        }
        Ok(stage)
    }

    /// Has callers work until `stop`.
    pub(crate) fn callers(&self, stop: &Arc<AtomicBool>) -> JoinSet<()> {
        let count = self.plan.callers as u64;
        let mut callers = JoinSet::new();
        for number in 0..count {
            let caller = Caller::new(
                number,
                count,
                self.plan.seed,
                Arc::clone(&self.hosts),
                Arc::clone(&self.ledger),
                Arc::clone(stop),
            );
            callers.spawn(caller.run());
        }
        callers
    }

    /// Puts a further configuration in force: the usual databases, and one that only this
    /// version has.
    pub(crate) fn configure(&self) {
        let number = self.configurations.fetch_add(1, Ordering::Relaxed) + 1;
        let extra = extra(number);
        let mut routes: Vec<(&str, &str, &str, u64)> = DATABASES
            .iter()
            .map(|it| (it.name, SERVICE, it.kind, millis(it.age)))
            .collect();
        routes.push((&extra, SERVICE, "primary", 0));
        self.site.configure(&routes);
    }

    /// Ends everything that still goes wrong.
    pub(crate) async fn heal(&self) -> io::Result<()> {
        self.net.heal();
        self.site.store.set_mode(Mode::Up);
        for number in 0..self.plan.sizes.servers {
            let id = server(number);
            self.site.set_faults(&id, Faults::default());
            self.site.group(SERVICE).set_deaf(&id, false);
            self.revive(&id).await;
            self.site.stay(&id);
        }
        for host in self.hosts.iter() {
            host.pause(false);
            host.start()?;
        }
        self.configure();
        Ok(())
    }

    /// Waits until every host serves every database again, each for itself: asked one after the
    /// other, the last of many hosts would have to answer within what the others leave.
    pub(crate) async fn recover(&self) {
        let newest = extra(self.configurations.load(Ordering::Relaxed));
        let waits = self
            .hosts
            .iter()
            .map(|host| self.serves_again(host, &newest));
        futures::future::join_all(waits).await;
    }

    /// Waits until `host` serves the usual databases and `newest` again.
    async fn serves_again(&self, host: &Host, newest: &str) {
        let start = Instant::now();
        for database in DATABASES.iter().map(|it| it.name).chain([newest]) {
            while !self.serves(host, database).await {
                if start.elapsed() > RECOVERY {
                    let name = &host.settings.name;
                    let condition = host.condition();
                    let problem =
                        format!("{name} does not serve {database} after {RECOVERY:?}: {condition}");
                    self.ledger.object(Kind::NotRecovered, problem);
                    break;
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }

    /// Whether `host` answers a read and a write on `database`.
    async fn serves(&self, host: &Host, database: &str) -> bool {
        let Ok(mut session) = Session::open(host.settings.callers, database).await else {
            return false;
        };
        for text in [
            "FETCH probe".to_owned(),
            format!("STORE probe d{}", self.ledger.next()),
        ] {
            let id = format!("{:016x}", self.ledger.next());
            self.ledger.send(&id, &text, None);
            if let Some(data) = text.strip_prefix("STORE probe ") {
                self.ledger.write(Write {
                    item: "probe".to_owned(),
                    data: data.to_owned(),
                    fate: Fate::Open,
                    at: Instant::now(),
                });
            }
            let reply = session.run(&id, &text, QUESTION).await;
            if !reply.is_ok_and(|reply| reply.is_done()) {
                return false;
            }
        }
        true
    }

    /// Whether `host` has ended though nobody told it to.
    pub(crate) fn has_fallen(&self, host: &Host) -> bool {
        let Some(status) = host.fell() else {
            return false;
        };
        let problem = format!("{} ended by itself with {status}", host.settings.name);
        self.ledger.object(Kind::Fallen, problem);
        true
    }

    /// What servers and platform saw.
    pub(crate) fn record(&self) -> Record {
        let group = self.site.group(SERVICE);
        Record {
            log: group.log(),
            rollbacks: group.rollbacks(),
            runs: group.runs(),
            orders: self.site.orders(),
            log_events: group.log_events(),
        }
    }

    /// Looks at each process once more, and has all of them end.
    pub(crate) async fn finish(&self) {
        for host in self.hosts.iter() {
            let name = &host.settings.name;
            if self.has_fallen(host) {
                continue;
            }
            let used = host.resident();
            if used > MEMORY {
                let problem = format!("{name} uses {used} bytes");
                self.ledger.object(Kind::Memory, problem);
            }
            host.terminate();
        }
        for host in self.hosts.iter() {
            let name = &host.settings.name;
            let problem = match host.ended(GRACE + GRACE_MARGIN).await {
                Some(status) if status.success() => continue,
                Some(status) => format!("{name} ended with {status}"),
                None => format!("{name} does not end"),
            };
            self.ledger.object(Kind::NotStopped, problem);
        }
    }

    /// Waits until all hosts serve.
    pub(crate) async fn started(&self) {
        if !self.all_ready(START).await {
            let problem = "not all hosts get ready".to_owned();
            self.ledger.object(Kind::NotStarted, problem);
        }
    }

    async fn all_ready(&self, limit: Duration) -> bool {
        let start = Instant::now();
        for host in self.hosts.iter() {
            while Session::open(host.settings.callers, DATABASES[0].name)
                .await
                .is_err()
            {
                if start.elapsed() > limit {
                    return false;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        true
    }

    /// Where host `number` takes callers.
    pub(crate) fn host(&self, number: usize) -> SocketAddr {
        self.hosts[number].settings.callers
    }

    /// The server that leads.
    pub(crate) fn primary(&self) -> String {
        self.victim(Victim::Primary)
    }

    /// Name of the server that a fault strikes.
    pub(crate) fn victim(&self, victim: Victim) -> String {
        match victim {
            Victim::Primary => {
                let leader = self.site.group(SERVICE).leader();
                leader.unwrap_or_else(|| server(0))
            }
            Victim::Number(number) => server(number),
        }
    }

    /// Starts a server again if it does not run.
    pub(crate) async fn revive(&self, server: &str) {
        // Another fault may have brought it back already: its port is taken then.
        let _ = self.site.restart(server).await;
    }
}

fn name(host: usize) -> String {
    format!("entry-{}", host + 1)
}

fn server(number: usize) -> String {
    format!("{SERVICE}-{}", number + 1)
}

fn extra(number: u16) -> String {
    format!("extra-{number}")
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
