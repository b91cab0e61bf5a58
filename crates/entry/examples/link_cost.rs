//! Measures what the link to controllers costs one entry host: bytes, processor time, memory.
//!
//! `cargo run --release --example link_cost -- SHARDS SERVICES ACTIVE SECONDS` prints one row of
//! the table in `docs/design/LINK.md`. ACTIVE is the number of backend servers that the host
//! uses: each is reported on and has connections asked for. The link's threads alone are counted;
//! the control process and the platform run on others, behind forwarders that count bytes.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use flamingopost_core::digest::Digest;
use flamingopost_core::position::Position;
use flamingopost_core::term::Term;
use flamingopost_daemon::clock::Boot;
use flamingopost_daemon::remote;
use flamingopost_daemon::stop::Stop;
use flamingopost_daemon::token::Token;
use flamingopost_entry::link::{self, Host, Options};
use flamingopost_entry::report::Outcome;
use flamingopost_entry::shared::Shared;
use flamingopost_platform::head::{HEAD_KEY, Head, body_key};
use flamingopost_platform::http::Client;
use flamingopost_platform::object::Store as _;
use flamingopost_platform::table::{Change, Condition, Table as _};
use flamingopost_standin::platform;
use flamingopost_wire::authority::{Promise, PromiseRequest, Release, Released};
use flamingopost_wire::knowledge::{Controller, Knowledge};
use flamingopost_wire::lease::{Grant, Renewal, Reply};
use flamingopost_wire::rpc::ControlServer;
use flamingopost_wire::status::{Ordered, Status};
use flamingopost_wire::view::{Service, Shard, Version};
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::server::ServerBuilder;
use jsonrpsee::types::ErrorObjectOwned;

const TERM: Term = Term { epoch: 1, count: 0 };
const SERVERS: usize = 3;
const TOKEN: &str = "not-for-production";
const SETTLE: Duration = Duration::from_secs(3);

struct Plan {
    shards: u16,
    services: usize,
    active: usize,
    span: Duration,
}

fn main() {
    let numbers: Vec<u64> = std::env::args()
        .skip(1)
        .filter_map(|arg| arg.parse().ok())
        .collect();
    let [shards, services, active, seconds] = numbers[..] else {
        eprintln!("usage: link_cost SHARDS SERVICES ACTIVE SECONDS");
        std::process::exit(2);
    };
    let plan = Plan {
        shards: u16::try_from(shards).unwrap_or(1),
        services: usize::try_from(services).unwrap_or(1),
        active: usize::try_from(active).unwrap_or(1),
        span: Duration::from_secs(seconds),
    };
    let outside = runtime("outside");
    let inside = runtime("entry");
    let setup = outside.block_on(Setup::start(&plan));
    println!("{}", inside.block_on(measure(&plan, &setup)));
    std::process::exit(0);
}

fn runtime(name: &str) -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .thread_name(name)
        .enable_all()
        .build()
        .expect("a runtime")
}

async fn measure(plan: &Plan, setup: &Setup) -> String {
    // The work runs on named threads; this one, which is not, only waits.
    let shared = Arc::new(Shared::new(Arc::new(Boot), Stop::default()));
    let started = shared.clone();
    let (control, platform) = (setup.control.address, setup.platform.address);
    let task = tokio::spawn(async move { start_link(&started, control, platform) });
    task.await.expect("the link starts");
    while shared.adopted().is_none() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    tokio::spawn(use_servers(shared.clone(), plan.active));
    tokio::time::sleep(SETTLE).await;
    let (before, renewals) = (Usage::now(setup), setup.renewals.load(Ordering::Relaxed));
    tokio::time::sleep(plan.span).await;
    let used = Usage::now(setup).since(&before);
    let renewals = setup.renewals.load(Ordering::Relaxed) - renewals;
    let seconds = plan.span.as_secs_f64();
    let each = |bytes: u64| bytes / renewals.max(1);
    format!(
        "| {} | {} | {} | {:.1} | {} | {} | {:.0} | {:.0} | {:.3} | {:.0} | {:.1} |",
        plan.shards,
        plan.services,
        plan.active,
        renewals as f64 / seconds,
        each(used.control.0),
        each(used.control.1),
        (used.control.0 + used.control.1) as f64 / seconds,
        (used.platform.0 + used.platform.1) as f64 / seconds,
        used.cpu.as_secs_f64() / seconds * 100.0,
        used.cpu.as_secs_f64() * 1e6 / renewals.max(1) as f64,
        resident_mib(),
    )
}

