//! Operations that hosts of a zone borrow from one of them.

use std::time::Duration;

use flamingopost_core::key::HostKey;
use flamingopost_core::limit::{
    ANSWER_TIMEOUT, Account, Admission, Borrower, Grant, Lender, Lenders, LoanAnswer, LoanRequest,
    NoShares, OPERATION_LIFETIME, SILENCE_TIMEOUT, Share, Source,
};
use flamingopost_core::names::Names;

use super::{answer, ms};

fn hosts() -> [HostKey; 2] {
    let mut names: Names<HostKey> = Names::default();
    ["entry-1", "entry-2"].map(|name| names.intern(name))
}

fn loan_request(sent: Duration, needed: u32) -> LoanRequest {
    LoanRequest {
        incarnation: 1,
        sent,
        needed,
        ahead: 0,
        arrived: needed,
        returned: 0,
    }
}

/// Returns an account that was granted `operations` at time 0, and a share.
fn granted(operations: u32, share: Share) -> Account {
    let mut account = Account::new(9, ms(0));
    account.record_arrival(ms(0));
    let grant = Grant {
        share,
        ..answer(&mut account, operations, 0.0, ms(0))
    };
    account.record_grant(&grant, ms(3));
    account
}

fn lent(answer: Option<LoanAnswer>) -> (u32, Duration) {
    match answer {
        Some(LoanAnswer::Lent {
            operations,
            lifetime,
            ..
        }) => (operations, lifetime),
        other => panic!("{other:?}"),
    }
}

fn loan(sent: Duration, operations: u32, lifetime: Duration) -> LoanAnswer {
    LoanAnswer::Lent {
        sent,
        operations,
        lifetime,
        retry_after: Duration::ZERO,
        part: 1.0,
    }
}

/// Guards against two hosts that use the same operation.
#[test]
fn an_operation_that_is_lent_is_gone_from_the_account() {
    let ([borrower, other], mut lender) = (hosts(), Lender::default());
    let mut account = granted(3, Share::default());
    let request = loan_request(ms(10), 2);
    let answer = lender.lend(&mut account, (borrower, &request), None, ms(12));
    assert_eq!(lent(answer).0, 2);
    let answer = lender.lend(&mut account, (other, &request), None, ms(12));
    assert_eq!(lent(answer).0, 1);
    assert!(!matches!(account.admit(None, ms(13)), Admission::Admitted));
}

/// Guards against a repeated or overtaken request that takes operations a second time.
#[test]
fn a_request_is_answered_once() {
    let ([borrower, _], mut lender) = (hosts(), Lender::default());
    let mut account = granted(9, Share::default());
    let request = loan_request(ms(10), 2);
    assert!(
        lender
            .lend(&mut account, (borrower, &request), None, ms(12))
            .is_some()
    );
    assert_eq!(
        lender.lend(&mut account, (borrower, &request), None, ms(13)),
        None
    );
    let older = loan_request(ms(9), 2);
    assert_eq!(
        lender.lend(&mut account, (borrower, &older), None, ms(13)),
        None
    );
}

/// Guards against a borrower whose count restarts within one process: all that it had borrowed was
/// taken for returned.
#[test]
fn a_count_of_returned_operations_that_went_backwards_returns_nothing() {
    let ([borrower, _], mut lender) = (hosts(), Lender::default());
    let mut account = granted(5, Share::default());
    let counted = LoanRequest {
        returned: 7,
        ..loan_request(ms(10), 5)
    };
    let answer = lender.lend(&mut account, (borrower, &counted), None, ms(12));
    assert_eq!(lent(answer).0, 5);
    let anew = loan_request(ms(20), 0);
    lender.lend(&mut account, (borrower, &anew), None, ms(22));
    assert_eq!(account.request(0, ms(30)).returned, 0);
}

/// Guards against counts that restart when a limit is removed and set again.
#[test]
fn counts_go_on_after_a_limit_was_removed() {
    let mut account = granted(5, Share::default());
    assert_eq!(account.request(0, ms(600)).returned, 5);
    account.clear(ms(700));
    assert!(account.has_counts());
    assert_eq!(account.share(), Share::default());
    assert_eq!(account.request(0, ms(800)).returned, 5);
}

/// Guards against an overflow by the arrivals and the need that another host states.
#[test]
fn a_request_for_any_number_of_operations_is_answered() {
    let mut account = granted(1, Share::default());
    account.record_arrivals(u32::MAX, ms(10));
    account.record_arrivals(u32::MAX, ms(20));
    assert!(account.request(u32::MAX, ms(30)).wanted >= u32::MAX - 1);
}

