//! Good configurations: the examples, and what is written back.

use std::time::Duration;

use flamingopost_core::config;
use flamingopost_core::directory::Directory;
use flamingopost_core::fleet::Fleet;
use flamingopost_core::key::CallerKey;
use flamingopost_core::rule::{self, Access, Ack, Index, Request, Target};
use flamingopost_core::statement;

const TESFA: &str = include_str!("../../../examples/tesfa.ini");
const SUNDARBAN: &str = include_str!("../../../examples/sundarban.ini");

fn read(text: &str) -> (Fleet, Directory) {
    let mut directory = Directory::default();
    match config::parse("example.ini", text, &mut directory) {
        Ok(fleet) => (fleet, directory),
        Err(report) => panic!("{report}"),
    }
}

fn without_lines(mut fleet: Fleet) -> Fleet {
    for rule in &mut fleet.rules {
        rule.line = 0;
    }
    fleet
}

#[test]
fn the_examples_have_the_expected_sizes() {
    let (tesfa, _) = read(TESFA);
    assert_eq!(
        (tesfa.zones.len(), tesfa.services.len(), tesfa.servers.len()),
        (4, 3, 9)
    );
    for server in tesfa.servers.values() {
        assert_eq!((server.slots, server.connections), (3, 36));
        assert_eq!(server.connect_cost, Duration::from_millis(30));
    }
    let (sundarban, _) = read(SUNDARBAN);
    assert_eq!(
        (
            sundarban.zones.len(),
            sundarban.services.len(),
            sundarban.servers.len()
        ),
        (3, 3, 9)
    );
    for server in sundarban.servers.values() {
        assert_eq!((server.slots, server.connections), (2, 16));
        assert_eq!(server.connect_cost, Duration::from_millis(12));
    }
}

#[test]
fn the_servers_of_a_service_are_in_different_zones() {
    for text in [TESFA, SUNDARBAN] {
        let (fleet, _) = read(text);
        for service in fleet.services.values() {
            assert!(service.servers.contains(&service.first_primary));
            let mut zones: Vec<_> = service
                .servers
                .iter()
                .map(|key| fleet.servers[key].zone)
                .collect();
            zones.sort();
            zones.dedup();
            assert_eq!(zones.len(), 3);
        }
    }
}

#[test]
fn a_rendered_configuration_parses_to_the_same_fleet() {
    for text in [TESFA, SUNDARBAN] {
        let (fleet, mut directory) = read(text);
        let written = config::render(&fleet, &directory);
        let again = config::parse("written.ini", &written, &mut directory).expect("reads again");
        assert_eq!(without_lines(again), without_lines(fleet));
    }
}

#[test]
fn names_keep_their_keys_across_versions_and_a_bad_version_adds_none() {
    let (fleet, mut directory) = read(TESFA);
    let key = directory.services.find("yard-ledger");
    let bad = TESFA.replace("[service auction-ledger]", "[service new-name]");
    assert!(config::parse("bad.ini", &bad, &mut directory).is_err());
    assert_eq!(directory.services.find("new-name"), None);
    let again = config::parse("same.ini", TESFA, &mut directory).expect("reads again");
    assert_eq!(again, fleet);
    assert_eq!(directory.services.find("yard-ledger"), key);
}

struct Example {
    fleet: Fleet,
    directory: Directory,
}

impl Example {
    fn rule(&self, service: &str, caller: &str, sql: &str) -> Option<&str> {
        let caller_key = self.directory.callers.find(caller).expect("a caller");
        let statement = statement::classify(sql);
        let request = Request {
            service: self.directory.services.find(service).expect("a service"),
            caller: caller_key,
            role: &self.fleet.callers[&caller_key].role,
            statement: &statement,
        };
        let choice = rule::choose(&self.fleet, &request);
        let index = Index::new(self.fleet.clone().into());
        assert_eq!(index.choose(&request), choice);
        choice
            .rule
            .map(|place| self.fleet.rules[place].name.as_str())
    }
}

#[test]
fn the_first_rule_that_matches_applies() {
    let (fleet, directory) = read(TESFA);
    let tesfa = Example { fleet, directory };
    let on_auctions = |caller, sql| tesfa.rule("auction-ledger", caller, sql);
    let bid = "INSERT INTO bids VALUES (1, 2)";
    assert_eq!(on_auctions("member", bid), Some("bids"));
    assert_eq!(
        on_auctions("member", "SELECT * FROM lots"),
        Some("lot-views")
    );
    assert_eq!(
        on_auctions("batch", "SELECT * FROM bids"),
        Some("batch-reads")
    );
    assert_eq!(
        on_auctions("member", "SELECT * FROM lots, bids"),
        Some("other-reads")
    );
    assert_eq!(
        on_auctions("buyer", "DELETE FROM lots"),
        Some("buyers-only-read")
    );
    assert_eq!(on_auctions("yard-clerk", "DELETE FROM lots"), None);
    let begin = "/* flamingopost: tag=settlement */ BEGIN";
    assert_eq!(
        on_auctions("yard-clerk", begin),
        Some("settlement-transactions")
    );
    let settle = "UPDATE settlements SET paid = true";
    assert_eq!(
        tesfa.rule("yard-ledger", "yard-clerk", settle),
        Some("settlements")
    );
}

#[test]
fn a_request_without_a_matching_rule_goes_to_the_primary() {
    let (fleet, directory) = read(TESFA);
    let statement = statement::classify("DELETE FROM lots");
    let request = Request {
        service: directory.services.find("yard-ledger").expect("a service"),
        caller: CallerKey::default(),
        role: "clerk",
        statement: &statement,
    };
    let choice = rule::choose(&fleet, &request);
    assert_eq!(choice.rule, None);
    assert_eq!(
        (choice.then.target, choice.then.ack),
        (Target::Primary, Ack::Primary)
    );
    assert!(!choice.then.repeatable);
    assert_eq!(Some(choice.then.class), directory.classes.find("other"));
    assert_eq!(choice.then.deadline, Duration::from_secs(1));
    assert!(fleet.default_then(Access::Read).repeatable);
}

#[test]
fn a_caller_can_only_tighten_its_deadline_and_data_age() {
    let (fleet, directory) = read(TESFA);
    let asked = |sql: &str| {
        let statement = statement::classify(sql);
        let request = Request {
            service: directory
                .services
                .find("auction-ledger")
                .expect("a service"),
            caller: CallerKey::default(),
            role: "member",
            statement: &statement,
        };
        let choice = rule::choose(&fleet, &request);
        (
            choice.deadline(&statement.marker),
            choice.max_age(&statement.marker),
        )
    };
    let ms = Duration::from_millis;
    let less = "/* flamingopost: deadline_ms=100 max_age_ms=50 */ SELECT * FROM lots";
    assert_eq!(asked(less), (ms(100), Some(ms(50))));
    let more = "/* flamingopost: deadline_ms=9000 max_age_ms=9000 */ SELECT * FROM lots";
    assert_eq!(asked(more), (ms(250), Some(ms(500))));
}
