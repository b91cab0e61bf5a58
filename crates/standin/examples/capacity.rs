//! How many statements a second one stand-in server answers on loopback.
//!
//! `cargo run --release -p flamingopost-standin --example capacity`

use std::time::{Duration, Instant};

use flamingopost_standin::backend::{Server, Settings};
use tokio_postgres::{Client, NoTls};

const RUN: Duration = Duration::from_secs(3);
const ROWS: i64 = 10_000;
const TERM: i64 = 1 << 32;

/// What each connection repeats.
#[derive(Debug, Clone, Copy)]
enum Work {
    /// A read of one row by a prepared statement.
    PreparedRead,
    /// The same read as a simple query, its text new each time.
    SimpleRead,
    /// A write of one row by a prepared statement.
    Write,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut settings = Settings::new("capacity", "capacity");
    settings.connections = 1000;
    let server = Server::start(settings).await?;
    server.promote(TERM)?;
    let client = connect(&server).await?;
    client
        .batch_execute("CREATE TABLE lots (id bigint PRIMARY KEY, name text, price bigint)")
        .await?;
    let fill = format!("INSERT INTO lots SELECT value, 'lot', 0 FROM generate_series(1, {ROWS})");
    client.batch_execute(&fill).await?;
    println!(
        "{:<14} {:>11} {:>12} {:>9} {:>9}",
        "work", "connections", "statements/s", "p50 us", "p99 us"
    );
    for work in [Work::PreparedRead, Work::SimpleRead, Work::Write] {
        for connections in [1, 16, 256] {
            measure(&server, work, connections).await?;
        }
    }
    Ok(())
}

async fn connect(server: &Server) -> Result<Client, tokio_postgres::Error> {
    let address = server.address();
    let text = format!(
        "host={} port={} user=flamingopost dbname=capacity",
        address.ip(),
        address.port()
    );
    let (client, connection) = tokio_postgres::connect(&text, NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

async fn measure(
    server: &Server,
    work: Work,
    connections: i64,
) -> Result<(), Box<dyn std::error::Error>> {
    let mut tasks = Vec::new();
    for number in 0..connections {
        let client = connect(server).await?;
        tasks.push(tokio::spawn(repeat(client, work, number)));
    }
    let mut micros = Vec::new();
    for task in tasks {
        micros.extend(task.await??);
    }
    micros.sort_unstable();
    let per_second = micros.len() as f64 / RUN.as_secs_f64();
    println!(
        "{:<14} {connections:>11} {per_second:>12.0} {:>9} {:>9}",
        format!("{work:?}"),
        micros[micros.len() / 2],
        micros[micros.len() * 99 / 100],
    );
    Ok(())
}

async fn repeat(
    client: Client,
    work: Work,
    number: i64,
) -> Result<Vec<u64>, tokio_postgres::Error> {
    let read = client
        .prepare("SELECT name, price FROM lots WHERE id = $1")
        .await?;
    let write = client
        .prepare("UPDATE lots SET price = price + 1 WHERE id = $1")
        .await?;
    let mut micros = Vec::new();
    let mut id = number;
    let start = Instant::now();
    while start.elapsed() < RUN {
        id = (id + 7919) % ROWS;
        let sent = Instant::now();
        match work {
            Work::PreparedRead => drop(client.query_one(&read, &[&(id + 1)]).await?),
            Work::SimpleRead => {
                let text = format!("SELECT name, price FROM lots WHERE id = {}", id + 1);
                drop(client.simple_query(&text).await?);
            }
            Work::Write => drop(client.execute(&write, &[&(id + 1)]).await?),
        }
        micros.push(sent.elapsed().as_micros() as u64);
    }
    Ok(micros)
}
