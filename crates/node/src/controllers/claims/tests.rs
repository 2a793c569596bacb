use rstest::rstest;

use super::*;

const LEASE: Millis = Millis::new(5_000);
const START: Millis = Millis::new(1_000_000);

fn centre(name: &str) -> id::Centre {
    id::Centre::parse(name).unwrap()
}

fn vms(count: usize) -> Vec<Vm> {
    let vm = |n| Vm {
        vm: id::Vm::parse(&format!("vm{n}")).unwrap(),
        centre: centre("c"),
        size: 1,
        up: true,
        stopping: false,
        since: Millis::ZERO,
    };
    (0..count).map(vm).collect()
}

fn shards(count: u16) -> Vec<id::Shard> {
    let shard = |index| id::Shard {
        centre: centre("c"),
        index,
    };
    (0..count).map(shard).collect()
}

fn ownership(shard: &id::Shard, vm: &Vm) -> Owner {
    Owner {
        shard: shard.clone(),
        vm: vm.vm.clone(),
        epoch: 1,
        free: false,
    }
}

/// The inputs of `vm0`, which owns no shard.
fn facts<'a>(vms: &'a [Vm], shards: &'a [id::Shard], owners: &'a [Owner]) -> Facts<'a> {
    Facts {
        now: START,
        me: &vms[0].vm,
        vms,
        shards,
        owned: &[],
        owners,
        platform: Health::Since(Millis::ZERO),
        lease: LEASE,
        lost: &[],
    }
}

/// Lets `vm0` decide every 20 ms for a while, and counts claims and handovers. All of its actions
/// succeed.
fn simulate(mut facts: Facts<'_>, span: Millis) -> (usize, usize) {
    let mut claims = Claims::new(START);
    let mut owned = facts.owned.to_vec();
    let (mut claimed, mut released) = (0, 0);
    for step in 0..span.as_u64() / 20 {
        let now = START.plus(Millis::new(step * 20));
        let before = owned.clone();
        facts = Facts { now, ..facts };
        for action in claims.decide(&Facts {
            owned: &before,
            ..facts
        }) {
            match action {
                Action::Claim(shard) => {
                    claimed += 1;
                    owned.push(shard);
                    owned.sort();
                }
                Action::Release { shard, .. } => {
                    released += 1;
                    owned.retain(|s| *s != shard);
                }
            }
        }
    }
    (claimed, released)
}

fn target_count(vms: &[Vm], shards: &[id::Shard]) -> usize {
    let facts = facts(vms, shards, &[]);
    let mine = shards
        .iter()
        .filter(|s| target(&facts, s, Eligibility::Up) == Some(facts.me));
    mine.count()
}

// All VMs of a centre restart and every shard is free. This VM first learns who owns what, then
// claims its share and nothing else: a burst, then one shard per CLAIM_INTERVAL, so that there is
// room for the commits of others.
#[test]
fn a_mass_restart_is_paced_and_each_vm_claims_its_share() {
    let (vms, shards) = (vms(4), shards(64));
    let share = target_count(&vms, &shards);
    let facts = facts(&vms, &shards, &[]);
    assert_eq!(simulate(facts, DISCOVERY_TIME).0, 0);
    let after = |intervals| DISCOVERY_TIME.plus(Millis::new(intervals * CLAIM_INTERVAL.as_u64()));
    let burst = usize::try_from(CLAIM_BURST).unwrap();
    assert!(
        share > burst + 2,
        "a share of {share} is too small to show the interval"
    );
    assert_eq!(simulate(facts, after(1)).0, burst);
    assert_eq!(simulate(facts, after(3)).0, burst + 2);
    assert_eq!(simulate(facts, Millis::new(60_000)), (share, 0));
}

// A rack with half of the VMs fails. The survivors keep their shards; of the others' shards this VM
// claims its share and leaves the rest to the other survivors.
#[test]
fn when_a_rack_fails_only_its_shards_are_claimed() {
    let (mut vms, shards) = (vms(8), shards(64));
    let before = facts(&vms, &shards, &[]);
    let owner = |s| {
        vms.iter()
            .find(|v| Some(&v.vm) == target(&before, s, Eligibility::Up))
    };
    let owners: Vec<Owner> = shards
        .iter()
        .map(|s| ownership(s, owner(s).unwrap()))
        .collect();
    let mine: Vec<id::Shard> = owners
        .iter()
        .filter(|o| o.vm == vms[0].vm)
        .map(|o| o.shard.clone())
        .collect();
    vms[4..].iter_mut().for_each(|vm| vm.up = false);
    let after = Facts {
        owned: &mine,
        ..facts(&vms, &shards, &owners)
    };
    let gained = target_count(&vms, &shards) - mine.len();
    assert!(gained > 0);
    assert_eq!(simulate(after, Millis::new(60_000)), (gained, 0));
}

