//! The operations that a host lends to other hosts from its account.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Account, Loan, LoanAnswer, LoanRequest, increase};
use crate::key::HostKey;

/// Time after a borrower's previous request within which it may return operations. Those that it
/// returns later may have been granted by a grantor that has been replaced since.
const RETURN_WINDOW: Duration = Duration::from_secs(1);

/// Time without a request after which a borrower is forgotten.
const BORROWER_RETENTION: Duration = Duration::from_secs(10);

/// Lends operations of one team to other hosts.
///
/// It lends only what its account holds, so two hosts that lend at the same time are safe.
#[derive(Debug, Default)]
pub struct Lender {
    borrowers: BTreeMap<HostKey, Borrowing>,
}

/// What a host has borrowed.
#[derive(Debug)]
struct Borrowing {
    incarnation: u64,
    /// Send time of the newest request, by the clock of the borrower.
    sent: Duration,
    received_at: Duration,
    /// The count of the newest request.
    returned: u32,
    /// Operations that were lent and not returned.
    lent: u32,
    /// Operations of the newest request for which callers wait, until it is answered.
    waiting: Option<u32>,
}

impl Lender {
    /// Returns the number of operations for which callers of other hosts wait.
    pub fn waiting(&self) -> u32 {
        let waiting = self.borrowers.values().filter_map(|it| it.waiting);
        waiting.fold(0, u32::saturating_add)
    }

    /// Answers a request of `borrower`. `contact` is when the newest message was sent that the
    /// grantor has answered. Returns `None` if the request is older than one that was received.
    pub fn lend(
        &mut self,
        account: &mut Account,
        (borrower, request): (HostKey, &LoanRequest),
        contact: Option<Duration>,
        now: Duration,
    ) -> Option<LoanAnswer> {
        let known = self.borrowers.get(&borrower);
        let known = known.filter(|it| it.incarnation == request.incarnation);
        if known.is_some_and(|it| it.sent >= request.sent) {
            return None;
        }
        let mut lent = known.map_or(0, |it| it.lent);
        if let Some(known) = known.filter(|it| now < it.received_at + RETURN_WINDOW) {
            let returned = increase(request.returned, known.returned)
                .unwrap_or(0)
                .min(lent);
            lent -= returned;
            account.record_returned(returned);
        } else {
            lent = 0;
        }
        account.record_arrivals(request.arrived, now);
        self.borrowers
            .retain(|_, it| now < it.received_at + BORROWER_RETENTION);
        let mut borrowing = Borrowing {
            incarnation: request.incarnation,
            sent: request.sent,
            received_at: now,
            returned: request.returned,
            lent,
            waiting: None,
        };
        let loan = account.lend(request.needed, request.ahead, contact, now);
        if let Loan::Wait { .. } = loan {
            borrowing.waiting = Some(request.needed);
        }
        let answer = borrowing.answer(loan, account, now);
        self.borrowers.insert(borrower, borrowing);
        Some(answer)
    }

    /// Returns the answers to requests that had to wait and can be decided now.
    pub fn answers(
        &mut self,
        account: &mut Account,
        contact: Option<Duration>,
        now: Duration,
    ) -> Vec<(HostKey, LoanAnswer)> {
        let mut answers = Vec::new();
        for (borrower, borrowing) in &mut self.borrowers {
            let Some(needed) = borrowing.waiting else {
                continue;
            };
            let loan = account.lend(needed, 0, contact, now);
            if let Loan::Wait { .. } = loan {
                continue;
            }
            borrowing.waiting = None;
            answers.push((*borrower, borrowing.answer(loan, account, now)));
        }
        answers
    }
}

impl Borrowing {
    /// Converts the decision of the account to the answer to the newest request.
    fn answer(&mut self, loan: Loan, account: &Account, now: Duration) -> LoanAnswer {
        let sent = self.sent;
        match loan {
            Loan::Lent {
                operations,
                until,
                retry_after,
            } => {
                self.lent = self.lent.saturating_add(operations);
                LoanAnswer::Lent {
                    sent,
                    operations,
                    // The borrower counts from before the request was received.
                    lifetime: until.saturating_sub(self.received_at),
                    retry_after,
                    part: account.admitted_part(now),
                }
            }
            Loan::Wait { until } => LoanAnswer::Wait {
                sent,
                time: until.saturating_sub(now),
            },
            Loan::Unavailable => LoanAnswer::Unavailable { sent },
        }
    }
}
