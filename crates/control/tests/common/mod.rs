//! A small fleet in one process: control processes, a stand-in platform, stand-in servers and
//! simulated entry hosts that only hold leases.

#![allow(dead_code)]

pub mod holder;

use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use flamingopost_control::settings::Settings;
use flamingopost_daemon::remote;
use flamingopost_daemon::stop::Stop;
use flamingopost_daemon::token::Token;
use flamingopost_platform::http::Client;
use flamingopost_platform::table::Table as _;
use flamingopost_standin::backend;
use flamingopost_standin::platform;
use flamingopost_wire::rpc::ControlClient as _;
use flamingopost_wire::status::{Service, Status};
use holder::Host;
use serde_json::Value;

pub const SERVICE: &str = "auction-ledger";
pub const ZONES: [&str; 3] = ["bole-hall", "akaki-hall", "kality-hall"];
const TOKEN: &str = "for-tests-only";

/// Timeout of every wait in a test. A test fails when it expires; no other check depends on it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

pub struct Control {
    pub host: String,
    pub rpc: SocketAddr,
    pub admin: SocketAddr,
    pub stop: Stop,
}

pub struct Fleet {
    pub platform: platform::Service,
    pub servers: Vec<backend::Server>,
    pub controls: Vec<Control>,
}

impl Fleet {
    /// Starts one control process per zone, three servers and a platform without a configuration.
    pub async fn start() -> Fleet {
        Fleet::with_relays(false).await
    }

    /// Does the same as [`Fleet::start`]; `relays` makes the control processes relay renewals.
    pub async fn with_relays(relays: bool) -> Fleet {
        let platform = platform::Service::start(&platform::Settings::default()).unwrap();
        let mut servers = Vec::new();
        for (index, zone) in ZONES.iter().enumerate() {
            let mut settings = backend::Settings::new(&server_name(index), SERVICE);
            settings.zone = (*zone).to_owned();
            servers.push(backend::Server::start(settings).await.unwrap());
        }
        let mut fleet = Fleet {
            platform,
            servers,
            controls: Vec::new(),
        };
        fleet.start_controls(1, relays);
        fleet
    }

    fn start_controls(&mut self, generation: u8, relays: bool) {
        let sockets: Vec<(TcpListener, TcpListener)> =
            ZONES.iter().map(|_| (listener(), listener())).collect();
        let peers: Vec<SocketAddr> = sockets.iter().map(|(rpc, _)| address(rpc)).collect();
        for (zone, (rpc, admin)) in ZONES.iter().zip(sockets) {
            let host = format!("{zone}-{generation}");
            let mut settings = Settings::local(&host, zone, self.platform.address());
            settings.peers.clone_from(&peers);
            settings.token = Token::new(TOKEN);
            settings.relay = relays;
            self.controls.push(start_control(settings, rpc, admin));
        }
    }

    /// Returns a configuration with all servers, followed by `more`.
    pub fn config(&self, more: &str) -> String {
        let mut text = String::from(
            "[fleet]\nshards = 1\ndefault_class = bid\n[customer tesfa]\n[class bid]\nweight = \
             10\ndeadline = 300ms\n",
        );
        for zone in ZONES {
            text.push_str(&format!("[zone {zone}]\nregion = addis-ababa\n"));
        }
        text.push_str(&format!(
            "[service {SERVICE}]\ncustomer = tesfa\nslots = 3\nconnections = 36\nconnect_cost = \
             30ms\n"
        ));
        for (index, server) in self.servers.iter().enumerate() {
            text.push_str(&format!(
                "[server {}]\nservice = {SERVICE}\nzone = {}\naddress = {}\n",
                server_name(index),
                ZONES[index],
                server.address()
            ));
        }
        text.push_str(more);
        text
    }

    /// Submits the configuration and waits until the service is open.
    pub async fn open(&self) -> Service {
        let (status, answer) = self.submit(0, 0, "first", &self.config("")).await;
        assert_eq!(status, 200, "{answer}");
        self.in_force(1).await;
        self.open_service(0).await
    }

