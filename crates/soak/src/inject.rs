//! Injects faults into a testbed.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use flamingopost_standin::pooled::{Faults, Mode, Odd, OrderMode, Remains};

use crate::fault::{Fault, Moment, StoreFault, Victim};
use crate::net::Endpoint;
use crate::problem::Kind;
use crate::start::{Cut, Form};
use crate::starter::stopped;
use crate::testbed::{SERVICE, Testbed, server_name};

/// Time until the entry of a crashed server expires.
const ENTRY_LAPSE: Duration = Duration::from_millis(900);

/// Time between a server's announcement that it leaves and its stop.
const LEAVING_TIME: Duration = Duration::from_millis(2_500);

/// Response time of a slow store.
const SLOW_STORE_DELAY: Duration = Duration::from_millis(400);

/// How long a primary is lost whose named successor is behind. Hosts wait for a better candidate for 10 s.
const LOST_FOR: Duration = Duration::from_secs(14);

/// How long hosts may take to act on a primary that most of them cannot reach.
const ACTING_TIMEOUT: Duration = Duration::from_secs(3);

impl Testbed {
    /// Injects `fault`, and ends it after its duration if it has one.
    pub(crate) async fn inject(&self, fault: Fault) {
        match fault {
            Fault::Stop { host } => self.stop_host(host, 0, Duration::ZERO).await,
            Fault::StopAndReload { host, count, pause } => {
                self.stop_host(host, count, pause).await;
            }
            Fault::Rewrite { host, form, cut } => self.rewrite_settings(host, form, cut).await,
            Fault::OddRow { table, what, lasts } => {
                self.site
                    .store
                    .insert_raw(table, Odd::KEY, &what.text(table));
                if let Some(lasts) = lasts {
                    tokio::time::sleep(lasts).await;
                    self.site.store.remove_raw(table, Odd::KEY);
                }
            }
            Fault::Kill { host, lasts } => {
                self.kill_host(host);
                tokio::time::sleep(lasts).await;
                self.start_host(host);
            }
            Fault::KillAll => {
                (0..self.plan.hosts).for_each(|host| self.kill_host(host));
                (0..self.plan.hosts).for_each(|host| self.start_host(host));
            }
            Fault::Pause { host, lasts } => {
                self.hosts[host].set_paused(true);
                tokio::time::sleep(lasts).await;
                self.hosts[host].set_paused(false);
            }
            Fault::Reload { host } => {
                let host = &self.hosts[host];
                if self.starter.is_none() || host.handles_signals() {
                    host.reload();
                }
            }
            Fault::Crash { server, lasts } => self.crash_server(&self.victim(server), lasts).await,
            Fault::Restart {
                server,
                after,
                late,
                remains,
            } => {
                let victim = self.victim(server);
                self.restart_server(&victim, after, late, remains).await;
            }
            Fault::Overwrite {
                server,
                what,
                lasts,
            } => {
                let victim = self.victim(Victim::Number(server));
                self.site.spoil(&victim, what);
                tokio::time::sleep(lasts).await;
                self.site.mend(&victim);
            }
            Fault::Silence { server, lasts } => {
                let silent = Faults {
                    silent: true,
                    ..Faults::default()
                };
                self.impair_server(&self.victim(server), silent, lasts)
                    .await;
            }
            Fault::Full { server, lasts } => {
                let full = Faults {
                    full: true,
                    ..Faults::default()
                };
                self.impair_server(&self.victim(server), full, lasts).await;
            }
            Fault::LoseAnswers { server, count } => {
                let faults = Faults {
                    lost_answers: count,
                    ..Faults::default()
                };
                self.site.set_faults(&self.victim(server), faults);
            }
            Fault::Deaf { server, lasts } => {
                let group = self.site.group(SERVICE);
                let victim = self.victim(server);
                group.set_deaf(&victim, true);
                tokio::time::sleep(lasts).await;
                group.set_deaf(&victim, false);
            }
            Fault::Leave { server } => {
                let victim = self.victim(server);
                self.site.leave(&victim);
                tokio::time::sleep(LEAVING_TIME).await;
                self.crash_server(&victim, Duration::from_millis(300)).await;
                self.site.stay(&victim);
            }
            Fault::Store { how, lasts } => {
                self.site.store.set_mode(store_mode(how));
                tokio::time::sleep(lasts).await;
                self.site.store.set_mode(Mode::Up);
            }
            Fault::Forget => self.site.store.forget(),
            Fault::Restore {
                age,
                away,
                rewritten,
            } => {
                self.site.store.copy();
                tokio::time::sleep(age).await;
                self.site.store.set_mode(Mode::Busy);
                tokio::time::sleep(away).await;
                self.site.store.restore();
                self.site.store.set_mode(Mode::Up);
                tokio::time::sleep(rewritten).await;
                self.site.rewrite();
            }
            Fault::Promotion { takes } => self.site.group(SERVICE).set_promotion(takes),
            Fault::Orders { mode, lasts } => {
                self.site.set_order_mode(mode);
                tokio::time::sleep(lasts).await;
                self.site.set_order_mode(OrderMode::Answered);
            }
            Fault::Configure => self.configure(),
            Fault::ReplaceKey { team } => self.change_teams(|teams| teams.replace_key(team)),
            Fault::ChangeLimit { team, rate } => {
                self.change_teams(|teams| teams.change_limit(team, rate));
            }
            Fault::Cut { from, to, lasts } => {
                self.net.cut(from, to, true);
                tokio::time::sleep(lasts).await;
                self.net.cut(from, to, false);
            }
            Fault::Delay {
                from,
                to,
                by,
                lasts,
            } => {
                self.net.delay(from, to, by);
                tokio::time::sleep(lasts).await;
                self.net.delay(from, to, Duration::ZERO);
            }
            Fault::Reset { from, to } => self.net.reset(from, to),
            Fault::CutOffActing {
                moment,
                with_orders,
                lasts,
            } => self.cut_off_acting(moment, with_orders, lasts).await,
            Fault::LateList { by, lasts } => {
                self.site.store.set_feed_delay("servers", by);
                tokio::time::sleep(lasts).await;
                self.site.store.set_feed_delay("servers", Duration::ZERO);
            }
            Fault::CutInTurn {
                silent,
                silent_for,
                near,
                cut_for,
            } => {
                self.silence_hosts(silent, true);
                tokio::time::sleep(silent_for).await;
                self.silence_hosts(silent, false);
                self.cut_near(near, true);
                tokio::time::sleep(cut_for).await;
                self.cut_near(near, false);
            }
            Fault::AbandonOrder { mode, lasts, after } => {
                self.abandon_order(mode, lasts, after).await;
            }
            Fault::LoseBehind { lasts } => self.lose_behind(lasts).await,
            Fault::Isolate { host, lasts } => {
                self.isolate_host(host, true);
                tokio::time::sleep(lasts).await;
                self.isolate_host(host, false);
            }
        }
    }

