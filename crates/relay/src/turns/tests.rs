use bytes::Bytes;
use replica::record::Key;

use super::Cache;

/// A burst of long turns must not use up a small VM's memory: the oldest are evicted.
#[test]
fn the_cache_stays_within_its_capacity() {
    let mut cache = Cache::new(100);
    for key in 0..10 {
        cache.insert(Key(key), Bytes::from(vec![0; 30]), None);
    }
    assert!(cache.find(Key(0)).is_none());
    assert!(cache.find(Key(9)).is_some());
    assert_eq!(cache.bytes, 90);
    cache.insert(Key(9), Bytes::from(vec![0; 30]), None);
    assert_eq!(cache.bytes, 90);
}
