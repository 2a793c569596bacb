use super::Inquiry;
use super::MAX_NAMED;
use super::Word;
use crate::list::List;
use crate::list::Member;
use crate::message::Answer;
use crate::message::Chain;

fn list(members: usize) -> List {
    let member = |number| Member {
        vm: format!("store-{number}"),
        centre: "a".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        disk: 1,
    };
    List {
        version: 7,
        members: (0..members).map(member).collect(),
        before: Vec::new(),
        reset: None,
    }
}

/// Guards against a log that can't tell a turn that was never stored from one that wasn't asked for.
#[test]
fn each_member_stands_in_the_line_with_what_it_said() {
    let list = list(7);
    let answers = [
        Some(Answer::Chain(Chain::default())),
        Some(Answer::NotReady),
        None,
        Some(Answer::Newer(List {
            version: 9,
            ..List::default()
        })),
        Some(Answer::OtherDisk(2)),
    ];
    let mut inquiry = Inquiry::default();
    inquiry.begin(&list, list.members.iter());
    for (member, answer) in list.members.iter().zip(&answers) {
        inquiry.note(member, Word::of(answer.as_ref()));
    }
    inquiry.note(&list.members[5], Word::Awaited);
    assert_eq!(
        inquiry.to_string(),
        "said=store-0:absent,store-1:not_ready,store-2:silent,\
         store-3:newer_list_9,store-4:other_disk,store-5:awaited,store-6:unasked version=7 members=7 rounds=1"
    );
}

/// Guards against lines that grow with the deployment.
#[test]
fn the_line_is_bounded() {
    let list = list(MAX_NAMED + 3);
    let mut inquiry = Inquiry::default();
    inquiry.begin(&list, list.members.iter());
    let line = inquiry.to_string();
    assert!(line.contains("unasked,+3 version="), "{line}");
    assert_eq!(line.matches("unasked").count(), MAX_NAMED);
}
