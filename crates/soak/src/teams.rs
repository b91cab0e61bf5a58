//! Teams of simulated callers: their API keys and limits, which operators change during a run.

use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use flamingopost_standin::pooled::Team;

/// Number of teams.
pub const TEAMS: usize = 3;

/// Name of the team in whose name hosts are checked. It is not limited, so that its statements are
/// not refused for what callers ask.
pub const CHECKS: &str = "checks";

/// API key of [`CHECKS`].
pub const CHECKS_KEY: &str = "key-checks";

/// Operations per second, and size of a burst, before operators change them.
const INITIAL_RATE: u32 = 80;

/// The teams of a run.
#[derive(Debug)]
pub struct Teams {
    state: Mutex<Vec<State>>,
}

#[derive(Debug)]
struct State {
    /// Counts the API keys that the team has had.
    keys: u32,
    limits: Vec<Limit>,
}

/// A limit of a team.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    /// When operators set it.
    pub since: Instant,
    /// Operations per second, and size of a burst.
    pub rate: u32,
}

impl Default for Teams {
    fn default() -> Teams {
        let state = || State {
            keys: 1,
            limits: vec![Limit {
                since: Instant::now(),
                rate: INITIAL_RATE,
            }],
        };
        Teams {
            state: Mutex::new((0..TEAMS).map(|_| state()).collect()),
        }
    }
}

impl Teams {
    /// Returns the name of the team of caller `caller`, which is the team with that number modulo
    /// the number of teams.
    pub fn name(caller: u64) -> String {
        format!("team-{}", caller % TEAMS as u64)
    }

    /// Returns the newest API key of the team of caller `caller`.
    pub fn key(&self, caller: u64) -> String {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let team = (caller % TEAMS as u64) as usize;
        key(team, state[team].keys)
    }

    /// Returns the previous API key of team `team`, if it has had several.
    pub fn former_key(&self, team: usize) -> Option<String> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let former = state[team].keys.checked_sub(1).filter(|keys| *keys > 0)?;
        Some(key(team, former))
    }

    /// Replaces the API key of team `team`.
    pub fn replace_key(&self, team: usize) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state[team].keys += 1;
    }

    /// Changes the limit of team `team`.
    pub fn change_limit(&self, team: usize, rate: u32) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let since = Instant::now();
        state[team].limits.push(Limit { since, rate });
    }

    /// Returns the limits that each team has had, in order.
    pub fn limits(&self) -> Vec<Vec<Limit>> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.iter().map(|it| it.limits.clone()).collect()
    }

    /// Returns the teams as operators configure them now.
    pub fn configured(&self) -> Vec<Team> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let teams = state.iter().enumerate().map(|(team, it)| {
            let rate = it.limits.last().map_or(INITIAL_RATE, |limit| limit.rate);
            Team::new(&Teams::name(team as u64), &[&key(team, it.keys)]).limited(rate, rate)
        });
        teams.chain([Team::new(CHECKS, &[CHECKS_KEY])]).collect()
    }
}

fn key(team: usize, number: u32) -> String {
    format!("key-{team}-{number}")
}
