//! A state machine test of decision, state, log, claim, snapshot and copies together. Three VMs own
//! one shard in turn, on a platform with injected faults. An oracle checks what callers were told
//! against what endpoints ran.
//!
//! `cargo test -p journal --test fuzz` runs 256 cases of up to 120 steps from a fixed seed;
//! `PROPTEST_CASES=20000 cargo test --release -p journal --test fuzz` is a longer run.

mod oracle;
mod owner;
mod world;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

use owner::AfterFailure;
use world::World;

/// The number of VMs.
const VMS: usize = 3;

/// One step. A step that doesn't apply at the moment (killing a dead VM, for example) does nothing.
#[derive(Clone, Debug)]
enum Step {
    /// A VM tries to take over the shard.
    Claim(usize),
    /// A caller requests a turn of a program with one of several contents.
    Turn(usize, usize, u64),
    /// A caller requests a committed turn again.
    ReplayTurn(usize, usize),
    /// An engine answers an attempt, having generated this many quarters of the reservation.
    AnswerTurn(usize, u64),
    /// An engine fails an attempt, which is retried elsewhere or abandoned.
    FailTurn(usize, AfterFailure),
    /// A caller requests a call under one of several keys, with one of several contents.
    Call(usize, usize, u64),
    /// A service answers a call, refuses it before running it, or its response is lost.
    ResolveCall(usize, u8),
    /// The owner writes a snapshot.
    Snapshot(usize),
    /// The owner updates the copy holders to the current VMs.
    ChangeHolders(usize),
    /// The platform injects a fault into a write.
    InjectFault(platform::memory::Injection),
    /// The platform's delayed writes take effect.
    DeliverWrites,
    /// The platform goes down or comes back for all VMs.
    SetDown(bool),
    /// The platform goes down or comes back for one VM.
    SetCutOff(usize, bool),
    /// All leases expire.
    ExpireLeases,
    /// A VM is paused or resumed.
    Pause(usize, bool),
    /// A VM dies.
    Kill(usize),
    /// A dead VM starts again.
    Restart(usize),
    /// The platform's list of VMs is updated to the VMs that are alive.
    UpdateMachines,
    /// Time passes, so that retry waits end.
    Wait(u64),
}

#[derive(Clone, Debug)]
struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        use platform::memory::Injection;
        let vm = 0..VMS;
        let fault = prop_oneof![
            Just(Injection::LoseAnswer),
            Just(Injection::LoseWrite),
            Just(Injection::Delay)
        ];
        prop_oneof![
            10 => vm.clone().prop_map(Step::Claim),
            20 => (vm.clone(), 0..2usize, 0..3u64).prop_map(|(v, p, c)| Step::Turn(v, p, c)),
            3 => (vm.clone(), 0..2usize).prop_map(|(v, p)| Step::ReplayTurn(v, p)),
            20 => (0..4usize, 0..5u64).prop_map(|(pick, used)| Step::AnswerTurn(pick, used)),
            4 => (0..4usize, any::<bool>())
                .prop_map(|(pick, on)| Step::FailTurn(pick, AfterFailure::from_draw(u8::from(on)))),
            14 => (vm.clone(), 0..3usize, 0..8u64)
                .prop_map(|(v, k, c)| Step::Call(v, k, c / 7)),
            8 => (0..3usize, 0..3u8).prop_map(|(pick, outcome)| Step::ResolveCall(pick, outcome)),
            3 => vm.clone().prop_map(Step::Snapshot),
            4 => vm.clone().prop_map(Step::ChangeHolders),
            8 => fault.prop_map(Step::InjectFault),
            5 => Just(Step::DeliverWrites),
            2 => (0..3u8).prop_map(|draw| Step::SetDown(draw == 0)),
            6 => (vm.clone(), 0..3u8).prop_map(|(v, draw)| Step::SetCutOff(v, draw == 0)),
            6 => Just(Step::ExpireLeases),
            8 => (vm.clone(), 0..3u8).prop_map(|(v, draw)| Step::Pause(v, draw == 0)),
            2 => vm.clone().prop_map(Step::Kill),
            3 => vm.prop_map(Step::Restart),
            3 => Just(Step::UpdateMachines),
            8 => (1..3_000u64).prop_map(Step::Wait),
        ]
        .boxed()
    }

    fn apply((): (), _step: &Step) {}
}

struct Machine {
    runtime: tokio::runtime::Runtime,
    world: World,
}

impl StateMachineTest for Machine {
    type SystemUnderTest = Self;
    type Reference = Steps;

    fn init_test((): &()) -> Self {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        let world = World::new();
        let state = Self { runtime, world };
        Self::apply(state, &(), Step::Claim(0))
    }

    fn apply(mut state: Self, (): &(), step: Step) -> Self {
        state.runtime.block_on(async {
            state.world.step(step).await;
            state.world.run_until_idle().await;
        });
        state
    }

    fn check_invariants(state: &Self, (): &()) {
        state.world.oracle.check();
    }

    fn teardown(mut state: Self, (): ()) {
        state.runtime.block_on(state.world.check_final_state());
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(0x6a6f_7572_6e61_6c00),
        failure_persistence: None,
        max_shrink_iters: 4_000,
        ..Config::default()
    })]

    #[test]
    fn nothing_runs_twice_or_is_lost(sequential 1..120 => Machine);
}
