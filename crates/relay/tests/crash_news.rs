//! How long it takes until dozens of VMs know of a crash that one of them saw. Seeds are fixed, so
//! the results are deterministic.

use fleet_model::world::World;
use relay::crashes::news::Change;
use relay::crashes::news::News;
use rstest::rstest;
use wire::clock::Millis;

mod fleet_model;

/// Time after which no VM may send a refused content to a runner any more, in milliseconds.
const CONTACT_MS: u64 = 3_000;
/// VMs of a fleet without hubs.
const DIRECT_VMS: usize = 6;
/// VMs of a fleet with a hub in each data centre.
const HUB_VMS: usize = 48;
const CONTENT: u128 = 7;

/// Has a VM see the crash of a runner.
fn see_crash(world: &World, vm: usize, runner: u64) {
    let process = world.vms[vm].process.as_ref().expect("the VM runs");
    let node = &process.node;
    let news = News {
        process: 1,
        changes: vec![Change {
            content: CONTENT,
            crashed: Some(runner),
            age: 0,
        }],
        through: runner,
        ..News::default()
    };
    let now = node.clock.now();
    node.crashes().apply("a stand-in", &news, 1, now);
}

/// Returns how many crashes a VM knows.
fn known(world: &World, vm: usize) -> usize {
    let process = world.vms[vm].process.as_ref().expect("the VM runs");
    let node = &process.node;
    let now = Millis::new(world.now());
    node.crashes().news("nobody", 1, now).changes.len()
}

fn assert_known(world: &mut World, crashes: usize) {
    let all_know = |world: &World| world.running_vms().all(|vm| known(world, vm) == crashes);
    let took = world.run_until(CONTACT_MS, all_know);
    let counts: Vec<usize> = world.running_vms().map(|vm| known(world, vm)).collect();
    assert!(took.is_some(), "{counts:?}");
}

/// Guards against VMs that send a content to runners though others know that it crashes them.
#[rstest]
fn all_vms_learn_of_crashes_in_time(
    #[values(DIRECT_VMS, HUB_VMS)] vms: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut world = World::listed(vms, seed);
    see_crash(&world, 1, 1);
    see_crash(&world, vms - 1, 2);
    assert_known(&mut world, 2);
    see_crash(&world, 2, 3);
    let killed = if vms == DIRECT_VMS { 0 } else { world.hub(0) };
    world.kill(killed);
    assert_known(&mut world, 3);
}

/// Guards against a VM that has restarted and isn't told what it knew before.
#[rstest]
fn a_vm_that_starts_learns_of_crashes_in_time(#[values(DIRECT_VMS, HUB_VMS)] vms: usize) {
    let mut world = World::listed(vms, 1);
    see_crash(&world, 1, 1);
    assert_known(&mut world, 1);
    for vm in [0, 2, vms - 1] {
        world.kill(vm);
        world.run(1_000);
        world.start(vm);
    }
    world.run(1_000);
    assert_known(&mut world, 1);
}

/// Guards against VMs that repeat to each other for ever what both know.
#[rstest]
fn what_both_know_is_not_sent_again(#[values(DIRECT_VMS, HUB_VMS)] vms: usize) {
    let mut world = World::listed(vms, 1);
    for runner in 1..=5 {
        see_crash(&world, 1, runner);
    }
    assert_known(&mut world, 5);
    world.run(CONTACT_MS);
    let names: Vec<&str> = world.vms.iter().map(|vm| vm.name.as_str()).collect();
    let mut pairs = 0;
    for vm in &world.vms {
        let process = vm.process.as_ref().expect("the VM runs");
        for name in &names {
            let news = process
                .node
                .crashes()
                .news(name, 1, Millis::new(world.now()));
            if news.heard != 0 {
                pairs += 1;
                assert_eq!(news.changes, [], "{} to {name}", vm.name);
            }
        }
    }
    assert!(pairs >= vms, "{pairs} pairs exchange news");
}
