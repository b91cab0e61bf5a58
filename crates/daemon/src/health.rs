//! Liveness and readiness, for the platform's balancer.

/// Whether a daemon should get work.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum Readiness {
    /// ready
    Ready,
    /// no configuration yet
    NoConfiguration,
    /// no controller has granted a lease and nothing can be read
    NoLease,
    /// draining
    Draining,
}

/// What answers for a daemon's readiness.
pub trait Probe: Send + Sync {
    /// Whether it should get work now.
    fn readiness(&self) -> Readiness;
}
