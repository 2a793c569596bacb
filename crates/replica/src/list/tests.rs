use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::proptest;
use rstest::rstest;

use super::List;
use super::Member;
use super::blocking_size;
use super::majority;
use crate::record::Key;

fn member(number: usize, centre: &str) -> Member {
    Member {
        vm: format!("vm-{number:02}"),
        centre: centre.to_owned(),
        address: ([127, 0, 0, 1], 7000).into(),
        disk: number as u64,
    }
}

fn list(centres: &[&str]) -> List {
    let members = centres.iter().enumerate();
    List {
        version: 1,
        members: members.map(|(at, centre)| member(at, centre)).collect(),
        before: Vec::new(),
        reset: None,
    }
}

fn lists() -> impl Strategy<Value = List> {
    let centres = prop::collection::vec(prop::sample::select(vec!["a", "b", "c", "d"]), 1..9);
    centres.prop_map(|centres| list(&centres))
}

proptest! {
    /// Members on the other side of a partition may never have heard of a new list. If enough of
    /// them could say "absent" under the old list, a caller would be told that a turn that was
    /// answered under the new list doesn't exist. So an absence takes a majority, and the members
    /// that a new list waits for must leave the others too few for a majority of any group.
    #[test]
    fn members_outside_a_covering_subset_have_no_majority(
        list in lists(),
        included in prop::collection::vec(any::<bool>(), 9),
        key in any::<u128>(),
        losses in 1_usize..3,
    ) {
        let subset: Vec<&Member> = list.members.iter().zip(&included).filter(|(_, included)| **included).map(|(member, _)| member).collect();
        let group = list.group(Key(key), losses);
        let needed = blocking_size(list.group_size(losses));
        if list.covers(&subset, losses, needed) {
            let others = group.iter().filter(|member| !subset.contains(member)).count();
            prop_assert!(others < majority(group.len()), "{others} of {}", group.len());
        }
    }

    #[test]
    fn blocking_size_intersects_every_majority(group in 1_usize..20) {
        prop_assert!(majority(group) + blocking_size(group) > group);
        prop_assert!(blocking_size(group) <= majority(group));
    }
}

#[rstest]
#[case(&["a", "b", "c"], "a")]
#[case(&["a", "a", "b", "c"], "a")]
#[case(&["a", "a", "b", "b", "c", "c"], "b")]
fn a_lost_data_centre_leaves_a_majority(#[case] centres: &[&str], #[case] lost: &str) {
    let list = list(centres);
    let subset: Vec<&Member> = list
        .members
        .iter()
        .filter(|member| member.centre != lost)
        .collect();
    assert!(list.covers(&subset, 1, majority(list.group_size(1))));
    for key in 0..100 {
        let group = list.group(Key(key), 1);
        let left = group.iter().filter(|member| member.centre != lost);
        assert!(left.count() >= 2);
    }
}

#[test]
fn a_changed_list_holds_the_previous_members() {
    let first = list(&["a", "b", "c"]);
    let wiped = Member {
        disk: 77,
        ..member(1, "b")
    };
    let next = first.with(&wiped);
    assert_eq!(next.version, 2);
    assert_eq!(next.before, first.members);
    assert_eq!(next.members.len(), 3);
    assert!(next.has_member(&wiped));
    assert!(!next.without("vm-01").members.contains(&wiped));
}
