//! The overview that a trial prints when it is ready: the addresses to connect to.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use crate::plan::Plan;

/// Password of every caller in the built-in example. It is public, like the example itself.
const EXAMPLE_PASSWORD: &str = "lot-view-demo";

/// Addresses and credentials of a running trial.
#[derive(Debug)]
pub struct Overview<'a> {
    /// The plan of the deployment.
    pub plan: &'a Plan,
    /// Address of the panel that sets faults.
    pub faults: SocketAddr,
    /// The operators' token.
    pub token: &'a str,
    /// Time from the start of the process until all daemons were ready.
    pub startup_time: Duration,
}

impl fmt::Display for Overview<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let plan = self.plan;
        let millis = self.startup_time.as_millis();
        writeln!(f, "ready after {millis} ms; SIGTERM or ctrl-c ends it\n")?;
        writeln!(f, "callers (a database is a service)")?;
        let (user, service, password) = self.caller();
        for host in &plan.hosts {
            let (name, callers) = (&host.name, host.callers);
            writeln!(
                f,
                "  {name:<24} postgresql://{user}:{password}@{callers}/{service}"
            )?;
        }
        writeln!(f, "\noperators (token {})", self.token)?;
        for host in &plan.hosts {
            writeln!(f, "  {:<24} http://{}", host.name, host.entry_admin)?;
        }
        writeln!(f, "\ncontrollers (same token, for flamingopostctl)")?;
        for host in &plan.hosts {
            writeln!(f, "  {:<24} http://{}", host.name, host.control_admin)?;
        }
        writeln!(f, "\nfaults")?;
        writeln!(f, "  {:<24} http://{}/faults", "zones", self.faults)?;
        writeln!(
            f,
            "  {:<24} http://{}/platform/faults",
            "platform", self.faults
        )?;
        for (key, server) in &plan.fleet.servers {
            let name = plan.names.servers.name(*key).unwrap_or_default();
            let zone = plan.names.zones.name(server.zone).unwrap_or_default();
            writeln!(
                f,
                "  {:<24} http://{}/servers/{name}/faults",
                format!("{name} ({zone})"),
                self.faults
            )?;
        }
        Ok(())
    }
}

impl Overview<'_> {
    /// Returns the name of the first caller, a service that it may use, and its password. A value
    /// that is not known is a placeholder in capitals.
    fn caller(&self) -> (&str, &str, &str) {
        let plan = self.plan;
        let password = if plan.is_example {
            EXAMPLE_PASSWORD
        } else {
            "PASSWORD"
        };
        let first = plan.fleet.callers.iter().next();
        let Some((key, caller)) = first else {
            return ("USER", "DATABASE", password);
        };
        let user = plan.names.callers.name(*key).unwrap_or("USER");
        let service = caller.services.first();
        let service = service.and_then(|service| plan.names.services.name(*service));
        (user, service.unwrap_or("DATABASE"), password)
    }
}
