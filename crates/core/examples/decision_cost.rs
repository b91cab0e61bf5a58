//! Measures the time to classify a statement, choose a rule and read a configuration, for several
//! sizes: `cargo run --release -p flamingopost-core --example decision_cost`.

use std::fmt::Write;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use flamingopost_core::config;
use flamingopost_core::directory::Directory;
use flamingopost_core::key::CallerKey;
use flamingopost_core::rule::{self, Index, Request};
use flamingopost_core::statement::{self, Cache};

/// Duration of one measurement.
const RUN: Duration = Duration::from_millis(300);
/// Numbers of services in the measured configurations.
const SIZES: [usize; 4] = [3, 30, 300, 1000];
const VERIFIER: &str = "SCRAM-SHA-256$4096:c2FsdHNhbHRzYWx0c2FsdA==$\
    7lwOeF0Bk7A5uu1zPIQrlz9g+CW0lL9jZHqkDMzBTWM=:oZ4s3ZfGmSmXTqBRWQvA5zuK7Oy0wFUP9LmBZ9Uu7Zs=";

/// Statements to classify, with their names in the output.
const TEXTS: [(&str, &str); 5] = [
    ("small read", "SELECT price FROM lots WHERE id = $1"),
    (
        "small read with literals",
        "SELECT price FROM lots WHERE id = 4711 AND state = 'open'",
    ),
    (
        "marked write",
        "/* flamingopost: tag=bid key=abc123 */ INSERT INTO bids (lot, price) VALUES ($1, $2)",
    ),
    (
        "joined read",
        "SELECT l.id, l.price, count(b.id) FROM lots l LEFT JOIN bids b ON b.lot = l.id \
         WHERE l.closes > now() AND l.yard IN ($1, $2) GROUP BY l.id, l.price ORDER BY 2 LIMIT 50",
    ),
    ("begin", "BEGIN"),
];

fn main() {
    for (name, sql) in TEXTS {
        measure_text(name, sql);
    }
    for size in SIZES {
        measure_fleet(size);
    }
}

fn measure_text(name: &str, sql: &str) {
    let parsed = nanoseconds(|| statement::classify(black_box(sql)));
    let mut cache = Cache::new(1024);
    for place in 0..1000 {
        cache.classify(&format!("SELECT price FROM lots WHERE yard = {place}"));
    }
    let cached = nanoseconds(|| cache.classify(black_box(sql)));
    println!("classify, {name}: parsed {parsed} ns, cached {cached} ns");
}

fn measure_fleet(services: usize) {
    let text = configuration(services);
    let mut directory = Directory::default();
    let started = Instant::now();
    let fleet = config::parse("fleet.ini", &text, &mut directory).expect("valid");
    let reading = started.elapsed();
    let rules = fleet.rules.len();
    let index = Index::new(Arc::new(fleet));
    let statement = statement::classify("SELECT price FROM lots WHERE id = $1");
    let last = format!("service-{}", services - 1);
    let request = Request {
        service: directory.services.find(&last).expect("a service"),
        caller: CallerKey::default(),
        role: "member",
        statement: &statement,
    };
    let indexed = nanoseconds(|| index.choose(black_box(&request)).rule);
    let linear = nanoseconds(|| rule::choose(index.fleet(), black_box(&request)).rule);
    println!(
        "{services} services, {rules} rules, {} bytes: read {reading:?}, index {indexed} ns, linear {linear} ns",
        text.len()
    );
}

fn configuration(services: usize) -> String {
    let mut text = format!(
        "[fleet]\ndefault_class = view\n[zone a]\nregion = r\n[customer c]\n\
         [class view]\nweight = 1\ndeadline = 1s\n\
         [caller member]\nverifier = {VERIFIER}\ncustomer = c\nrole = member\nservices = *\n"
    );
    for place in 0..services {
        let (high, low) = (place / 200, place % 200);
        let _ = write!(
            text,
            "[service service-{place}]\ncustomer = c\nslots = 3\nconnections = 36\nconnect_cost = 30ms\n"
        );
        for server in 1..=3 {
            let _ = write!(
                text,
                "[server service-{place}-{server}]\nservice = service-{place}\nzone = a\n\
                 address = 10.{high}.{low}.{server}:5432\n"
            );
        }
        let _ = write!(
            text,
            "[rule rule-{place}]\nwhen.service = service-{place}\nwhen.access = read\n\
             when.table = lots\nthen.target = replica\n"
        );
    }
    text
}

fn nanoseconds<T>(mut run: impl FnMut() -> T) -> u128 {
    let started = Instant::now();
    let mut runs = 0;
    while started.elapsed() < RUN {
        for _ in 0..100 {
            black_box(run());
        }
        runs += 100;
    }
    started.elapsed().as_nanos() / runs
}
