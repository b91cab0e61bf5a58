//! The platform's services and their faults, as an HTTP client sees them.

mod common;

use common::hangs;
use flamingopost_standin::platform::{Faults, Service, Settings};
use reqwest::header::{ETAG, IF_MATCH, IF_NONE_MATCH};
use reqwest::{Client, Response, StatusCode};
use serde_json::{Value, json};

const KEY: &str = "fleet/head";

struct Platform {
    service: Service,
    http: Client,
}

impl Platform {
    fn start() -> Platform {
        let service = Service::start(&Settings::default()).unwrap();
        let http = Client::builder().no_proxy().build().unwrap();
        Platform { service, http }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.service.address())
    }

    async fn create(&self, key: &str, body: &Value) -> reqwest::Result<Response> {
        let request = self.http.put(self.url(&format!("/table/{key}")));
        request.header(IF_NONE_MATCH, "*").json(body).send().await
    }

    async fn read(&self, key: &str) -> reqwest::Result<Response> {
        self.http
            .get(self.url(&format!("/table/{key}")))
            .send()
            .await
    }
}

fn tag(response: &Response) -> String {
    response.headers()[ETAG].to_str().unwrap().to_owned()
}

#[tokio::test]
async fn a_compare_and_set_has_one_winner() {
    let platform = Platform::start();
    let created = platform.create(KEY, &json!({"version": 1})).await.unwrap();
    assert_eq!(created.status(), StatusCode::CREATED);
    let lost = platform.create(KEY, &json!({"version": 9})).await.unwrap();
    assert_eq!(lost.status(), StatusCode::PRECONDITION_FAILED);
    let set = |body: Value| {
        let request = platform.http.put(platform.url(&format!("/table/{KEY}")));
        request.header(IF_MATCH, tag(&created)).json(&body).send()
    };
    assert_eq!(set(json!(2)).await.unwrap().status(), StatusCode::OK);
    let second = set(json!(3)).await.unwrap().status();
    assert_eq!(second, StatusCode::PRECONDITION_FAILED);
    let row: Value = platform.read(KEY).await.unwrap().json().await.unwrap();
    assert_eq!(row, json!(2));
}

#[tokio::test]
async fn several_rows_change_together_or_not_at_all() {
    let platform = Platform::start();
    platform.create("fleet/a", &json!(1)).await.unwrap();
    let write = |body: Value| {
        platform
            .http
            .post(platform.url("/table"))
            .json(&body)
            .send()
    };
    let half = write(json!([
        {"key": "fleet/b", "if_none_match": "*", "body": 1},
        {"key": "fleet/a", "if_none_match": "*", "body": 2},
    ]));
    assert_eq!(
        half.await.unwrap().status(),
        StatusCode::PRECONDITION_FAILED
    );
    assert_eq!(
        platform.read("fleet/b").await.unwrap().status(),
        StatusCode::NOT_FOUND
    );
    let unguarded = write(json!([{"key": "fleet/c", "body": 1}])).await.unwrap();
    assert_eq!(unguarded.status(), StatusCode::PRECONDITION_REQUIRED);
    let list = platform.http.get(platform.url("/table?prefix=fleet/"));
    let rows: Vec<Value> = list.send().await.unwrap().json().await.unwrap();
    assert_eq!(rows.len(), 1);
    assert_eq!(rows[0]["key"], "fleet/a");
    assert_eq!(rows[0]["body"], 1);
}

/// A writer's connection breaks while it waits for the answer. The write took effect all the
/// same, and only reading back tells so.
#[tokio::test]
async fn a_lost_answer_hides_a_write_that_took_effect() {
    let platform = Platform::start();
    platform.service.set_faults(Faults {
        lose_answers: true,
        ..Faults::default()
    });
    let error = platform.create(KEY, &json!(1)).await.unwrap_err();
    assert!(!error.is_connect());
    let row: Value = platform.read(KEY).await.unwrap().json().await.unwrap();
    assert_eq!(row, json!(1));
}

#[tokio::test]
async fn a_store_that_is_down_does_nothing() {
    let platform = Platform::start();
    platform.service.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let refused = platform.create(KEY, &json!(1)).await.unwrap();
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    platform.service.set_faults(Faults::default());
    assert_eq!(
        platform.read(KEY).await.unwrap().status(),
        StatusCode::NOT_FOUND
    );
}

#[tokio::test]
async fn a_zone_that_is_cut_off_gets_no_answer() {
    let platform = Platform::start();
    platform.service.set_faults(Faults {
        cut_zones: [String::from("bole-hall")].into(),
        ..Faults::default()
    });
    let from = |zone: &str| {
        let request = platform.http.get(platform.url("/table?prefix=fleet/"));
        request.header("X-Zone", zone).send()
    };
    assert!(hangs(from("bole-hall")).await);
    assert_eq!(from("akaki-hall").await.unwrap().status(), StatusCode::OK);
}

#[tokio::test]
async fn a_slow_store_holds_a_request_back() {
    let platform = Platform::start();
    platform.service.set_faults(Faults {
        slow_ms: 60_000,
        ..Faults::default()
    });
    assert!(hangs(platform.create(KEY, &json!(1))).await);
    platform.service.set_faults(Faults::default());
    assert_eq!(
        platform.read(KEY).await.unwrap().status(),
        StatusCode::NOT_FOUND
    );
}

#[tokio::test]
async fn the_list_of_hosts_lags() {
    let platform = Platform::start();
    let announced = json!({"zone": "bole-hall", "address": "127.0.0.1:6432", "state": "live"});
    let put = platform.http.put(platform.url("/hosts/entry-1"));
    put.json(&announced).send().await.unwrap();
    let list = async || {
        let request = platform.http.get(platform.url("/hosts"));
        let hosts: Vec<Value> = request.send().await.unwrap().json().await.unwrap();
        hosts
    };
    assert_eq!(list().await[0]["host"], "entry-1");
    platform.service.set_faults(Faults {
        host_list_lag_ms: 10_000,
        ..Faults::default()
    });
    assert!(list().await.is_empty());
}