    /// Waits until every control process has put `version` in force.
    pub async fn in_force(&self, version: u64) {
        eventually("the version is in force everywhere", || async {
            for control in 0..self.controls.len() {
                if self.version(control).await < version {
                    return None;
                }
            }
            Some(())
        })
        .await;
    }

    /// Submits `body` through one control process.
    pub async fn submit(&self, control: usize, base: u64, id: &str, body: &str) -> (u16, Value) {
        let message = serde_json::json!({
            "base": base,
            "submission": id,
            "operator": "asha",
            "body": body,
        });
        self.post(control, "/v1/config", &message).await
    }

    pub async fn post(&self, control: usize, path: &str, body: &Value) -> (u16, Value) {
        let url = format!("http://{}{path}", self.controls[control].admin);
        let request = reqwest::Client::new()
            .post(url)
            .bearer_auth(TOKEN)
            .json(body);
        answer(request).await
    }

    pub async fn delete(&self, control: usize, path: &str, body: &Value) -> (u16, Value) {
        let url = format!("http://{}{path}", self.controls[control].admin);
        let request = reqwest::Client::new()
            .delete(url)
            .bearer_auth(TOKEN)
            .json(body);
        answer(request).await
    }

    pub async fn get(&self, control: usize, path: &str) -> (u16, Value) {
        let url = format!("http://{}{path}", self.controls[control].admin);
        answer(reqwest::Client::new().get(url).bearer_auth(TOKEN)).await
    }

    pub async fn status(&self, control: usize) -> Option<Status> {
        let (code, value) = self.get(control, "/v1/status").await;
        (code == 200).then(|| serde_json::from_value(value).unwrap())
    }

    /// Returns the configuration version that a control process has in force, or 0 if it does not
    /// answer.
    pub async fn version(&self, control: usize) -> u64 {
        let address = self.controls[control].rpc.to_string();
        let client = remote::client(&address, &Token::new(TOKEN), Duration::from_secs(5)).unwrap();
        match client.knowledge(0).await {
            Ok(knowledge) => knowledge.version,
            Err(_) => 0,
        }
    }

    /// Returns the host of the controller that the shard's row names.
    pub async fn named_controller(&self) -> String {
        let table = Client::new(self.platform.address(), "", TEST_TIMEOUT).unwrap();
        let row = table.read("fleet/shard-0").await.unwrap().unwrap();
        let row: Value = serde_json::from_str(&row.body).unwrap();
        row["controller"].as_str().unwrap().to_owned()
    }

    /// Stops one control process, as if its host had been switched off.
    pub fn stop_control(&mut self, control: usize) {
        self.controls[control].stop.stop();
    }

    /// Stops all control processes.
    pub fn stop(&self) {
        for control in &self.controls {
            control.stop.stop();
        }
    }

    /// Replaces the control processes by new ones on new hosts.
    pub fn replace_controls(&mut self) {
        self.controls.clear();
        self.start_controls(2, false);
    }

    /// Restarts all control processes on the same hosts, without their state.
    pub fn restart_controls(&mut self) {
        self.stop();
        self.controls.clear();
        self.start_controls(1, false);
    }

    /// Waits until the controller has named two standbys in the row.
    pub async fn named_standbys(&self, observer: usize) {
        eventually("two standbys are named", || async {
            let status = self.status(observer).await?;
            let named = status.controllers.first()?.standbys.len();
            (named == 2).then_some(())
        })
        .await;
        // The table holds the row that names them by the next read.
        tokio::time::sleep(flamingopost_core::timing::ROW_READ_INTERVAL * 2).await;
    }

    /// Waits until one control process reports the service as open.
    pub async fn open_service(&self, control: usize) -> Service {
        eventually("the service opens", || async {
            let status = self.status(control).await?;
            let service = status.services.into_iter().next()?;
            service.primary.is_some().then_some(service)
        })
        .await
    }