// A VM comes up, dies and comes up again within seconds. Shards handed to it at once would be
// without an owner for a lease time each time; it gets them after it has been up for MIN_UPTIME.
#[rstest]
#[case::just_started(Millis::new(START.as_u64() - 1), 0)]
#[case::up_for_long(Millis::ZERO, 5)]
fn a_flapping_vm_gets_no_shards_that_others_hold(#[case] since: Millis, #[case] handed: usize) {
    let (mut vms, shards) = (vms(2), shards(64));
    vms[1].since = since;
    let facts = Facts {
        owned: &shards,
        ..facts(&vms, &shards, &[])
    };
    assert_eq!(
        simulate(facts, Millis::new(5 * HANDOVER_INTERVAL.as_u64())).1,
        handed
    );
}

// A VM that stops hands over all its shards quickly. Without another VM it serves them until the
// end.
#[rstest]
#[case(2, 64)]
#[case(1, 0)]
fn a_vm_that_stops_hands_over_all_shards(#[case] count: usize, #[case] handed: usize) {
    let (mut vms, shards) = (vms(count), shards(64));
    vms[0].stopping = true;
    let facts = Facts {
        owned: &shards,
        ..facts(&vms, &shards, &[])
    };
    assert_eq!(simulate(facts, Millis::new(2_000)), (0, handed));
}

// An outage ends. All leases have expired and all records are gone. An owner that never stopped
// needs a moment to renew, and a VM that claimed at once would take over its shard.
#[rstest]
#[case::down(Health::Down, 0)]
#[case::just_back(Health::Since(START), 0)]
#[case::back_for_long(Health::Since(Millis::new(1)), 1)]
fn after_an_outage_claims_wait_for_holders(#[case] platform: Health, #[case] claimed: usize) {
    let (vms, shards) = (vms(1), shards(1));
    let facts = Facts {
        platform,
        ..facts(&vms, &shards, &[])
    };
    assert_eq!(
        simulate(facts, Millis::new(LEASE.as_u64() - 100)).0,
        claimed
    );
}

// A centre is cut off. Its shards stay in it, whoever is thought to be down, until an operator
// declares it lost; then the VMs of other centres take them over, and its own VMs claim none.
#[rstest]
#[case::other_cut_off("d", &[], 0)]
#[case::other_lost("d", &["d"], 1)]
#[case::own_lost("c", &["c"], 0)]
fn another_centre_takes_over_only_if_the_centre_is_lost(
    #[case] home: &str,
    #[case] lost: &[&str],
    #[case] claimed: usize,
) {
    let vms = vms(1);
    let lost: Vec<id::Centre> = lost.iter().map(|name| centre(name)).collect();
    let shards = [id::Shard {
        centre: centre(home),
        index: 0,
    }];
    let facts = Facts {
        lost: &lost,
        ..facts(&vms, &shards, &[])
    };
    assert_eq!(simulate(facts, Millis::new(1_000)).0, claimed);
}

// A claim fails because the dead owner's lease is still running. It is retried with growing delays:
// a VM that is alone in thinking all others down would otherwise read every record of its centre
// all the time.
#[test]
fn a_failed_claim_is_retried_with_growing_delays() {
    let (vms, shards) = (vms(1), shards(1));
    let mut claims = Claims::new(START);
    let mut attempts = Vec::new();
    for step in 0..1_000 {
        let now = START.plus(Millis::new(step * 20));
        let facts = Facts {
            now,
            ..facts(&vms, &shards, &[])
        };
        if !claims.decide(&facts).is_empty() {
            claims.note_failure(&shards[0], now);
            attempts.push(now.since(START).as_u64());
        }
    }
    assert_eq!(
        attempts,
        [0, 500, 1_500, 3_500, 7_500, 11_500, 15_500, 19_500]
    );
}
