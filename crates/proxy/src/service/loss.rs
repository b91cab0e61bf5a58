//! Primaries that may have lost the service's log: what shows it, and what follows.

use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::key::ServerKey;
use flamingopost_core::position::Position;

use super::{Meant, Service, State};
use crate::codec::Codec;
use crate::event::Event;
use crate::peer;

impl<C: Codec> Service<C> {
    /// Whether what `server` answers as a primary, asked at `sent` and at `position`, does not count:
    /// its term is over, or it has lost its log.
    ///
    /// Guards against a primary that starts again without its log between the moment at which it was
    /// weighed and an answer: a host that was cut off from the others read there, on a connection that
    /// was opened just before what the log held was last heard of, 1 to 6 stale reads in four of six
    /// runs of such a restart. Within one term a log only grows. An answer in an older term shows
    /// nothing: a server that has just been promoted gives the position that it has applied.
    pub fn is_refuted(
        self: &Rc<Self>,
        server: ServerKey,
        position: Option<Position>,
        sent: Duration,
    ) -> bool {
        if self.is_past(server) {
            return true;
        }
        let Some(position) = position else {
            return false;
        };
        let lost = {
            let state = self.state.borrow();
            let led = state.leader.term_led(server);
            let newest = position.term == led && led >= state.vouch.term();
            newest && (state.extent.lacks(position, sent) || state.is_short(server, position))
        };
        if lost {
            self.doubt_log(server, position);
            self.refresh();
        }
        lost
    }

    /// Servers whose claims to lead are not believed, as other hosts are told of them.
    pub fn doubted_servers(&self) -> Vec<peer::Server> {
        let doubted = self.doubted().into_iter();
        doubted.filter_map(|server| self.named(server)).collect()
    }

    /// Another host does not believe that `server` leads.
    ///
    /// Guards against a primary of a term without writes that has lost its log, on a host that has
    /// started since: it has seen no connection break, and the start of the term is all that the
    /// primary shows. It answered reads from nothing until the first write there, 340 ms beside three
    /// hosts that knew better. One that has its log shows it with its next write.
    pub fn doubted_elsewhere(self: &Rc<Self>, server: &peer::Server) {
        let Meant::Listed(server) = self.meant(server) else {
            return;
        };
        let start = {
            let state = self.state.borrow();
            let leads = state.leader.primary() == Some(server);
            let term = state.leader.term_led(server);
            leads.then_some(Position { term, log: 0 })
        };
        if let Some(start) = start {
            self.doubt_log(server, start);
            self.refresh();
        }
    }

    /// Believes no longer that `server` leads, whose log reaches no further than `position`.
    pub(super) fn doubt_log(&self, server: ServerKey, position: Position) {
        let now = self.site.now();
        let furthest = {
            let mut state = self.state.borrow_mut();
            if state.leader.is_distrusted(server) {
                return;
            }
            state.distrust(server, now);
            state.extent.furthest()
        };
        self.site.log(&Event::LogLost {
            service: self.name.clone(),
            server: self.name_of(Some(server)),
            position,
            furthest,
        });
    }
}

impl<C: Codec> State<C> {
    /// Nothing counts any more that `server` has shown.
    pub(super) fn distrust(&mut self, server: ServerKey, now: Duration) {
        self.leader.distrust(server);
        // The start of its term, which it has shown as the primary, is in no log that is empty.
        if let Some(server) = self.dispatch.server_mut(server) {
            server.saw(Position::default(), None, now);
        }
    }

    /// Whether a primary to which connections have broken since it began to lead may have come back
    /// without its log. It shows the start of its term, as it did before: nothing was written in that one.
    ///
    /// Guards against the loss of all that was written before that term. While the list could not be
    /// read, hosts wrote to such a primary for three seconds, and then took what they had written for
    /// the proof of its log: 17 to 93 acknowledged writes were gone in five of six runs. One that has
    /// its log, or whose connections were only reset, is replaced for nothing unless somebody else
    /// writes there, which costs the time of a promotion.
    pub(super) fn may_be_empty(&self, server: ServerKey, position: Position) -> bool {
        let broke = self.servers.get(&server).is_some_and(|known| known.broke);
        let shows_none = position.log == 0 && self.extent.is_written();
        broke && shows_none && !self.was_ordered_empty(server)
    }

    /// Whether a server that has been promoted shows less than it had received before that.
    ///
    /// Guards against one that has started again without its log before anything was written in its
    /// term: the number of the first write there is the only thing that tells. Hosts that had not seen
    /// its process end went on writing to it.
    pub(super) fn is_short(&self, server: ServerKey, position: Position) -> bool {
        let Some(known) = self.servers.get(&server) else {
            return false;
        };
        let ordered = self.ordered.get(&known.target.id);
        ordered.is_some_and(|ordered| ordered.is_short(position))
    }

    /// A connection to `server` has broken.
    pub(super) fn broke(&mut self, server: ServerKey) {
        if self.dispatch.leader() != Some(server) {
            return;
        }
        if let Some(known) = self.servers.get_mut(&server) {
            known.broke = true;
        }
    }

    /// `server` has shown a write of its own term: what broke before says nothing of its log any more.
    pub(super) fn has_written(&mut self, server: ServerKey) {
        if let Some(known) = self.servers.get_mut(&server) {
            known.broke = false;
        }
    }
}
