//! Bundles the lease renewals of a zone, so that one call to a controller carries those of many
//! hosts.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use flamingopost_wire::lease::{Refusal, Renewal, Reply};
use flamingopost_wire::rpc::ControlClient as _;
use tokio::sync::oneshot;

use crate::shared::Shared;

/// Time that a renewal waits for others to the same controller. A host counts its lease from the
/// time at which it sent the renewal, so this delay shortens the remaining lease.
const BATCH_DELAY: Duration = Duration::from_millis(200);

/// Maximum number of renewals in one call.
const MAX_BUNDLE: usize = 512;

/// Queues of renewals to be sent, by the address of the controller.
pub struct Relay {
    shared: Arc<Shared>,
    waiting: Mutex<BTreeMap<String, Vec<Pending>>>,
}

struct Pending {
    renewal: Renewal,
    reply: oneshot::Sender<Reply>,
}

impl Relay {
    /// Creates a relay with empty queues.
    pub fn new(shared: Arc<Shared>) -> Arc<Relay> {
        Arc::new(Relay {
            shared,
            waiting: Mutex::default(),
        })
    }

    /// Returns the address to which renewals of `shard` are relayed. Returns `None` if this process
    /// answers them itself, because it leads the shard, is not a relay or knows no controller.
    pub fn target(&self, shard: u16) -> Option<String> {
        if !self.shared.settings().relay {
            return None;
        }
        let controller = self.shared.controllers().remove(&shard)?;
        (controller.rpc != self.shared.process().rpc).then_some(controller.rpc)
    }

    /// Relays `renewal` to the controller at `address` and returns its reply.
    pub async fn renew(self: &Arc<Self>, address: String, renewal: Renewal) -> Reply {
        let urgent = is_urgent(&renewal);
        let (sender, receiver) = oneshot::channel();
        let waiting = Pending {
            renewal,
            reply: sender,
        };
        if self.enqueue(&address, waiting) || urgent {
            let (relay, delay) = (
                self.clone(),
                if urgent { Duration::ZERO } else { BATCH_DELAY },
            );
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                relay.flush(&address).await;
            });
        }
        receiver.await.unwrap_or_else(|_| self.refused())
    }

    /// Queues a renewal. Returns whether the queue was empty, so that a call has to be scheduled.
    fn enqueue(&self, address: &str, waiting: Pending) -> bool {
        let mut queues = self.queues();
        let queue = queues.entry(address.to_owned()).or_default();
        queue.push(waiting);
        queue.len() == 1
    }

    async fn flush(&self, address: &str) {
        let queue = self.queues().remove(address).unwrap_or_default();
        let mut queue = queue.into_iter().peekable();
        while queue.peek().is_some() {
            let bundle: Vec<Pending> = queue.by_ref().take(MAX_BUNDLE).collect();
            self.send(address, bundle).await;
        }
    }

    async fn send(&self, address: &str, bundle: Vec<Pending>) {
        metrics::histogram!("flamingopost_relay_bundle").record(bundle.len() as f64);
        let (renewals, senders): (Vec<Renewal>, Vec<_>) = bundle
            .into_iter()
            .map(|waiting| (waiting.renewal, waiting.reply))
            .unzip();
        let replies = match self.shared.links().get(address) {
            Ok(client) => client.relayed(renewals).await.unwrap_or_default(),
            Err(_) => Vec::new(),
        };
        // Replies are in the order of the renewals. A host without a reply is refused and turns to
        // another control process.
        let mut replies = replies.into_iter();
        for sender in senders {
            let reply = replies.next().unwrap_or_else(|| self.refused());
            let _gone = sender.send(reply);
        }
    }

    fn refused(&self) -> Reply {
        Reply::Refused(Refusal {
            redirect: None,
            config: self.shared.highest_version(),
        })
    }

    fn queues(&self) -> MutexGuard<'_, BTreeMap<String, Vec<Pending>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reports whether a renewal is sent without delay: it reports server failures, or its host is
/// starting or stopping.
fn is_urgent(renewal: &Renewal) -> bool {
    let trouble = renewal.reports.values().any(|report| report.failures > 0);
    trouble || renewal.stopping || renewal.version.is_none()
}
