use platform::memory::Memory;

use super::*;

fn shard() -> id::Shard {
    id::Shard {
        centre: id::Centre::parse("c").unwrap(),
        index: 0,
    }
}

fn key_write(value: &'static [u8], index: Option<&'static [u8]>) -> KeyWrite {
    KeyWrite {
        seq: 3,
        value: Bytes::from_static(value),
        index: index.map(Bytes::from_static),
        index_revision: 0,
    }
}

#[tokio::test]
async fn the_same_bytes_can_be_sent_again_and_others_find_the_key_taken() {
    let memory = Memory::default();
    let first = send(&memory, &shard(), &key_write(b"a", Some(b"i"))).await;
    assert!(matches!(first, WriteOutcome::Written(_)));
    assert_eq!(
        send(&memory, &shard(), &key_write(b"a", Some(b"i"))).await,
        first
    );
    assert_eq!(
        send(&memory, &shard(), &key_write(b"b", None)).await,
        WriteOutcome::Taken
    );
}

#[tokio::test]
async fn bytes_without_their_index_were_written_by_another_owner() {
    // A new owner collects a batch from a copy and writes it without the index that the old owner
    // sends with it. If the old owner assumed that its index was set, it would remove keys that no
    // image covers.
    let memory = Memory::default();
    let without_index = send(&memory, &shard(), &key_write(b"a", None)).await;
    assert!(matches!(without_index, WriteOutcome::Written(_)));
    assert_eq!(
        send(&memory, &shard(), &key_write(b"a", Some(b"i"))).await,
        WriteOutcome::Superseded
    );
}
