//! Messages between hosts, which processes of the former build have to understand as well.

use std::time::Duration;

use flamingopost_core::limit::{LoanAnswer, LoanRequest};
use flamingopost_proxy::peer::{Message, Payload, TeamLoan, TeamLoanRequest};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn index(payload: &Payload) -> u8 {
    postcard::to_stdvec(payload).expect("encodable")[0]
}

/// Guards against new kinds of messages that take the place of others: the encoding names a kind by
/// its index, and hosts of two builds run side by side during an update.
#[test]
fn kinds_of_messages_keep_their_index() {
    let grants = Vec::new();
    assert_eq!(index(&Payload::LogQuery), 7);
    assert_eq!(index(&Payload::OperationGrant { sent: 0, grants }), 10);
    let request = Payload::ZoneOperationRequest {
        incarnation: 0,
        sent: 0,
        requests: Vec::new(),
    };
    assert_eq!(index(&request), 11);
    let grants = Vec::new();
    assert_eq!(index(&Payload::ZoneOperationGrant { sent: 0, grants }), 12);
    assert_eq!(index(&Payload::NoShares), 13);
    let ended_terms = Vec::new();
    assert_eq!(index(&Payload::EndedTerms { ended_terms }), 15);
    let services = Vec::new();
    assert_eq!(index(&Payload::ServiceLogQuery { services }), 18);
}

/// Guards against a lifetime that grows on the way.
#[test]
fn loans_arrive_as_they_were_sent() {
    let request = LoanRequest {
        incarnation: 7,
        sent: ms(5),
        needed: 3,
        ahead: 2,
        arrived: 9,
        returned: 1,
    };
    let sent = TeamLoanRequest::new("canning".to_owned(), &request);
    assert_eq!(sent.request(7, 5_000_000), request);
    let answers = [
        LoanAnswer::Lent {
            sent: ms(5),
            operations: 4,
            lifetime: ms(430),
            retry_after: ms(50),
            part: 0.5,
        },
        LoanAnswer::Wait {
            sent: ms(5),
            time: ms(500),
        },
        LoanAnswer::Unavailable { sent: ms(5) },
    ];
    for answer in answers {
        let sent = TeamLoan::new("canning".to_owned(), &answer);
        assert_eq!(sent.answer(5_000_000), answer);
    }
    let answer = LoanAnswer::Lent {
        sent: ms(5),
        operations: 1,
        lifetime: Duration::from_nanos(1_999),
        retry_after: Duration::ZERO,
        part: 1.0,
    };
    let sent = TeamLoan::new("canning".to_owned(), &answer).answer(5_000_000);
    assert!(
        matches!(sent, LoanAnswer::Lent { lifetime, .. } if lifetime == Duration::from_nanos(1_000))
    );
}

/// Guards against a message that does not fit into a datagram of 1,200 bytes: entries are split by
/// the length of their names and 32 bytes each.
#[test]
fn an_entry_takes_32_bytes_and_its_name_at_most() {
    let most = LoanRequest {
        incarnation: u64::MAX,
        sent: Duration::MAX,
        needed: u32::MAX,
        ahead: u32::MAX,
        arrived: u32::MAX,
        returned: u32::MAX,
    };
    let entry = TeamLoanRequest::new(String::new(), &most);
    assert!(postcard::to_stdvec(&entry).expect("encodable").len() <= 32);
    let most = LoanAnswer::Lent {
        sent: Duration::MAX,
        operations: u32::MAX,
        lifetime: Duration::MAX,
        retry_after: Duration::MAX,
        part: f64::MAX,
    };
    let entry = TeamLoan::new(String::new(), &most);
    assert!(postcard::to_stdvec(&entry).expect("encodable").len() <= 32);
    let message = Message {
        host: "entry-1".repeat(10),
        service: String::new(),
        payload: Payload::ZoneOperationRequest {
            incarnation: u64::MAX,
            sent: u64::MAX,
            requests: Vec::new(),
        },
    };
    assert!(postcard::to_stdvec(&message).expect("encodable").len() <= 200);
}
