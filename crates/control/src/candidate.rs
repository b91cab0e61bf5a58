//! Ranks control processes for each shard, so that shards spread over hosts.

use std::collections::BTreeSet;

use flamingopost_core::digest::Digest;
use flamingopost_wire::knowledge::Process;

/// Returns the standby candidates for `shard` in order of preference: one host of each zone other
/// than `own`, then the other hosts of those zones, then the hosts of `own`. Hosts of equal
/// preference are ordered differently for each shard, so that one host does not stand by for all.
///
/// ```
/// use flamingopost_control::candidate;
/// use flamingopost_wire::knowledge::Process;
///
/// let process = |host: &str, zone: &str| Process {
///     host: host.to_owned(),
///     zone: zone.to_owned(),
///     rpc: String::new(),
///     admin: String::new(),
///     incarnation: 1,
/// };
/// let live = vec![process("a2", "a"), process("b1", "b"), process("c1", "c")];
/// let order = candidate::order(0, "a", live);
/// assert_eq!(order.last().map(String::as_str), Some("a2"));
/// ```
pub fn order(shard: u16, own: &str, mut live: Vec<Process>) -> Vec<String> {
    live.sort_by_key(|process| rank(shard, &process.host));
    let mut zones = BTreeSet::new();
    let (mut first, mut rest, mut last) = (Vec::new(), Vec::new(), Vec::new());
    for process in live {
        if process.zone == own {
            last.push(process.host);
        } else if zones.insert(process.zone) {
            first.push(process.host);
        } else {
            rest.push(process.host);
        }
    }
    first.append(&mut rest);
    first.append(&mut last);
    first
}

/// Reports whether `host` ranks first for `shard` among itself and the `live` processes.
pub fn is_first(shard: u16, host: &str, live: &[Process]) -> bool {
    let own = rank(shard, host);
    live.iter().all(|process| rank(shard, &process.host) >= own)
}

fn rank(shard: u16, host: &str) -> Digest {
    Digest::of(format!("{shard}/{host}").as_bytes())
}
