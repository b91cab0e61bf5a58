//! One entry host: its listeners, its tasks and its shutdown.

use std::cell::OnceCell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use flamingopost_core::clock::Clock;
use flamingopost_daemon::event::{Daemon, Event as _};
use flamingopost_daemon::metrics;
use flamingopost_daemon::task;
use hyper::StatusCode;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinHandle};

use crate::acceptor::Acceptor;
use crate::caller_connection::{self, CallerConnection};
use crate::codec::Codec;
use crate::election::Election;
use crate::endpoint::Endpoint;
use crate::event::Event;
use crate::feeds::server;
use crate::fleet::{Fleet, feeds_address};
use crate::open_sessions::OpenSessions;
use crate::peer::{PROTOCOL, Socket};
use crate::platform::{Peer, Platform, Strength};
use crate::probe;
use crate::session::{Context, RelayPolicy, Session};
use crate::site::Site;
use crate::socket;
use crate::watch::Watch;

/// Name of the process in logs.
const NAME: &str = "flamingopost";

/// Interval between checks for work that is due by time alone.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// How long the session of a caller that stops reading or is unreachable is kept.
const CALLER_SILENCE: Duration = Duration::from_secs(8);

/// How long new callers still arrive after the host reports that it is not ready. The balancer
/// probes once a second and acts on the second failure.
const BALANCER_ROTATION: Duration = Duration::from_millis(2_300);

/// How long this host may be unable to reach a primary that others reach before it reports that it
/// is not ready. A momentary disagreement is no reason to move callers.
const UNREADY_DELAY: Duration = Duration::from_millis(200);

/// Settings of a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of the host.
    pub host: String,
    /// Its availability zone.
    pub zone: String,
    /// The address callers connect to.
    pub callers: SocketAddr,
    /// The address the balancer probes for readiness.
    pub probe: SocketAddr,
    /// The address for messages and connections from other hosts.
    pub peers: SocketAddr,
    /// The address where other hosts reach this one if it differs from `peers`, such as behind
    /// address translation.
    pub announced: Option<SocketAddr>,
    /// The address that serves metrics.
    pub metrics: SocketAddr,
    /// How long the shutdown of the host may take.
    pub grace: Duration,
    /// How long a backend server serves after it has reported that it is leaving, if known.
    pub leaving: Option<Duration>,
    /// Maximum number of open caller sessions.
    pub sessions: usize,
    /// Maximum number of open connections of hosts that read feeds at this one.
    pub followers: usize,
    /// Strength of the host, by which tasks are shared out in a large fleet.
    pub strength: Option<Strength>,
}

/// Phase of a host's shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The host serves.
    Running,
    /// The host reports that it is not ready, and still serves.
    Unready,
    /// Sessions without a transaction end.
    Closing,
    /// Transactions end as well.
    Ending,
}

/// Notifies all sessions of a host of the shutdown phase.
#[derive(Debug)]
pub struct Stop {
    phase: watch::Sender<Phase>,
    moves: watch::Sender<u64>,
}

impl Default for Stop {
    fn default() -> Stop {
        Stop {
            phase: watch::Sender::new(Phase::Running),
            moves: watch::Sender::new(0),
        }
    }
}

impl Stop {
    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Advances to `phase`.
    pub fn advance(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Ends all sessions that are open now, each as soon as it has no transaction, because other
    /// hosts serve their callers better.
    pub fn move_sessions(&self) {
        self.moves.send_modify(|moves| *moves += 1);
    }

    /// Returns how often sessions were asked to move.
    pub fn moves(&self) -> u64 {
        *self.moves.borrow()
    }

    /// Waits until a session that began after `moves` moves has to end once it has no transaction.
    pub async fn sessions_must_end(&self, moves: u64) {
        let mut moved = self.moves.subscribe();
        tokio::select! {
            () = self.wait_for_phase(Phase::Closing) => {}
            // The sender lives in `self`, so waiting cannot fail.
            _ = moved.wait_for(|now| *now > moves) => {}
        }
    }

    /// Waits until transactions have to end.
    pub async fn transactions_must_end(&self) {
        self.wait_for_phase(Phase::Ending).await;
    }

    /// Waits until the shutdown has reached `phase`.
    async fn wait_for_phase(&self, phase: Phase) {
        let mut receiver = self.phase.subscribe();
        // The sender lives in `self`, so waiting cannot fail.
        let _ = receiver.wait_for(|current| *current >= phase).await;
    }
}

/// Why a host has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// It was asked to.
    Requested,
    /// Its settings changed while it waited for its addresses.
    SettingsChanged,
}

