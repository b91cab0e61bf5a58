//! Asks the platform, and other processes, again and again.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use flamingopost_daemon::event::Event as _;
use flamingopost_platform::error::Error;
use flamingopost_platform::head::{FLEET_PREFIX, HEAD_KEY, Head};
use flamingopost_platform::table::{Row, Table};
use futures::future::join_all;
use serde::Deserialize;

use super::spread::Heard;
use super::{Link, jittered};
use crate::event::Event as Log;

const SHARD: &str = "fleet/shard-";

/// Time between two questions to other processes while something is missing.
const HURRY: Duration = Duration::from_millis(300);

/// The same in ordinary life, when renewals bring everything that is new: only so that the
/// processes known do not grow old.
const CALM: Duration = Duration::from_secs(30);

/// What an entry host reads of a shard's row.
#[derive(Debug, Deserialize)]
struct Authority {
    epoch: u32,
    #[serde(default)]
    rpc: String,
    /// Addresses of the standbys, by host.
    #[serde(default)]
    addresses: BTreeMap<String, String>,
}

/// Reads the head row, and all of the fleet's rows while a controller is missing, until the
/// process stops. The rows of a thousand services read by each host every two seconds would be
/// several times a host's whole share of the network.
pub async fn table(link: Arc<Link>, table: Arc<dyn Table>, interval: Duration) {
    let mut silent = false;
    while link.is_running() {
        let rows = match link.is_missing_something() {
            true => table.list(FLEET_PREFIX).await,
            false => table.read(HEAD_KEY).await.map(Vec::from_iter),
        };
        match rows {
            Ok(rows) => {
                if std::mem::take(&mut silent) {
                    Log::StoreBack.log();
                }
                take_rows(&link, &rows);
            }
            Err(error) => {
                note_silence(&mut silent, &error);
                link.ear.tell(Heard::HeadFailed);
                link.asking.notify_one();
            }
        }
        tokio::select! {
            () = tokio::time::sleep(jittered(interval)) => {}
            () = link.shared.stop().stopped() => return,
        }
    }
}

/// Asks every control process of the settings once, then one at random now and then, and often
/// while a controller or a configuration is missing.
pub async fn peers(link: Arc<Link>) {
    let first = link.peers.all();
    join_all(first.iter().map(|address| ask_first(&link, address))).await;
    while link.is_running() {
        let pause = match link.is_missing_something() {
            true => HURRY,
            false => CALM,
        };
        tokio::select! {
            () = tokio::time::sleep(jittered(pause)) => {}
            () = pressed(&link) => {}
            () = link.shared.stop().stopped() => return,
        }
        if let Some(address) = link.peers.any() {
            ask(&link, &address).await;
        }
    }
}

/// Returns when somebody wants others asked, but not sooner than hosts that all want the same
/// thing at the same moment can be answered.
async fn pressed(link: &Link) {
    link.asking.notified().await;
    tokio::time::sleep(jittered(HURRY)).await;
}

async fn ask_first(link: &Link, address: &str) {
    let answer = link.peers.ask(address, link.version()).await.ok();
    if let Some(knowledge) = &answer {
        link.learn(knowledge);
    }
    link.ear.tell(Heard::First {
        from: address.to_owned(),
        answer: answer.map(Box::new),
    });
}

async fn ask(link: &Link, address: &str) {
    match link.peers.ask(address, link.version()).await {
        Ok(knowledge) => {
            link.learn(&knowledge);
            link.ear.tell(Heard::Told {
                from: address.to_owned(),
                answer: Box::new(knowledge),
            });
        }
        Err(_) => link.peers.forget(address),
    }
}

fn take_rows(link: &Link, rows: &[Row]) {
    let mut head = None;
    for row in rows {
        if row.key == HEAD_KEY {
            match Head::decode(&row.body) {
                Ok(read) => head = Some(read),
                Err(error) => return bad_row(&row.key, &error.to_string()),
            }
        } else if let Some(shard) = row.key.strip_prefix(SHARD) {
            take_shard(link, shard, row);
        }
    }
    link.ear.tell(Heard::Head(head));
}

fn take_shard(link: &Link, shard: &str, row: &Row) {
    let Ok(shard) = shard.parse() else {
        return bad_row(&row.key, "its name does not end in a shard's number");
    };
    match serde_json::from_str::<Authority>(&row.body) {
        Ok(authority) => {
            for address in authority.addresses.values() {
                link.peers.add(address);
            }
            link.learn_controller(shard, authority.epoch, &authority.rpc);
        }
        Err(error) => bad_row(&row.key, &error.to_string()),
    }
}

fn bad_row(key: &str, error: &str) {
    let (key, error) = (key.to_owned(), error.to_owned());
    Log::BadRow { key, error }.log();
}

fn note_silence(silent: &mut bool, error: &Error) {
    if !std::mem::replace(silent, true) {
        let error = error.to_string();
        Log::StoreSilent { error }.log();
    }
}