    /// Kills a host, and reports a problem if it had exited before.
    fn kill_host(&self, host: usize) {
        let host = &self.hosts[host];
        self.check_unexpected_exit(host);
        host.kill();
    }

    /// Asks a host to stop, sends it `reloads` SIGHUPs, each after `pause`, and restarts it. A signal may
    /// terminate a host that has just started, which may not handle signals yet.
    async fn stop_host(&self, number: usize, reloads: u32, pause: Duration) {
        let host = &self.hosts[number];
        let is_known = self.starter.is_some() && host.handles_signals();
        if self.starter.is_some() && self.check_unexpected_exit(host) {
            self.start_host(number);
            return;
        }
        if !host.terminate() {
            return;
        }
        let requested_at = Instant::now();
        let reload = async {
            for _ in 0..reloads {
                tokio::time::sleep(pause).await;
                if is_known {
                    host.reload();
                }
            }
        };
        tokio::join!(
            stopped(host, &self.history, requested_at, !is_known),
            reload
        );
        self.start_host(number);
    }

    /// Writes the settings file of a host anew, and reports a problem if that fails.
    async fn rewrite_settings(&self, host: usize, form: Form, cut: Cut) {
        let Some(starter) = &self.starter else {
            return;
        };
        if let Err(error) = starter.rewrite(host, form, cut).await {
            let problem = error.to_string();
            self.history.report_problem(Kind::NotStarted, problem);
        }
    }