/// What a host needs open before it can become ready.
struct Opened {
    /// Messages of other hosts.
    socket: Rc<Socket>,
    /// The task that accepts callers.
    accepting: AbortHandle,
}

/// Tells whether a host is ready. Empty while the host is starting.
type Readiness = Rc<OnceCell<Box<dyn Fn() -> bool>>>;

/// Runs an entry host until `ended` returns and then all sessions are over or the grace has passed.
/// Waits for addresses that are not available: the host is not ready until all that it needs are
/// open. Ends early if `changed` returns during that time.
///
/// # Errors
/// Returns an error if the system does not report the address of a socket.
pub async fn run<C: Codec, P: Platform>(
    settings: Settings,
    platform: P,
    clock: Arc<dyn Clock>,
    ended: impl Future<Output = ()>,
    changed: impl Future<Output = ()>,
) -> io::Result<End> {
    let (host, zone) = (settings.host.clone(), settings.zone.clone());
    let site = Site::new(host.clone(), zone.clone(), clock);
    let site = site.with_strength(settings.strength);
    let site = Rc::new(site.with_leaving(settings.leaving));
    let fleet = Rc::new(Fleet::<C>::new(Rc::clone(&site)));
    let stop = Rc::new(Stop::default());
    let platform = Rc::new(platform);
    let context = Rc::new(Context {
        site: Rc::clone(&site),
        fleet: Rc::clone(&fleet),
        stop: Rc::clone(&stop),
    });
    let open = Rc::new(OpenSessions::new(settings.sessions));
    let readiness = Readiness::default();
    metrics::start();
    Daemon::Started {
        daemon: NAME,
        version: env!("CARGO_PKG_VERSION"),
        host: host.clone(),
        zone: zone.clone(),
    }
    .log();
    task::spawn("metrics", serve_metrics(Rc::clone(&site), settings.metrics));
    let mut ended = pin!(ended);
    let opened = tokio::select! {
        biased;
        () = &mut ended => {
            Daemon::Draining { daemon: NAME }.log();
            Daemon::Stopped { daemon: NAME }.log();
            return Ok(End::Requested);
        }
        () = changed => return Ok(End::SettingsChanged),
        opened = open_all(&settings, &context, &open, &readiness) => opened?,
    };
    let Opened { socket, accepting } = opened;
    task::spawn(
        "feed_server",
        serve_feeds(
            socket.address()?,
            settings.followers,
            Rc::clone(&site),
            Rc::clone(&fleet),
        ),
    );

    let election = Rc::new(Election::new(
        Rc::clone(&site),
        Rc::clone(&fleet),
        Rc::clone(&platform),
        Rc::clone(&socket),
    ));
    let watch = Rc::new(Watch::new(
        Rc::clone(&site),
        Rc::clone(&fleet),
        Rc::clone(&platform),
        Rc::clone(&election),
    ));
    let own = Peer {
        host,
        zone,
        address: match settings.announced {
            Some(address) => address,
            None => socket.address()?,
        },
        strength: settings.strength,
        protocol: PROTOCOL,
    };
    let is_ready = readiness_of(&fleet, &stop, &election);
    // Set only here.
    let _ = readiness.set(Box::new(is_ready));
    keep_tasks(&election, &watch, &fleet, &stop, own);
    ended.await;
    Daemon::Draining { daemon: NAME }.log();
    drain(&stop, &open, settings.grace).await;
    accepting.abort();
    site.log(&Event::Ended {
        sessions: open.count(),
    });
    Daemon::Stopped { daemon: NAME }.log();
    Ok(End::Requested)
}

/// Returns what tells whether a host is ready.
fn readiness_of<C: Codec, P: Platform>(
    fleet: &Rc<Fleet<C>>,
    stop: &Rc<Stop>,
    election: &Rc<Election<C, P>>,
) -> impl Fn() -> bool + 'static {
    let (fleet, stop) = (Rc::clone(fleet), Rc::clone(stop));
    let election = Rc::clone(election);
    move || {
        let knows = fleet.is_known() && !fleet.has_outdated_configuration();
        let running = stop.phase() == Phase::Running && knows && !election.is_starting();
        let fit = election
            .outvoted()
            .is_none_or(|lasts| lasts < UNREADY_DELAY);
        running && fit
    }
}

