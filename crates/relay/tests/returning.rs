//! When VMs that have all been restarted admit the requests of workspaces with a limit again. Seeds are
//! fixed, so the results are deterministic.

use fleet_model::world::LISTED_MS;
use fleet_model::world::Size;
use fleet_model::world::World;
use relay::usage;
use rstest::rstest;

mod fleet_model;

const VMS: usize = 71;
/// How long the VMs are without power.
const DARK_MS: u64 = 1_100;
/// The time in which the VMs are looked at after their start, and how often.
const SPAN_MS: u64 = 3_000;
const STEP_MS: u64 = 10;

/// Starts a fleet and restarts all of its VMs.
fn restarted(centres: usize, seed: u64) -> World {
    let mut world = World::new(Size {
        vms: VMS,
        runners: 20,
        centres,
        under_way: 2,
        seed,
    });
    world.run(LISTED_MS);
    for vm in 0..VMS {
        world.kill(vm);
    }
    world.run(DARK_MS);
    for vm in 0..VMS {
        world.start(vm);
    }
    world
}

/// Returns whether a VM knows of others and admits requests of workspaces with a limit.
fn knows_others(world: &World, vm: usize) -> bool {
    let process = world.vms[vm].process.as_ref().expect("the VM runs");
    usage::fleet(&process.node).vms > 1 && usage::knows_others(&process.node)
}

/// Guards against VMs that admit requests, refuse all of them a moment later, and tell each caller to come back
/// after a second.
#[rstest]
fn a_vm_that_knows_the_others_goes_on_knowing_them(
    #[values(3, 4)] centres: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut world = restarted(centres, seed);
    let mut knew = [false; VMS];
    let mut lost = Vec::new();
    for step in 0..SPAN_MS / STEP_MS {
        world.run(STEP_MS);
        for (vm, knew) in knew.iter_mut().enumerate() {
            let knows = knows_others(&world, vm);
            if *knew && !knows {
                lost.push((step * STEP_MS, vm));
            }
            *knew = knows;
        }
    }
    assert_eq!(lost, []);
}