/// Guards against operations that are used later than 500 ms after they were requested of the
/// grantor, because two hosts in turn held them.
#[test]
fn lent_operations_end_with_the_lifetime_of_the_grant() {
    let ([key, lending], mut lender) = (hosts(), Lender::default());
    let mut account = granted(3, Share::default());
    let mut borrower = Borrower::new(1, ms(0));
    borrower.record_arrival(ms(300));
    let request = borrower.request(lending, 2, ms(300));
    let answer = lender.lend(&mut account, (key, &request), None, ms(305));
    assert_eq!(lent(answer), (2, OPERATION_LIFETIME - ms(305)));
    let answer = answer.expect("lent");
    borrower.record_answer(lending, &answer, ms(310));
    assert_eq!(borrower.admit(lending, ms(480)), Admission::Admitted);
    // The borrower stood still meanwhile.
    assert!(!matches!(
        borrower.admit(lending, OPERATION_LIFETIME),
        Admission::Admitted
    ));
    assert_eq!(borrower.request(lending, 1, ms(600)).returned, 1);
}

/// Guards against a lender that stood still and lends what has expired.
#[test]
fn an_expired_operation_is_not_lent() {
    let ([borrower, _], mut lender) = (hosts(), Lender::default());
    let mut account = granted(3, Share::default());
    let request = loan_request(ms(10), 2);
    let now = OPERATION_LIFETIME + ms(1);
    let answer = lender.lend(&mut account, (borrower, &request), Some(now), now);
    assert!(
        matches!(answer, Some(LoanAnswer::Wait { .. })),
        "{answer:?}"
    );
}

/// Guards against late, repeated and overtaken answers that give operations twice.
#[test]
fn only_the_first_answer_to_the_newest_request_counts() {
    let [first, second] = hosts();
    let mut borrower = Borrower::new(1, ms(0));
    borrower.record_arrival(ms(0));
    let early = borrower.request(first, 1, ms(0)).sent;
    let late = borrower.request(second, 1, SILENCE_TIMEOUT).sent;
    let now = SILENCE_TIMEOUT + ms(3);
    borrower.record_answer(second, &loan(late, 1, ms(400)), now);
    borrower.record_answer(second, &loan(late, 1, ms(400)), now);
    borrower.record_answer(first, &loan(early, 1, ms(400)), now);
    borrower.record_answer(first, &loan(late, 1, ms(400)), now);
    assert_eq!(borrower.admit(second, now), Admission::Admitted);
    assert!(!matches!(borrower.admit(second, now), Admission::Admitted));
}

/// Guards against a lender that lends more from its share than its own callers may use of it, or
/// that does not count it as used.
#[test]
fn what_is_lent_from_a_share_is_bounded_and_counted() {
    let ([borrower, _], mut lender) = (hosts(), Lender::default());
    let share = Share {
        rate: 4.0,
        burst: 3.0,
    };
    let mut account = granted(0, share);
    account.request(0, ms(250));
    let mut operations = 0;
    for now in (0..10_000).step_by(10).map(ms) {
        let now = ANSWER_TIMEOUT + now;
        let request = loan_request(now, 5);
        let answer = lender.lend(&mut account, (borrower, &request), None, now);
        let (count, lifetime) = lent(answer);
        assert!(lifetime <= OPERATION_LIFETIME);
        operations += count;
    }
    assert!(
        (41..=43).contains(&operations),
        "{operations}: 3 at once and 4 a second"
    );
    assert_eq!(account.request(0, ms(11_000)).used, operations);
}

/// Guards against borrowers that wait for a lender which can give nothing.
#[test]
fn a_lender_without_contact_and_share_says_so_at_once() {
    let ([borrower, _], mut lender) = (hosts(), Lender::default());
    let mut account = Account::new(1, ms(0));
    account.request(1, ms(0));
    let now = ANSWER_TIMEOUT;
    let request = loan_request(ms(400), 1);
    let answer = lender.lend(&mut account, (borrower, &request), None, now);
    assert_eq!(answer, Some(LoanAnswer::Unavailable { sent: ms(400) }));
}