/// Starts the tasks by which a host follows the platform and takes part in changes of primaries. `own` is
/// its entry in the list of hosts.
fn keep_tasks<C: Codec, P: Platform>(
    election: &Rc<Election<C, P>>,
    watch: &Rc<Watch<C, P>>,
    fleet: &Rc<Fleet<C>>,
    stop: &Rc<Stop>,
    own: Peer,
) {
    keep("messages", election, Election::listen);
    keep("heartbeats", election, Election::send_heartbeats);
    keep("operation_requests", election, Election::request_operations);
    keep("configuration", watch, Watch::follow_configuration);
    keep("server_list", watch, Watch::follow_servers);
    keep("host_list", watch, move |watch| {
        watch.follow_hosts(own.clone())
    });
    let fleet = Rc::clone(fleet);
    keep("timers", watch, move |watch| tick(Rc::clone(&fleet), watch));
    let stop = Rc::clone(stop);
    keep("session_moves", election, move |election| {
        move_sessions_when_outvoted(election, Rc::clone(&stop))
    });
}

/// Runs what `start` returns for `subject` as a task that is started again if it ends.
fn keep<T: 'static, F>(
    name: &'static str,
    subject: &Rc<T>,
    start: impl Fn(Rc<T>) -> F + 'static,
) -> JoinHandle<()>
where
    F: Future<Output: Into<task::End>> + 'static,
{
    let subject = Rc::clone(subject);
    task::keep(name, move || start(Rc::clone(&subject)))
}

/// Opens the addresses that a host needs, each as soon as it is available, and serves probes, callers
/// and other hosts from then on. Sessions that begin before all are open find no configuration.
async fn open_all<C: Codec>(
    settings: &Settings,
    context: &Rc<Context<C>>,
    open: &Rc<OpenSessions>,
    readiness: &Readiness,
) -> io::Result<Opened> {
    let clock = &*context.site.clock;
    let accept_on = |listener, name, policy| {
        let (context, open) = (Rc::clone(context), Rc::clone(open));
        let acceptor = Rc::new(Acceptor::new(name, listener));
        task::keep(name, move || {
            let (acceptor, context) = (Rc::clone(&acceptor), Rc::clone(&context));
            accept(acceptor, context, Rc::clone(&open), policy)
        })
        .abort_handle()
    };
    let probes = async {
        let endpoint = Endpoint {
            purpose: "readiness probes",
            address: settings.probe,
        };
        let listener = endpoint.open(clock, TcpListener::bind).await;
        let readiness = Rc::clone(readiness);
        let answer = move |_path: &str| match readiness.get().is_some_and(|is_ready| is_ready()) {
            true => (StatusCode::OK, String::new()),
            false => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
        };
        probe::serve("readiness_probe", listener, answer);
    };
    let callers = async {
        let endpoint = Endpoint {
            purpose: "callers",
            address: settings.callers,
        };
        let listener = endpoint.open(clock, TcpListener::bind).await;
        accept_on(listener, "accept", RelayPolicy::Allowed)
    };
    let peers = async {
        let endpoint = Endpoint {
            purpose: "messages of hosts",
            address: settings.peers,
        };
        let socket = endpoint.open(clock, Socket::bind).await;
        let endpoint = Endpoint {
            purpose: "sessions of other hosts",
            address: socket.address()?,
        };
        let listener = endpoint.open(clock, TcpListener::bind).await;
        accept_on(listener, "relayed_accept", RelayPolicy::Never);
        Ok(Rc::new(socket))
    };
    let ((), accepting, socket) = tokio::join!(probes, callers, peers);
    socket.map(|socket| Opened { socket, accepting })
}

/// Ends all sessions in an order that callers do not notice: first the balancer stops sending new
/// callers, then idle sessions end, and transactions get half of the grace to finish.
async fn drain(stop: &Stop, open: &OpenSessions, grace: Duration) {
    stop.advance(Phase::Unready);
    let rotation = BALANCER_ROTATION.min(grace / 3);
    tokio::time::sleep(rotation).await;
    stop.advance(Phase::Closing);
    if wait_for_sessions(open, (grace / 2).saturating_sub(rotation)).await {
        return;
    }
    stop.advance(Phase::Ending);
    wait_for_sessions(open, grace / 3).await;
}

