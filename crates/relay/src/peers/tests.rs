use wire::clock::Millis;

use super::Access;
use super::Lifecycle;
use super::MAX_DIRECT_PEERS;
use super::Peers;
use super::Role;
use super::Status;
use crate::directory::Entry;
use crate::directory::SLOTS;
use crate::subject;

const NOW: Millis = Millis::new(10_000);

const CENTRES: [&str; 3] = ["a", "b", "c"];

fn entry(number: usize, capacity: u64) -> Entry {
    let centre = CENTRES[number % 3];
    Entry {
        key: subject::directory_key(centre, number),
        revision: 1,
        vm: format!("vm-{number:03}"),
        centre: centre.to_owned(),
        address: ([127, 0, 0, 1], 7000).into(),
        capacity,
    }
}

/// Peers of a VM that is in the directory itself.
fn peers(count: usize) -> Peers {
    let mut peers = Peers::default();
    let entries: Vec<Entry> = (0..count).map(|number| entry(number, 0)).collect();
    peers.apply(&entries, NOW);
    peers.own.is_listed = true;
    peers
}

fn note(peers: &mut Peers, number: usize, status: Status, now: Millis) {
    let vm = format!("vm-{number:03}");
    peers.note_status(&vm, CENTRES[number % 3], status, now);
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
        note(&mut peers, number, Status::default(), later);
    }
    assert_eq!(asked(&peers, "vm-030", "a", later), ["vm-000", "vm-003"]);
    assert_eq!(peers.exchange_role("vm-003", "a", later), Role::Hub);
    assert!(asked(&peers, "vm-003", "a", later).contains(&"vm-000".to_owned()));
    note(&mut peers, 0, Status::default(), later);
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
    peers.own.vm = "vm-003".to_owned();
    peers.apply(&[entry(1, 0), entry(2, 0), entry(3, 0)], NOW);
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
    for number in [2, 3] {
        note(&mut peers, number, Status::default(), later);
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
    for number in [0, 1] {
        note(&mut peers, number, stopping, NOW);
    }
    assert!(peers.is_reader("vm-002", NOW));
    assert!(!peers.is_reader("vm-003", NOW));
    note(&mut peers, 0, Status::default(), NOW);
    assert!(!peers.is_reader("vm-002", NOW), "the first is back");
}

/// VMs of a tenth of a core sort first by name. As a hub, such a VM would spend its processor on
/// exchanges and answer its callers late.
#[test]
fn largest_vm_is_the_hub() {
    let mut peers = Peers::default();
    let entries: Vec<Entry> = (0..3 * SLOTS)
        .map(|number| entry(number, if number == 12 { 500 } else { 90 }))
        .collect();
    peers.apply(&entries, NOW);
    assert_eq!(asked(&peers, "vm-100", "a", NOW), ["vm-012"]);
    assert_eq!(peers.exchange_role("vm-100", "a", NOW), Role::Leaf);
}

/// A VM without an entry sorts first by name. If it took itself for the hub, none of the others
/// would know of it, and its requests would go to runners that they have filled.
#[test]
fn vm_without_an_entry_is_a_leaf() {
    let mut peers = peers(3 * SLOTS);
    peers.own.is_listed = false;
    assert_eq!(peers.exchange_role("vm", "a", NOW), Role::Leaf);
    assert_eq!(asked(&peers, "vm", "a", NOW), ["vm-000"]);
    assert!(!peers.is_reader("vm", NOW));
    assert!(peers.is_in_centre("vm-003", "a"));
}

/// A hub hears a VM that isn't in the directory. If it didn't count it to its data centre, that
/// VM's requests would be passed on to nobody.
#[test]
fn hub_counts_vms_without_an_entry() {
    let mut peers = peers(3 * SLOTS);
    peers.note_status("leaf", "a", Status::default(), NOW);
    assert!(peers.is_in_centre("leaf", "a"));
    assert!(!peers.is_in_centre("leaf", "b"));
    assert_eq!(peers.count_in("a"), 7);
    peers.forget_lapsed(Millis::new(14_000));
    assert!(!peers.is_in_centre("leaf", "a"));
}

/// A leaf knows only the VMs of the directory. If it exchanged as often as in a data centre of that
/// size, its hub would get hundreds of messages a second.
#[test]
fn leaf_slows_down_as_its_hub_tells() {
    let mut peers = peers(3 * SLOTS);
    assert_eq!(peers.pause_factor(), 1);
    let status = Status {
        centre_vms: 60,
        ..Status::default()
    };
    note(&mut peers, 0, status, NOW);
    assert_eq!(peers.pause_factor(), 3);
}

/// The service refuses the VM that reads the runners' entries for all, and serves the others. If
/// they waited for it, each would read the entries itself as soon as its knowledge is stale.
#[test]
fn reader_without_access_is_not_waited_for() {
    let mut peers = peers(6);
    let failing = Status {
        access: Access::Failing,
        ..Status::default()
    };
    note(&mut peers, 0, failing, NOW);
    assert!(peers.is_reader("vm-001", NOW));
    note(&mut peers, 0, Status::default(), NOW);
    assert!(!peers.is_reader("vm-001", NOW));
}

/// The service refuses a hub that still answers its leaves, or has failed for all. Some leaf has to
/// try before long, and never most of them at once.
#[test]
fn few_leaves_read_for_a_stale_hub() {
    let status = Status {
        centre_vms: 40,
        ..Status::default()
    };
    let leaf = |number: usize| {
        let mut peers = peers(3 * SLOTS);
        peers.own.vm = format!("leaf-{number}");
        peers.own.centre = "a".to_owned();
        note(&mut peers, 0, status, NOW);
        peers
    };
    let leaves: Vec<Peers> = (0..40).map(leaf).collect();
    let reading = |at: u64| {
        let now = Millis::new(at);
        leaves
            .iter()
            .filter(|leaf| leaf.reads_for_stale_hub(now))
            .count()
    };
    let counts: Vec<usize> = (0..10).map(|round| reading(10_000 + round * 400)).collect();
    assert!(counts.iter().all(|count| *count <= 10), "{counts:?}");
    assert!(counts[..3].iter().sum::<usize>() > 0, "{counts:?}");
}
