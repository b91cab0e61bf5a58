//! What an entry host logs. Numbers: 1000-1099 leases and controllers, 1100-1199 configuration,
//! 1200-1299 callers' authentication and TLS, 1300-1399 the data path.

flamingopost_daemon::events! {
    /// Events of an entry host.
    pub enum Event {
        /// controller of shard {shard} is {rpc}, epoch {epoch}
        1000 Info Controller { shard: u16, rpc: String, epoch: u32 },
        /// lease of shard {shard} held at view {view}
        1001 Info Leased { shard: u16, view: String },
        /// lease of shard {shard} lapsed: writes cannot be acknowledged until it is renewed
        1002 Warn Lapsed { shard: u16 },
        /// renewal of shard {shard} at {rpc} failed: {error}
        1003 Debug Unrenewed { shard: u16, rpc: String, error: String },
        /// shard {shard}: terms closed by its controller, view {view} in force
        1004 Info Closed { shard: u16, view: String },
        /// shard {shard}: view from another process cannot be read: {error}
        1005 Error BadView { shard: u16, error: String },
        /// platform's table cannot be read, asking peers: {error}
        1010 Warn StoreSilent { error: String },
        /// platform's table can be read again
        1011 Info StoreBack,
        /// row {key} of the table cannot be read: {error}
        1012 Error BadRow { key: String, error: String },
        /// configuration version {version} is in force, from {source}
        1100 Info Adopted { version: u64, source: String },
        /// configuration version {version} from {source} refused: {error}
        1101 Error Unadopted { version: u64, source: String, error: String },
        /// body of configuration version {version} not to be had yet, asked for again soon
        1103 Warn Unfetched { version: u64 },
        /// caller {user} from {peer} not authenticated: {error}
        1200 Warn Unauthenticated { user: String, peer: String, error: String },
        /// caller from {peer} went away during its start-up: {error}
        1201 Debug Left { peer: String, error: String },
        /// certificate and key loaded from {path}
        1210 Info KeyLoaded { path: String },
        /// certificate or key not loaded, the earlier one stays in use: {error}
        1211 Error KeyKept { error: String },
        /// {service}: replica {server} is now {standing} for its speed against its peers
        1300 Info Judged { service: String, server: String, standing: String },
    }
}
