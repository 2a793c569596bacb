//! Stateful fuzzing of heartbeats, leases and claims: VMs that pause, die, stop and start, cuts
//! between VMs, cuts from the platform, outages and lost answers. The oracle: a VM that ran all the
//! time loses no shard, hand-overs and claims keep their pace, and some time after all is calm each
//! shard is served by one VM and by no other.

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

/// How long after all is calm each shard must be served by the one VM that should have it: leases
/// of what went before lapse, VMs that think each other down meet again, all are steady, and each
/// VM hands over what it has.
fn calm() -> Millis {
    let meet = Millis::new(20 * members::ROUND.as_u64());
    let handovers = claims::HANDOVER_PACE.as_u64() * u64::from(SHARDS);
    let waits = [fleet::LEASE, fleet::LEASE, claims::STEADY, claims::LISTEN];
    let waits = waits.into_iter().fold(meet, Millis::plus);
    waits.plus(Millis::new(handovers))
}

#[derive(Clone, Debug)]
enum Move {
    Run(u32),
    Pause(usize),
    Wake(usize),
    Kill(usize),
    Start(usize),
    Stop(usize),
    Cut(usize, bool),
    Alone(usize, bool),
    Outage(bool),
    Lose(Injection),
    Deliver,
}

#[derive(Clone, Debug)]
struct Script;

impl ReferenceStateMachine for Script {
    type State = ();
    type Transition = Move;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Move> {
        let vm = 0..CENTRES * VMS;
        let play = prop_oneof![
            Just(Injection::LoseAnswer),
            Just(Injection::LoseWrite),
            Just(Injection::Delay),
        ];
        prop_oneof![
            12 => (1..40_u32).prop_map(Move::Run),
            2 => vm.clone().prop_map(Move::Pause),
            2 => vm.clone().prop_map(Move::Wake),
            2 => vm.clone().prop_map(Move::Kill),
            3 => vm.clone().prop_map(Move::Start),
            1 => vm.clone().prop_map(Move::Stop),
            2 => (vm.clone(), any::<bool>()).prop_map(|(vm, on)| Move::Cut(vm, on)),
            2 => (vm, any::<bool>()).prop_map(|(vm, on)| Move::Alone(vm, on)),
            2 => any::<bool>().prop_map(Move::Outage),
            1 => play.prop_map(Move::Lose),
            1 => Just(Move::Deliver),
        ]
        .boxed()
    }

    fn apply((): (), _: &Move) {}
}

struct Claiming;

fn play(fleet: &mut Fleet, action: &Move) {
    match *action {
        Move::Run(ticks) => (0..ticks).for_each(|_| fleet.tick()),
        Move::Pause(at) if fleet.vms[at].phase == Phase::Running => {
            fleet.vms[at].phase = Phase::Paused;
            fleet.vms[at].hindered = true;
        }
        Move::Wake(at) if fleet.vms[at].phase == Phase::Paused => {
            fleet.vms[at].phase = Phase::Running;
        }
        Move::Pause(_) | Move::Wake(_) => {}
        Move::Kill(at) => {
            fleet.vms[at].phase = Phase::Dead;
            fleet.vms[at].owned.clear();
        }
        Move::Start(at) => fleet.start(at),
        Move::Stop(at) => fleet.vms[at]
            .exchange
            .table
            .set_own(|own| own.stopping = true),
        Move::Cut(at, cut) => {
            fleet.vms[at].cut = cut;
            fleet.vms.iter_mut().for_each(|vm| vm.hindered = true);
        }
        Move::Alone(at, alone) => {
            fleet.vms[at].alone = alone;
            fleet.vms[at].hindered = true;
        }
        Move::Outage(down) => fleet.memory.set_down(down),
        Move::Lose(play) => {
            fleet.memory.inject(play);
            fleet.vms.iter_mut().for_each(|vm| vm.hindered = true);
        }
        Move::Deliver => fleet.memory.deliver(),
    }
}

fn settle(fleet: &mut Fleet) {
    fleet.memory.set_down(false);
    fleet.memory.deliver();
    for at in 0..fleet.vms.len() {
        fleet.vms[at].cut = false;
        fleet.vms[at].alone = false;
        // A VM that was asked to stop is replaced by one of the same name.
        if fleet.vms[at].exchange.table.own().stopping {
            play(fleet, &Move::Kill(at));
        }
        fleet.start(at);
        fleet.vms[at].phase = Phase::Running;
    }
    for _ in 0..calm().as_u64() / TICK.as_u64() {
        fleet.tick();
    }
}

fn check_settled(fleet: &Fleet) {
    assert!(fleet.agreed(), "a VM is thought down although all is calm");
    for shard in &fleet.shards {
        let servers = fleet.servers(shard);
        assert!(!servers.is_empty(), "{shard} is served by no VM");
        assert_eq!(servers.len(), 1, "{shard} is served by two VMs");
        let server = &servers[0].name;
        for vm in &fleet.vms {
            let line = vm.exchange.owners.find(shard).expect("a line a shard");
            let known = (&line.vm, line.free);
            assert_eq!(known, (server, false), "{} is wrong about {shard}", vm.name);
        }
    }
}

impl StateMachineTest for Claiming {
    type SystemUnderTest = Fleet;
    type Reference = Script;

    fn init_test((): &()) -> Fleet {
        let mut fleet = Fleet::new(CENTRES, VMS, SHARDS);
        settle(&mut fleet);
        check_settled(&fleet);
        fleet
    }

    fn apply(mut fleet: Fleet, (): &(), action: Move) -> Fleet {
        play(&mut fleet, &action);
        fleet
    }

    fn teardown(mut fleet: Fleet, (): ()) {
        settle(&mut fleet);
        check_settled(&fleet);
    }
}

prop_state_machine! {
    #![proptest_config(runs(CASES, SEED))]

    #[test]
    fn each_shard_gets_one_owner_once_all_is_calm(sequential 1..40 => Claiming);
}
