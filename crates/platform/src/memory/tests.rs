use super::*;
use crate::edge::Compare;

fn create(key: &str) -> Txn {
    Txn {
        compares: vec![Compare {
            key: key.to_owned(),
            revision: 0,
        }],
        writes: vec![Write::Put {
            key: key.to_owned(),
            value: b"1".to_vec(),
            lease: None,
        }],
    }
}

#[tokio::test]
async fn a_write_takes_effect_although_its_response_is_lost() {
    let memory = Memory::default();
    memory.inject(Injection::LoseAnswer);
    let first = memory.commit(&create("a"), Priority::Commit).await;
    assert!(matches!(first, Err(Fault::Unknown(_))));
    assert!(memory.read("a").await.unwrap().is_some());
}

#[tokio::test]
async fn a_delayed_write_takes_effect_only_if_its_conditions_hold() {
    let memory = Memory::default();
    memory.inject(Injection::Delay);
    assert!(memory.commit(&create("a"), Priority::Commit).await.is_err());
    assert!(memory.read("a").await.unwrap().is_none());
    let second = memory.commit(&create("a"), Priority::Commit).await.unwrap();
    assert!(matches!(second, Outcome::Applied(_)));
    let before = memory.read("a").await.unwrap();
    memory.deliver();
    assert_eq!(memory.read("a").await.unwrap(), before);
}

#[tokio::test]
async fn a_write_under_an_ended_lease_never_takes_effect() {
    // An owner's record is written after its lease has ended. If it took effect, nothing would ever
    // remove it, and the shard would stay assigned to an owner that is gone.
    let memory = Memory::default();
    let lease = memory.grant(Millis::new(60_000)).await.unwrap();
    let mut txn = create("a");
    let Write::Put { lease: held, .. } = &mut txn.writes[0] else {
        panic!("the write isn't a put");
    };
    *held = Some(lease);
    memory.inject(Injection::Delay);
    assert!(memory.commit(&txn, Priority::Claim).await.is_err());
    memory.revoke(lease).await.unwrap();
    memory.deliver();
    assert_eq!(memory.read("a").await, Ok(None));
    let late = memory.commit(&txn, Priority::Claim).await;
    assert!(matches!(late, Err(Fault::Invalid(_))));
}
