//! Checks whether the holder of a claim on a leaving primary would reach this host with its order.

use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::succession::Trouble;
use flamingopost_daemon::task;
use tokio::time::sleep;

use super::Election;
use crate::codec::Codec;
use crate::peer::micros;
use crate::platform::Platform;
use crate::service::Service;

/// How long the holder of a claim may take to answer a heartbeat. This is several times the latency
/// between availability zones.
const HOLDER_REPLY_TIMEOUT: Duration = Duration::from_millis(40);

impl<C: Codec, P: Platform> Election<C, P> {
    /// Holds requests for the primary of `service` if `by`, which has claimed to replace it, does
    /// not answer: its order may already have been given.
    ///
    /// Guards against writes that the successor never receives. A leaving primary serves until
    /// shortly before its successor leads. A host that missed the order, because it was partitioned
    /// or started later, would keep writing until the platform's list names the successor, and
    /// those acknowledged writes would be lost. A reachable holder reports its order in its answer,
    /// or when it gives the order.
    pub(super) fn hold_unless_holder_answers(self: &Rc<Self>, service: &Rc<Service<C>>, by: &str) {
        if self.trouble(service) != Some(Trouble::Leaving) {
            return;
        }
        let listed = self.fleet.peers();
        let holder = listed.iter().find(|(_, peer)| peer.host == by).cloned();
        // A heartbeat names whole microseconds, and so does its answer.
        let sent = Duration::from_micros(micros(self.site.now()));
        if let Some((_, peer)) = &holder {
            self.send_heartbeat(peer, sent);
        }
        let (election, service) = (Rc::clone(self), Rc::clone(service));
        let holder = holder.map(|(key, _)| key);
        task::complete("claim_holder_query", move || {
            let (election, service) = (Rc::clone(&election), Rc::clone(&service));
            async move {
                sleep(HOLDER_REPLY_TIMEOUT).await;
                let has_answered = match holder {
                    Some(key) => election
                        .fleet
                        .with_quorum(|quorum, _| quorum.has_answered(key, sent)),
                    None => Some(false),
                };
                let is_leaving = || election.trouble(&service) == Some(Trouble::Leaving);
                if has_answered == Some(false) && is_leaving() {
                    service.hold_for_unknown_order();
                }
            }
        });
    }
}
