use super::*;

fn shard() -> id::Shard {
    id::Shard {
        centre: id::Centre::parse("c").unwrap(),
        index: 0,
    }
}

fn batch(epoch: u64, seq: u64) -> Batch {
    Batch {
        epoch,
        seq,
        value: Bytes::from_static(b"four"),
    }
}

#[test]
fn a_collected_shard_refuses_its_earlier_owner() {
    // The owner is cut off from the platform and sends copies of its turns here. Another VM takes
    // over and collects them. From then on the earlier owner must not get an acknowledgement,
    // because the new owner wouldn't see that turn.
    let mut store = Store::new(1, 100);
    store.hold(1, &shard(), &batch(1, 5)).unwrap();
    assert_eq!(store.collect(&shard(), 2).unwrap().held, [batch(1, 5)]);
    assert_eq!(store.hold(1, &shard(), &batch(1, 6)), Err(Fault::Fenced(2)));
    assert_eq!(store.collect(&shard(), 2).unwrap().held, [batch(1, 5)]);
    assert_eq!(store.collect(&shard(), 1), Err(Fault::Fenced(2)));
    store.hold(1, &shard(), &batch(2, 7)).unwrap();
    assert_eq!(store.collect(&shard(), 3).unwrap().held, [batch(2, 7)]);
}

#[test]
fn a_full_store_refuses_until_it_is_drained() {
    let mut store = Store::new(1, 8);
    store.hold(1, &shard(), &batch(1, 5)).unwrap();
    store.hold(1, &shard(), &batch(1, 6)).unwrap();
    assert_eq!(store.hold(1, &shard(), &batch(1, 7)), Err(Fault::Full));
    store.drained(&shard(), 1, 5);
    store.hold(1, &shard(), &batch(1, 7)).unwrap();
}

#[test]
fn a_restarted_store_is_not_taken_for_the_previous_one() {
    let mut store = Store::new(2, 8);
    assert_eq!(store.hold(1, &shard(), &batch(1, 5)), Err(Fault::Restarted));
}
