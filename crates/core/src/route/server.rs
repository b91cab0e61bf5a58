//! One backend server as an entry host sees it.

use std::time::Duration;

use crate::health::HealthState;
use crate::key::ZoneKey;
use crate::position::Position;
use crate::term::Term;

/// Time for which a server gets no requests after a failure, unless it answers earlier.
const RETRY_AFTER_FAILURE: Duration = Duration::from_millis(500);
/// Weight of a new observation in a moving average.
const SMOOTHING: f64 = 0.1;
/// Assumed latency of a statement before the first measurement.
const INITIAL_LATENCY: Duration = Duration::from_millis(2);
/// Longest expected catch-up of a replica that a read waits for.
const MAX_CATCH_UP_WAIT: Duration = Duration::from_secs(1);

/// The configured properties of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerSettings {
    /// Its availability zone.
    pub zone: ZoneKey,
    /// Number of statements that it runs at once.
    pub slots: u16,
    /// Round-trip time to it in excess of that to a server in this host's zone.
    pub distance: Duration,
    /// Whether operators want it drained.
    pub leaving: bool,
}

/// The status that a server reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Its replication position.
    pub position: Position,
    /// How current its data are. Absent if the answer does not contain it, like the answer to a
    /// statement, which contains only a position.
    pub fresh: Option<Freshness>,
}

/// A server's report of how current its data are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Freshness {
    /// The term that it leads or follows.
    pub term: Term,
    /// Greatest age of its data relative to the primary of that term; zero on the primary itself.
    pub age: Duration,
}

/// The time at which a server last provably had all data of the primary of a term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Proof {
    /// The term.
    pub term: Term,
    /// The time, on this host's clock.
    pub at: Duration,
}

/// One backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct Server {
    /// Its configured properties.
    pub settings: ServerSettings,
    /// The time at which this host learnt that it is leaving.
    pub leaving: Option<Duration>,
    /// Number of requests of this host that run on it.
    pub running: u32,
    pub(super) health: HealthState,
    position: Option<Position>,
    proof: Option<Proof>,
    status_sent_at: Duration,
    failed_at: Option<Duration>,
    average_latency: Option<Duration>,
    last_sample: Option<(Duration, Position)>,
    log_rate: Option<f64>,
}

impl Server {
    /// Returns a server that has not reported a status yet.
    pub fn new(settings: ServerSettings) -> Server {
        Server {
            settings,
            leaving: None,
            running: 0,
            health: HealthState::Full,
            position: None,
            proof: None,
            status_sent_at: Duration::ZERO,
            failed_at: None,
            average_latency: None,
            last_sample: None,
            log_rate: None,
        }
    }

    /// Returns the replication position that it last reported.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Returns the last proof that its data were current.
    pub fn proof(&self) -> Option<Proof> {
        self.proof
    }

    /// Returns its health state, which decides how much work it gets.
    pub fn health(&self) -> HealthState {
        self.health
    }

    /// Returns the moving average of the latency of its statements, queueing there included.
    pub fn average_latency(&self) -> Duration {
        self.average_latency.unwrap_or(INITIAL_LATENCY)
    }

    /// Records a status that answers a message sent at `sent`.
    ///
    /// Answers can overtake each other, so a status that answers an older message is ignored: after
    /// a server has dropped the tail of an old term, its earlier position is no longer valid. The
    /// age was measured after `sent`, so the data were current no earlier than `sent - age`.
    pub(super) fn record_status(&mut self, status: Status, sent: Duration, now: Duration) {
        self.failed_at = None;
        if sent < self.status_sent_at {
            return;
        }
        self.status_sent_at = sent;
        if let Some(fresh) = status.fresh
            && let Some(at) = sent.checked_sub(fresh.age)
        {
            self.record_proof(Proof {
                term: fresh.term,
                at,
            });
        }
        self.update_log_rate(status.position, now);
        self.position = Some(status.position);
    }

    /// Records a proof, unless a newer one is known.
    pub(super) fn record_proof(&mut self, proof: Proof) {
        let newer = self
            .proof
            .is_none_or(|known| (known.term, known.at) < (proof.term, proof.at));
        if newer {
            self.proof = Some(proof);
        }
    }

    pub(super) fn record_failure(&mut self, now: Duration) {
        self.failed_at = Some(now);
    }

    pub(super) fn request_finished(&mut self, took: Option<Duration>) {
        self.running = self.running.saturating_sub(1);
        if let Some(took) = took {
            let old = self.average_latency.unwrap_or(took);
            self.average_latency = Some(old.mul_f64(1.0 - SMOOTHING) + took.mul_f64(SMOOTHING));
        }
    }

    pub(super) fn is_reachable(&self, now: Duration) -> bool {
        self.failed_at
            .is_none_or(|at| now >= at + RETRY_AFTER_FAILURE)
    }

    /// Returns whether new requests may start on the server.
    ///
    /// A leaving primary still takes writes for a grace period, so that the controller can promote
    /// another server without a gap. After it, the server takes no new requests.
    pub(super) fn takes_work(&self, now: Duration) -> bool {
        self.leaving
            .is_none_or(|since| now <= since + super::LEAVING_GRACE)
    }

    /// Returns the expected latency of a request that is sent now.
    pub(super) fn expected_latency(&self) -> Duration {
        let slots = f64::from(self.settings.slots.max(1));
        let rounds = (f64::from(self.running) + 1.0) / slots;
        self.average_latency().mul_f64(rounds.max(1.0))
    }

    /// Returns the time after which the server should reach `wanted`, estimated from the growth rate
    /// of its log.
    pub(super) fn time_to_reach(&self, wanted: Position, now: Duration) -> Option<Duration> {
        let (at, position) = self.last_sample?;
        if position.term != wanted.term {
            return None;
        }
        let gap = wanted.log.saturating_sub(position.log) as f64;
        let rate = self.log_rate.filter(|rate| *rate > 0.0)?;
        let wait = Duration::try_from_secs_f64(gap / rate).ok()?;
        let wait = (at + wait)
            .saturating_sub(now)
            .max(Duration::from_millis(1));
        (wait <= MAX_CATCH_UP_WAIT).then_some(wait)
    }

    fn update_log_rate(&mut self, position: Position, now: Duration) {
        let Some((at, before)) = self.last_sample else {
            self.last_sample = Some((now, position));
            return;
        };
        let passed = now.saturating_sub(at).as_secs_f64();
        if passed <= 0.0 {
            return;
        }
        let rate = position.log.saturating_sub(before.log) as f64 / passed;
        let old = self.log_rate.unwrap_or(rate);
        self.log_rate = Some(old + SMOOTHING * (rate - old));
        self.last_sample = Some((now, position));
    }
}
