//! The metrics that a node serves.

use fakes::metrics;
use http_body_util::BodyExt;
use serde_json::json;
use standin::client;

use crate::fleet::CHAT;
use crate::fleet::Fleet;
use crate::fleet::refusal;

async fn scrape(fleet: &Fleet) -> String {
    let response = client::send(fleet.node.admin(), "GET", "/metrics", &[], "").await;
    let body = response.unwrap().into_body().collect().await.unwrap();
    String::from_utf8(body.to_bytes().to_vec()).unwrap()
}

// Operators look up a metric of a dashboard in the documentation. The test fails if a metric is
// served but not listed, listed but not served, or explained differently in the two places.
#[tokio::test]
async fn the_documentation_lists_every_metric() {
    let fleet = Fleet::plain().await;
    metrics::compare("serve", &scrape(&fleet).await);
}

// A whole turn, a streamed turn and a refusal are each counted under their own label.
#[tokio::test]
async fn answers_are_counted_by_kind_and_refusals_by_code() {
    let fleet = Fleet::plain().await;
    let mut chat = client::chat("plan #tokens=3");
    assert_eq!(fleet.ask(CHAT, &[], &chat).await.0, 200);
    chat["stream"] = json!(true);
    let token = format!("Bearer {}", client::TOKEN);
    let headers = [
        ("authorization", token.as_str()),
        ("content-type", "application/json"),
    ];
    let stream = client::send(fleet.callers, "POST", CHAT, &headers, &chat.to_string()).await;
    let (_, whole) = client::stream(stream.unwrap()).await;
    assert!(whole);
    let unknown = json!({"model": "none", "messages": [{"role": "user", "content": "x"}]});
    let refused = fleet.ask(CHAT, &[], &unknown).await;
    let (code, _) = refusal(&refused);
    let text = scrape(&fleet).await;
    for line in [
        "chestnutyoke_answered_total{kind=\"whole\"} 1\n".to_owned(),
        "chestnutyoke_answered_total{kind=\"stream\"} 1\n".to_owned(),
        "chestnutyoke_answered_total{kind=\"plain\"} 0\n".to_owned(),
        format!("chestnutyoke_refused_total{{code=\"{code}\"}} 1\n"),
    ] {
        assert!(text.contains(&line), "{line}{text}");
    }
}
