use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::time::Instant;
use tokio::time::timeout;

use super::Body;
use super::Pace;

const TEXT: &[u8] = b"a body of some words";

#[tokio::test(start_paused = true)]
async fn a_slow_body_is_complete_after_its_span() {
    let pace = Pace::Slow(Duration::from_millis(100));
    let started = Instant::now();
    let whole = Body::new(Bytes::from_static(TEXT), pace).collect().await;
    assert_eq!(whole.unwrap().to_bytes(), TEXT);
    let took = started.elapsed();
    let span = pace.span().unwrap();
    assert!(took >= span && took < span + Duration::from_millis(10));
}

#[tokio::test(start_paused = true)]
async fn a_body_that_stops_sends_half() {
    let mut body = Body::new(Bytes::from_static(TEXT), Pace::Stops);
    let half = body.frame().await.unwrap().unwrap().into_data().unwrap();
    assert_eq!(half, TEXT[..TEXT.len() / 2]);
    let more = timeout(Duration::from_mins(1), body.frame()).await;
    assert!(more.is_err());
}
