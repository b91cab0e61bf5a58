//! An entry host with a fixed lease before stand-in servers of one service.
#![allow(dead_code, missing_docs)]

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use flamingopost_core::budget::Grant;
use flamingopost_core::fleet::{Caller, Class, Customer, Fleet, Server, Service, Zone};
use flamingopost_core::key::{ServerKey, ServiceKey};
use flamingopost_core::lease::Granted;
use flamingopost_core::rule::{Access, Ack, Rule, Target, Then, When};
use flamingopost_core::term::Term;
use flamingopost_core::view::{self, State, Version};
use flamingopost_daemon::clock::Boot;
use flamingopost_daemon::stop::Stop;
use flamingopost_entry::adopted::Adopted;
use flamingopost_entry::auth::{Door, scram};
use flamingopost_entry::callers;
use flamingopost_entry::context::Context as Shelf;
use flamingopost_entry::settings::Limits;
use flamingopost_entry::shared::Shared;
use flamingopost_standin::backend;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio_postgres::{Client, Config, NoTls, SimpleQueryMessage};

pub const SERVICE: &str = "auction-ledger";
pub const USER: &str = "member";
pub const PASSWORD: &str = "lot-17";
pub const TERM: Term = Term { epoch: 1, count: 0 };
pub const ALLOTTED: u16 = 4;
/// Connections that each server accepts.
const CONNECTIONS: u16 = 300;
const SALT: &[u8] = b"0123456789abcdef";
const LONG: Duration = Duration::from_secs(3600);

/// A service: one primary and its replicas.
pub struct Group {
    pub servers: Vec<backend::Server>,
}

/// An entry host before it.
pub struct Host {
    pub address: SocketAddr,
    pub shared: Arc<Shared>,
    pub context: Arc<Shelf>,
    pub service: ServiceKey,
    pub keys: Vec<ServerKey>,
    pub stop: Stop,
}

impl Group {
    /// `replicas` servers that follow a primary of the first term.
    pub async fn start(replicas: usize) -> Group {
        let mut servers = Vec::new();
        for number in 0..=replicas {
            let mut settings = backend::Settings::new(&format!("auction-{number}"), SERVICE);
            settings.connections = CONNECTIONS;
            servers.push(backend::Server::start(settings).await.unwrap());
        }
        servers[0].promote(TERM.number()).unwrap();
        let group = Group { servers };
        for number in 1..=replicas {
            group.follow(number, 0, TERM).await;
        }
        group
    }

    /// Makes server `number` follow server `primary` in `term`.
    pub async fn follow(&self, number: usize, primary: usize, term: Term) {
        let address = self.servers[primary].address();
        let client = direct(self.servers[number].address()).await;
        let sql = format!("SELECT group_follow('{address}', {})", term.number());
        client.simple_query(&sql).await.unwrap();
    }

    pub fn set_faults(&self, number: usize, change: impl FnOnce(&mut backend::fault::Faults)) {
        let mut faults = self.servers[number].faults();
        change(&mut faults);
        self.servers[number].set_faults(faults);
    }

    /// Statements that server `number` has run.
    pub fn statements(&self, number: usize) -> u64 {
        self.servers[number].summary().statements
    }
}

/// The treatment of a request that no special rule is for.
pub fn plain() -> Then {
    Then {
        target: Target::Replica,
        max_age: None,
        repeatable: true,
        deadline: Duration::from_secs(5),
        class: Default::default(),
        retries: 2,
        hedge: None,
        rate: None,
        ack: Ack::Primary,
        refuse: None,
    }
}

/// A rule for statements of `access` with `tag`; all of them where it is empty.
pub fn rule(access: Access, tag: &str, then: Then) -> Rule {
    let tags = (!tag.is_empty()).then(|| tag.to_owned());
    Rule {
        name: format!("{access:?} {tag}"),
        line: 1,
        when: When {
            access: Some(access),
            tags: tags.into_iter().collect(),
            ..When::default()
        },
        then,
    }
}

