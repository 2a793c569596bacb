//! Stateful fuzzing of heartbeats, leases and claims: VMs that pause, die, stop and start, network
//! partitions between VMs, partitions from the platform, outages and lost answers. It checks that
//! an undisturbed VM loses no shard, that handovers and claims keep to their rates, and that some
//! time after all faults have ended each shard is served by exactly one VM.

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/runs.rs"]
mod runs;

use fleet::Fleet;
use fleet::Phase;
use fleet::TICK;
use node::controllers::claims;
use node::controllers::members;
use platform::memory::Injection;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;
use runs::runs;
use wire::clock::Millis;

const CENTRES: usize = 2;
const VMS: usize = 3;
const SHARDS: u16 = 4;
const SEED: u64 = 11;
const CASES: u32 = 48;

/// The time after the end of all faults by which each shard must be served by the one VM that it is
/// assigned to: old leases expire, VMs that think each other down meet again, all have been up for
/// `MIN_UPTIME`, and each VM hands over its shards.
fn settling_time() -> Millis {
    let reconnect = Millis::new(20 * members::ROUND_INTERVAL.as_u64());
    let handovers = claims::HANDOVER_INTERVAL.as_u64() * u64::from(SHARDS);
    let waits = [
        fleet::LEASE,
        fleet::LEASE,
        claims::MIN_UPTIME,
        claims::DISCOVERY_TIME,
    ];
    let waits = waits.into_iter().fold(reconnect, Millis::plus);
    waits.plus(Millis::new(handovers))
}

#[derive(Clone, Debug)]
enum Operation {
    Run(u32),
    Pause(usize),
    Wake(usize),
    Kill(usize),
    Start(usize),
    Stop(usize),
    Cut(usize, bool),
    CutPlatform(usize, bool),
    Outage(bool),
    Lose(Injection),
    Deliver,
}

#[derive(Clone, Debug)]
struct Scenario;

impl ReferenceStateMachine for Scenario {
    type State = ();
    type Transition = Operation;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Operation> {
        let vm = 0..CENTRES * VMS;
        let play = prop_oneof![
            Just(Injection::LoseAnswer),
            Just(Injection::LoseWrite),
            Just(Injection::Delay),
        ];
        prop_oneof![
            12 => (1..40_u32).prop_map(Operation::Run),
            2 => vm.clone().prop_map(Operation::Pause),
            2 => vm.clone().prop_map(Operation::Wake),
            2 => vm.clone().prop_map(Operation::Kill),
            3 => vm.clone().prop_map(Operation::Start),
            1 => vm.clone().prop_map(Operation::Stop),
            2 => (vm.clone(), any::<bool>()).prop_map(|(vm, on)| Operation::Cut(vm, on)),
            2 => (vm, any::<bool>()).prop_map(|(vm, on)| Operation::CutPlatform(vm, on)),
            2 => any::<bool>().prop_map(Operation::Outage),
            1 => play.prop_map(Operation::Lose),
            1 => Just(Operation::Deliver),
        ]
        .boxed()
    }

    fn apply((): (), _: &Operation) {}
}

struct Claiming;

fn perform(fleet: &mut Fleet, action: &Operation) {
    match *action {
        Operation::Run(ticks) => (0..ticks).for_each(|_| fleet.tick()),
        Operation::Pause(at) if fleet.vms[at].phase == Phase::Running => {
            fleet.vms[at].phase = Phase::Paused;
            fleet.vms[at].disturbed = true;
        }
        Operation::Wake(at) if fleet.vms[at].phase == Phase::Paused => {
            fleet.vms[at].phase = Phase::Running;
        }
        Operation::Pause(_) | Operation::Wake(_) => {}
        Operation::Kill(at) => {
            fleet.vms[at].phase = Phase::Dead;
            fleet.vms[at].owned.clear();
        }
        Operation::Start(at) => fleet.start(at),
        Operation::Stop(at) => fleet.vms[at]
            .exchange
            .table
            .set_own(|own| own.stopping = true),
        Operation::Cut(at, cut) => {
            fleet.vms[at].cut = cut;
            fleet.vms.iter_mut().for_each(|vm| vm.disturbed = true);
        }
        Operation::CutPlatform(at, cut) => {
            fleet.vms[at].platform_cut = cut;
            fleet.vms[at].disturbed = true;
        }
        Operation::Outage(down) => fleet.memory.set_down(down),
        Operation::Lose(play) => {
            fleet.memory.inject(play);
            fleet.vms.iter_mut().for_each(|vm| vm.disturbed = true);
        }
        Operation::Deliver => fleet.memory.deliver(),
    }
}

fn end_faults(fleet: &mut Fleet) {
    fleet.memory.set_down(false);
    fleet.memory.deliver();
    for at in 0..fleet.vms.len() {
        fleet.vms[at].cut = false;
        fleet.vms[at].platform_cut = false;
        // A VM that was stopped is replaced by one of the same name.
        if fleet.vms[at].exchange.table.own().stopping {
            perform(fleet, &Operation::Kill(at));
        }
        fleet.start(at);
        fleet.vms[at].phase = Phase::Running;
    }
    for _ in 0..settling_time().as_u64() / TICK.as_u64() {
        fleet.tick();
    }
}

fn check_settled(fleet: &Fleet) {
    assert!(
        fleet.all_up(),
        "a VM is thought down although all faults have ended"
    );
    for shard in &fleet.shards {
        let servers = fleet.servers(shard);
        assert!(!servers.is_empty(), "{shard} is served by no VM");
        assert_eq!(servers.len(), 1, "{shard} is served by two VMs");
        let server = &servers[0].name;
        for vm in &fleet.vms {
            let owner = vm
                .exchange
                .owners
                .find(shard)
                .expect("an entry for each shard");
            let known = (&owner.vm, owner.free);
            assert_eq!(known, (server, false), "{} is wrong about {shard}", vm.name);
        }
    }
}

impl StateMachineTest for Claiming {
    type SystemUnderTest = Fleet;
    type Reference = Scenario;

    fn init_test((): &()) -> Fleet {
        let mut fleet = Fleet::new(CENTRES, VMS, SHARDS);
        end_faults(&mut fleet);
        check_settled(&fleet);
        fleet
    }

    fn apply(mut fleet: Fleet, (): &(), action: Operation) -> Fleet {
        perform(&mut fleet, &action);
        fleet
    }

    fn teardown(mut fleet: Fleet, (): ()) {
        end_faults(&mut fleet);
        check_settled(&fleet);
    }
}

prop_state_machine! {
    #![proptest_config(runs(CASES, SEED))]

    #[test]
    fn each_shard_gets_one_owner_once_all_faults_end(sequential 1..40 => Claiming);
}
