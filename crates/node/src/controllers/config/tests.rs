use rstest::rstest;

use super::*;

fn config(revision: u64, nonce: u64) -> Arc<Config> {
    Arc::new(Config {
        revision,
        nonce,
        ..Config::default()
    })
}

fn vm(name: &str, revision: u64, up: bool) -> InForce {
    InForce {
        vm: id::Vm::parse(name).unwrap(),
        revision,
        up,
    }
}

// A peer that was paused resumes and offers the revision that it had before. A VM that took it
// would again follow a selector that an operator has withdrawn since.
#[rstest]
#[case(4, 40, Offer::Taken, 4)]
#[case(3, 30, Offer::Known, 3)]
#[case(3, 31, Offer::Forked, 3)]
#[case(2, 20, Offer::Older, 3)]
fn only_a_higher_revision_is_taken(
    #[case] revision: u64,
    #[case] nonce: u64,
    #[case] offer: Offer,
    #[case] after: u64,
) {
    let mut current = Current::default();
    assert_eq!(current.offer(&config(3, 30)), Offer::Taken);
    assert_eq!(current.offer(&config(revision, nonce)), offer);
    assert_eq!(current.revision(), after);
    assert_eq!(
        current.config().unwrap().nonce,
        if after == 4 { 40 } else { 30 }
    );
}

// A VM restarts without a document. The answers that it gets decide whether it may serve, and with
// which revision. In an outage it must wait for every peer, because the one that hasn't answered
// may be the one that accepted the latest change.
#[rstest]
#[case::platform_not_asked_yet(Source::Waiting, vec![Source::Holds(config(5, 0))], None)]
#[case::platform(Source::Holds(config(7, 0)), vec![Source::Waiting], Some(7))]
#[case::peer_ahead(Source::Holds(config(7, 0)), vec![Source::Holds(config(8, 0))], Some(8))]
#[case::empty_platform(Source::Holds(config(0, 0)), vec![], Some(0))]
#[case::outage_alone(Source::Silent, vec![], None)]
#[case::outage_all_start(Source::Silent, vec![Source::Silent, Source::Silent], None)]
#[case::outage_one_unheard(Source::Silent, vec![Source::Holds(config(5, 0)), Source::Waiting], None)]
#[case::outage(
    Source::Silent,
    vec![Source::Holds(config(5, 0)), Source::Silent, Source::Holds(config(6, 0))],
    Some(6)
)]
fn a_vm_serves_once_it_has_caught_up(
    #[case] platform: Source,
    #[case] peers: Vec<Source>,
    #[case] serves: Option<u64>,
) {
    let revision = match boot(&platform, &peers) {
        Boot::Wait => None,
        Boot::Serve(config) => Some(config.revision),
    };
    assert_eq!(revision, serves);
}

#[test]
fn a_rollout_separates_lagging_vms_from_silent_ones() {
    let vms = [
        vm("a", 9, true),
        vm("b", 8, true),
        vm("c", 9, false),
        vm("d", 10, true),
    ];
    let rollout = rollout(9, &vms);
    let names = |list: &[id::Vm]| list.iter().map(ToString::to_string).collect::<Vec<_>>();
    assert_eq!(names(&rollout.reached), ["a", "d"]);
    assert_eq!(names(&rollout.behind), ["b"]);
    assert_eq!(names(&rollout.silent), ["c"]);
}
