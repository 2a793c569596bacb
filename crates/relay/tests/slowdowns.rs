//! Whether all VMs know in time how fast the runners' machines are, with VMs that die and links that
//! are cut. Seeds are fixed, so the results are deterministic.

use adapter::runner::Load;
use fleet_model::network::Host;
use fleet_model::world::CENTRES;
use fleet_model::world::LISTED_MS;
use fleet_model::world::World;
use policy::slowdown::MAX_AGE;
use policy::slowdown::Reading;
use relay::exchange::outgoing;
use relay::exchange::outgoing::Message;
use relay::peers::Recipient;
use relay::peers::Status;
use rstest::rstest;
use wire::clock::Millis;

mod fleet_model;

/// Time after which a reading is of little use to a request, in milliseconds: half of a slowdown.
const USEFUL_MS: u64 = 300;
/// VMs of a fleet without hubs.
const DIRECT_VMS: usize = 6;
/// VMs of a fleet with a hub in each data centre.
const HUB_VMS: usize = 48;

fn runner_id(world: &World) -> String {
    let process = world.vms[0].process.as_ref().expect("the VM runs");
    process.node.fleet().runners()[3].id.clone()
}

/// Has a VM read a runner's figure.
fn read(world: &World, vm: usize, runner: &str, percent: u32) {
    let process = world.vms[vm].process.as_ref().expect("the VM runs");
    let load = Load {
        running: 0,
        waiting: 0,
        slots: 16,
        slowdown_percent: Some(percent),
    };
    let mut fleet = process.node.fleet();
    let runner = fleet.runner(runner).expect("the runner is known");
    runner.note_load(load, Millis::new(world.now()));
}

/// Returns what a VM goes by.
fn known(world: &World, vm: usize, runner: &str) -> Option<Reading> {
    let process = world.vms[vm].process.as_ref().expect("the VM runs");
    let mut fleet = process.node.fleet();
    let reading = fleet.runner(runner)?.slowdown()?;
    reading
        .is_valid(Millis::new(world.now()))
        .then_some(reading)
}

fn knows(world: &World, vm: usize, runner: &str, percent: u32) -> bool {
    known(world, vm, runner).is_some_and(|reading| reading.percent == percent)
}

fn assert_known(world: &mut World, runner: &str, percent: u32) {
    let all_know = |world: &World| {
        let mut vms = world.running_vms();
        vms.all(|vm| knows(world, vm, runner, percent))
    };
    let took = world.run_until(USEFUL_MS, all_know);
    let missing = world
        .running_vms()
        .filter(|vm| !knows(world, *vm, runner, percent));
    assert!(
        took.is_some(),
        "{percent}: {:?}",
        missing.collect::<Vec<_>>()
    );
}

/// Returns a VM's message to another one.
fn message(world: &World, vm: usize, to: usize) -> Message {
    let process = world.vms[vm].process.as_ref().expect("the VM runs");
    let recipient = Recipient {
        stamp: None,
        cursor: None,
    };
    outgoing::message(
        &process.node,
        &world.vms[to].name,
        &Status::default(),
        recipient,
    )
}

/// Guards against VMs that send requests to a slow machine though others know, or avoid it though
/// others know that it is fast again.
#[rstest]
fn all_vms_learn_of_a_slowdown_and_its_end_in_time(
    #[values(DIRECT_VMS, HUB_VMS)] vms: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut world = World::listed(vms, seed);
    let runner = runner_id(&world);
    read(&world, 1, &runner, 250);
    assert_known(&mut world, &runner, 250);
    read(&world, vms - 1, &runner, 100);
    assert_known(&mut world, &runner, 100);
}

/// Guards against readings that VMs tell each other for ever, ever again as new ones.
#[rstest]
fn a_reading_is_forgotten(#[values(DIRECT_VMS, HUB_VMS)] vms: usize, #[values(1, 2)] seed: u64) {
    let mut world = World::listed(vms, seed);
    let runner = runner_id(&world);
    read(&world, 1, &runner, 250);
    world.run(MAX_AGE.as_u64() + USEFUL_MS);
    let late: Vec<usize> = world
        .running_vms()
        .filter(|vm| known(&world, *vm, &runner).is_some())
        .collect();
    assert_eq!(late, Vec::<usize>::new());
    assert_eq!(message(&world, 0, 1).slowdowns, []);
}

/// Guards against VMs that learn nothing any more after their hub has died.
#[rstest]
fn readings_reach_the_vms_of_a_hub_that_died(#[values(1, 2)] seed: u64) {
    let mut world = World::listed(HUB_VMS, seed);
    let runner = runner_id(&world);
    let hub = world.hub(0);
    world.kill(hub);
    let reader = world.running_vms().find(|vm| vm % CENTRES == 1);
    let reader = reader.expect("VMs of other data centres run");
    world.run(LISTED_MS);
    read(&world, reader, &runner, 250);
    assert_known(&mut world, &runner, 250);
}

/// Guards against a cut after which older readings replace those that were made meanwhile.
#[test]
fn the_newer_reading_counts_after_a_cut() {
    let mut world = World::listed(HUB_VMS, 1);
    let runner = runner_id(&world);
    let (here, there): (Vec<usize>, Vec<usize>) = (0..HUB_VMS).partition(|vm| vm % CENTRES == 0);
    let hosts = |vms: &[usize]| vms.iter().map(|vm| Host::Vm(*vm)).collect::<Vec<Host>>();
    world.cut_both_ways(&hosts(&here), &hosts(&there));
    read(&world, here[1], &runner, 250);
    world.run(USEFUL_MS);
    assert!(here.iter().all(|vm| knows(&world, *vm, &runner, 250)));
    assert!(there.iter().all(|vm| known(&world, *vm, &runner).is_none()));
    read(&world, there[1], &runner, 300);
    world.run(100);
    world.network.heal();
    assert_known(&mut world, &runner, 300);
}

/// Guards against bytes that deployments pay for whose runners don't tell, and against messages that
/// VMs of an older release can't read.
#[test]
fn only_readings_take_bytes() {
    let world = World::listed(DIRECT_VMS, 1);
    let runner = runner_id(&world);
    let without = message(&world, 0, 1);
    assert_eq!(without.slowdowns, []);
    read(&world, 0, &runner, 250);
    let with = message(&world, 0, 1);
    assert_eq!(with.slowdowns.len(), 1);
    let bytes = outgoing::encode(&with).expect("a message can be encoded");
    let bare = Message {
        slowdowns: Vec::new(),
        ..with.clone()
    };
    let older = outgoing::encode(&bare).expect("a message can be encoded");
    assert!(bytes.starts_with(&older), "what is new is appended");
    assert!(bytes.len() - older.len() <= 12, "{}", bytes.len());
    for (encoded, told) in [(bytes, with.slowdowns), (older, Vec::new())] {
        let decoded = outgoing::decode(&encoded).expect("it can be read");
        assert_eq!(decoded.slowdowns, told);
        let again = outgoing::encode(&decoded).expect("a message can be encoded");
        assert_eq!(again, encoded, "nothing else changed");
    }
}
