use super::*;

fn vms(count: usize) -> Vec<id::Vm> {
    let names = (0..count).map(|n| id::Vm::parse(&format!("vm{n}")).unwrap());
    names.collect()
}

fn choices(vms: &[id::Vm], size: impl Fn(usize) -> u32) -> Vec<&id::Vm> {
    let subjects = (0..4_000).map(|n| format!("c/{n}"));
    let candidates = |at: usize| Candidate {
        vm: &vms[at],
        size: size(at),
    };
    subjects
        .map(|s| choose(&s, (0..vms.len()).map(candidates)).unwrap())
        .collect()
}

#[test]
fn a_vm_gets_a_share_in_proportion_to_its_size() {
    let vms = vms(4);
    let chosen = choices(&vms, |at| if at == 0 { 3 } else { 1 });
    let first = chosen.iter().filter(|vm| ***vm == vms[0]).count();
    assert!(
        (1_850..2_150).contains(&first),
        "3 of 6 parts of 4000, got {first}"
    );
}

// A VM leaves. Each shard that moved between the remaining VMs would cost an unnecessary handover.
#[test]
fn only_the_share_of_a_removed_vm_moves() {
    let vms = vms(5);
    let before = choices(&vms, |_| 1);
    let after = choices(&vms, |at| u32::from(at != 2));
    for (before, after) in before.iter().zip(&after) {
        assert!(before == after || **before == vms[2]);
        assert_ne!(**after, vms[2]);
    }
}

#[test]
fn the_first_of_several_is_the_one_chosen() {
    let vms = vms(5);
    let all = || vms.iter().map(|vm| Candidate { vm, size: 1 });
    let first = choose_several("config", all(), 2);
    assert_eq!(first.len(), 2);
    assert_ne!(first[0], first[1]);
    assert_eq!(Some(first[0]), choose("config", all()));
    assert_eq!(choose("config", []), None);
}
