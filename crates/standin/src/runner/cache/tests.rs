use super::*;

fn conversation(lengths: &[u64]) -> Vec<Part> {
    let parts = lengths.iter().enumerate().map(|(index, tokens)| Part {
        digest: Digest(index as u64),
        tokens: *tokens,
    });
    parts.collect()
}

#[test]
fn only_the_common_beginning_counts() {
    let mut cache = Cache::new(100);
    cache.hold("a", conversation(&[10, 20]));
    assert_eq!(cache.lookup("a", &conversation(&[10, 20, 5])), 30);
    assert_eq!(cache.lookup("a", &conversation(&[10, 21, 5])), 10);
    assert_eq!(cache.lookup("b", &conversation(&[10, 20])), 0);
}

#[test]
fn the_program_used_longest_ago_makes_room() {
    let mut cache = Cache::new(100);
    cache.hold("a", conversation(&[40]));
    cache.hold("b", conversation(&[40]));
    cache.lookup("a", &conversation(&[40]));
    cache.hold("c", conversation(&[40]));
    let held: Vec<&str> = cache.programs().map(|(program, _)| program).collect();
    assert_eq!(held, ["a", "c"]);
    assert_eq!(cache.free(), 20);
    cache.hold("d", conversation(&[101]));
    assert_eq!(cache.free(), 20);
    assert!(cache.release("a"));
    assert!(!cache.release("a"));
    assert_eq!(cache.free(), 60);
}
