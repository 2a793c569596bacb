use bytes::Bytes;
use replica::record::Key;

use super::Cache;

/// A burst of long turns must not use up a small VM's memory: the oldest go.
#[test]
fn the_cache_keeps_within_its_room() {
    let mut cache = Cache::new(100);
    for at in 0..10 {
        cache.insert(Key(at), Bytes::from(vec![0; 30]), None);
    }
    assert!(cache.find(Key(0)).is_none());
    assert!(cache.find(Key(9)).is_some());
    assert_eq!(cache.bytes, 90);
    cache.insert(Key(9), Bytes::from(vec![0; 30]), None);
    assert_eq!(cache.bytes, 90);
}
