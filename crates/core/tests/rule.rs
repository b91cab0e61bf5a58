//! Random rules from a fixed seed: the index agrees with a linear search, and covered rules match
//! nothing that the covering rule does not.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use flamingopost_core::directory::Directory;
use flamingopost_core::fleet::Fleet;
use flamingopost_core::key::{CallerKey, ClassKey, ServiceKey};
use flamingopost_core::rule::{self, Access, Ack, Index, Request, Rule, Target, Then, When};
use flamingopost_core::statement::{self, Statement};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const CASES: u32 = 300;
const SERVICES: [&str; 3] = ["auction-ledger", "member-ledger", "yard-ledger"];
const CALLERS: [&str; 2] = ["member", "batch"];
const ROLES: [&str; 2] = ["clerk", "buyer"];
const TEXTS: [&str; 7] = [
    "SELECT * FROM lots",
    "SELECT * FROM lots, bids",
    "SELECT 1",
    "INSERT INTO bids VALUES (1)",
    "/* flamingopost: tag=bid */ INSERT INTO bids SELECT * FROM lots",
    "/* flamingopost: tag=view */ SELECT * FROM lots",
    "no SQL",
];

fn runner() -> TestRunner {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn subset_of(words: &'static [&'static str]) -> impl Strategy<Value = BTreeSet<&'static str>> {
    prop_oneof![
        Just(BTreeSet::new()),
        prop::collection::btree_set(prop::sample::select(words), 0..3),
    ]
}

fn names() -> Directory {
    let mut directory = Directory::default();
    for name in SERVICES {
        directory.services.intern(name);
    }
    for name in CALLERS {
        directory.callers.intern(name);
    }
    directory
}

fn service(name: &str) -> ServiceKey {
    names().services.find(name).expect("a service")
}

fn caller(name: &str) -> CallerKey {
    names().callers.find(name).expect("a caller")
}

fn owned(words: BTreeSet<&str>) -> BTreeSet<String> {
    words.into_iter().map(str::to_owned).collect()
}

fn conditions() -> impl Strategy<Value = When> {
    let access = prop::sample::select(&[None, Some(Access::Read), Some(Access::Write)][..]);
    let parts = (
        subset_of(&SERVICES),
        subset_of(&CALLERS),
        subset_of(&ROLES),
        access,
        subset_of(&["bid", "view"]),
        subset_of(&["lots", "bids"]),
    );
    parts.prop_map(|(services, callers, roles, access, tags, tables)| When {
        services: services.into_iter().map(service).collect(),
        callers: callers.into_iter().map(caller).collect(),
        roles: owned(roles),
        access,
        tags: owned(tags),
        tables: owned(tables),
    })
}

fn rule(position: usize, when: When) -> Rule {
    Rule {
        name: format!("rule-{position}"),
        line: position + 1,
        when,
        then: Then {
            target: Target::Primary,
            max_age: None,
            repeatable: false,
            deadline: Duration::from_secs(1),
            class: ClassKey::default(),
            retries: 0,
            hedge: None,
            rate: None,
            ack: Ack::Primary,
            refuse: None,
        },
    }
}

/// Returns every request that the constants above can form.
fn requests(statements: &[Statement]) -> Vec<Request<'_>> {
    let mut requests = Vec::new();
    for statement in statements {
        for name in SERVICES {
            for who in CALLERS {
                requests.extend(ROLES.map(|role| Request {
                    service: service(name),
                    caller: caller(who),
                    role,
                    statement,
                }));
            }
        }
    }
    requests
}

#[test]
fn the_index_chooses_the_same_rule_as_a_linear_search() {
    let statements = TEXTS.map(statement::classify);
    let all = requests(&statements);
    let strategy = prop::collection::vec(conditions(), 0..12);
    runner()
        .run(&strategy, |whens| {
            let rules = whens.into_iter().enumerate();
            let fleet = Arc::new(Fleet {
                rules: rules.map(|(position, when)| rule(position, when)).collect(),
                ..Fleet::default()
            });
            let index = Index::new(Arc::clone(&fleet));
            for request in &all {
                prop_assert_eq!(index.choose(request), rule::choose(&fleet, request));
            }
            Ok(())
        })
        .unwrap();
}

// Guards against reporting a reachable rule as unreachable: the operator would remove it, and the
// requests that it matched would be treated differently.
#[test]
fn a_covered_rule_matches_no_further_request() {
    let statements = TEXTS.map(statement::classify);
    let all = requests(&statements);
    runner()
        .run(&(conditions(), conditions()), |(wide, narrow)| {
            if wide.covers(&narrow) {
                for request in &all {
                    prop_assert!(!narrow.matches(request) || wide.matches(request));
                }
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn every_condition_can_reject_a_request() {
    let statement = statement::classify("/* flamingopost: tag=bid */ INSERT INTO bids VALUES (1)");
    let request = Request {
        service: service("auction-ledger"),
        caller: caller("member"),
        role: "clerk",
        statement: &statement,
    };
    let other = |word: &str| BTreeSet::from([word.to_owned()]);
    assert!(When::default().matches(&request));
    let whens = [
        When {
            services: BTreeSet::from([service("yard-ledger")]),
            ..When::default()
        },
        When {
            callers: BTreeSet::from([caller("batch")]),
            ..When::default()
        },
        When {
            roles: other("buyer"),
            ..When::default()
        },
        When {
            access: Some(Access::Read),
            ..When::default()
        },
        When {
            tags: other("view"),
            ..When::default()
        },
        When {
            tables: other("lots"),
            ..When::default()
        },
    ];
    for when in whens {
        assert!(!when.matches(&request), "{when:?}");
    }
}
