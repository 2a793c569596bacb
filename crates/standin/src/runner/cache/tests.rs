use super::*;

fn conversation(lengths: &[u64]) -> Vec<Part> {
    let parts = lengths.iter().enumerate().map(|(index, tokens)| Part {
        digest: Digest(index as u64),
        tokens: *tokens,
    });
    parts.collect()
}

#[test]
fn lookup_counts_only_the_common_prefix() {
    let mut cache = Cache::new(100);
    cache.insert("a", conversation(&[10, 20]));
    assert_eq!(cache.lookup("a", &conversation(&[10, 20, 5])), 30);
    assert_eq!(cache.lookup("a", &conversation(&[10, 21, 5])), 10);
    assert_eq!(cache.lookup("b", &conversation(&[10, 20])), 0);
}

#[test]
fn the_least_recently_used_program_is_evicted() {
    let mut cache = Cache::new(100);
    cache.insert("a", conversation(&[40]));
    cache.insert("b", conversation(&[40]));
    cache.lookup("a", &conversation(&[40]));
    cache.insert("c", conversation(&[40]));
    let cached: Vec<&str> = cache.programs().map(|(program, _)| program).collect();
    assert_eq!(cached, ["a", "c"]);
    assert_eq!(cache.free(), 20);
    cache.insert("d", conversation(&[101]));
    assert_eq!(cache.free(), 20);
    assert!(cache.release("a"));
    assert!(!cache.release("a"));
    assert_eq!(cache.free(), 60);
}
