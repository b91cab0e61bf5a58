//! One backend server as an entry host sees it.

use std::time::Duration;

use crate::health::HealthState;
use crate::key::ZoneKey;
use crate::position::Position;
use crate::term::Term;

/// After a failure a server is left alone this long, unless it answers.
const RETRY_AFTER_FAILURE: Duration = Duration::from_millis(500);
/// Part of a new observation in a moving average.
const SMOOTHING: f64 = 0.1;
/// What a statement is taken to need before the first was measured.
const INITIAL_LATENCY: Duration = Duration::from_millis(2);
/// A gap that should close later than this is not waited for.
const MAX_CATCH_UP_WAIT: Duration = Duration::from_secs(1);

/// What the configuration says of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerSettings {
    /// Its availability zone.
    pub zone: ZoneKey,
    /// Statements it runs at once.
    pub slots: u16,
    /// Round trip to it from this host beyond that to a server in the same zone.
    pub distance: Duration,
    /// Whether operators want it emptied.
    pub leaving: bool,
}

/// What a server tells of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// How far its data reach.
    pub position: Position,
    /// Its proof of being current; absent when the answer does not tell, as with the position
    /// that comes with a statement's answer.
    pub fresh: Option<Freshness>,
}

/// A server's own word on how current its data are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Freshness {
    /// The term that it leads or follows.
    pub term: Term,
    /// How old its data may be against the primary of that term; zero on the primary itself.
    pub age: Duration,
}

/// The moment at which data were last known to be all that the primary of a term had.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Proof {
    /// The term.
    pub term: Term,
    /// The moment, on this host's clock.
    pub at: Duration,
}

/// One backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct Server {
    /// What the configuration says of it.
    pub settings: ServerSettings,
    /// Since when this host knows that it is leaving.
    pub leaving: Option<Duration>,
    /// Requests of this host that run on it.
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
    /// A server of which nothing was heard yet.
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

    /// How far its data reach, as last heard.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// The server's last proof that its data were current.
    pub fn proof(&self) -> Option<Proof> {
        self.proof
    }

    /// How much work it gets.
    pub fn health(&self) -> HealthState {
        self.health
    }

    /// What a statement on it takes, queueing there included; a moving average.
    pub fn average_latency(&self) -> Duration {
        self.average_latency.unwrap_or(INITIAL_LATENCY)
    }

    /// Answers can overtake each other, so an answer to an older question changes nothing: after
    /// a server has dropped the tail of an old term, its earlier position is no longer true.
    /// The age was measured after `sent`, so what was `age` old then was current no earlier than
    /// `sent - age`.
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

    /// Takes a proof, unless there is a newer one of the same term.
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

    pub(super) fn finished(&mut self, took: Option<Duration>) {
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

    /// A primary that leaves goes on taking writes for a grace period, so that the controller
    /// can move the term without a gap; then it takes nothing.
    pub(super) fn takes_work(&self, now: Duration) -> bool {
        self.leaving
            .is_none_or(|since| now <= since + super::LEAVING_GRACE)
    }

    /// When a request sent now should be answered.
    pub(super) fn expected_latency(&self) -> Duration {
        let slots = f64::from(self.settings.slots.max(1));
        let rounds = (f64::from(self.running) + 1.0) / slots;
        self.average_latency().mul_f64(rounds.max(1.0))
    }

    /// The time after which its data should reach `wanted`, from the pace of its log.
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
        let grown = position.log.saturating_sub(before.log) as f64 / passed;
        let old = self.log_rate.unwrap_or(grown);
        self.log_rate = Some(old + SMOOTHING * (grown - old));
        self.last_sample = Some((now, position));
    }
}
