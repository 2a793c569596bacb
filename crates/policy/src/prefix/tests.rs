use wire::clock::Millis;

use super::Cache;
use super::Part;

fn part(id: u64, tokens: u64) -> Part {
    Part { id, tokens }
}

#[test]
fn parts_count_up_to_the_first_gap() {
    let mut cache = Cache::new(100_000);
    cache.note(&[part(1, 1000), part(3, 10)], Millis::new(1));
    assert_eq!(
        cache.cached(&[part(1, 1000), part(2, 50), part(3, 10)]),
        1000
    );
    assert_eq!(cache.cached(&[part(2, 50), part(1, 1000)]), 0);
}

#[test]
fn the_least_recently_used_part_goes_first() {
    let mut cache = Cache::new(2000);
    cache.note(&[part(1, 400)], Millis::new(1));
    cache.note(&[part(2, 400)], Millis::new(2));
    cache.note(&[part(1, 400)], Millis::new(3));
    cache.note(&[part(3, 400)], Millis::new(4));
    assert_eq!(cache.cached(&[part(2, 400)]), 0);
    assert_eq!(cache.cached(&[part(1, 400)]), 400);
    assert_eq!(cache.cached(&[part(3, 400)]), 400);
}
