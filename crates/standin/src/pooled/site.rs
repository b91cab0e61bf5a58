//! A whole stand-in platform with its services.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use hyper::StatusCode;
use serde_json::json;
use tokio::net::TcpListener;

use super::group::Group;
use super::http::{self, Answer, Asked};
use super::server::{Faults, Remains, Server, Settings};
use super::store::{Change, Row, Store};
use super::team::Team;

/// How large a stand-in platform is.
#[derive(Debug, Clone, Copy)]
pub struct Sizes {
    /// Servers of each service.
    pub servers: usize,
    /// Requests that a server runs at once.
    pub slots: u16,
    /// Connections that a server accepts.
    pub connections: u16,
    /// How long a statement takes.
    pub work: Duration,
    /// How far replicas are behind.
    pub lag: Duration,
    /// How long a promotion takes.
    pub promotion: Duration,
    /// Whether a commit is acknowledged only once a replica has received it.
    pub synchronous: bool,
}

impl Default for Sizes {
    fn default() -> Sizes {
        Sizes {
            servers: 3,
            slots: 2,
            connections: 16,
            work: Duration::from_millis(2),
            lag: Duration::from_millis(20),
            promotion: Duration::from_millis(200),
            synchronous: false,
        }
    }
}

/// A stand-in platform with its services.
pub struct Site {
    /// Its metadata store.
    pub store: Arc<Store>,
    /// Where the store listens.
    pub store_address: SocketAddr,
    /// Where orders are taken.
    pub orders_address: SocketAddr,
    groups: BTreeMap<String, Arc<Group>>,
    servers: BTreeMap<String, Arc<Server>>,
    orders: Arc<Orders>,
    version: Mutex<u64>,
    /// The newest configuration, as the operators know it.
    configuration: Mutex<serde_json::Value>,
    /// The teams that configurations name from now on; `None` where callers need no key.
    teams: Mutex<Option<Vec<Team>>>,
    sizes: Sizes,
}

/// What becomes of orders.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum OrderMode {
    /// They are answered and carried out.
    #[default]
    Answered,
    /// They are carried out, and the answer is lost.
    AnswerLost,
    /// They are refused for now, and nothing is done.
    Refused,
    /// They are not answered, and taken only after this time, with the token that they came with.
    Late(Duration),
}

/// Tokens seen and orders taken, by service.
#[derive(Debug, Default)]
struct Orders {
    mode: Mutex<OrderMode>,
    /// Servers do not reach the store, so promotions change no entry.
    unlisted: AtomicBool,
    /// Orders are carried out whatever their token is.
    unfenced: AtomicBool,
    newest: Mutex<BTreeMap<String, u64>>,
    taken: Mutex<Vec<Order>>,
}

/// An order to make a server the primary, as it arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub service: String,
    /// The server that is to lead.
    pub server: String,
    /// The host that gave it.
    pub holder: String,
    /// Its fencing token.
    pub token: u64,
    /// Whether it was carried out; those with a token below the newest are not, where tokens are
    /// checked.
    pub accepted: bool,
}

/// A claim of a host on a change of a primary.
#[derive(Debug)]
pub struct HeldClaim {
    /// The service and the number of the change.
    pub key: String,
    /// The host.
    pub holder: String,
    /// The server that it has recorded as the one to be ordered.
    pub successor: Option<String>,
    /// Whether it is settled.
    pub is_settled: bool,
}

impl Orders {
    /// Whether the token of `order` is none below one that was seen before.
    fn take(&self, mut order: Order) -> bool {
        let mut newest = self.newest.lock().unwrap_or_else(PoisonError::into_inner);
        let seen = newest.entry(order.service.clone()).or_default();
        order.accepted = order.token >= *seen || self.unfenced.load(Ordering::Relaxed);
        *seen = (*seen).max(order.token);
        let accepted = order.accepted;
        let taken = self.taken.lock();
        taken.unwrap_or_else(PoisonError::into_inner).push(order);
        accepted
    }
}

