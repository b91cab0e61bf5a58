//! Faults by command over HTTP.

mod common;

use std::net::SocketAddr;

use common::{hangs, server};
use flamingopost_standin::backend::fault::Cut;
use flamingopost_standin::panel::Panel;
use flamingopost_standin::platform::{Service, Settings};
use flamingopost_standin::relay::{Cuts, Relay};
use reqwest::{Client, StatusCode};
use serde_json::{Value, json};

async fn post(address: SocketAddr, path: &str, body: Value) -> (StatusCode, Value) {
    let http = Client::builder().no_proxy().build().unwrap();
    let url = format!("http://{address}{path}");
    let answer = http.post(url).json(&body).send().await.unwrap();
    (answer.status(), answer.json().await.unwrap_or(Value::Null))
}

#[tokio::test]
async fn commands_change_what_they_name_and_nothing_else() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = server("a1", |settings| settings.admin = Some(any)).await;
    let admin = server.admin_address().unwrap();
    let (status, faults) = post(admin, "/faults", json!({"slow_ms": 5, "cut": true})).await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(faults["slow_ms"], 5);
    assert_eq!(server.faults().cut, Cut::All);
    let (status, _) = post(admin, "/faults", json!({"slow": 5})).await;
    assert_eq!(status, StatusCode::BAD_REQUEST);
    post(admin, "/faults", json!({"cut": false})).await;
    assert_eq!(server.faults().cut, Cut::No);
    assert_eq!(server.faults().slow_ms, 5);
    post(admin, "/faults", json!({"revive": true})).await;
    assert_eq!(server.faults().slow_ms, 0);
    let log = reqwest::get(format!("http://{admin}/log")).await.unwrap();
    let log: Value = log.json().await.unwrap();
    assert_eq!(log["position"], "0.0/0");
}

#[tokio::test]
async fn one_command_cuts_a_zone_off() {
    let inside = server("a1", |settings| settings.zone = "bole-hall".to_owned()).await;
    let outside = server("a2", |settings| settings.zone = "akaki-hall".to_owned()).await;
    let platform = Service::start(&Settings::default()).unwrap();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let servers = [inside, outside];
    let cuts = Cuts::default();
    let relay = Relay::start(platform.address(), "akaki-hall", &cuts)
        .await
        .unwrap();
    let through = |zone: &'static str| {
        let url = format!("http://{}/hosts", relay.address());
        let http = Client::builder().no_proxy().build().unwrap();
        http.get(url).header("X-Zone", zone).send()
    };
    let panel = Panel::start(any, &servers, &platform, &cuts).unwrap();
    let cut = json!({"zone": "bole-hall", "cut": true});
    let (_, overview) = post(panel.address(), "/faults", cut).await;
    assert_eq!(overview["cut_zones"], json!(["bole-hall"]));
    assert!(servers[0].faults().cut.hides("akaki-hall/entry-2"));
    assert!(!servers[0].faults().cut.hides("bole-hall/entry-1"));
    assert!(servers[1].faults().cut.hides("bole-hall/entry-1"));
    assert!(!servers[1].faults().cut.hides("akaki-hall/entry-2"));
    assert!(platform.faults().cut_zones.contains("bole-hall"));
    assert!(hangs(through("bole-hall")).await);
    through("akaki-hall").await.unwrap();
    let heal = json!({"zone": "bole-hall", "cut": false});
    post(panel.address(), "/faults", heal).await;
    assert_eq!(servers[0].faults().cut, Cut::No);
    through("bole-hall").await.unwrap();
}
