use rstest::rstest;
use xxhash_rust::xxh3::xxh3_64;

use super::Candidate;
use super::MAX_USED;
use super::Place;
use super::choose;

fn candidates(near: u64, far: u64) -> Vec<Candidate> {
    let candidate = |number: u64, place| Candidate {
        id: xxh3_64(&number.to_le_bytes()),
        place,
    };
    let near_ones = (0..near).map(|number| candidate(number, Place::Near));
    let far_ones = (near..near + far).map(|number| candidate(number, Place::Far));
    near_ones.chain(far_ones).collect()
}

/// Small deployments must lose nothing: there the subset is all.
#[rstest]
#[case(0, 0)]
#[case(15, 30)]
#[case(96, 0)]
fn few_endpoints_are_all_used(#[case] near: u64, #[case] far: u64) {
    let chosen = choose(7, &candidates(near, far), MAX_USED);
    assert_eq!(chosen.len() as u64, near + far);
}

#[rstest]
#[case::many_of_both(1_000, 2_000, 72)]
#[case::few_near(10, 2_000, 10)]
#[case::few_far(1_000, 5, 91)]
fn most_used_endpoints_are_near(#[case] near: u64, #[case] far: u64, #[case] near_used: usize) {
    let candidates = candidates(near, far);
    let chosen = choose(7, &candidates, MAX_USED);
    assert_eq!(chosen.len(), MAX_USED);
    let is_near = |index: &&usize| candidates[**index].place == Place::Near;
    assert_eq!(chosen.iter().filter(is_near).count(), near_used);
}

/// If some endpoints were in the subsets of many VMs and others in those of none, the former would be
/// overloaded while the latter are idle.
#[test]
fn endpoints_are_used_by_about_as_many_vms() {
    let candidates = candidates(1_000, 2_000);
    let mut users = vec![0_u32; candidates.len()];
    for vm in 0..100_u64 {
        for index in choose(xxh3_64(&vm.to_le_bytes()), &candidates, MAX_USED) {
            users[index] += 1;
        }
    }
    let near = &users[..1_000];
    let mean = f64::from(near.iter().sum::<u32>()) / 1_000.0;
    let busiest = f64::from(*near.iter().max().unwrap());
    // 7.2 VMs use an endpoint. A binomial count of this mean exceeds three times of it less than
    // once in a million endpoints.
    assert!(busiest < 3.0 * mean, "{busiest} {mean}");
    let unused = near.iter().filter(|users| **users == 0).count();
    assert!(unused <= 5, "{unused}");
}

/// When an endpoint leaves, a VM must keep the others: the caches there are what makes it fast.
#[test]
fn a_leaving_endpoint_changes_one_choice() {
    let before = candidates(1_000, 2_000);
    let chosen: Vec<u64> = choose(7, &before, MAX_USED)
        .into_iter()
        .map(|index| before[index].id)
        .collect();
    let after: Vec<Candidate> = before
        .iter()
        .filter(|candidate| candidate.id != chosen[0])
        .copied()
        .collect();
    let kept = choose(7, &after, MAX_USED)
        .into_iter()
        .filter(|index| chosen.contains(&after[*index].id))
        .count();
    assert_eq!(kept, MAX_USED - 1);
}
