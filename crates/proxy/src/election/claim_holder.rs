//! The holder of a claim on a primary that is about to leave: whether this host would hear of its order.

use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::succession::Trouble;
use tokio::time::sleep;

use super::Election;
use crate::codec::Codec;
use crate::platform::Platform;
use crate::service::Service;

/// How long the holder of a claim may take to answer: several times the way between zones.
const HOLDER_REPLY_TIMEOUT: Duration = Duration::from_millis(40);

impl<C: Codec, P: Platform> Election<C, P> {
    /// `by` has claimed to relieve the primary of `service`. Where it does not answer, what needs the
    /// primary is held: its order may be out.
    ///
    /// Guards against writes that the successor never receives. The primary serves until shortly before
    /// that leads, and a host that has missed the order, by a cut or because it started after it, goes on
    /// until the list names the successor: what it acknowledges then is gone. A holder that is heard tells of
    /// its order with its answer, or as it gives it.
    pub(super) fn hold_unless_holder_answers(self: &Rc<Self>, service: &Rc<Service<C>>, by: &str) {
        if self.trouble(service) != Some(Trouble::Leaving) {
            return;
        }
        let listed = self.fleet.peers();
        let holder = listed.into_iter().find(|(_, peer)| peer.host == by);
        let sent = self.site.now();
        if let Some((_, peer)) = &holder {
            self.send_message(String::new(), self.heartbeat(sent), peer.address);
        }
        let (election, service) = (Rc::clone(self), Rc::clone(service));
        tokio::task::spawn_local(async move {
            sleep(HOLDER_REPLY_TIMEOUT).await;
            let is_heard = match holder {
                Some((key, _)) => election
                    .fleet
                    .with_quorum(|quorum, _| quorum.has_answered(key, sent)),
                None => Some(false),
            };
            if is_heard == Some(false) && election.trouble(&service) == Some(Trouble::Leaving) {
                service.hold_for_unheard_order();
            }
        });
    }
}
