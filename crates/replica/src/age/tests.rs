use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use wire::clock::Millis;

use super::STEP;
use super::decode;
use super::encode;
use crate::ledger::RETENTION;
use crate::record::Key;

const NOW: Millis = Millis::new(10_000_000);

fn turns(ages: &[u64]) -> Vec<(Key, Millis)> {
    let mut ages = ages.to_vec();
    ages.sort_unstable();
    let numbered = ages.iter().zip(0_u128..);
    numbered
        .map(|(age, number)| (Key(number), NOW.since(Millis::new(*age))))
        .collect()
}

proptest! {
    /// Guards against turns that never get old because each copy counts as newer than what it was copied from.
    #[test]
    fn a_copy_is_no_younger(ages in prop::collection::vec(0_u64..400_000, 0..50), delay in 0_u64..=10_000) {
        let turns = turns(&ages);
        let later = NOW.plus(Millis::new(delay));
        let decoded = decode(&encode(turns.iter().copied(), NOW), later);
        prop_assert_eq!(decoded.len(), turns.len());
        for ((key, stored_at), (copied, copied_at)) in turns.iter().zip(&decoded) {
            prop_assert_eq!(key, copied);
            let is_past = later.since(*copied_at) >= RETENTION;
            prop_assert!(copied_at <= stored_at || is_past, "{} {}", copied_at, stored_at);
            // No more than the cut-off part and the time for the way are added.
            let most = STEP.plus(STEP);
            prop_assert!(stored_at.since(*copied_at) <= most, "{} {}", copied_at, stored_at);
        }
    }

    /// Guards against a list that gets longer with the ages than a process that doesn't know them can copy.
    #[test]
    fn a_list_has_few_repetitions(ages in prop::collection::vec(0_u64..u64::MAX, 1..50)) {
        let most = usize::try_from(RETENTION.as_u64() / STEP.as_u64() + 2).unwrap();
        prop_assert!(encode(turns(&ages).into_iter(), NOW).len() <= ages.len() + most);
    }
}

/// Guards against turns that are taken for old ones, as the member that listed them doesn't know ages.
#[test]
fn turns_listed_without_ages_count_as_new() {
    let keys = [Key(3), Key(1), Key(2)];
    let decoded = decode(&keys, NOW);
    assert_eq!(decoded, keys.map(|key| (key, NOW)));
}
