//! Events of control processes, numbers 2000 to 2999.

flamingopost_daemon::events! {
    /// Events of control processes.
    pub enum Event {
        /// configuration version {version} is in force
        2000 Info Adopted { version: u64 },
        /// configuration version {version} cannot be put in force: {error}
        2001 Error BadBody { version: u64, error: String },
        /// no reachable process has the body of configuration version {version}
        2002 Warn BodyMissing { version: u64 },
        /// a row of the table service cannot be read: {error}
        2003 Error BadRow { error: String },
        /// operator {operator} submitted configuration version {version}: {outcome}
        2010 Info Submitted { operator: String, version: u64, outcome: String },
        /// bootstrap with the configuration in {file}: {outcome}
        2011 Info Bootstrapped { file: String, outcome: String },
        /// the platform does not answer: {error}
        2020 Warn PlatformSilent { error: String },
        /// the platform answers again after {seconds} s
        2021 Info PlatformBack { seconds: u64 },
        /// shard {shard}: this process has claimed the row under epoch {epoch} and waits for the previous authority to end
        2030 Info Claimed { shard: u16, epoch: u32 },
        /// shard {shard}: this process is the controller under epoch {epoch}
        2031 Info Settled { shard: u16, epoch: u32 },
        /// shard {shard}: another process has replaced this one, whose epoch was {epoch}
        2032 Warn Replaced { shard: u16, epoch: u32 },
        /// {service}: a promotion begins: {reason}
        2040 Warn Promoting { service: String, reason: String },
        /// {service}: {primary} is the primary of term {term}, {millis} ms after the promotion began
        2041 Info Opened { service: String, term: String, primary: String, millis: u128 },
        /// {service}: term {term} begins at {start} and lacks acknowledged writes up to {acknowledged}
        2042 Error Lost { service: String, term: String, start: u64, acknowledged: String },
    }
}
