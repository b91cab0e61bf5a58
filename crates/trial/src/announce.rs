//! Announces the hosts and servers of a trial to the platform, as a real platform does by itself.

use std::time::Duration;

use flamingopost_standin::platform::{Announcement, State};

use crate::plan::Plan;
use crate::stage::Stage;

/// Pause between two rounds of announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(5);

/// Announces all hosts, and all servers that are not dead, once every [`ANNOUNCE_INTERVAL`]. Never
/// returns.
pub async fn run(stage: &Stage, plan: &Plan) {
    loop {
        for host in &plan.hosts {
            let announcement = Announcement {
                zone: host.zone.clone(),
                address: host.callers.to_string(),
                state: State::Live,
            };
            stage.platform.announce(&host.name, announcement);
        }
        for server in &stage.servers {
            let faults = server.faults();
            if faults.dead {
                continue;
            }
            let announcement = Announcement {
                zone: server.settings().zone.clone(),
                address: server.address().to_string(),
                state: if faults.leaving {
                    State::Leaving
                } else {
                    State::Live
                },
            };
            stage
                .platform
                .announce(&server.settings().name, announcement);
        }
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}