impl Site {
    /// Starts a platform with `services`. The servers of a service are called `SERVICE-1` and so
    /// on; the first leads. Each is in the availability zone of its number: `zone-1` and so on.
    ///
    /// # Errors
    /// A port cannot be opened.
    pub async fn start(services: &[&str], sizes: Sizes) -> io::Result<Site> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let store = Arc::new(Store::default());
        let (stores, taking) = (TcpListener::bind(any).await?, TcpListener::bind(any).await?);
        let mut site = Site {
            store: Arc::clone(&store),
            store_address: stores.local_addr()?,
            orders_address: taking.local_addr()?,
            groups: BTreeMap::new(),
            servers: BTreeMap::new(),
            orders: Arc::default(),
            version: Mutex::new(0),
            configuration: Mutex::default(),
            teams: Mutex::default(),
            sizes,
        };
        for service in services {
            let ids: Vec<String> = (1..=sizes.servers)
                .map(|n| format!("{service}-{n}"))
                .collect();
            let group = Group::new(service, &ids, sizes.lag, sizes.promotion);
            group.set_synchronous(sizes.synchronous);
            let group = Arc::new(group);
            for id in ids {
                let settings = Settings {
                    slots: sizes.slots,
                    connections: sizes.connections,
                    work: sizes.work,
                };
                let server = Server::start(&id, Arc::clone(&group), settings).await?;
                site.servers.insert(id, server);
            }
            site.groups.insert((*service).to_owned(), group);
        }
        tokio::spawn(http::serve(stores, move |asked| {
            http::store(Arc::clone(&store), asked)
        }));
        let (groups, seen) = (site.groups.clone(), Arc::clone(&site.orders));
        let (rows, servers) = (Arc::clone(&site.store), site.servers.clone());
        tokio::spawn(http::serve(taking, move |asked| {
            let (groups, servers) = (groups.clone(), servers.clone());
            let (rows, seen) = (Arc::clone(&rows), Arc::clone(&seen));
            async move {
                let mode = *seen.mode.lock().unwrap_or_else(PoisonError::into_inner);
                let taken = async move {
                    if let OrderMode::Late(after) = mode {
                        tokio::time::sleep(after).await;
                    }
                    promote(groups, servers, rows, seen, asked).await
                };
                match mode {
                    OrderMode::Answered => return Answer::from(taken.await),
                    OrderMode::Refused => {
                        return Answer::from((StatusCode::SERVICE_UNAVAILABLE, String::new()));
                    }
                    OrderMode::AnswerLost | OrderMode::Late(_) => {}
                }
                tokio::spawn(taken);
                std::future::pending().await
            }
        }));
        for id in site.servers.keys() {
            site.register(id);
        }
        Ok(site)
    }

    /// The group of a service.
    ///
    /// # Panics
    /// There is no such service.
    pub fn group(&self, service: &str) -> &Arc<Group> {
        &self.groups[service]
    }

    /// Connections that a server has open.
    pub fn connections(&self, server: &str) -> u16 {
        self.servers[server].open.load(Ordering::Relaxed)
    }

    /// Kills a server. Its entry stays until [`Site::unregister`].
    pub fn crash(&self, server: &str) {
        self.servers[server].crash();
    }

    /// Starts a killed server again, with its log.
    ///
    /// # Errors
    /// Its port is in use.
    pub async fn restart(&self, server: &str) -> io::Result<()> {
        self.restart_unlisted(server, Remains::Log).await?;
        self.register(server);
        Ok(())
    }

    /// Starts a killed server again under its id; its entry stays as it was until
    /// [`Site::register`].
    ///
    /// # Errors
    /// Its port is in use.
    pub async fn restart_unlisted(&self, server: &str, remains: Remains) -> io::Result<()> {
        self.servers[server].restart(remains).await
    }

    /// The entry that a server would write now.
    pub fn newest_entry(&self, server: &str) -> serde_json::Value {
        entry(&self.servers[server])
    }

    /// Writes `value` as a server's entry, whatever it is.
    pub fn put_entry(&self, server: &str, value: &serde_json::Value) {
        self.put("servers", server, value);
    }

    /// What goes wrong at a server from now on.
    pub fn set_faults(&self, server: &str, faults: Faults) {
        let own = &self.servers[server].faults;
        *own.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// A server says that it is about to leave.
    pub fn leave(&self, server: &str) {
        self.servers[server].group.set_leaving(server, true);
        self.register(server);
    }

    /// A server that was about to leave stays, as its successor at the same address would.
    pub fn stay(&self, server: &str) {
        self.servers[server].group.set_leaving(server, false);
        self.register(server);
    }

    /// Where a server listens.
    pub fn address(&self, server: &str) -> SocketAddr {
        self.servers[server].address
    }

    /// Callers are told that a server listens at `address`, for example a relay in front of it.
    pub fn show(&self, server: &str, address: SocketAddr) {
        let shown = &self.servers[server].shown;
        *shown.lock().unwrap_or_else(PoisonError::into_inner) = address;
        self.register(server);
    }

    /// Whether the platform refuses orders whose token is below one that it has seen; it does unless
    /// told otherwise.
    pub fn set_fencing(&self, fencing: bool) {
        self.orders.unfenced.store(!fencing, Ordering::Relaxed);
    }

    /// Whether servers reach the store, so that a promotion shows in their entries at once.
    pub fn set_servers_reach_store(&self, reach: bool) {
        self.orders.unlisted.store(!reach, Ordering::Relaxed);
    }

    /// What becomes of orders that arrive from now on.
    pub fn set_order_mode(&self, mode: OrderMode) {
        let own = &self.orders.mode;
        *own.lock().unwrap_or_else(PoisonError::into_inner) = mode;
    }

    /// All orders so far that were taken.
    pub fn orders(&self) -> Vec<Order> {
        let taken = self.orders.taken.lock();
        taken.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Removes a server's entry.
    pub fn unregister(&self, server: &str) {
        self.store.apply(Change {
            deletes: vec![row("servers", server, "")],
            ..Change::default()
        });
    }

    /// Sets the teams that the next configurations name.
    pub fn set_teams(&self, teams: &[Team]) {
        let own = self.teams.lock();
        *own.unwrap_or_else(PoisonError::into_inner) = Some(teams.to_vec());
    }

    /// Puts a configuration in force whose routes lead from databases to services, each with its
    /// kind and the age in milliseconds that its reads accept.
    pub fn configure(&self, routes: &[(&str, &str, &str, u64)]) {
        let services: Vec<&str> = self.groups.keys().map(String::as_str).collect();
        self.configure_only(&services, routes);
    }

    /// The same, with a configuration that names only these services.
    pub fn configure_only(&self, services: &[&str], routes: &[(&str, &str, &str, u64)]) {
        let mut version = self.version.lock().unwrap_or_else(PoisonError::into_inner);
        *version += 3;
        let routes: Vec<serde_json::Value> = routes
            .iter()
            .map(|(database, service, kind, age)| {
                json!({"name": database, "host": database, "kind": kind, "timeout_ms": 800,
                    "goal_ms": 200, "priority": 1, "service": service,
                    "max_staleness_ms": age})
            })
            .collect();
        let services: Vec<serde_json::Value> = services
            .iter()
            .map(|name| {
                json!({"name": name, "max_conns": self.sizes.connections,
                    "sync_replicas": u8::from(self.sizes.synchronous)})
            })
            .collect();
        let mut value = json!({"version": *version, "routes": routes, "services": services,
            "limits": {"tx_idle_ms": 3000}});
        let teams = self.teams.lock();
        if let Some(teams) = &*teams.unwrap_or_else(PoisonError::into_inner) {
            value["tenants"] = teams.iter().map(Team::to_json).collect();
        }
        self.put("op", "config", &value);
        let newest = self.configuration.lock();
        *newest.unwrap_or_else(PoisonError::into_inner) = value;
    }

    /// The operators write their configuration again, and each running server its entry, in any
    /// order: what a store lacks that came back from a copy.
    pub fn rewrite(&self) {
        let newest = self.configuration.lock();
        let newest = newest.unwrap_or_else(PoisonError::into_inner).clone();
        if !newest.is_null() {
            self.put("op", "config", &newest);
        }
        for (id, server) in self.servers.iter().rev() {
            let member = server.group.member(id);
            if member.is_some_and(|member| member.running) {
                self.register(id);
            }
        }
    }

    /// Writes a claim of `host` on the change of the primary of `service` after `term`.
    pub fn claim(&self, service: &str, term: i64, host: &str) {
        let key = format!("{service}/{term}");
        self.put("flamingopost-claims", &key, &json!({"holder": host}));
    }

    /// Writes the claim on a change of primary for `host`, which was about to order `server`.
    pub fn claim_naming(&self, service: &str, term: i64, host: &str, server: &str) {
        let key = format!("{service}/{term}");
        let order = json!({"server": server, "token": 1});
        let claim = json!({"holder": host, "order": order});
        self.put("flamingopost-claims", &key, &claim);
    }

    /// Whether the claim on the change of the primary of `service` after `term` is settled.
    pub fn is_settled(&self, service: &str, term: i64) -> bool {
        let key = format!("{service}/{term}");
        let claim = self.claims().into_iter().find(|claim| claim.key == key);
        claim.is_some_and(|claim| claim.is_settled)
    }

    /// Whether somebody has claimed the change of the primary of `service` after `term`.
    pub fn has_claim(&self, service: &str, term: i64) -> bool {
        let key = format!("{service}/{term}");
        let (rows, _) = self.store.rows("flamingopost-claims", "", &key);
        rows.first().is_some_and(|row| row.key == key)
    }

    /// The host that holds the claim on the change of the primary of `service` after `term`.
    pub fn claim_holder(&self, service: &str, term: i64) -> Option<String> {
        let key = format!("{service}/{term}");
        let claim = self.claims().into_iter().find(|claim| claim.key == key)?;
        Some(claim.holder)
    }

    /// All claims on changes of primaries.
    pub fn claims(&self) -> Vec<HeldClaim> {
        let (rows, _) = self.store.rows("flamingopost-claims", "", "");
        let claims = rows.into_iter().filter_map(|row| {
            let bytes = STANDARD.decode(&row.value).ok()?;
            let claim: serde_json::Value = serde_json::from_slice(&bytes).ok()?;
            Some(HeldClaim {
                key: row.key,
                holder: claim["holder"].as_str()?.to_owned(),
                successor: claim["order"]["server"].as_str().map(str::to_owned),
                is_settled: !claim["settled"].is_null(),
            })
        });
        claims.collect()
    }

    /// Another writer puts `value` into the store under `key`, as the store keeps it: what a
    /// reader can decode is the base64 of JSON.
    pub fn overwrite(&self, table: &str, part: &str, key: &str, value: &str) {
        self.store.apply(Change {
            upserts: vec![Row {
                part: part.to_owned(),
                value: value.to_owned(),
                ..row(table, key, "")
            }],
            ..Change::default()
        });
    }

    /// Another writer removes what is under `key`.
    pub fn remove(&self, table: &str, part: &str, key: &str) {
        self.store.apply(Change {
            deletes: vec![Row {
                part: part.to_owned(),
                ..row(table, key, "")
            }],
            ..Change::default()
        });
    }

    /// The entry of a server as it is in the store, for writers that spoil or copy it.
    ///
    /// # Panics
    /// It has none, or no server could have written it.
    pub fn entry(&self, server: &str) -> serde_json::Value {
        let (rows, _) = self.store.rows("servers", "", server);
        let row = rows.first().filter(|row| row.key == server);
        let value = &row.expect("an entry").value;
        let bytes = STANDARD.decode(value).expect("base64");
        serde_json::from_slice(&bytes).expect("JSON")
    }

    /// A server writes its entry anew, as it does when something in it has changed.
    pub fn register(&self, id: &str) {
        register(&self.store, &self.servers, id);
    }

    fn put(&self, table: &str, key: &str, value: &serde_json::Value) {
        put(&self.store, table, key, value);
    }
}

fn register(store: &Store, servers: &BTreeMap<String, Arc<Server>>, id: &str) {
    put(store, "servers", id, &entry(&servers[id]));
}

fn entry(server: &Server) -> serde_json::Value {
    let member = server.group.member(&server.id);
    let (leads, leaving) = member.map_or((false, false), |it| (it.leads, it.leaving));
    let zone = server.id.rsplit('-').next().unwrap_or_default();
    let address = *server.shown.lock().unwrap_or_else(PoisonError::into_inner);
    json!({"service": server.group.service, "address": address, "born": server.born(),
        "zone": format!("zone-{zone}"), "version": "v1", "capacity": server.settings.slots,
        "state": if leaving { "draining" } else { "ready" }, "cold_left_ms": 0,
        "sequence": 1, "reported_role": if leads { "primary" } else { "replica" }})
}

fn put(store: &Store, table: &str, key: &str, value: &serde_json::Value) {
    store.apply(Change {
        upserts: vec![row(table, key, &value.to_string())],
        ..Change::default()
    });
}

fn row(table: &str, key: &str, value: &str) -> Row {
    Row {
        table_name: table.to_owned(),
        key: key.to_owned(),
        value: STANDARD.encode(value),
        ..Row::default()
    }
}

async fn promote(
    groups: BTreeMap<String, Arc<Group>>,
    servers: BTreeMap<String, Arc<Server>>,
    store: Arc<Store>,
    orders: Arc<Orders>,
    asked: Asked,
) -> (StatusCode, String) {
    let body: serde_json::Value = serde_json::from_slice(&asked.body).unwrap_or_default();
    let (Some(service), Some(id)) = (body["service"].as_str(), body["id"].as_str()) else {
        return (StatusCode::BAD_REQUEST, String::new());
    };
    let token = asked.headers.get("x-fencing-token");
    let Some(token) = token.and_then(|token| token.parse::<u64>().ok()) else {
        return (StatusCode::BAD_REQUEST, String::new());
    };
    let Some(group) = groups.get(service) else {
        return (StatusCode::NOT_FOUND, String::new());
    };
    let holder = asked.headers.get("x-duty-holder");
    let order = Order {
        service: service.to_owned(),
        server: id.to_owned(),
        holder: holder.cloned().unwrap_or_default(),
        token,
        accepted: false,
    };
    if !orders.take(order) {
        return (StatusCode::CONFLICT, String::new());
    }
    let running = group.member(id).is_some_and(|member| member.running);
    if !running {
        return (StatusCode::CONFLICT, String::new());
    }
    let (group, id) = (Arc::clone(group), id.to_owned());
    group.ordered(&id);
    let promotion = group.promotion();
    tokio::spawn(async move {
        tokio::time::sleep(promotion).await;
        let promoted = group.leader().as_deref() != Some(&id) && group.promote(&id);
        if promoted && !orders.unlisted.load(Ordering::Relaxed) {
            for other in servers
                .values()
                .filter(|it| it.group.service == group.service)
            {
                register(&store, &servers, &other.id);
            }
        }
    });
    (StatusCode::OK, String::new())
}
