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
async fn a_lost_answer_leaves_its_write() {
    let memory = Memory::default();
    memory.play(Play::LoseAnswer);
    let first = memory.commit(&create("a"), Weight::Commit).await;
    assert!(matches!(first, Err(Fault::Unknown(_))));
    assert!(memory.read("a").await.unwrap().is_some());
}

#[tokio::test]
async fn a_delayed_write_lands_later_only_where_its_conditions_hold() {
    let memory = Memory::default();
    memory.play(Play::Delay);
    assert!(memory.commit(&create("a"), Weight::Commit).await.is_err());
    assert!(memory.read("a").await.unwrap().is_none());
    let second = memory.commit(&create("a"), Weight::Commit).await.unwrap();
    assert!(matches!(second, Outcome::Applied(_)));
    let before = memory.read("a").await.unwrap();
    memory.deliver();
    assert_eq!(memory.read("a").await.unwrap(), before);
}
