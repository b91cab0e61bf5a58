//! The testbed of a run: the stand-in platform, relays, hosts and callers, from start to shutdown.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::time::{Duration, Instant};

use flamingopost_standin::pooled::{Faults, Mode, OrderMode, Replaced, Site};
use flamingopost_standin::ports;
use tokio::task::JoinSet;

use crate::caller::{Caller, DATABASES};
use crate::check::Record;
use crate::fault::Victim;
use crate::history::{History, Outcome, Write};
use crate::net::{Endpoint, Net};
use crate::plan::Plan;
use crate::problem::Kind;
use crate::process::{Host, Settings};
use crate::session::Session;
use crate::starter::Starter;
use crate::teams::{CHECKS, CHECKS_KEY, TEAMS, Teams};

/// Name of the only service of a run.
pub(crate) const SERVICE: &str = "ledger";

/// Time limit for a host's graceful shutdown. Open transactions get half of it.
pub(crate) const SHUTDOWN_GRACE: Duration = Duration::from_secs(2);

/// Margin beyond [`SHUTDOWN_GRACE`], because all hosts share one machine.
pub(crate) const SHUTDOWN_MARGIN: Duration = Duration::from_secs(2);

/// Time limit for each host to serve all databases again after the last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// Time limit for all hosts to become ready at the start.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum resident memory of a host, in bytes: it serves a handful of callers, and its logs are
/// bounded.
const MAX_MEMORY_BYTES: u64 = 64 << 20;

/// Time limit for each statement that checks whether a host has recovered.
const PROBE_TIMEOUT: Duration = Duration::from_secs(3);

/// The platform, relays, hosts and history of a run.
pub(crate) struct Testbed {
    pub(crate) site: Site,
    pub(crate) net: Net,
    pub(crate) hosts: Arc<Vec<Host>>,
    pub(crate) history: Arc<History>,
    pub(crate) plan: Plan,
    /// Number of configuration versions that were published so far.
    configurations: AtomicU16,
    /// Starts the hosts, if something goes wrong as they start.
    pub(crate) starter: Option<Arc<Starter>>,
    /// The teams, where callers belong to some.
    pub(crate) teams: Option<Arc<Teams>>,
}

impl Testbed {
    /// Starts the platform, the relays and all hosts, which may not serve yet.
    pub(crate) async fn start(plan: Plan, program: &Path, folder: &Path) -> io::Result<Testbed> {
        let site = Site::start(&[SERVICE], plan.sizes).await?;
        if plan.lax {
            site.group(SERVICE).set_replaced(Replaced::LeadsOn);
            site.set_fencing(false);
        }
        let net = Net::default();
        net.set_late_datagrams(plan.late_datagrams);
        let host_numbers: BTreeMap<String, usize> = (0..plan.hosts)
            .map(|host| (host_name(host), host))
            .collect();
        let mut clients: BTreeMap<String, Endpoint> = host_numbers
            .iter()
            .map(|(name, host)| (name.clone(), Endpoint::Host(*host)))
            .collect();
        if plan.has_teams() {
            let teams = (0..TEAMS as u64).map(Teams::name);
            let teams = teams.chain([CHECKS.to_owned()]);
            clients.extend(teams.map(|team| (team, Endpoint::Teams)));
        }
        let clients = Arc::new(clients);
        for number in 0..plan.sizes.servers {
            let (id, end) = (server_name(number), Endpoint::Server(number));
            let relay = net
                .relay_server(end, site.address(&id), Arc::clone(&clients))
                .await?;
            site.show(&id, relay);
        }
        let ports: Vec<[SocketAddr; 3]> = (0..plan.hosts)
            // A host serves feeds on the port after that for messages, so two in a row are needed.
            .map(|_| [ports::free(), ports::free(), ports::free_pair()])
            .collect();
        let hosts_by_address = ports
            .iter()
            .enumerate()
            .map(|(host, ports)| (ports[2], host));
        let hosts_by_address: Arc<BTreeMap<SocketAddr, usize>> =
            Arc::new(hosts_by_address.collect());
        let mut hosts = Vec::new();
        for (host, [callers, probe, peers]) in ports.into_iter().enumerate() {
            let (from, store, orders) = (
                Endpoint::Host(host),
                site.store_address,
                site.orders_address,
            );
            let clients = Arc::clone(&clients);
            hosts.push(Host::new(Settings {
                program: program.to_owned(),
                folder: PathBuf::from(folder),
                name: host_name(host),
                zone: format!("zone-{}", host % plan.zones + 1),
                callers,
                probe,
                peers,
                announced: net
                    .relay_peers(host, peers, clients, Arc::clone(&hosts_by_address))
                    .await?,
                store: net.relay(from, Endpoint::Store, store).await?,
                orders: net.relay(from, Endpoint::Orders, orders).await?,
                grace: SHUTDOWN_GRACE,
                unread_log: plan.unread == Some(host),
            })?);
        }
        let teams = plan.has_teams().then(Arc::default);
        let (hosts, history) = (Arc::new(hosts), Arc::default());
        let starter = (!plan.starts.is_empty()).then(|| {
            let metrics = hosts.iter().map(|_| ports::free()).collect();
            let (hosts, history) = (Arc::clone(&hosts), Arc::clone(&history));
            Arc::new(Starter::new(hosts, history, &plan.starts, metrics))
        });
        let testbed = Testbed {
            starter,
            teams,
            site,
            net,
            hosts,
            history,
            plan,
            configurations: AtomicU16::new(0),
        };
        testbed.configure();
        for host in 0..testbed.plan.hosts {
            testbed.start_host(host);
        }
        Ok(testbed)
    }

