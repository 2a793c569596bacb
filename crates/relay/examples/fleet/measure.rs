//! Plays one fleet: a quiet time in which is counted, then what happens to fleets.

use crate::fleet_model::count::Mechanism;
use crate::fleet_model::world::Size;
use crate::fleet_model::world::World;

/// How long a fleet has to settle after its start, in milliseconds.
const SETTLES: u64 = 10_000;
/// How long is counted, in seconds.
const COUNTED: u32 = 10;
/// How long agreement is waited for, in milliseconds.
const MOST: u64 = 60_000;
/// Requests by which a VM's count is recognised at others.
const MARK: u32 = 1_000;

/// The figures of one size.
#[derive(Clone, Debug)]
pub struct Figures {
    /// VMs.
    pub vms: usize,
    /// Runners.
    pub runners: usize,
    /// How long it took until all VMs agreed, by what happened; `None` where they didn't.
    pub agreed: Vec<(&'static str, Option<u64>)>,
    /// Messages and bytes a VM and second, on average.
    pub mechanisms: Vec<(&'static str, f64, f64)>,
    /// Bytes a VM and second, on average.
    pub mean_bytes: f64,
    /// Bytes a second of the VM with most.
    pub most_bytes: f64,
    /// Exchanges a second that the VM which is asked most serves.
    pub most_asked: f64,
    /// VMs that asked the same one within a second, at most.
    pub askers: usize,
    /// Processor time on building and reading messages, in per cent of a core: on average, and of the
    /// VM with most.
    pub processor: (f64, f64),
    /// Runners that left and were put back.
    pub returns: usize,
}

/// Plays a fleet.
#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a run stay far below 2^52"
)]
pub fn play(size: Size) -> Figures {
    let mut world = World::new(size);
    let started = world.run_until(MOST, |world| world.disagreeing().is_empty());
    world.run(SETTLES);
    world.clear_counts();
    world.run(u64::from(COUNTED) * 1_000);
    let seconds = f64::from(COUNTED);
    let vms = size.vms as f64;
    let counts: Vec<_> = world.vms.iter().map(|vm| vm.count.clone()).collect();
    let mechanisms = Mechanism::ALL.map(|of| {
        let messages: u64 = counts.iter().map(|count| count.sum(of).messages).sum();
        let bytes: u64 = counts.iter().map(|count| count.sum(of).bytes).sum();
        let each = vms * seconds;
        (of.name(), messages as f64 / each, bytes as f64 / each)
    });
    let bytes = counts.iter().map(|count| count.bytes() as f64 / seconds);
    let spent = counts
        .iter()
        .map(|count| count.spent.as_secs_f64() / seconds * 100.0);
    let asked = counts.iter().map(|count| count.asked as f64 / seconds);
    let mut figures = Figures {
        vms: size.vms,
        runners: size.runners,
        agreed: vec![("start", started)],
        mechanisms: mechanisms.into(),
        mean_bytes: bytes.clone().sum::<f64>() / vms,
        most_bytes: bytes.fold(0.0, f64::max),
        most_asked: asked.fold(0.0, f64::max),
        askers: 0,
        processor: (spent.clone().sum::<f64>() / vms, spent.fold(0.0, f64::max)),
        returns: 0,
    };
    figures.agreed.extend(happen(&mut world));
    let askers = world.vms.iter().map(|vm| vm.count.most_askers);
    figures.askers = askers.max().unwrap_or(0);
    figures.returns = world.returns.len();
    figures
}

/// Has things happen one after the other; yields how long each took until all VMs knew.
fn happen(world: &mut World) -> Vec<(&'static str, Option<u64>)> {
    world.configure();
    let config = world.run_until(MOST, World::agree_on_config);
    let leaves = world.leave_runner(0);
    let left = world.run_until(MOST, |world| world.agree_to_drop(&leaves));
    let comes = world.enter_runner();
    let came = world.run_until(MOST, |world| world.agree_to_use(&comes));
    let counted = count(world, &comes);
    let hub_config = after_hub_dies(world);
    let hub_counted = count(world, &comes);
    vec![
        ("config", config),
        ("runner left", left),
        ("runner came", came),
        ("counts", counted),
        ("config, hub killed", hub_config),
        ("counts, hub killed", hub_counted),
    ]
}

/// Kills the first VM, just as a configuration comes.
fn after_hub_dies(world: &mut World) -> Option<u64> {
    world.kill(0);
    world.configure();
    world.run_until(MOST, World::agree_on_config)
}

/// Has the last VM begin many requests; yields how long it took until all VMs knew.
fn count(world: &mut World, runner: &str) -> Option<u64> {
    let last = world.vms.len() - 1;
    world.set_requests(last, runner, 2 * MARK);
    let known = world.run_until(MOST, |world| world.counting_less(runner, MARK).is_empty());
    world.set_requests(last, runner, 0);
    world.run(3_000);
    known
}
