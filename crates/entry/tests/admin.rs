//! Operators' HTTP of a whole entry host, with a control process in the test.

mod common;
#[path = "common/control.rs"]
mod control;

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use control::{Control, knowledge};
use flamingopost_daemon::stop::{Phase, Stop};
use flamingopost_daemon::token::Token;
use flamingopost_entry::host::{Error, Host};
use flamingopost_entry::settings::{Settings, Tls};
use rcgen::generate_simple_self_signed;
use reqwest::{Client, StatusCode};
use serde_json::Value;
use tokio::task::JoinHandle;

const TOKEN: &str = "for-operators";

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
address = 127.0.0.1:1
[caller member]
customer = tesfa
role = member
services = auction-ledger
";

struct Running {
    admin: SocketAddr,
    stop: Stop,
    task: JoinHandle<Result<(), Error>>,
    client: Client,
}

impl Running {
    fn start(settings: Settings) -> Running {
        let host = Host::bind(settings).unwrap();
        let admin = host.admin().unwrap();
        let stop = Stop::default();
        let task = tokio::spawn(host.serve(stop.clone()));
        let client = Client::builder().no_proxy().build().unwrap();
        Running {
            admin,
            stop,
            task,
            client,
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.admin)
    }

    async fn ready(&self) -> (StatusCode, String) {
        let answer = self.client.get(self.url("/ready")).send().await.unwrap();
        (answer.status(), answer.text().await.unwrap())
    }

    async fn get(&self, path: &str, query: &[(&str, &str)]) -> (StatusCode, Value) {
        let url = reqwest::Url::parse_with_params(&self.url(path), query).unwrap();
        let answer = self
            .client
            .get(url)
            .bearer_auth(TOKEN)
            .send()
            .await
            .unwrap();
        (answer.status(), answer.json().await.unwrap())
    }

    async fn post(&self, path: &str) -> (StatusCode, String) {
        let request = self.client.post(self.url(path)).bearer_auth(TOKEN);
        let answer = request.send().await.unwrap();
        (answer.status(), answer.text().await.unwrap())
    }

