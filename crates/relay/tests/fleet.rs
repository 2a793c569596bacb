//! The fleet at size: dozens of VMs that agree on runners and configuration while hubs die, halves
//! can't hear each other, VMs are added and all restart. Fixed seeds; the verdict never varies.

use fleet_model::network::End;
use fleet_model::world::Size;
use fleet_model::world::World;
use rstest::rstest;

mod fleet_model;

/// How soon a leaving runner has to be free of new calls and a configuration in force, in
/// milliseconds.
const BOUND: u64 = 2_000;
/// How long a VM has to have had contact before the bounds hold for it, in milliseconds.
const CONTACT: u64 = 3_000;
/// How long VMs need to be on the list of each other: the service's copies are two seconds old, and
/// with some dozens of VMs they are read every few seconds.
const LISTED: u64 = 8_000;
const CENTRES: usize = 3;

fn fleet(vms: usize, seed: u64) -> World {
    let mut world = World::new(Size {
        vms,
        runners: 30,
        centres: CENTRES,
        under_way: 8,
        seed,
    });
    world.run(LISTED);
    assert_eq!(world.disagreeing(), [""; 0]);
    world
}

/// A configuration, a runner that leaves and one that comes.
struct Changes {
    leaves: String,
    comes: String,
}

impl Changes {
    fn make(world: &mut World, leaves: usize) -> Self {
        world.configure();
        Self {
            leaves: world.leave_runner(leaves),
            comes: world.enter_runner(),
        }
    }

    fn are_known(&self, world: &World) -> bool {
        world.agree_on_config()
            && world.agree_to_drop(&self.leaves)
            && world.agree_to_use(&self.comes)
    }

    /// Fails where not all living VMs know of them within `most` milliseconds.
    fn assert_known(&self, world: &mut World, most: u64) {
        let known = world.run_until(most, |world| self.are_known(world));
        let at = world.since_start();
        assert!(
            known.is_some(),
            "at {at}: config {} leaves {} comes {}",
            world.agree_on_config(),
            world.agree_to_drop(&self.leaves),
            world.agree_to_use(&self.comes)
        );
    }
}

/// Fails where a runner that left was put back, or a VM was asked by more than those that may within
/// a second: those of its data centre, and as many others while data centres look for their hubs.
fn assert_sound(world: &World) {
    assert_eq!(world.returns, [], "runners that left are used again");
    let of_centre = world.vms.len().div_ceil(CENTRES);
    for vm in &world.vms {
        let askers = vm.count.most_askers;
        assert!(askers <= 2 * of_centre, "{}: {askers} askers", vm.name);
    }
}

/// Fails where a VM's requests aren't known to all others within [`BOUND`].
fn assert_counted(world: &mut World, vm: usize) {
    let runner = "r-0029";
    world.set_requests(vm, runner, 2_000);
    let all = world.run_until(BOUND, |world| world.counting_less(runner, 1_000).is_empty());
    assert!(all.is_some(), "{:?}", world.counting_less(runner, 1_000));
    world.set_requests(vm, runner, 0);
    world.run(BOUND);
    assert_eq!(world.counting(runner, 1_000), [""; 0]);
}

/// A configuration changes, a runner leaves and one comes, just as a hub is killed, one after the
/// other. Its VMs hear nothing for a second, then another one takes over. None may use what is gone
/// for longer than on a quiet day.
#[rstest]
fn hubs_are_killed_one_after_the_other(#[values(1, 2, 3)] seed: u64) {
    let mut world = fleet(48, seed);
    for hub in 0..4 {
        world.kill(hub);
        let changes = Changes::make(&mut world, hub);
        changes.assert_known(&mut world, BOUND);
        world.run(BOUND);
        world.remove_runner(&changes.leaves);
    }
    world.run(LISTED);
    assert_eq!(world.disagreeing(), [""; 0]);
    assert_sound(&world);
}

/// The hub of one data centre is killed, and its successor has never heard the other hubs, nor they
/// it. Unless one of them asks, no data centre hears of the other's requests again, and each fills
/// runners that the other has filled.
#[rstest]
fn data_centres_hear_each_other_after_a_hub_is_killed(#[values(1, 2, 3)] seed: u64) {
    let mut world = fleet(48, seed);
    assert_counted(&mut world, 30);
    world.kill(0);
    world.run(CONTACT);
    assert_counted(&mut world, 30);
    world.kill(1);
    world.kill(3);
    world.run(CONTACT);
    assert_counted(&mut world, 31);
    assert_sound(&world);
}

