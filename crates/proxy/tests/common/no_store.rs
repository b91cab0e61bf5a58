//! A platform that answers nothing.

use std::collections::BTreeSet;
use std::time::Duration;

use flamingopost_core::epoch::Epoch;
use flamingopost_core::quorum::Electorate;
use flamingopost_proxy::platform::{
    Backend, Change, Claim, Claims, Configuration, ElectorateRecord, Entry, Error, Peer, Platform,
    Promotion, Read, Recorded, Revision, Settlement, Token,
};

/// A platform that answers nothing.
pub struct NoStore;

fn lost<T>() -> Result<T, Error> {
    Err(Error::Lost("there is no store".to_owned()))
}

impl Platform for NoStore {
    async fn configuration(&self) -> Result<Read<Vec<Entry<Configuration>>>, Error> {
        lost()
    }

    async fn next_configuration(
        &self,
        _: Revision,
        _: Duration,
    ) -> Result<Read<Vec<Entry<Configuration>>>, Error> {
        lost()
    }

    async fn backends(&self) -> Result<Read<Vec<Entry<Backend>>>, Error> {
        lost()
    }

    async fn next_backends(
        &self,
        _: Revision,
        _: Duration,
    ) -> Result<Read<Vec<Change<Backend>>>, Error> {
        lost()
    }

    async fn peers(&self) -> Result<Read<Vec<Entry<Peer>>>, Error> {
        lost()
    }

    async fn next_peers(&self, _: Revision, _: Duration) -> Result<Read<Vec<Change<Peer>>>, Error> {
        lost()
    }

    async fn announce(&self, _: &Peer) -> Result<Token, Error> {
        lost()
    }

    async fn claim(&self, _: &str, _: u64, _: &str, _: Option<Revision>) -> Result<Claim, Error> {
        lost()
    }

    async fn name_successor(
        &self,
        _: &str,
        _: u64,
        _: &str,
        _: Token,
        _: &str,
    ) -> Result<Claim, Error> {
        lost()
    }

    async fn settle_claim(
        &self,
        _: &str,
        _: u64,
        _: &str,
        _: Revision,
        _: Settlement,
    ) -> Result<Claim, Error> {
        lost()
    }

    async fn claims(&self) -> Result<Read<Claims>, Error> {
        lost()
    }

    async fn record_claims_verified(&self, _: Epoch, _: &str) -> Result<(), Error> {
        lost()
    }

    async fn record_electorate(
        &self,
        _: &Electorate,
        _: Option<Revision>,
    ) -> Result<ElectorateRecord, Error> {
        lost()
    }

    async fn written_services(&self) -> Result<Read<BTreeSet<String>>, Error> {
        lost()
    }

    async fn record_written(&self, _: &str, _: &str) -> Result<Recorded, Error> {
        lost()
    }

    async fn promote(&self, _: &str, _: &str, _: &str, _: Token) -> Result<Promotion, Error> {
        lost()
    }
}