    async fn until_ready(&self) {
        let ready = async {
            while self.ready().await.0 != StatusCode::OK {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(Duration::from_secs(20), ready)
            .await
            .unwrap();
    }

    async fn end(self) {
        self.stop.stop();
        self.task.await.unwrap().unwrap();
    }
}

/// A host whose platform is silent and whose control process is `control`.
fn settings(control: &Control) -> Settings {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    Settings {
        token: Token::new(TOKEN),
        peers: vec![control.address],
        ..Settings::local("bole-1", "bole-hall", nowhere)
    }
}

async fn control() -> Control {
    let control = Control::start(knowledge(3, &body())).await;
    control.names(&control, 1);
    control
}

fn body() -> String {
    let verifier = flamingopost_entry::auth::scram::verifier(common::PASSWORD, common::SALT);
    format!("{BODY}verifier = {verifier}\n")
}

#[tokio::test]
async fn a_host_is_ready_once_it_has_configuration_and_lease() {
    let control = Control::start(Default::default()).await;
    control.state().grants = Err(None);
    control.names(&control, 1);
    let host = Running::start(settings(&control));
    let (status, body) = host.ready().await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(body, "no configuration yet\n");
    let controllers = control.state().knowledge.controllers.clone();
    control.state().knowledge = knowledge(3, &self::body());
    control.state().knowledge.controllers = controllers;
    while host.ready().await.1.starts_with("no configuration") {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(host.ready().await.0, StatusCode::SERVICE_UNAVAILABLE);
    control.state().grants = Ok(());
    host.until_ready().await;
    host.end().await;
}

#[tokio::test]
async fn status_tells_version_leases_and_pools() {
    let control = control().await;
    let host = Running::start(settings(&control));
    host.until_ready().await;
    let (code, status) = host.get("/v1/status", &[]).await;
    assert_eq!(code, StatusCode::OK);
    assert_eq!(
        (&status["host"], &status["phase"]),
        (&"bole-1".into(), &"running".into())
    );
    assert_eq!(status["version"], 3);
    let shard = &status["shards"][0];
    assert_eq!(shard["view"], "1.1");
    assert!(shard["lease_left_ms"].as_u64().unwrap() > 0);
    assert_eq!(shard["controller"]["rpc"], control.address.to_string());
    let service = &status["services"][0];
    assert_eq!(service["state"], "open");
    assert_eq!(service["primary"], "auction-ledger-1");
    assert_eq!(service["servers"][0]["allotment"], 5);
    host.end().await;
}

#[tokio::test]
async fn explain_tells_rule_and_route() {
    let control = control().await;
    let host = Running::start(settings(&control));
    host.until_ready().await;
    let mut query = vec![
        ("service", "auction-ledger"),
        ("caller", "member"),
        ("sql", "INSERT INTO bids VALUES (1)"),
    ];
    let (code, told) = host.get("/v1/explain", &query).await;
    assert_eq!(code, StatusCode::OK, "{told}");
    assert_eq!(
        (&told["access"], &told["role"]),
        (&"write".into(), &"member".into())
    );
    assert!(told["route"]["type"].is_string(), "{told}");
    query[1].1 = "stranger";
    let (code, told) = host.get("/v1/explain", &query).await;
    assert_eq!(
        (code, &told["error"]),
        (StatusCode::NOT_FOUND, &"unknown".into())
    );
    host.end().await;
}

/// An operator takes a host out for replacement. The balancer must see at once that it is not
/// ready, and with no caller on it the process ends by itself and gives its leases up.
#[tokio::test]
async fn a_drained_host_gives_up_its_leases_and_ends() {
    let control = control().await;
    let host = Running::start(settings(&control));
    host.until_ready().await;
    let (code, body) = host.post("/v1/drain").await;
    assert_eq!(code, StatusCode::ACCEPTED);
    assert!(body.contains("\"phase\":\"draining\""), "{body}");
    let ended = tokio::time::timeout(Duration::from_secs(20), host.task);
    ended.await.unwrap().unwrap().unwrap();
    assert_eq!(host.stop.phase(), Phase::Stopped);
    assert!(
        control
            .state()
            .renewals
            .iter()
            .any(|renewal| renewal.stopping)
    );
}

#[tokio::test]
async fn keys_are_reloaded_on_request() {
    let folder = tempfile::tempdir().unwrap();
    let tls = Tls {
        certificate: folder.path().join("certificate.pem"),
        key: folder.path().join("key.pem"),
        required: false,
    };
    let issued = generate_simple_self_signed(vec!["localhost".to_owned()]).unwrap();
    fs::write(&tls.certificate, issued.cert.pem()).unwrap();
    fs::write(&tls.key, issued.signing_key.serialize_pem()).unwrap();
    let control = control().await;
    let with_tls = Settings {
        tls: Some(tls.clone()),
        ..settings(&control)
    };
    let host = Running::start(with_tls);
    assert_eq!(host.post("/v1/reload").await.0, StatusCode::OK);
    fs::write(&tls.key, "broken").unwrap();
    let (code, body) = host.post("/v1/reload").await;
    assert_eq!(code, StatusCode::UNPROCESSABLE_ENTITY);
    assert!(body.contains("key_kept"), "{body}");
    host.end().await;

    let host = Running::start(settings(&control));
    assert_eq!(host.post("/v1/reload").await.0, StatusCode::CONFLICT);
    host.end().await;
}

#[tokio::test]
async fn a_port_that_is_taken_is_an_error_with_its_name() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut settings = settings(&control().await);
    settings.callers = taken.local_addr().unwrap();
    let error = Host::bind(settings).err().unwrap();
    assert!(
        matches!(
            error,
            Error::Listen {
                listener: "callers",
                ..
            }
        ),
        "{error}"
    );
}
