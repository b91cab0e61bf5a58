//! Configuration submissions over HTTP: races, lost answers, outages and invalid configurations,
//! and the spread of accepted versions.

mod common;

use common::Fleet;
use flamingopost_standin::platform::Faults;
use serde_json::{Value, json};

/// Three operators submit changes to the same version concurrently, each through a different host.
/// One is accepted. The others receive a conflict that names the winning submission.
#[actix_rt::test]
async fn one_of_three_racing_operators_wins() {
    let fleet = Fleet::start().await;
    fleet.open().await;
    let bodies: Vec<String> = (0..3)
        .map(|operator| fleet.config(&format!("[customer new-{operator}]\n")))
        .collect();
    let (first, second, third) = tokio::join!(
        fleet.submit(0, 1, "race-0", &bodies[0]),
        fleet.submit(1, 1, "race-1", &bodies[1]),
        fleet.submit(2, 1, "race-2", &bodies[2]),
    );
    let answers = [first, second, third];
    let winners: Vec<usize> = (0..3).filter(|of| answers[*of].0 == 200).collect();
    assert_eq!(winners.len(), 1, "{answers:?}");
    let winner = format!("race-{}", winners[0]);
    for (code, answer) in &answers {
        match code {
            200 => assert_eq!(answer["version"], 2),
            409 => assert_eq!(answer["winner"]["submission"], winner),
            _ => panic!("{answers:?}"),
        }
    }
    fleet.in_force(2).await;
    let (_, newest) = fleet.get(2, "/v1/config").await;
    assert_eq!(newest["submission"], winner);
    let (_, first) = fleet.get(1, "/v1/config/1").await;
    assert_eq!(first["submission"], "first");
    let (_, history) = fleet.get(0, "/v1/history").await;
    let versions: Vec<&Value> = history
        .as_array()
        .unwrap()
        .iter()
        .map(|r| &r["version"])
        .collect();
    assert_eq!(versions, [2, 1]);
}

/// Every answer of the table service is lost after the write took effect. The submission must not
/// be accepted twice and must not be reported as failed.
#[actix_rt::test]
async fn lost_answers_are_read_back() {
    let fleet = Fleet::start().await;
    fleet.platform.set_faults(Faults {
        lose_answers: true,
        ..Faults::default()
    });
    let (code, answer) = fleet.submit(0, 0, "first", &fleet.config("")).await;
    assert_eq!((code, answer), (200, json!({"version": 1})));
    fleet.open_service(1).await;
    let (code, answer) = fleet.submit(1, 0, "first", &fleet.config("")).await;
    assert_eq!((code, answer), (200, json!({"version": 1})));
    let (_, history) = fleet.get(0, "/v1/history").await;
    assert_eq!(history.as_array().unwrap().len(), 1);
}

#[actix_rt::test]
async fn a_submission_during_an_outage_is_unavailable() {
    let fleet = Fleet::start().await;
    fleet.open().await;
    fleet.platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let (code, answer) = fleet.submit(0, 1, "second", &fleet.config("")).await;
    assert_eq!((code, answer), (503, json!({"type": "unavailable"})));
    // The process itself still returns the version in force.
    let (code, answer) = fleet.get(0, "/v1/config").await;
    assert_eq!((code, &answer["version"]), (200, &json!(1)));
}

/// A zone is partitioned from the platform but not from the other zones. A version accepted
/// elsewhere is adopted in the zone as well, because one reachable process that has it suffices.
#[actix_rt::test]
async fn a_version_reaches_a_zone_without_the_platform() {
    let fleet = Fleet::start().await;
    fleet.open().await;
    fleet.platform.set_faults(Faults {
        cut_zones: ["kality-hall".to_owned()].into(),
        ..Faults::default()
    });
    let (code, answer) = fleet.submit(0, 1, "second", &fleet.config("")).await;
    assert_eq!(code, 200, "{answer}");
    fleet.in_force(2).await;
}

#[actix_rt::test]
async fn an_invalid_configuration_is_refused_with_all_problems() {
    let fleet = Fleet::start().await;
    fleet.open().await;
    let wrong = fleet
        .config("")
        .replace("weight = 10", "weight = heavy")
        .replace("customer = tesfa", "customer = tesfo");
    let (code, answer) = fleet.submit(0, 1, "second", &wrong).await;
    assert_eq!((code, &answer["type"]), (422, &json!("invalid")));
    assert_eq!(answer["problems"].as_array().unwrap().len(), 2, "{answer}");
    let moved = fleet.config("").replace("shards = 1", "shards = 2");
    let (code, answer) = fleet.submit(0, 1, "third", &moved).await;
    assert_eq!(code, 422);
    assert_eq!(answer["problems"][0]["fix"], "write `shards = 1`");
    let (code, answer) = fleet.submit(0, 7, "fourth", &fleet.config("")).await;
    assert_eq!(code, 422);
    assert_eq!(
        answer["problems"][0]["fix"],
        "start from version 1, the newest"
    );
}

// A submission with the greatest possible base version. Computing the next version overflowed,
// which ended the request's worker and left the operator without an answer.
#[actix_rt::test]
async fn the_greatest_base_version_is_refused() {
    let fleet = Fleet::start().await;
    fleet.open().await;
    let (code, answer) = fleet.submit(0, u64::MAX, "second", &fleet.config("")).await;
    assert_eq!((code, &answer["type"]), (422, &json!("invalid")));
}

#[actix_rt::test]
async fn requests_without_the_token_are_unauthorized() {
    let fleet = Fleet::start().await;
    for path in ["/v1/config", "/v1/history", "/v1/status"] {
        let url = format!("http://{}{path}", fleet.controls[0].admin);
        let response = reqwest::get(url).await.unwrap();
        assert_eq!(response.status().as_u16(), 401, "{path}");
    }
    let url = format!("http://{}/live", fleet.controls[0].admin);
    assert_eq!(reqwest::get(url).await.unwrap().status().as_u16(), 200);
}
