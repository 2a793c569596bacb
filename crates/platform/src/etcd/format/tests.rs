use rstest::rstest;

use super::*;

// The texts are requests and responses of an etcd gateway, written out by hand.
#[rstest]
#[case::snake(r#"{"key":"Zm9v","target":"MOD","result":"EQUAL","mod_revision":"7"}"#)]
#[case::camel(r#"{"key":"Zm9v","target":"MOD","modRevision":"7"}"#)]
#[case::number(r#"{"key":"Zm9v","target":"MOD","mod_revision":7}"#)]
fn a_condition_is_read_in_each_form(#[case] text: &str) {
    let compare: Compare = serde_json::from_str(text).unwrap();
    assert_eq!(compare.key, Blob::of(b"foo"));
    assert_eq!(compare.target, Target::Mod);
    assert_eq!(compare.result, Relation::Equal);
    assert_eq!(compare.mod_revision, 7);
}

#[test]
fn a_transaction_is_written_as_the_gateway_reads_it() {
    let txn = Txn {
        compare: vec![Compare {
            key: Blob::of(b"foo"),
            target: Target::Mod,
            mod_revision: 12,
            ..Compare::default()
        }],
        success: vec![Op::Put(Put {
            key: Blob::of(b"foo"),
            value: Blob::of(b"bar"),
            lease: 0,
        })],
        failure: vec![],
    };
    let expected = concat!(
        r#"{"compare":[{"result":"EQUAL","target":"MOD","key":"Zm9v","mod_revision":"12"}],"#,
        r#""success":[{"request_put":{"key":"Zm9v","value":"YmFy"}}]}"#
    );
    assert_eq!(serde_json::to_string(&txn).unwrap(), expected);
}

#[test]
fn an_answer_without_defaults_is_read() {
    let text = r#"{"header":{"cluster_id":"1","revision":"5"},
        "responses":[{"response_range":{"kvs":[{"key":"Zm9v","mod_revision":"4"}],"count":"1"}}]}"#;
    let response: TxnResponse = serde_json::from_str(text).unwrap();
    assert!(!response.succeeded);
    let OpResponse::Range(ranged) = &response.responses[0] else {
        panic!("the response isn't a range")
    };
    assert_eq!(ranged.kvs[0].mod_revision, 4);
    assert!(ranged.kvs[0].value.is_empty());
}

#[test]
fn a_removal_is_read() {
    let text =
        r#"{"result":{"events":[{"type":"DELETE","kv":{"key":"Zm9v","mod_revision":"9"}}]}}"#;
    let item: StreamItem<WatchResponse> = serde_json::from_str(text).unwrap();
    assert_eq!(item.result.events[0].kind, Kind::Delete);
    assert_eq!(item.result.events[0].kv.mod_revision, 9);
}