    /// Crashes a server and revives it after `lasts`. Its entry expires once the server
    /// has been down for [`ENTRY_LAPSE`].
    async fn crash_server(&self, server: &str, lasts: Duration) {
        self.site.crash(server);
        let until_lapse = lasts.min(ENTRY_LAPSE);
        tokio::time::sleep(until_lapse).await;
        if lasts > ENTRY_LAPSE {
            self.site.unregister(server);
        }
        tokio::time::sleep(lasts - until_lapse).await;
        self.revive(server).await;
    }

    /// Crashes a server and restarts it after `after`; its entry is updated `late` after that. A
    /// server loses its log only if another one holds all data, because no proxy could recover what
    /// all servers have lost.
    async fn restart_server(
        &self,
        server: &str,
        after: Duration,
        late: Duration,
        remains: Remains,
    ) {
        self.site.crash(server);
        let until_lapse = after.min(ENTRY_LAPSE);
        tokio::time::sleep(until_lapse).await;
        if after > ENTRY_LAPSE {
            self.site.unregister(server);
        }
        tokio::time::sleep(after - until_lapse).await;
        let remains = match self.site.group(SERVICE).can_spare(server) {
            true => remains,
            false => Remains::Log,
        };
        // Another fault may have restarted it already, and its port is in use then.
        if self.site.restart_unlisted(server, remains).await.is_err() {
            return;
        }
        tokio::time::sleep(late).await;
        self.site.register(server);
    }

    /// Sets faults of a server, and clears them after `lasts`.
    async fn impair_server(&self, server: &str, faults: Faults, lasts: Duration) {
        self.site.set_faults(server, faults);
        tokio::time::sleep(lasts).await;
        self.site.set_faults(server, Faults::default());
    }

