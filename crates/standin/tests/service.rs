//! Tests of the service stand-in over HTTP.

use serde_json::json;
use standin::client::get;
use standin::client::post;
use standin::client::read_json;
use standin::client::send;
use standin::service;
use standin::service::Settings;
use tokio::net::TcpListener;

// The answer of the first call is lost after the call ran, the second call is refused before it
// runs, and the third call runs. The service counts two runs for the key, although the caller did
// not learn that the first call ran.
#[tokio::test]
async fn runs_are_counted_even_if_their_answer_is_lost() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let server = service::serve(listener, Settings::default()).unwrap();
    let address = server.address();
    let headers = [("idempotency-key", "k")];
    let path = "/switching/close";
    post(address, "/faults", &[], &json!({ "lose_answers": 1 })).await;
    assert!(send(address, "POST", path, &headers, "{}").await.is_none());
    post(address, "/faults", &[], &json!({ "refuse": 1 })).await;
    let refused = send(address, "POST", path, &headers, "{}").await.unwrap();
    let (status, refusal) = read_json(refused).await;
    assert_eq!((status, &refusal["ran"]), (503, &json!("no")));
    let third = send(address, "POST", path, &headers, "{}").await.unwrap();
    assert_eq!(read_json(third).await.1["run"], 2);
    let counters = get(address, "/stats").await;
    let runs = json!([{ "key": "k", "operation": "close", "runs": 2 }]);
    assert_eq!(counters, json!({ "runs": runs, "refused": 1 }));
    assert_eq!(get(address, "/load").await["running"], 0);
}

#[tokio::test]
async fn a_leaving_service_refuses_calls_and_reports_that_it_is_leaving() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let server = service::serve(listener, Settings::default()).unwrap();
    let address = server.address();
    post(address, "/faults", &[], &json!({ "leaving": true })).await;
    assert_eq!(get(address, "/load").await["leaving"], true);
    let (status, _) = post(address, "/billing/order", &[], &json!({})).await;
    assert_eq!(status, 503);
    assert_eq!(get(address, "/stats").await["runs"], json!([]));
}