    /// Starts a host if it does not run, and reports a problem if that fails.
    pub(crate) fn start_host(&self, number: usize) {
        if let Some(starter) = &self.starter {
            return starter.start(number);
        }
        if let Err(error) = self.hosts[number].start() {
            let problem = error.to_string();
            self.history.report_problem(Kind::NotStarted, problem);
        }
    }

    /// Starts the callers, which work until `stop` is set.
    pub(crate) fn start_callers(&self, stop: &Arc<AtomicBool>) -> JoinSet<()> {
        let count = self.plan.callers as u64;
        let mut callers = JoinSet::new();
        for number in 0..count {
            let caller = Caller::new(
                number,
                count,
                self.plan.seed,
                Arc::clone(&self.hosts),
                Arc::clone(&self.history),
                Arc::clone(stop),
                self.teams.clone(),
            );
            callers.spawn(caller.run());
        }
        callers
    }

    /// Publishes the next version of the configuration: the usual databases, and one that only this
    /// version contains.
    pub(crate) fn configure(&self) {
        let number = self.configurations.fetch_add(1, Ordering::Relaxed) + 1;
        let extra_database = extra_database(number);
        let mut routes: Vec<(&str, &str, &str, u64)> = DATABASES
            .iter()
            .map(|it| (it.name, SERVICE, it.kind, millis(it.max_staleness)))
            .collect();
        routes.push((&extra_database, SERVICE, "primary", 0));
        if let Some(teams) = &self.teams {
            self.site.set_teams(&teams.configured());
        }
        self.site.configure(&routes);
    }

    /// Changes the teams, and publishes a new version of the configuration.
    pub(crate) fn change_teams(&self, change: impl FnOnce(&Teams)) {
        if let Some(teams) = &self.teams {
            change(teams);
            self.configure();
        }
    }

    /// Ends all faults, restarts all servers and hosts that are down, and publishes a new version
    /// of the configuration.
    pub(crate) async fn heal(&self) {
        self.net.heal();
        self.site.store.set_mode(Mode::Up);
        self.site.set_order_mode(OrderMode::Answered);
        for number in 0..self.plan.sizes.servers {
            let id = server_name(number);
            self.site.set_faults(&id, Faults::default());
            self.site.group(SERVICE).set_deaf(&id, false);
            self.revive(&id).await;
            self.site.stay(&id);
        }
        for (number, host) in self.hosts.iter().enumerate() {
            host.set_paused(false);
            self.start_host(number);
        }
        if let Some(starter) = &self.starter {
            starter.finish().await;
        }
        self.configure();
    }

    /// Waits until every host serves every database again. Hosts are checked concurrently, so that
    /// each has the full [`RECOVERY_TIMEOUT`]: checked in sequence, the last of many hosts would
    /// have only the time that the others leave.
    pub(crate) async fn wait_until_recovered(&self) {
        let newest = extra_database(self.configurations.load(Ordering::Relaxed));
        let waits = self
            .hosts
            .iter()
            .map(|host| self.wait_until_serving(host, &newest));
        futures::future::join_all(waits).await;
        for host in self.hosts.iter() {
            self.check_removed_keys(host).await;
        }
    }

    /// Reports API keys that operators have removed and `host` still accepts.
    async fn check_removed_keys(&self, host: &Host) {
        let former = self
            .teams
            .iter()
            .flat_map(|teams| (0..TEAMS).filter_map(|team| teams.former_key(team)));
        for key in former {
            if Session::open(host.settings.callers, DATABASES[0].name, &key)
                .await
                .is_ok()
            {
                let problem = format!("{} accepts {key}", host.settings.name);
                self.history.report_problem(Kind::RemovedKey, problem);
            }
        }
    }

