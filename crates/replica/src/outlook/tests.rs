use wire::clock::Millis;

use super::Outlook;
use super::Sight;
use super::View;
use super::is_settled;
use super::may_leave;
use super::outlook;
use super::reset;
use crate::list::Certainty;
use crate::list::List;
use crate::list::Member;
use crate::message::Status;

const LOSSES: usize = 1;

fn member(vm: &str, disk: u64) -> Member {
    Member {
        vm: vm.to_owned(),
        centre: vm.to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        disk,
    }
}

/// Builds a list of three members whose disks are 1 to 3.
fn list() -> List {
    let members = [("a", 1), ("b", 2), ("c", 3)];
    members
        .into_iter()
        .fold(List::default(), |list, (vm, disk)| {
            list.with(&member(vm, disk))
        })
}

fn answers(disk: u64, ready: u64) -> Sight {
    Sight::Answers(Status {
        disk,
        version: ready,
        ready,
    })
}

fn view(list: &List, sights: [Sight; 3]) -> View {
    let mut view = View::default();
    for (member, sight) in list.members.iter().zip(sights) {
        view.note(member.clone(), sight);
    }
    view
}

/// Guards against a list that waits for a disk that is gone, and one that is given up while a disk may be there.
#[test]
fn a_list_is_lost_only_once_too_few_disks_can_be_left() {
    let list = list();
    let ready = list.version;
    let seen = |sights| {
        let view = view(&list, sights);
        (outlook(&list, &view, LOSSES), is_settled(&list, &view))
    };
    let whole = answers(1, ready);
    assert_eq!(
        seen([whole, answers(2, 0), answers(9, 0)]),
        (Outlook::Usable, true)
    );
    assert_eq!(
        seen([whole, Sight::Silent, answers(9, 0)]),
        (Outlook::Waiting, false)
    );
    assert_eq!(
        seen([whole, answers(8, 0), answers(9, 0)]),
        (Outlook::Lost, true)
    );
    assert_eq!(
        seen([Sight::Silent, answers(8, 0), answers(9, 0)]),
        (Outlook::Lost, false)
    );
    assert_eq!(
        seen([whole, Sight::GivenUp, answers(9, 0)]),
        (Outlook::Lost, true)
    );
}

/// Guards against a second reset that takes accounts for complete which the first one lost.
#[test]
fn a_reset_keeps_the_uncertainty_of_the_one_before() {
    let list = list();
    let view = view(&list, [answers(1, 3), answers(8, 0), answers(9, 0)]);
    let own = member("b", 8);
    let once = reset(&list, &view, &own, &[1], Millis::ZERO, LOSSES);
    assert_eq!(once.reset.as_ref().unwrap().accounts, Certainty::Some);
    assert_eq!(once.members.len(), 3);
    let all_know = [1, 8, 9];
    let twice = reset(&once, &view, &own, &all_know, Millis::ZERO, LOSSES);
    assert_eq!(twice.reset.unwrap().accounts, Certainty::Some);
}

/// Guards against a list that bears no loss any more, as a VM leaves a list of which others aren't complete.
#[test]
fn a_member_leaves_only_if_enough_others_are_complete() {
    let list = list().with(&member("d", 4));
    let members: Vec<&Member> = list.members.iter().collect();
    assert!(may_leave(&list, &members, "d", LOSSES));
    assert!(!may_leave(&list, &members[1..], "d", LOSSES));
    assert!(!may_leave(&list, &members, "unknown", LOSSES));
}
