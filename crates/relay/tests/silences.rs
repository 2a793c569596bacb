//! Whether all VMs hear in time which runners were found silent, and what that takes. Seeds are fixed, so
//! the results are deterministic.

use fleet_model::world::World;
use relay::exchange::outgoing;
use relay::exchange::outgoing::Message;
use relay::peers::Recipient;
use relay::peers::Status;
use rstest::rstest;
use wire::clock::Millis;

mod fleet_model;

/// Time in which all VMs hear, in milliseconds: before the balancer moves callers.
const HEARD_MS: u64 = 500;
/// VMs of a fleet without hubs.
const DIRECT_VMS: usize = 6;
/// VMs of a fleet with a hub in each data centre.
const HUB_VMS: usize = 48;
/// Exchanges a second of a VM in a data centre with 40 VMs, both messages of each.
const MESSAGES_PER_SECOND: usize = 2 * 9;
/// What a VM may use for control, in bytes a second.
const CONTROL_BYTES_PER_SECOND: usize = 4_000;
/// Runners of a data centre, both services.
const CENTRE_RUNNERS: usize = 18;

/// Returns the message of a VM to another one.
fn message(world: &World, vm: usize, to: usize) -> Message {
    let process = world.vms[vm].process.as_ref().expect("the VM runs");
    let recipient = Recipient {
        stamp: None,
        cursor: None,
    };
    let to = &world.vms[to].name;
    outgoing::message(&process.node, to, &Status::default(), recipient)
}

fn suspects(world: &World, vm: usize, runner: &str) -> bool {
    let process = world.vms[vm].process.as_ref().expect("the VM runs");
    let now = Millis::new(world.now());
    process.node.fleet().is_suspected(runner, now)
}

/// Has a VM find runners silent. Returns them.
fn find_silent(world: &World, vm: usize, count: usize) -> Vec<String> {
    let process = world.vms[vm].process.as_ref().expect("the VM runs");
    let mut fleet = process.node.fleet();
    let ids = fleet.runners().iter().map(|runner| runner.id.clone());
    let ids: Vec<String> = ids.take(count).collect();
    let now = Millis::new(world.now());
    for id in &ids {
        fleet.note_silent(id, now.since(Millis::new(250)), now);
    }
    ids
}

/// Guards against VMs that lose requests to runners of which another one knows that they are silent.
#[rstest]
fn all_vms_hear_in_time(#[values(DIRECT_VMS, HUB_VMS)] vms: usize, #[values(1, 2)] seed: u64) {
    let mut world = World::listed(vms, seed);
    let silent = find_silent(&world, 1, 1);
    world.run(HEARD_MS);
    let others = world.running_vms().filter(|vm| *vm != 1);
    let deaf: Vec<usize> = others
        .filter(|vm| !suspects(&world, *vm, &silent[0]))
        .collect();
    assert_eq!(deaf, Vec::<usize>::new());
    world.run(2_000);
    assert_eq!(message(&world, 0, 1).silences, [], "it is news no more");
}

/// Guards against bytes in quiet times, more of them in a cut than a VM may use, and messages that VMs of
/// an older release can't read.
#[test]
fn only_silences_take_bytes() {
    let world = World::listed(DIRECT_VMS, 1);
    let without = message(&world, 0, 1);
    assert_eq!(without.silences, []);
    let silent = find_silent(&world, 0, CENTRE_RUNNERS);
    let with = message(&world, 0, 1);
    assert_eq!(with.silences.len(), silent.len());
    let bytes = outgoing::encode(&with).expect("a message can be encoded");
    let bare = Message {
        silences: Vec::new(),
        ..with.clone()
    };
    let older = outgoing::encode(&bare).expect("a message can be encoded");
    assert!(bytes.starts_with(&older), "what is new is appended");
    let added = bytes.len() - older.len();
    assert!(
        added * MESSAGES_PER_SECOND < CONTROL_BYTES_PER_SECOND,
        "{added}"
    );
    for (encoded, told) in [(bytes, with.silences), (older, Vec::new())] {
        let decoded = outgoing::decode(&encoded).expect("it can be read");
        assert_eq!(decoded.silences, told);
        let again = outgoing::encode(&decoded).expect("a message can be encoded");
        assert_eq!(again, encoded, "nothing else changed");
    }
}