/// A data centre can't hear the others, nor the service; later it can. Meanwhile the others go on by
/// the bounds, and after it all do.
#[rstest]
#[case::the_first(0)]
#[case::the_last(2)]
fn a_data_centre_is_cut_off_and_comes_back(#[case] centre: usize, #[values(1, 2)] seed: u64) {
    let mut world = fleet(36, seed);
    let (cut, rest): (Vec<usize>, Vec<usize>) = (0..36).partition(|vm| vm % CENTRES == centre);
    let cut: Vec<End> = cut.into_iter().map(End::Vm).collect();
    let mut rest: Vec<End> = rest.into_iter().map(End::Vm).collect();
    rest.push(End::Store);
    world.cut_apart(&cut, &rest);
    let changes = Changes::make(&mut world, 0);
    let outside = |world: &World| {
        let of_rest = |vm: &usize| vm % CENTRES != centre;
        world.living().filter(of_rest).all(|vm| {
            let process = world.vms[vm].process.as_ref();
            process.is_some_and(|process| !process.uses(&changes.leaves))
        })
    };
    assert!(world.run_until(BOUND, outside).is_some());
    world.run(20_000);
    world.remove_runner(&changes.leaves);
    world.network.heal();
    changes.assert_known(&mut world, CONTACT + BOUND);
    Changes::make(&mut world, 1).assert_known(&mut world, BOUND);
    world.run(LISTED);
    assert_counted(&mut world, centre + 15);
    assert_sound(&world);
}

/// VMs of each data centre can't hear the other half, while all hear the service. Both halves go on
/// by the bounds, and when they hear each other again, none puts a runner back that left.
#[rstest]
#[case::both_ways(true)]
#[case::one_way(false)]
fn halves_that_cannot_hear_each_other(#[case] both: bool, #[values(1, 2)] seed: u64) {
    let mut world = fleet(36, seed);
    let half = |odd: usize| -> Vec<End> {
        let of_half = (0..36).filter(|vm| (vm / CENTRES) % 2 == odd);
        of_half.map(End::Vm).collect()
    };
    world.cut_off(&half(0), &half(1));
    if both {
        world.cut_off(&half(1), &half(0));
    }
    for leaves in 0..3 {
        let changes = Changes::make(&mut world, leaves);
        changes.assert_known(&mut world, BOUND);
        world.run(3_000);
        world.remove_runner(&changes.leaves);
    }
    world.network.heal();
    Changes::make(&mut world, 3).assert_known(&mut world, BOUND);
    world.run(LISTED);
    assert_counted(&mut world, 20);
    assert_sound(&world);
}

/// A few VMs that all ask each other become dozens, ten at a time, and for seconds some think that
/// they are few while others already have hubs.
#[rstest]
fn vms_are_added_by_tens(#[values(1, 2, 3)] seed: u64) {
    let mut world = fleet(8, seed);
    for leaves in 0..4 {
        world.add(10);
        world.run(1_000);
        let changes = Changes::make(&mut world, leaves);
        changes.assert_known(&mut world, BOUND);
        world.run(1_000);
        world.remove_runner(&changes.leaves);
    }
    world.run(2 * LISTED);
    assert_eq!(world.disagreeing(), [""; 0]);
    assert_counted(&mut world, 47);
    assert_sound(&world);
}

/// All processes end and start at once. Each knows nothing, and what the first ones hear of each
/// other mustn't bring a runner back that was removed while all were away.
#[rstest]
fn all_are_restarted_at_once(#[values(1, 2, 3)] seed: u64) {
    let mut world = fleet(48, seed);
    let leaves = world.leave_runner(5);
    for vm in 0..48 {
        world.kill(vm);
    }
    world.run(300);
    world.remove_runner(&leaves);
    for vm in 0..48 {
        world.start(vm);
    }
    world.run(200);
    let changes = Changes::make(&mut world, 6);
    changes.assert_known(&mut world, BOUND);
    assert!(world.agree_to_drop(&leaves));
    world.run(LISTED);
    assert_counted(&mut world, 40);
    assert_sound(&world);
}

/// What a VM sends in a second, on average: messages and bytes.
fn sent(vms: usize) -> (f64, f64) {
    let mut world = fleet(vms, 1);
    world.clear_counts();
    world.run(5_000);
    let mean = |sum: u64| f64::from(u32::try_from(sum).expect("some megabytes")) / 5.0;
    let messages: u64 = world.vms.iter().map(|vm| vm.count.messages()).sum();
    let bytes: u64 = world.vms.iter().map(|vm| vm.count.bytes()).sum();
    let vms = f64::from(u32::try_from(vms).expect("some hundred"));
    (mean(messages) / vms, mean(bytes) / vms)
}

/// With twice as many VMs at the same runners a VM sends no more, so that the whole doesn't grow
/// with the square of their number.
#[test]
fn what_a_vm_sends_does_not_grow_with_their_number() {
    let (few, many) = (sent(24), sent(96));
    assert!(many.0 <= few.0 * 1.25, "messages {few:?} {many:?}");
    assert!(many.1 <= few.1 * 1.25, "bytes {few:?} {many:?}");
}
