//! What this host borrows from other hosts and lends to them.

use std::time::Duration;

use flamingopost_core::key::{HostKey, TeamKey};
use flamingopost_core::limit::{BORROW_TIMEOUT, LoanAnswer, LoanRequest, Source};

use super::Limits;

impl Limits {
    /// Chooses where an operation of `team` that has waited since `since` is obtained, among
    /// `sources`.
    pub(super) fn choose(
        &self,
        (team, sources): (TeamKey, &[Source]),
        since: Duration,
        contact: impl Fn(HostKey) -> Option<Duration>,
        now: Duration,
    ) -> Source {
        if sources.is_empty() || now >= since + BORROW_TIMEOUT {
            return Source::Own;
        }
        self.with_account(team, now, |it| {
            let contact = it.contact(contact, now);
            if sources.contains(&Source::Own) && it.account.is_unavailable(contact, now) {
                it.borrower.record_unavailable(Source::Own, now);
            }
            let (mut lenders, mut probes) = (self.lenders.borrow_mut(), self.probes.borrow_mut());
            let sources = sources.iter().copied();
            lenders.choose(sources, &it.borrower, &mut probes, now)
        })
    }

    /// Returns the requests to lenders that are due now. `sources` returns where this host obtains
    /// operations of a team, and `contact` when the newest message was sent that a host has answered.
    pub(super) fn due_loans(
        &self,
        sources: impl Fn(TeamKey) -> Vec<Source>,
        contact: impl Fn(HostKey) -> Option<Duration>,
        now: Duration,
    ) -> Vec<(HostKey, TeamKey, LoanRequest)> {
        let needy: Vec<TeamKey> = {
            let accounts = self.accounts.borrow();
            let needy = accounts
                .iter()
                .filter(|(_, it)| it.borrower.needs(it.borrowing, now));
            needy.map(|(team, _)| *team).collect()
        };
        let mut due = Vec::new();
        for team in needy {
            let Source::Lender(lender) = self.choose((team, &sources(team)), now, &contact, now)
            else {
                continue;
            };
            let request = self.with_account(team, now, |it| {
                let (borrower, waiting) = (&mut it.borrower, it.borrowing);
                let is_due = borrower.is_request_due(lender, waiting, now);
                is_due.then(|| borrower.request(lender, waiting, now))
            });
            if let Some(request) = request {
                self.lenders.borrow_mut().record_request(lender, now);
                due.push((lender, team, request));
            }
        }
        due
    }

    /// Takes the lenders that are to be asked whether they answer.
    pub(super) fn take_probes(&self) -> Vec<HostKey> {
        std::mem::take(&mut *self.probes.borrow_mut())
    }

    /// Answers the request of `host` to borrow operations of `team`.
    pub(super) fn lend(
        &self,
        team: TeamKey,
        (host, request): (HostKey, &LoanRequest),
        contact: impl Fn(HostKey) -> Option<Duration>,
        now: Duration,
    ) -> Option<LoanAnswer> {
        self.with_account(team, now, |it| {
            let contact = it.contact(contact, now);
            let answer = it
                .lender
                .lend(&mut it.account, (host, request), contact, now);
            if it.lender.waiting() > 0 {
                self.request_due.notify_one();
            }
            answer
        })
    }

    /// Returns the answers to requests of other hosts that had to wait and can be decided now.
    pub(super) fn loan_answers(
        &self,
        contact: impl Fn(HostKey) -> Option<Duration>,
        now: Duration,
    ) -> Vec<(HostKey, TeamKey, LoanAnswer)> {
        let mut accounts = self.accounts.borrow_mut();
        let waiting = accounts
            .iter_mut()
            .filter(|(_, it)| it.lender.waiting() > 0);
        let answers = waiting.flat_map(|(team, it)| {
            let contact = it.contact(&contact, now);
            let answers = it.lender.answers(&mut it.account, contact, now);
            answers
                .into_iter()
                .map(|(host, answer)| (host, *team, answer))
        });
        answers.collect()
    }

    /// Applies the answers of `lender`. It has answered a probe if there are none.
    pub(super) fn record_loans(
        &self,
        lender: HostKey,
        answers: &[(TeamKey, LoanAnswer)],
        now: Duration,
    ) {
        self.lenders.borrow_mut().record_answer(lender);
        let mut accounts = self.accounts.borrow_mut();
        for (team, answer) in answers {
            if let Some(it) = accounts.get_mut(team) {
                it.borrower.record_answer(lender, answer, now);
            }
        }
        self.granted.notify_waiters();
    }

    /// Forgets the lenders that are not listed any more.
    pub fn retain_lenders(&self, is_listed: impl Fn(HostKey) -> bool) {
        self.lenders.borrow_mut().retain(is_listed);
    }
}