/// Waits up to `limit` until no session is open. Returns whether that is so.
async fn wait_for_sessions(open: &OpenSessions, limit: Duration) -> bool {
    let over = async {
        while open.count() > 0 {
            tokio::time::sleep(TICK_INTERVAL).await;
        }
    };
    tokio::time::timeout(limit, over).await.is_ok()
}

/// Moves callers to other hosts while this one cannot reach a primary that others reach, once the
/// balancer sends them there.
///
/// Callers in a partitioned zone depend on the balancer's choice of host: it uses hosts of other
/// zones only while none of the zone's own hosts is ready. Open sessions stay until they are ended.
async fn move_sessions_when_outvoted<C: Codec, P: Platform>(
    election: Rc<Election<C, P>>,
    stop: Rc<Stop>,
) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut has_moved = false;
    loop {
        interval.tick().await;
        let lasts = election.outvoted().unwrap_or_default();
        let due = lasts >= UNREADY_DELAY + BALANCER_ROTATION;
        if due && !has_moved {
            stop.move_sessions();
        }
        has_moved = due;
    }
}

/// Performs periodic work, forever: drops missing servers and advances the timers of services.
async fn tick<C: Codec, P: Platform>(fleet: Rc<Fleet<C>>, watch: Rc<Watch<C, P>>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        fleet.drop_missing_servers(watch.may_miss_servers());
        for service in fleet.services() {
            service.tick();
        }
    }
}

/// Accepts connections and runs a session on each, as far as `open` admits them.
async fn accept<C: Codec>(
    acceptor: Rc<Acceptor>,
    context: Rc<Context<C>>,
    open: Rc<OpenSessions>,
    relay_policy: RelayPolicy,
) {
    loop {
        let stream = acceptor.accept().await;
        let Some(open) = open.open(relay_policy) else {
            // Closed before anything was read, so the caller knows that nothing was run.
            drop(stream);
            continue;
        };
        let context = Rc::clone(&context);
        task::spawn("session", async move {
            let _open = open;
            session(context, stream, relay_policy).await;
        });
    }
}

/// Runs one session until it ends.
async fn session<C: Codec>(context: Rc<Context<C>>, stream: TcpStream, relay_policy: RelayPolicy) {
    let site = Rc::clone(&context.site);
    if socket::set_options(&stream, CALLER_SILENCE).is_err() {
        return;
    }
    let served = Session::serve(context, CallerConnection::new(stream), relay_policy).await;
    // A caller that disconnects is not logged, but one that sends undecodable data is.
    if let Err(caller_connection::Error::Codec(error)) = served {
        site.log(&Event::BadCaller {
            error: error.to_string(),
        });
    }
}

/// Serves feeds to other hosts on the port after `messages`, once that is available: until then other
/// hosts read them elsewhere.
async fn serve_feeds<C: Codec>(
    messages: SocketAddr,
    followers: usize,
    site: Rc<Site>,
    fleet: Rc<Fleet<C>>,
) {
    let Some(address) = feeds_address(messages) else {
        return;
    };
    let endpoint = Endpoint {
        purpose: "feeds",
        address,
    };
    let listener = endpoint.open(&*site.clock, TcpListener::bind).await;
    server::serve(listener, Rc::clone(&fleet.feeds), followers);
}

/// Serves metrics on `address`, once that is available: serving requests without metrics is better
/// than not serving them.
async fn serve_metrics(site: Rc<Site>, address: SocketAddr) {
    let endpoint = Endpoint {
        purpose: "metrics",
        address,
    };
    let listener = endpoint.open(&*site.clock, TcpListener::bind).await;
    // The settings may leave the choice of the port to the system.
    let address = listener.local_addr().unwrap_or(address);
    Daemon::Listening { address }.log();
    let answer = |path: &str| match path {
        "/metrics" => (StatusCode::OK, metrics::render()),
        _ => (StatusCode::NOT_FOUND, String::new()),
    };
    probe::serve("metrics", listener, answer);
}