/// Reads by replicas, writes not repeatable.
pub fn rules() -> Vec<Rule> {
    let write = Then {
        repeatable: false,
        retries: 0,
        ..plain()
    };
    vec![
        rule(Access::Read, "", plain()),
        rule(Access::Write, "", write),
    ]
}

/// A primary without replicas, a host before it, and an empty table of bids.
pub async fn with_bids() -> (Group, Host) {
    let group = Group::start(0).await;
    let host = Host::start(&group).await;
    host.table().await;
    (group, host)
}

impl Host {
    pub async fn start(group: &Group) -> Host {
        Host::with(group, rules()).await
    }

    /// Makes an empty table of bids.
    pub async fn table(&self) {
        let caller = self.connect().await;
        caller
            .batch_execute("CREATE TABLE bids (id int8)")
            .await
            .unwrap();
    }

    /// A host before `group` under `rules`.
    pub async fn with(group: &Group, rules: Vec<Rule>) -> Host {
        let stop = Stop::default();
        let shared = Arc::new(Shared::new(Arc::new(Boot), stop.clone()));
        let addresses: Vec<SocketAddr> = group.servers.iter().map(|one| one.address()).collect();
        let (fleet, service, keys) = fleet(&shared, &addresses, rules);
        shared.adopt(Adopted {
            version: 1,
            digest: String::new(),
            body: Arc::from(""),
            fleet: Arc::new(fleet),
        });
        let context = Shelf::new(shared.clone(), "bole-1", "bole-hall", 1 << 20);
        let host = Host {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            context: Arc::new(context),
            shared,
            service,
            keys,
            stop,
        };
        host.lead(0, TERM, 1, LONG);
        host.allot(ALLOTTED);
        host.listen().await
    }

    async fn listen(mut self) -> Host {
        let secret = b"fleet secret".to_vec();
        let door = Door::new(self.shared.clone(), None, Limits::default(), secret);
        let listener = TcpListener::bind(self.address).await.unwrap();
        self.address = listener.local_addr().unwrap();
        let serving = callers::serve(
            listener,
            Arc::new(door),
            self.context.clone(),
            self.stop.clone(),
        );
        tokio::spawn(serving);
        self
    }

    /// Tells the host that server `number` leads `term`, under a lease of `valid`.
    pub fn lead(&self, number: usize, term: Term, change: u64, valid: Duration) {
        let state = State::Open {
            term,
            primary: self.keys[number],
        };
        self.view(view::Service::new(state), change, valid);
    }

    /// Puts a view of the service in force.
    pub fn view(&self, service: view::Service, change: u64, valid: Duration) {
        let version = Version { epoch: 1, change };
        let view = view::Shard {
            version,
            services: BTreeMap::from([(self.service, service)]),
        };
        let now = self.shared.now();
        let mut leases = self.shared.leases();
        let ticket = leases.renewal_sent(0, now);
        let granted = leases.on_granted(ticket, version, valid, Some(view), now);
        drop(leases);
        assert!(valid.is_zero() || matches!(granted, Granted::Until(_)));
        self.shared.changed();
    }

    pub fn allot(&self, connections: u16) {
        let grant = Grant {
            leased: connections,
            ..Grant::default()
        };
        let granted = self.keys.iter().map(|key| (*key, grant)).collect();
        self.shared.allot(granted, self.shared.now(), LONG);
    }

    /// A caller.
    pub async fn connect(&self) -> Client {
        self.connect_with("").await
    }

    /// A caller with `options` in its start-up packet.
    pub async fn connect_with(&self, options: &str) -> Client {
        let (client, connection) = config(self.address)
            .user(USER)
            .password(PASSWORD)
            .options(options)
            .connect(NoTls)
            .await
            .unwrap();
        tokio::spawn(connection);
        client
    }

    /// Waits until the host has heard that every server has what the first one has now.
    pub async fn learnt(&self, group: &Group) {
        let service = self.context.service(self.service);
        let position = group.servers[0].position();
        let known = || {
            service.touch(self.shared.now());
            service.with_table(|table, _| {
                let mut servers = table.servers().values();
                servers.all(|one| one.position() == Some(position))
            })
        };
        until(known).await;
    }
}

