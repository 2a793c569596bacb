use wire::clock::Millis;

use super::Lifecycle;
use super::MAX_DIRECT_PEERS;
use super::Peers;
use super::Role;
use super::Status;

const NOW: Millis = Millis::new(10_000);

fn peers(count: usize) -> Peers {
    let mut peers = Peers::default();
    for number in 0..count {
        let centre = ["a", "b", "c"][number % 3];
        let vm = format!("vm-{number:03}");
        peers.set(&vm, centre, ([127, 0, 0, 1], 7000).into(), NOW);
    }
    peers
}

fn asked(peers: &Peers, own: &str, centre: &str, now: Millis) -> Vec<String> {
    let asked = peers.exchange_targets(own, centre, now).into_iter();
    asked.map(|peer| peer.vm).collect()
}

#[test]
fn few_vms_exchange_pairwise() {
    let peers = peers(6);
    assert_eq!(peers.exchange_role("vm-000", "a", NOW), Role::Direct);
    assert_eq!(asked(&peers, "vm-003", "a", NOW), ["vm-004", "vm-005"]);
    assert!(asked(&peers, "vm-005", "c", NOW).is_empty());
}

#[test]
fn many_vms_exchange_through_hubs() {
    let peers = peers(MAX_DIRECT_PEERS + 60);
    assert_eq!(asked(&peers, "vm-030", "a", NOW), ["vm-000"]);
    assert_eq!(asked(&peers, "vm-000", "a", NOW), ["vm-001", "vm-002"]);
    assert_eq!(peers.exchange_role("vm-000", "a", NOW), Role::Hub);
}

/// A hub freezes. The VMs of its data centre no longer learn of other VMs' requests and would all
/// pick the same idle runner. The next VM takes over within a second, and steps back when the hub
/// is heard again.
#[test]
fn silent_hub_is_skipped() {
    let mut peers = peers(MAX_DIRECT_PEERS + 60);
    let later = Millis::new(11_500);
    for number in 1..MAX_DIRECT_PEERS + 60 {
        peers.note_status(&format!("vm-{number:03}"), Status::default(), later);
    }
    assert_eq!(asked(&peers, "vm-030", "a", later), ["vm-000", "vm-003"]);
    assert_eq!(peers.exchange_role("vm-003", "a", later), Role::Hub);
    assert!(asked(&peers, "vm-003", "a", later).contains(&"vm-000".to_owned()));
    peers.note_status("vm-000", Status::default(), later);
    assert_eq!(peers.exchange_role("vm-003", "a", later), Role::Leaf);
    assert_eq!(asked(&peers, "vm-030", "a", later), ["vm-000"]);
}

/// A hub dies, and its leaves have never heard each other. If each leaf asked all VMs that sort
/// before it, or if all leaves asked those of other data centres at once, the death of a hub would
/// cost messages by the square of the number of VMs.
#[test]
fn leaves_without_a_hub_ask_few_vms() {
    let peers = peers(MAX_DIRECT_PEERS + 60);
    let later = Millis::new(11_500);
    for number in 1..MAX_DIRECT_PEERS + 60 {
        let own_name = format!("vm-{number:03}");
        let asked = asked(&peers, &own_name, ["a", "b", "c"][number % 3], later);
        assert!(asked.len() <= 9, "{own_name}: {asked:?}");
    }
}

#[test]
fn vm_with_a_lapsed_entry_is_forgotten_after_a_while() {
    let mut peers = peers(3);
    peers.mark_lapsed("vm-000", NOW);
    assert!(peers.is_first("vm-003", "a", NOW));
    peers.forget_lapsed(Millis::new(15_000));
    assert!(peers.peer("vm-000").is_some());
    peers.forget_lapsed(Millis::new(21_000));
    assert!(peers.peer("vm-000").is_none());
}

/// One VM reads the runners' entries for all and is cut off or killed. The next one by name takes
/// over within a second, before the knowledge of the other VMs is stale.
#[test]
fn next_vm_takes_over_from_a_silent_reader() {
    let mut peers = peers(6);
    assert!(peers.is_reader("vm-000", NOW));
    assert!(!peers.is_reader("vm-001", NOW));
    let later = Millis::new(11_100);
    for vm in ["vm-002", "vm-003"] {
        peers.note_status(vm, Status::default(), later);
    }
    assert!(peers.is_reader("vm-001", later), "the first is silent");
    assert!(!peers.is_reader("vm-003", later));
}

/// A runner's entry is removed while the VM that reads the entries for all is stopping, and the
/// next one by name as well. If each were considered the reader until it had been silent for a
/// second, the other VMs would learn of the removal more than two seconds later, and send requests
/// to a runner that is gone.
#[test]
fn readers_that_stop_are_not_waited_for() {
    let mut peers = peers(6);
    let stopping = Status {
        lifecycle: Lifecycle::Stops,
        ..Status::default()
    };
    for vm in ["vm-000", "vm-001"] {
        peers.note_status(vm, stopping, NOW);
    }
    assert!(peers.is_reader("vm-002", NOW));
    assert!(!peers.is_reader("vm-003", NOW));
    peers.note_status("vm-000", Status::default(), NOW);
    assert!(!peers.is_reader("vm-002", NOW), "the first is back");
}