    /// Waits until `host` serves the usual databases and `newest` again, and reports each one that
    /// it does not serve in time.
    async fn wait_until_serving(&self, host: &Host, newest: &str) {
        let start = Instant::now();
        for database in DATABASES.iter().map(|it| it.name).chain([newest]) {
            while !self.serves(host, database).await {
                if start.elapsed() > RECOVERY_TIMEOUT {
                    let name = &host.settings.name;
                    let state = host.process_state();
                    let problem = format!(
                        "{name} does not serve {database} after {RECOVERY_TIMEOUT:?}: {state}"
                    );
                    self.history.report_problem(Kind::NotRecovered, problem);
                    break;
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }

    /// Returns whether `host` answers a read and a write on `database`.
    async fn serves(&self, host: &Host, database: &str) -> bool {
        let opened = Session::open(host.settings.callers, database, self.probe_key()).await;
        let Ok(mut session) = opened else {
            return false;
        };
        for text in [
            "FETCH probe".to_owned(),
            format!("STORE probe d{}", self.history.next_number()),
        ] {
            let id = format!("{:016x}", self.history.next_number());
            let team = self.teams.as_ref().map(|_| CHECKS.to_owned());
            self.history.record_statement(&id, &text, None, team);
            if let Some(data) = text.strip_prefix("STORE probe ") {
                self.history.record_write(Write {
                    item: "probe".to_owned(),
                    data: data.to_owned(),
                    outcome: Outcome::Unknown,
                    at: Instant::now(),
                });
            }
            let reply = session.run(&id, &text, PROBE_TIMEOUT).await;
            if !reply.is_ok_and(|reply| reply.is_done()) {
                return false;
            }
        }
        true
    }

    /// Returns the API key of the statements that check hosts.
    fn probe_key(&self) -> &'static str {
        match self.teams {
            Some(_) => CHECKS_KEY,
            None => "anybody",
        }
    }

    /// Reports a problem and returns `true` if `host` has exited without being asked to.
    pub(crate) fn check_unexpected_exit(&self, host: &Host) -> bool {
        let Some(status) = host.unexpected_exit() else {
            return false;
        };
        let problem = format!("{} exited unexpectedly with {status}", host.settings.name);
        self.history.report_problem(Kind::UnexpectedExit, problem);
        true
    }

    /// Returns what the servers and the platform recorded.
    pub(crate) fn record(&self) -> Record {
        let group = self.site.group(SERVICE);
        Record {
            log: group.log(),
            rollbacks: group.rollbacks(),
            runs: group.runs(),
            orders: self.site.orders(),
            limits: self
                .teams
                .as_ref()
                .map_or_else(Vec::new, |teams| teams.limits()),
            log_events: group.log_events(),
            synchronous: self.plan.sizes.synchronous,
        }
    }

    /// Checks each host for an unexpected exit and its memory use, stops all hosts, and checks their
    /// logs for panics.
    pub(crate) async fn stop_hosts(&self) {
        for host in self.hosts.iter() {
            let name = &host.settings.name;
            if self.check_unexpected_exit(host) {
                continue;
            }
            let used = host.resident();
            if used > MAX_MEMORY_BYTES {
                let problem = format!("{name} uses {used} bytes of memory");
                self.history.report_problem(Kind::Memory, problem);
            }
            host.terminate();
        }
        for host in self.hosts.iter() {
            let name = &host.settings.name;
            let problem = match host.wait_for_exit(SHUTDOWN_GRACE + SHUTDOWN_MARGIN).await {
                Some(status) if status.success() => continue,
                Some(status) => format!("{name} exited with {status}"),
                None => format!("{name} does not exit"),
            };
            self.history.report_problem(Kind::NotStopped, problem);
        }
        for host in self.hosts.iter() {
            for line in host.panics() {
                let problem = format!("{}: {line}", host.settings.name);
                self.history.report_problem(Kind::Panic, problem);
            }
        }
    }

    /// Waits until all hosts accept callers, and reports a problem if they do not in time.
    pub(crate) async fn wait_until_ready(&self) {
        if !self.all_ready(START_TIMEOUT).await {
            let problem = "not all hosts became ready".to_owned();
            self.history.report_problem(Kind::NotStarted, problem);
        }
    }

    /// Returns whether all hosts open a session within `limit`.
    async fn all_ready(&self, limit: Duration) -> bool {
        let start = Instant::now();
        for host in self.hosts.iter() {
            while Session::open(host.settings.callers, DATABASES[0].name, self.probe_key())
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

    /// Returns the address for callers of host `number`.
    pub(crate) fn caller_address(&self, number: usize) -> SocketAddr {
        self.hosts[number].settings.callers
    }

    /// Returns the name of the current primary.
    pub(crate) fn primary(&self) -> String {
        self.victim(Victim::Primary)
    }

    /// Returns the name of the server that a fault affects. Without a primary, that is the first
    /// server.
    pub(crate) fn victim(&self, victim: Victim) -> String {
        match victim {
            Victim::Primary => {
                let leader = self.site.group(SERVICE).leader();
                leader.unwrap_or_else(|| server_name(0))
            }
            Victim::Number(number) => server_name(number),
        }
    }

    /// Restarts a server if it does not run.
    pub(crate) async fn revive(&self, server: &str) {
        // Another fault may have restarted it already, and its port is in use then.
        let _ = self.site.restart(server).await;
    }
}

fn host_name(host: usize) -> String {
    format!("entry-{}", host + 1)
}

pub(crate) fn server_name(number: usize) -> String {
    format!("{SERVICE}-{}", number + 1)
}

fn extra_database(number: u16) -> String {
    format!("extra-{number}")
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
