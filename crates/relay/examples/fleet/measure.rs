//! Simulates one fleet: measures idle traffic first, then how soon all VMs learn of changes.

use relay::metrics::Call;

use crate::fleet_model::traffic::Mechanism;
use crate::fleet_model::world::Size;
use crate::fleet_model::world::World;

/// How long a fleet settles after its start, in milliseconds.
const SETTLE_MS: u64 = 10_000;
/// How long traffic is measured, in seconds.
const MEASURED_SECONDS: u32 = 10;
/// How long calls of the service are counted from the start, in milliseconds.
const CALLS_MS: u64 = 60_000;
/// How long to wait for agreement, in milliseconds.
const AGREEMENT_TIMEOUT_MS: u64 = 60_000;
/// A number of requests that is high enough to recognise one VM's requests in the counts of other
/// VMs.
const MARKER_REQUESTS: u32 = 1_000;

/// Figures of one fleet size.
#[derive(Clone, Debug)]
pub struct Figures {
    /// Number of VMs.
    pub vms: usize,
    /// Number of runners.
    pub runners: usize,
    /// Time until all VMs agreed after each event, in milliseconds; `None` if they didn't.
    pub agreed: Vec<(&'static str, Option<u64>)>,
    /// Mean messages and bytes per VM and second, by mechanism.
    pub mechanisms: Vec<(&'static str, f64, f64)>,
    /// Mean bytes per VM and second.
    pub mean_bytes: f64,
    /// Bytes per second of the VM with the most.
    pub max_bytes: f64,
    /// Exchanges per second of the VM that serves the most.
    pub max_exchanges_served: f64,
    /// The most VMs that started an exchange with the same VM within a second.
    pub askers: usize,
    /// Processor time of building and reading messages, in per cent of a core: the mean, and that
    /// of the VM with the most.
    pub processor: (f64, f64),
    /// Number of times that a VM used a departed runner again.
    pub readmissions: usize,
    /// Calls of the key-value service of all VMs, by situation.
    pub calls: Vec<(&'static str, Calls)>,
}

/// Calls of the key-value service.
#[derive(Clone, Debug)]
pub struct Calls {
    /// Number of calls by what they are for.
    pub by_kind: Vec<(&'static str, u64)>,
    /// Their price in whole calls.
    pub weight: u64,
}

/// Simulates a fleet.
#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a run stay far below 2^52"
)]
pub fn simulate(size: Size) -> Figures {
    let mut world = World::new(size);
    let started = world.run_until(AGREEMENT_TIMEOUT_MS, |world| {
        world.disagreeing_vms().is_empty()
    });
    world.run(SETTLE_MS);
    world.clear_counts();
    world.run(u64::from(MEASURED_SECONDS) * 1_000);
    let seconds = f64::from(MEASURED_SECONDS);
    let vms = size.vms as f64;
    let traffic: Vec<_> = world.vms.iter().map(|vm| vm.traffic.clone()).collect();
    let mechanisms = Mechanism::ALL.map(|mechanism| {
        let messages: u64 = traffic.iter().map(|vm| vm.sum(mechanism).messages).sum();
        let bytes: u64 = traffic.iter().map(|vm| vm.sum(mechanism).bytes).sum();
        let each = vms * seconds;
        (
            mechanism.name(),
            messages as f64 / each,
            bytes as f64 / each,
        )
    });
    let bytes = traffic.iter().map(|vm| vm.bytes() as f64 / seconds);
    let processor = traffic
        .iter()
        .map(|vm| vm.processor_time.as_secs_f64() / seconds * 100.0);
    let exchanges = traffic
        .iter()
        .map(|vm| vm.exchanges_served as f64 / seconds);
    let mut figures = Figures {
        vms: size.vms,
        runners: size.runners,
        agreed: vec![("start", started)],
        mechanisms: mechanisms.into(),
        mean_bytes: bytes.clone().sum::<f64>() / vms,
        max_bytes: bytes.fold(0.0, f64::max),
        max_exchanges_served: exchanges.fold(0.0, f64::max),
        askers: 0,
        processor: (
            processor.clone().sum::<f64>() / vms,
            processor.fold(0.0, f64::max),
        ),
        readmissions: 0,
        calls: measure_calls(size),
    };
    figures.agreed.extend(measure_changes(&mut world));
    let askers = world.vms.iter().map(|vm| vm.traffic.max_askers);
    figures.askers = askers.max().unwrap_or(0);
    figures.readmissions = world.readmissions.len();
    figures
}

/// Counts the calls from the start of all VMs through a quiet minute, and from a restart of all.
fn measure_calls(size: Size) -> Vec<(&'static str, Calls)> {
    let mut world = World::new(size);
    world.run(CALLS_MS);
    let quiet = take_calls(&mut world);
    for vm in 0..size.vms {
        world.kill(vm);
        world.start(vm);
    }
    world.run(CALLS_MS / 3);
    vec![
        ("start and a minute", quiet),
        ("restart and 20 s", take_calls(&mut world)),
    ]
}

fn take_calls(world: &mut World) -> Calls {
    let count = |call: &Call| world.vms.iter().map(|vm| vm.traffic.calls(*call)).sum();
    let by_kind = Call::ALL.iter().map(|call| (call.name(), count(call)));
    let calls = Calls {
        by_kind: by_kind.collect(),
        weight: world.calls_weight(),
    };
    world.clear_counts();
    calls
}

/// Makes changes one after the other. Returns for each how long it took until all VMs knew of it.
fn measure_changes(world: &mut World) -> Vec<(&'static str, Option<u64>)> {
    world.write_config();
    let config = world.run_until(AGREEMENT_TIMEOUT_MS, World::agree_on_config);
    let leaving = world.drain_runner(0);
    let left = world.run_until(AGREEMENT_TIMEOUT_MS, |world| world.agree_to_drop(&leaving));
    let joining = world.add_runner();
    let joined = world.run_until(AGREEMENT_TIMEOUT_MS, |world| world.agree_to_use(&joining));
    let counted = time_until_counted(world, &joining);
    let config_hub_killed = config_after_hub_death(world);
    let counted_hub_killed = time_until_counted(world, &joining);
    vec![
        ("config", config),
        ("runner left", left),
        ("runner came", joined),
        ("counts", counted),
        ("config, hub killed", config_hub_killed),
        ("counts, hub killed", counted_hub_killed),
    ]
}

/// Kills the first VM just before a new configuration. Returns how long it took until all VMs had
/// the configuration.
fn config_after_hub_death(world: &mut World) -> Option<u64> {
    world.kill(0);
    world.write_config();
    world.run_until(AGREEMENT_TIMEOUT_MS, World::agree_on_config)
}

/// Gives the last VM many requests at a runner. Returns how long it took until all VMs counted
/// them.
fn time_until_counted(world: &mut World, runner: &str) -> Option<u64> {
    let last = world.vms.len() - 1;
    world.set_requests(last, runner, 2 * MARKER_REQUESTS);
    let known = world.run_until(AGREEMENT_TIMEOUT_MS, |world| {
        world.vms_counting_less(runner, MARKER_REQUESTS).is_empty()
    });
    world.set_requests(last, runner, 0);
    world.run(3_000);
    known
}