/// Logs in as an ordinary client and leaves the socket to the test.
pub async fn raw(address: SocketAddr) -> Arc<TcpStream> {
    let socket = Arc::new(TcpStream::connect(address).await.unwrap());
    let mut config = config(address);
    config.user(USER).password(PASSWORD);
    let kept = Kept(Arc::clone(&socket));
    drop(config.connect_raw(kept, NoTls).await.unwrap());
    socket
}

/// A stream whose socket outlives it.
struct Kept(Arc<TcpStream>);

impl AsyncRead for Kept {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(context))?;
            match self.0.try_read(buffer.initialize_unfilled()) {
                Ok(count) => {
                    buffer.advance(count);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for Kept {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(context))?;
            match self.0.try_write(bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                done => return Poll::Ready(done),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// A caller of a server itself.
pub async fn direct(address: SocketAddr) -> Client {
    let mut config = config(address);
    let (client, connection) = config.user("flamingopost").connect(NoTls).await.unwrap();
    tokio::spawn(connection);
    client
}

fn config(address: SocketAddr) -> Config {
    let mut config = Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .dbname(SERVICE);
    config
}

/// Waits until `holds`; the bound only ends a test that hangs.
pub async fn until(mut holds: impl FnMut() -> bool) {
    for _ in 0..1000 {
        if holds() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("waited in vain");
}

/// The first column of the rows that `sql` answers with.
pub async fn column(client: &Client, sql: &str) -> Vec<String> {
    let messages = client.simple_query(sql).await.unwrap();
    let rows = messages.into_iter().filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row.get(0).unwrap_or("NULL").to_owned()),
        _ => None,
    });
    rows.collect()
}

/// The SQLSTATE with which `outcome` failed.
pub fn sqlstate<T: std::fmt::Debug>(outcome: Result<T, tokio_postgres::Error>) -> String {
    let error = outcome.unwrap_err();
    match error.code() {
        Some(code) => code.code().to_owned(),
        None => panic!("no SQLSTATE: {error}"),
    }
}

fn fleet(
    shared: &Shared,
    addresses: &[SocketAddr],
    mut rules: Vec<Rule>,
) -> (Fleet, ServiceKey, Vec<ServerKey>) {
    shared.intern(|names| {
        let service = names.services.intern(SERVICE);
        let customer = names.customers.intern("tesfa");
        let zone = names.zones.intern("bole-hall");
        let class = names.classes.intern("everything");
        let keys: Vec<ServerKey> = (0..addresses.len())
            .map(|number| names.servers.intern(&format!("auction-{number}")))
            .collect();
        for rule in &mut rules {
            rule.then.class = class;
        }
        let mut fleet = Fleet {
            shards: 1,
            default_class: class,
            rules,
            ..Fleet::default()
        };
        let region = "addis".to_owned();
        fleet.zones.insert(zone, Zone { region });
        fleet.customers.insert(customer, Customer { weight: 1 });
        let deadline = Duration::from_secs(5);
        fleet.classes.insert(
            class,
            Class {
                weight: 1,
                deadline,
            },
        );
        let facts = Service {
            customer,
            shard: 0,
            servers: keys.iter().copied().collect(),
            first_primary: keys[0],
        };
        fleet.services.insert(service, facts);
        for (key, address) in keys.iter().zip(addresses) {
            let server = Server {
                service,
                zone,
                address: *address,
                slots: 3,
                connections: 36,
                connect_cost: Duration::ZERO,
                leaving: false,
            };
            fleet.servers.insert(*key, server);
        }
        let caller = Caller {
            verifier: scram::verifier(PASSWORD, SALT),
            customer,
            role: "member".to_owned(),
            services: BTreeSet::from([service]),
        };
        fleet.callers.insert(names.callers.intern(USER), caller);
        (fleet, service, keys)
    })
}