    /// Waits until control process `observer` reports a controller, and returns the controller's
    /// index.
    pub async fn leader(&self, observer: usize) -> usize {
        eventually("a controller is known", || async {
            let status = self.status(observer).await?;
            let controller = status.controllers.into_iter().next()?;
            let mut controls = self.controls.iter();
            controls.position(|control| control.host == controller.host)
        })
        .await
    }

    /// Starts one entry host per zone and waits until each holds a lease with `primary` as primary.
    pub async fn hosts(&self, primary: &str) -> Vec<Host> {
        let hosts = self.hosts_without_leases().await;
        wait_for_primary(&hosts, primary).await;
        hosts
    }

    /// Starts one entry host per zone without waiting for leases.
    pub async fn hosts_without_leases(&self) -> Vec<Host> {
        let mut hosts = Vec::new();
        for zone in ZONES {
            let name = format!("{zone}-1");
            hosts.push(Host::start(&name, zone, self.rpcs()).await);
        }
        hosts
    }

    /// Starts one entry host in each zone other than that of `control`.
    pub async fn hosts_in_other_zones(&self, control: usize) -> Vec<Host> {
        let mut hosts = Vec::new();
        for zone in ZONES.iter().filter(|zone| **zone != ZONES[control]) {
            hosts.push(Host::start(&format!("{zone}-1"), zone, self.rpcs()).await);
        }
        hosts
    }

    /// Starts an entry host that only calls the control process of its zone.
    pub async fn host_behind_relay(&self, relay: usize) -> Host {
        let name = format!("{}-behind", ZONES[relay]);
        Host::start(&name, ZONES[relay], vec![self.controls[relay].rpc]).await
    }

    pub fn server(&self, name: &str) -> &backend::Server {
        let index = (0..self.servers.len()).find(|index| server_name(*index) == name);
        &self.servers[index.unwrap()]
    }

    pub fn rpcs(&self) -> Vec<SocketAddr> {
        self.controls.iter().map(|control| control.rpc).collect()
    }
}

/// Waits until all `hosts` may acknowledge writes of `primary`.
pub async fn wait_for_primary(hosts: &[Host], primary: &str) {
    eventually("all hosts see the primary", || async {
        let see = |host: &Host| host.primary().as_deref() == Some(primary);
        hosts.iter().all(see).then_some(())
    })
    .await;
}

/// Waits until `host` may acknowledge writes of another server than `primary`.
pub async fn wait_for_new_primary(host: &Host, primary: &str) -> String {
    eventually("another server is the primary", || async {
        let now = host.primary()?;
        (now != primary).then_some(now)
    })
    .await
}

pub fn server_name(index: usize) -> String {
    format!("{SERVICE}-{}", index + 1)
}

fn start_control(settings: Settings, rpc: TcpListener, admin: TcpListener) -> Control {
    let stop = Stop::default();
    let control = Control {
        host: settings.host.clone(),
        rpc: address(&rpc),
        admin: address(&admin),
        stop: stop.clone(),
    };
    actix_rt::spawn(flamingopost_control::run_on(rpc, admin, settings, stop));
    control
}

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

fn address(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().unwrap()
}

async fn answer(request: reqwest::RequestBuilder) -> (u16, Value) {
    match request.timeout(Duration::from_secs(20)).send().await {
        Err(_) => (0, Value::Null),
        Ok(response) => {
            let code = response.status().as_u16();
            (code, response.json().await.unwrap_or(Value::Null))
        }
    }
}

/// Polls `ask` until it returns a value.
///
/// # Panics
/// Panics after [`TEST_TIMEOUT`], naming `what` was awaited.
pub async fn eventually<T, F, A>(what: &str, mut ask: A) -> T
where
    F: Future<Output = Option<T>>,
    A: FnMut() -> F,
{
    let asking = async {
        loop {
            if let Some(answer) = ask().await {
                return answer;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    match tokio::time::timeout(TEST_TIMEOUT, asking).await {
        Ok(answer) => answer,
        Err(_) => panic!("timed out after {TEST_TIMEOUT:?}: {what}"),
    }
}
