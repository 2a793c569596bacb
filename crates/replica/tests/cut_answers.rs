//! Answers of members that are cut off.

use bytes::Bytes;
use replica::ledger::Entry;
use replica::message::Answer;
use replica::message::Chain;
use replica::message::Link;
use replica::record::Key;
use rstest::rstest;

const ENTRY: Entry = Entry {
    turn: Key(7),
    most: 300,
    used: None,
};

fn chain() -> Answer {
    let link = Link {
        key: Key(7),
        text: Bytes::from_static(b"text"),
    };
    Answer::Chain(Chain {
        turns: vec![link.clone(), link],
        next: None,
    })
}

/// Guards against a part of an answer without a length that is decoded as an answer with fewer entries.
#[rstest]
#[case::applied(Answer::Applied(vec![ENTRY, ENTRY]))]
#[case::account(Answer::Account(vec![ENTRY; 3]))]
#[case::no_entries(Answer::Account(Vec::new()))]
#[case::chain(chain())]
#[case::not_ready(Answer::NotReady)]
#[case::other_disk(Answer::OtherDisk(7))]
#[case::failed(Answer::Failed("disk".to_owned()))]
fn a_part_of_an_answer_is_not_decoded(#[case] answer: Answer) {
    let bytes = rmp_serde::to_vec(&answer).unwrap();
    for cut in 0..bytes.len() {
        let decoded = rmp_serde::from_slice::<Answer>(&bytes[..cut]);
        assert!(decoded.is_err(), "cut at {cut}: {decoded:?}");
    }
    assert_eq!(rmp_serde::from_slice::<Answer>(&bytes).unwrap(), answer);
}