fn start_link(shared: &Arc<Shared>, control: SocketAddr, platform: SocketAddr) {
    let client = Client::new(platform, "bole-hall", Duration::from_secs(1));
    let client = Arc::new(client.expect("a client"));
    let options = Options {
        host: Host {
            name: "bole-hall-entry-1".to_owned(),
            zone: "bole-hall".to_owned(),
            rpc: "10.1.0.11:6440".to_owned(),
        },
        peers: vec![control],
        relay: Some(control),
        poll: Duration::from_secs(2),
        token: Token::new(TOKEN),
    };
    link::start(shared.clone(), options, client.clone(), client);
}

/// Reports on `active` servers and wants connections to them, as the data path would.
async fn use_servers(shared: Arc<Shared>, active: usize) {
    let mut log = 1_000_000;
    loop {
        let adopted = shared.adopted().expect("a configuration");
        for server in adopted.fleet.servers.keys().take(active) {
            log += 1;
            let position = Position { term: TERM, log };
            shared.report(*server, Outcome::Answered(Some(position)));
            shared.want(*server, 4);
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// What the link has used so far.
struct Usage {
    control: (u64, u64),
    platform: (u64, u64),
    cpu: Duration,
}

impl Usage {
    fn now(setup: &Setup) -> Usage {
        Usage {
            control: setup.control.counts(),
            platform: setup.platform.counts(),
            cpu: cpu_of("entry"),
        }
    }

    fn since(&self, earlier: &Usage) -> Usage {
        let less = |now: (u64, u64), then: (u64, u64)| (now.0 - then.0, now.1 - then.1);
        Usage {
            control: less(self.control, earlier.control),
            platform: less(self.platform, earlier.platform),
            cpu: self.cpu - earlier.cpu,
        }
    }
}

/// Processor time of this process's threads called `name`.
fn cpu_of(name: &str) -> Duration {
    let threads = std::fs::read_dir("/proc/self/task").expect("procfs");
    let spent = threads.flatten().filter_map(|thread| {
        let comm = std::fs::read_to_string(thread.path().join("comm")).ok()?;
        let stat = std::fs::read_to_string(thread.path().join("schedstat")).ok()?;
        let nanos: u64 = stat.split(' ').next()?.parse().ok()?;
        (comm.trim() == name).then_some(nanos)
    });
    Duration::from_nanos(spent.sum())
}

/// Memory of the whole process, control process and platform included.
fn resident_mib() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or_default() * 4096.0 / 1_048_576.0
}

/// Passes bytes on and counts them: to the upstream, and from it.
struct Meter {
    address: SocketAddr,
    bytes: Arc<(AtomicU64, AtomicU64)>,
}

impl Meter {
    async fn start(upstream: SocketAddr) -> Meter {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port");
        let address = listener.local_addr().expect("its address");
        let bytes = Arc::<(AtomicU64, AtomicU64)>::default();
        let counted = bytes.clone();
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                let Ok(server) = tokio::net::TcpStream::connect(upstream).await else {
                    continue;
                };
                let (caller_in, caller_out) = caller.into_split();
                let (server_in, server_out) = server.into_split();
                let (up, down) = (counted.clone(), counted.clone());
                tokio::spawn(pass(caller_in, server_out, move |n| {
                    up.0.fetch_add(n, Ordering::Relaxed);
                }));
                tokio::spawn(pass(server_in, caller_out, move |n| {
                    down.1.fetch_add(n, Ordering::Relaxed);
                }));
            }
        });
        Meter { address, bytes }
    }

    fn counts(&self) -> (u64, u64) {
        let (up, down) = (&self.bytes.0, &self.bytes.1);
        (up.load(Ordering::Relaxed), down.load(Ordering::Relaxed))
    }
}