/// Guards against borrowers that ask again and again while the lender waits for the grantor.
#[test]
fn a_request_that_had_to_wait_is_answered_when_the_grantor_has() {
    let ([key, lending], mut lender) = (hosts(), Lender::default());
    let mut account = Account::new(9, ms(0));
    let mut borrower = Borrower::new(1, ms(0));
    borrower.record_arrival(ms(0));
    let request = borrower.request(lending, 1, ms(0));
    let wait = lender.lend(&mut account, (key, &request), None, ms(2));
    let wait = wait.expect("new");
    assert!(matches!(wait, LoanAnswer::Wait { .. }), "{wait:?}");
    assert_eq!(lender.waiting(), 1);
    borrower.record_answer(lending, &wait, ms(4));
    assert!(!borrower.is_request_due(lending, 1, ms(200)), "still waits");
    let grant = answer(&mut account, 1, 0.0, ms(2));
    account.record_grant(&grant, ms(150));
    let answers = lender.answers(&mut account, None, ms(150));
    assert_eq!(answers.len(), 1);
    borrower.record_answer(lending, &answers[0].1, ms(152));
    assert_eq!(borrower.admit(lending, ms(152)), Admission::Admitted);
    assert_eq!(lender.answers(&mut account, None, ms(160)), []);
}

/// Guards against operations that are put back twice, or that the lender never lent, or that an
/// earlier grantor granted.
#[test]
fn operations_are_returned_once_and_soon() {
    let ([borrower, _], mut lender) = (hosts(), Lender::default());
    let mut account = granted(3, Share::default());
    let mut ask = |sent: u64, returned: u32| {
        let request = LoanRequest {
            returned,
            ..loan_request(ms(sent), 1)
        };
        let contact = Some(ms(sent));
        lender.lend(&mut account, (borrower, &request), contact, ms(sent));
    };
    ask(10, 7);
    ask(600, 8);
    ask(700, 8);
    ask(800, 20);
    // Two expired here; one of those that were lent was returned.
    assert_eq!(account.request(0, ms(800)).returned, 3);
    let mut ask = |sent: u64, returned: u32| {
        let request = LoanRequest {
            returned,
            ..loan_request(ms(sent), 1)
        };
        lender.lend(&mut account, (borrower, &request), None, ms(sent));
    };
    ask(2_000, 30);
    assert_eq!(account.request(0, ms(2_000)).returned, 3);
}

/// Guards against callers that wait for a silent host again and again.
#[test]
fn a_silent_lender_is_skipped_until_it_answers_a_probe() {
    let [first, second] = hosts();
    let (mut lenders, mut probes) = (Lenders::default(), Vec::new());
    let borrower = Borrower::new(1, ms(0));
    let sources = [Source::Lender(first), Source::Lender(second)];
    let mut choose =
        |lenders: &mut Lenders, at: u64| lenders.choose(sources, &borrower, &mut probes, ms(at));
    lenders.record_request(first, ms(0));
    assert_eq!(choose(&mut lenders, 119), sources[0]);
    assert_eq!(choose(&mut lenders, 120), sources[1]);
    assert_eq!(choose(&mut lenders, 1_119), sources[1]);
    assert_eq!(
        choose(&mut lenders, 1_121),
        sources[1],
        "it is probed first"
    );
    assert_eq!(choose(&mut lenders, 1_200), sources[1]);
    lenders.record_answer(first);
    assert_eq!(choose(&mut lenders, 1_201), sources[0]);
    assert_eq!(probes, [first]);
}

/// Guards against a host that reported too early: it may have obtained a share of the earlier
/// grantor after that.
#[test]
fn a_report_counts_from_a_second_after_the_grantor_took_over() {
    let [host, other] = hosts();
    let mut reports = NoShares::default();
    let since = ms(10_000);
    reports.record(host, ms(10_999));
    assert!(!reports.holds_none(host, since));
    reports.record(host, ms(11_000));
    assert!(reports.holds_none(host, since));
    assert!(!reports.holds_none(other, since));
    // Another grantor was in between.
    assert!(!reports.holds_none(host, ms(12_000)));
}

/// Guards against refused callers that all come back at the same time and are refused again.
#[test]
fn refused_callers_are_told_times_one_after_the_other() {
    let share = Share {
        rate: 4.0,
        burst: 1.0,
    };
    let mut account = granted(0, share);
    account.request(0, ms(250));
    let now = ANSWER_TIMEOUT;
    assert_eq!(account.admit(None, now), Admission::Admitted);
    let told: Vec<Duration> = (0..4)
        .map(|_| match account.admit(None, now) {
            Admission::Refused { retry_after } => retry_after,
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(told, [ms(250), ms(500), ms(750), ms(1_000)]);
    for retry_after in told {
        assert_eq!(account.admit(None, now + retry_after), Admission::Admitted);
    }
}
