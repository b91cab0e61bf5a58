//! A backend connection in the hands of a session.

use std::time::Duration;

use flamingopost_core::position::Position;
use flamingopost_core::route::TargetRole;
use flamingopost_core::rule::Ack;
use flamingopost_core::session::need::Need;
use pgwire::messages::response::TransactionStatus;

use crate::cancel;
use crate::pool::Lent;

/// How long a read that lost to its copy may go on before it is cancelled.
const SOON: Duration = Duration::from_millis(100);

/// A connection that a session keeps from its first statement there to the end of its
/// transaction, or for good when the session is pinned.
pub struct Held {
    /// The connection.
    pub lent: Lent,
    /// What its server was when the session came to it. A transaction belongs to this term; it
    /// is never carried into another.
    pub part: TargetRole,
    /// What the first statement asked of the server's data.
    pub need: Need,
    /// Whether something that may write ran since the last commit.
    pub wrote: bool,
    /// What the writes since the last commit have to reach before the commit is acknowledged: the
    /// most that the rule of any of them asks for. The rule of `COMMIT` itself knows no tables.
    pub ack: Ack,
    /// Whether a cancel request may still be on its way to it.
    pub tainted: bool,
}

impl Held {
    /// The position that its server last told.
    pub fn position(&mut self) -> Option<Position> {
        self.lent.back().position
    }

    /// Gives the connection up: to its pool where it is clean, otherwise it is closed.
    pub fn release(self) {
        if !self.tainted {
            self.lent.give_back();
        }
    }

    /// Gives up a connection whose session is gone, after rolling its transaction back. One that
    /// is in the middle of an answer is closed.
    pub async fn abandon(mut self) {
        let back = self.lent.back();
        if back.torn() || back.pending > 0 || self.tainted {
            return;
        }
        if back.status != TransactionStatus::Idle && back.ask("ROLLBACK").await.is_err() {
            return;
        }
        self.release();
    }

    /// Gives up a connection whose answer is not waited for any more.
    pub fn retire(self) {
        tokio::spawn(cancel::retire(self.lent, Duration::ZERO));
    }

    /// The same where the answer should come soon: it is cancelled only if it does not.
    pub fn finish(self) {
        tokio::spawn(cancel::retire(self.lent, SOON));
    }
}
