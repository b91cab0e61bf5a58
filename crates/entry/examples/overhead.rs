//! What an entry host adds to small reads: latency and processor time, against the same reads
//! sent straight to the stand-in server, and the memory of idle callers.
//!
//! `cargo run --release -p flamingopost-entry --example overhead [SECONDS] [IDLE]`

#[path = "../tests/common/path.rs"]
mod path;

use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use path::{Group, Host};
use rustix::time::{ClockId, clock_gettime};
use tokio::runtime::{Builder, Runtime};
use tokio_postgres::{Client, NoTls};

const CONNECTIONS: [usize; 3] = [1, 16, 256];
const SQL: &str = "SELECT 1";
/// Callers of the paced reads, and the time from one read to the next of each.
const PACED: usize = 16;
const PACE: Duration = Duration::from_millis(2);
const ALLOTTED: u16 = 16;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let seconds = arguments.next().and_then(|text| text.parse().ok());
    let idle = arguments.next().and_then(|text| text.parse().ok());
    let run = Duration::from_secs_f64(seconds.unwrap_or(3.0));
    let servers = runtime(4);
    let group = servers.block_on(Group::start(1));
    let direct = group.servers[0].address();
    let entry = Entry::start(group);
    let load = runtime(4);
    println!("connections  way      statements/s   p50 us   p99 us   entry us/statement");
    for connections in CONNECTIONS {
        let straight = load.block_on(measure(direct, "flamingopost", connections, run));
        report(connections, "direct", &straight, None);
        let before = entry.processor_time();
        let through = load.block_on(measure(entry.address, path::USER, connections, run));
        let spent = entry.processor_time() - before;
        report(connections, "entry", &through, Some(spent));
    }
    println!("paced: {PACED} callers, a read every {PACE:?} each");
    for (way, address, user) in [
        ("direct", direct, "flamingopost"),
        ("entry", entry.address, path::USER),
    ] {
        let before = entry.processor_time();
        let measured = load.block_on(paced(address, user, run));
        report(PACED, way, &measured, Some(entry.processor_time() - before));
    }
    load.block_on(idle_callers(entry.address, idle.unwrap_or(10_000)));
}

fn runtime(threads: usize) -> Runtime {
    let mut builder = Builder::new_multi_thread();
    builder.worker_threads(threads).enable_all();
    builder.build().unwrap()
}

/// An entry host in a thread of its own.
struct Entry {
    address: SocketAddr,
    asked: mpsc::Sender<mpsc::Sender<Duration>>,
}

impl Entry {
    fn start(group: Group) -> Entry {
        let (told, address) = mpsc::channel();
        let (asked, asks) = mpsc::channel::<mpsc::Sender<Duration>>();
        std::thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async move {
                let host = Host::start(&group).await;
                host.allot(ALLOTTED);
                host.learnt(&group).await;
                told.send(host.address).unwrap();
                loop {
                    while let Ok(ask) = asks.try_recv() {
                        ask.send(thread_time()).unwrap();
                    }
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            });
        });
        Entry {
            address: address.recv().unwrap(),
            asked,
        }
    }

    fn processor_time(&self) -> Duration {
        let (sender, answer) = mpsc::channel();
        self.asked.send(sender).unwrap();
        answer.recv().unwrap()
    }
}

fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

async fn connect(address: SocketAddr, user: &str) -> Client {
    let mut config = tokio_postgres::Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .user(user)
        .password(path::PASSWORD)
        .dbname(path::SERVICE);
    let (client, connection) = config.connect(NoTls).await.unwrap();
    tokio::spawn(connection);
    client
}

/// Latencies of reads by `connections` callers who each send the next when one is answered.
async fn measure(address: SocketAddr, user: &str, connections: usize, run: Duration) -> Vec<f64> {
    let mut callers = Vec::new();
    for _ in 0..connections {
        callers.push(connect(address, user).await);
    }
    let end = Instant::now() + run;
    let tasks: Vec<_> = callers
        .into_iter()
        .map(|caller| tokio::spawn(read(caller, end)))
        .collect();
    let mut latencies = Vec::new();
    for task in tasks {
        latencies.extend(task.await.unwrap());
    }
    latencies.sort_by(f64::total_cmp);
    let seconds = run.as_secs_f64();
    latencies.insert(0, latencies.len() as f64 / seconds);
    latencies
}

/// Latencies of reads that come at a fixed pace, far below what either way can carry.
async fn paced(address: SocketAddr, user: &str, run: Duration) -> Vec<f64> {
    let end = Instant::now() + run;
    let mut tasks = Vec::new();
    for _ in 0..PACED {
        let caller = connect(address, user).await;
        tasks.push(tokio::spawn(async move {
            let statement = caller.prepare(SQL).await.unwrap();
            let mut turns = tokio::time::interval(PACE);
            let mut latencies = Vec::new();
            while Instant::now() < end {
                turns.tick().await;
                let start = Instant::now();
                caller.query(&statement, &[]).await.unwrap();
                latencies.push(start.elapsed().as_secs_f64() * 1e6);
            }
            latencies
        }));
    }
    let mut latencies = Vec::new();
    for task in tasks {
        latencies.extend(task.await.unwrap());
    }
    latencies.sort_by(f64::total_cmp);
    latencies.insert(0, latencies.len() as f64 / run.as_secs_f64());
    latencies
}

async fn read(caller: Client, end: Instant) -> Vec<f64> {
    let statement = caller.prepare(SQL).await.unwrap();
    let mut latencies = Vec::new();
    while Instant::now() < end {
        let start = Instant::now();
        caller.query(&statement, &[]).await.unwrap();
        latencies.push(start.elapsed().as_secs_f64() * 1e6);
    }
    latencies
}

fn report(connections: usize, way: &str, measured: &[f64], spent: Option<Duration>) {
    let (rate, latencies) = (measured[0], &measured[1..]);
    let at = |share: f64| latencies[((latencies.len() - 1) as f64 * share) as usize];
    let each = spent.map(|spent| spent.as_secs_f64() * 1e6 / latencies.len() as f64);
    let each = each.map_or(String::new(), |each| format!("{each:.1}"));
    println!(
        "{connections:>11}  {way:<7} {rate:>13.0} {:>8.0} {:>8.0}   {each:>18}",
        at(0.5),
        at(0.99)
    );
}

/// Connects `count` callers that do nothing, and reports what this process grew by for each. The
/// callers' own ends are in it too, each of them no more than a socket.
async fn idle_callers(address: SocketAddr, count: usize) {
    let before = resident_kb();
    let mut sockets = Vec::new();
    for _ in 0..count {
        sockets.push(path::raw(address).await);
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let grown = resident_kb().saturating_sub(before);
    let each = grown * 1024 / count.max(1);
    println!("{count} idle callers: {grown} kB more resident, {each} bytes a caller");
}

fn resident_kb() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.unwrap().split_whitespace().nth(1);
    number.unwrap().parse().unwrap()
}
