//! A small client for the stand-ins' tests.
#![allow(dead_code)] // each test file uses a part

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper_util::client::legacy;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// Far longer than any wait here takes; a test that reaches it has failed.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Sends a request; `None` where the connection broke before an answer.
pub async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Response<Incoming>> {
    let http = legacy::Client::builder(TokioExecutor::new()).build_http();
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let body = Full::new(Bytes::copy_from_slice(body.as_bytes()));
    http.request(request.body(body).unwrap()).await.ok()
}

/// Posts JSON and reads the JSON answer with its status.
pub async fn post(address: SocketAddr, path: &str, body: &Value) -> (u16, Value) {
    let response = send(address, "POST", path, &[], &body.to_string()).await;
    whole(response.expect("no answer")).await
}

/// Reads a JSON answer with its status.
pub async fn get(address: SocketAddr, path: &str) -> Value {
    let response = send(address, "GET", path, &[], "").await;
    whole(response.expect("no answer")).await.1
}

/// Collects a JSON answer.
pub async fn whole(response: Response<Incoming>) -> (u16, Value) {
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    (status, serde_json::from_slice(&body).unwrap())
}

/// Collects a stream's text; the flag tells whether it ended as a stream should.
pub async fn stream(response: Response<Incoming>) -> (String, bool) {
    let mut body = response.into_body();
    let mut text = String::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return (text, false);
        };
        if let Ok(data) = frame.into_data() {
            text.push_str(std::str::from_utf8(&data).unwrap());
        }
    }
    let ended = text.ends_with("data: [DONE]\n\n");
    (text, ended)
}

/// Joins the contents of a stream's pieces.
pub fn content(events: &str) -> String {
    let lines = events
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    let pieces = lines.filter_map(|line| serde_json::from_str::<Value>(line).ok());
    pieces
        .filter_map(|piece| {
            let delta = &piece["choices"][0]["delta"]["content"];
            delta.as_str().map(str::to_owned)
        })
        .collect()
}

/// Asks again until the answer is as wished.
pub async fn until(address: SocketAddr, path: &str, wished: impl Fn(&Value) -> bool) -> Value {
    let asked = async {
        loop {
            let answer = get(address, path).await;
            if wished(&answer) {
                return answer;
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(PATIENCE, asked)
        .await
        .unwrap_or_else(|_| panic!("{path} never was as wished"))
}