async fn pass(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    count: impl Fn(u64),
) {
    use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
    let mut buffer = vec![0; 64 << 10];
    while let Ok(read @ 1..) = from.read(&mut buffer).await {
        count(read as u64);
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}

struct Setup {
    control: Meter,
    platform: Meter,
    renewals: Arc<AtomicU64>,
    _service: platform::Service,
}

impl Setup {
    async fn start(plan: &Plan) -> Setup {
        let body = body(plan);
        let service = platform::Service::start(&platform::Settings::default()).expect("a platform");
        store(service.address(), &body).await;
        let renewals = Arc::new(AtomicU64::new(0));
        let control = Control::start(plan, &body, renewals.clone()).await;
        Setup {
            control: Meter::start(control).await,
            platform: Meter::start(service.address()).await,
            renewals,
            _service: service,
        }
    }
}

fn body(plan: &Plan) -> String {
    let mut text = format!(
        "[zone bole-hall]\nregion = addis-ababa\n[customer tesfa]\n[class bid]\nweight = 10\n\
         deadline = 300ms\n[fleet]\nshards = {}\ndefault_class = bid\n",
        plan.shards
    );
    for service in 0..plan.services {
        let _ = write!(
            text,
            "[service auction-ledger-{service}]\ncustomer = tesfa\nslots = 3\nconnections = 36\n\
             connect_cost = 30ms\n"
        );
        for server in 0..SERVERS {
            let (name, port) = (format!("auction-ledger-{service}-{server}"), 7000 + server);
            let _ = write!(
                text,
                "[server {name}]\nservice = auction-ledger-{service}\nzone = bole-hall\n\
                 address = 10.{}.{}.1:{port}\n",
                service / 250,
                service % 250
            );
        }
    }
    text
}

async fn store(platform: SocketAddr, body: &str) {
    let client = Client::new(platform, "bole-hall", Duration::from_secs(5)).expect("a client");
    let digest = Digest::of(body.as_bytes());
    client
        .put(&body_key(digest), body.as_bytes().to_vec())
        .await
        .expect("the body");
    let head = Head {
        version: 1,
        digest: digest.to_string(),
        submission: "0123456789abcdef".to_owned(),
        operator: "ayele".to_owned(),
        at_ms: 1_760_000_000_000,
    };
    let change = Change {
        key: HEAD_KEY.to_owned(),
        condition: Condition::Absent,
        body: head.encode(),
    };
    client.write(vec![change]).await.expect("the head");
}

/// Grants every renewal: four connections to each server that is asked for.
struct Control {
    views: BTreeMap<u16, Shard>,
    address: Arc<Mutex<String>>,
    renewals: Arc<AtomicU64>,
}

impl Control {
    async fn start(plan: &Plan, body: &str, renewals: Arc<AtomicU64>) -> SocketAddr {
        let server = ServerBuilder::new()
            .set_http_middleware(remote::server_middleware(&Token::new(TOKEN)))
            .build("127.0.0.1:0")
            .await
            .expect("a port");
        let address = server.local_addr().expect("its address");
        let control = Control {
            views: views(plan, body),
            address: Arc::new(Mutex::new(address.to_string())),
            renewals,
        };
        let handle = server.start(control.into_rpc());
        tokio::spawn(handle.stopped());
        address
    }

    fn grant(&self, renewal: Renewal) -> Reply {
        let view = &self.views[&renewal.shard];
        let known = renewal.version == Some(view.version);
        Reply::Granted(Grant {
            version: view.version,
            valid_ms: 2_500,
            view: (!known).then(|| view.clone()),
            allotment: renewal
                .demand
                .into_keys()
                .map(|server| (server, 4))
                .collect(),
            floors: BTreeMap::new(),
            drain: false,
            config: 1,
        })
    }
}

fn views(plan: &Plan, body: &str) -> BTreeMap<u16, Shard> {
    let mut directory = Default::default();
    let parsed = flamingopost_core::config::parse("body", body, &mut directory);
    let fleet = parsed.unwrap_or_else(|report| panic!("{report}"));
    let mut views = BTreeMap::new();
    for shard in 0..plan.shards {
        let services = fleet
            .services
            .iter()
            .filter(|(_, facts)| facts.shard == shard);
        let services = services.map(|(key, facts)| {
            let name = directory.services.name(*key).unwrap_or_default();
            let primary = directory
                .servers
                .name(facts.first_primary)
                .map(str::to_owned);
            let service = Service {
                term: TERM.to_string(),
                primary,
                history: BTreeMap::from([(TERM.to_string(), 0)]),
                leaving: Default::default(),
            };
            (name.to_owned(), service)
        });
        let version = Version {
            epoch: 1,
            change: 1,
        };
        let services = services.collect();
        views.insert(shard, Shard { version, services });
    }
    views
}

#[async_trait]
impl ControlServer for Control {
    async fn renew(&self, renewals: Vec<Renewal>) -> RpcResult<Vec<Reply>> {
        self.renewals
            .fetch_add(renewals.len() as u64, Ordering::Relaxed);
        Ok(renewals.into_iter().map(|one| self.grant(one)).collect())
    }

    async fn knowledge(&self, _: u64) -> RpcResult<Knowledge> {
        let rpc = self.address.lock().expect("a lock").clone();
        let controller = |shard: &u16| {
            (
                *shard,
                Controller {
                    epoch: 1,
                    rpc: rpc.clone(),
                },
            )
        };
        Ok(Knowledge {
            controllers: self.views.keys().map(controller).collect(),
            ..Knowledge::default()
        })
    }

    async fn promise(&self, _: PromiseRequest) -> RpcResult<Promise> {
        Err(unused())
    }

    async fn release(&self, _: Release) -> RpcResult<Released> {
        Err(unused())
    }

    async fn status(&self) -> RpcResult<Status> {
        Err(unused())
    }

    async fn order(&self, _: String) -> RpcResult<Ordered> {
        Err(unused())
    }
}

fn unused() -> ErrorObjectOwned {
    ErrorObjectOwned::owned(1, "no entry host calls this", None::<()>)
}
