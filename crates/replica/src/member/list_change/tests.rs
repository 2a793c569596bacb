use super::proposal_delay;
use crate::list::List;
use crate::list::Member;

fn list(members: u64) -> List {
    let member = |number: u64| Member {
        vm: format!("store-{number:02}"),
        centre: "a".to_owned(),
        address: ([127, 0, 0, 1], 7000).into(),
        disk: number,
    };
    (0..members).fold(List::default(), |list, number| list.with(&member(number)))
}

/// Two dozen VMs with a disk start at once, and each change of the list lets all others propose the
/// next one. If they proposed at the same moment, all but one of the proposals would be refused,
/// and the calls of the key-value service would grow with the square of the number of VMs.
#[test]
fn few_vms_propose_at_the_same_moment() {
    let mut in_vain = 0;
    for members in 4..24 {
        let list = list(members);
        let waiting = members..24;
        let mut delays: Vec<u64> = waiting
            .map(|number| proposal_delay(&format!("store-{number:02}"), &list).as_u64())
            .collect();
        delays.sort_unstable();
        // Within this time the first proposal is known to the members.
        let met = delays.iter().filter(|delay| **delay < delays[0] + 50);
        in_vain += met.count() - 1;
    }
    assert!(in_vain <= 2 * 24, "{in_vain} proposals in vain");
}

/// A lone VM, or one that replaces a lost disk in a small deployment, has to be in the list within
/// a fraction of the time in which it has to be a complete replica.
#[test]
fn delay_is_short_in_a_small_list() {
    assert_eq!(proposal_delay("store", &list(0)).as_u64(), 0);
    assert!(proposal_delay("store", &list(3)).as_u64() < 300);
    assert!(proposal_delay("store", &list(24)).as_u64() < 600);
}
