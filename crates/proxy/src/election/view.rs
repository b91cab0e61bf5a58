//! What a host knows of a service, as input of its state machine.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::dispatch::ServerState;
use flamingopost_core::succession::{Succession, Trouble, View};

use super::Election;
use crate::codec::Codec;
use crate::platform::Platform;
use crate::server_connection::Target;
use crate::service::Service;

impl<C: Codec, P: Platform> Election<C, P> {
    /// Collects what this host knows of a service, as input of its state machine.
    pub(super) fn view(
        &self,
        service: &Rc<Service<C>>,
        succession: &Rc<RefCell<Succession>>,
    ) -> View {
        let trouble = self.trouble(service);
        let (gone, in_contact, quiet_at) = self.fleet.with_quorum(|quorum, now| {
            let succession = succession.borrow();
            // No host is queried about a primary that is leaving. Its term ends once the connected
            // hosts probably learn of that.
            let quiet_at = match (succession.closing(), trouble) {
                (Some(closing), _) => {
                    let clearance = quorum.order_from(closing, now);
                    clearance.map_or(Duration::MAX, |it| it.from)
                }
                (None, Some(Trouble::Leaving)) => quorum.leases_end(&quorum.recently_heard(now)),
                (None, _) => quorum.leases_end(&succession.answered_hosts()),
            };
            (quorum.gone_hosts(now), quorum.holds_lease(now), quiet_at)
        });
        let orders_from = self.fleet.orders_from(&gone);
        let targets = service.targets();
        let synchronous = self.fleet.is_synchronous(&service.name);
        // A leaving replica still receives the log and may be the only one that holds a commit.
        let (candidates, leaving): (Vec<_>, Vec<_>) = targets
            .iter()
            .partition(|(_, state)| synchronous || *state == ServerState::Serving);
        let keys = |targets: Vec<&(Target, ServerState)>| {
            let keys = targets.into_iter().map(|(target, _)| target.server);
            keys.collect()
        };
        View {
            leader: service.leader(),
            term: service.newest_term(),
            leader_term: service.term_led(),
            terms_led: service.led_by(),
            trouble,
            newest_token: service.newest_order(),
            candidates: keys(candidates),
            leaving: keys(leaving),
            may_lack_servers: self.fleet.may_lack_servers() || self.may_list_be_copied(),
            peers: self.fleet.with_quorum(|it, _| it.other_electors()),
            leases_end: quiet_at.max(orders_from),
            in_contact,
            ordered_before: self.ordered_before(service),
            announced: service.announced_successor(),
            rank: self.fleet.rank(&service.name),
            synchronous,
            newest_position: service.newest_position(),
            required_positions: service.required_positions(),
            previous_starts: service.former_starts(),
            distrusted: service.distrusted(),
        }
    }

    /// Returns the problem of a service's primary, or `None` while this host knows too little to
    /// judge.
    pub(super) fn trouble(&self, service: &Service<C>) -> Option<Trouble> {
        if !self.fleet.is_known() {
            return None;
        }
        service.trouble()
    }
}