    /// Partitions the primary from most hosts and its replicas, and cuts the host off that acts on that.
    async fn cut_off_acting(&self, moment: Moment, with_orders: bool, lasts: Duration) {
        let group = self.site.group(SERVICE);
        let primary = self.victim(Victim::Primary);
        let number = (0..self.plan.sizes.servers).find(|it| server_name(*it) == primary);
        let server = Endpoint::Server(number.unwrap_or_default());
        let far = self.plan.hosts / 2 + 1;
        let before = self.changes_begun(moment);
        group.set_deaf(&primary, true);
        self.cut_primary(server, far, true);
        let start = Instant::now();
        let acting = loop {
            let begun = self.changes_begun(moment);
            if let Some(host) = begun.difference(&before).last() {
                break Some(host.1);
            }
            if start.elapsed() > ACTING_TIMEOUT {
                break None;
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        };
        if let Some(acting) = acting {
            let others = (0..self.plan.hosts).filter(|other| *other != acting);
            let ends = others.map(Endpoint::Host).chain([Endpoint::Store]);
            let ends: Vec<Endpoint> = ends
                .chain(with_orders.then_some(Endpoint::Orders))
                .collect();
            self.cut_off(acting, &ends, true);
            tokio::time::sleep(lasts).await;
            self.cut_off(acting, &ends, false);
        }
        self.cut_primary(server, far, false);
        group.set_deaf(&primary, false);
    }

    /// Cuts the last `count` hosts off from the other hosts, or ends that.
    fn silence_hosts(&self, count: usize, cut: bool) {
        let first = self.hosts.len() - count;
        for silent in first..self.hosts.len() {
            let others = (0..first).map(Endpoint::Host);
            self.cut_off(silent, &others.collect::<Vec<_>>(), cut);
        }
    }

    /// Cuts the first `count` hosts and the primary off from everything else, or ends that.
    fn cut_near(&self, count: usize, cut: bool) {
        let group = self.site.group(SERVICE);
        let servers = 0..self.plan.sizes.servers;
        let primary = Endpoint::Server(0);
        let far = (count..self.hosts.len()).map(Endpoint::Host);
        let others = servers.clone().skip(1).map(Endpoint::Server);
        let ends = far.clone().chain(others);
        let ends: Vec<Endpoint> = ends.chain([Endpoint::Store, Endpoint::Orders]).collect();
        for near in 0..count {
            self.cut_off(near, &ends, cut);
        }
        for host in far {
            self.net.cut(host, primary, cut);
            self.net.cut(primary, host, cut);
        }
        for replica in servers.skip(1) {
            group.set_deaf(&server_name(replica), cut);
        }
    }

    /// Silences the primary until a successor is ordered, and kills all hosts then.
    async fn abandon_order(&self, mode: OrderMode, lasts: Duration, after: Duration) {
        let primary = self.victim(Victim::Primary);
        let before = self.changes_begun(Moment::Order);
        self.site.set_order_mode(mode);
        let silent = Faults {
            silent: true,
            ..Faults::default()
        };
        self.site.set_faults(&primary, silent);
        let start = Instant::now();
        while self.changes_begun(Moment::Order) == before && start.elapsed() < ACTING_TIMEOUT {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        tokio::time::sleep(after).await;
        (0..self.plan.hosts).for_each(|host| self.kill_host(host));
        tokio::time::sleep(lasts.saturating_sub(start.elapsed())).await;
        self.site.set_faults(&primary, Faults::default());
        self.site.set_order_mode(OrderMode::Answered);
        (0..self.plan.hosts).for_each(|host| self.start_host(host));
    }

    /// Keeps the server that a claim names behind, and crashes the primary meanwhile.
    async fn lose_behind(&self, lasts: Duration) {
        let group = self.site.group(SERVICE);
        let primary = self.victim(Victim::Primary);
        let claims = self.site.claims().into_iter();
        let Some(named) = claims.filter_map(|claim| claim.successor).next_back() else {
            return;
        };
        group.set_deaf(&named, true);
        tokio::time::sleep(lasts / 2).await;
        self.site.crash(&primary);
        self.site.unregister(&primary);
        tokio::time::sleep(lasts / 2).await;
        group.set_deaf(&named, false);
        tokio::time::sleep(LOST_FOR).await;
        self.revive(&primary).await;
    }

    /// Returns the changes of primary that have come to `moment`, each with the host that acts.
    fn changes_begun(&self, moment: Moment) -> BTreeSet<(String, usize)> {
        let claims = self.site.claims();
        let claims = claims.into_iter().filter(|claim| match moment {
            Moment::Claim => true,
            Moment::Order => claim.successor.is_some(),
        });
        let acting = claims.filter_map(|claim| {
            let host = self
                .hosts
                .iter()
                .position(|host| host.settings.name == claim.holder)?;
            Some((claim.key, host))
        });
        acting.collect()
    }

    fn cut_primary(&self, server: Endpoint, hosts: usize, cut: bool) {
        for host in (0..hosts).map(Endpoint::Host) {
            self.net.cut(host, server, cut);
            self.net.cut(server, host, cut);
        }
    }

    fn cut_off(&self, host: usize, ends: &[Endpoint], cut: bool) {
        for end in ends {
            self.net.cut(Endpoint::Host(host), *end, cut);
            self.net.cut(*end, Endpoint::Host(host), cut);
        }
    }

    /// Blocks or unblocks all traffic between a host and everything except its callers.
    fn isolate_host(&self, host: usize, cut: bool) {
        let others = (0..self.plan.hosts)
            .filter(|other| *other != host)
            .map(Endpoint::Host);
        let servers = (0..self.plan.sizes.servers).map(Endpoint::Server);
        let ends = others
            .chain(servers)
            .chain([Endpoint::Store, Endpoint::Orders]);
        self.cut_off(host, &ends.collect::<Vec<_>>(), cut);
    }
}

fn store_mode(how: StoreFault) -> Mode {
    match how {
        StoreFault::Busy => Mode::Busy,
        StoreFault::Silent => Mode::Silent,
        StoreFault::Slow => Mode::Slow(SLOW_STORE_DELAY),
        StoreFault::Lossy => Mode::Lossy,
    }
}
