use http_body_util::Full;

use super::*;

const TIME: Duration = Duration::from_secs(1);

fn body(bytes: usize) -> Full<Bytes> {
    Full::new(Bytes::from(vec![0; bytes]))
}

/// Guards against long messages of unknown senders that keep short ones out.
#[tokio::test]
async fn a_short_body_finds_room_beside_long_ones() {
    let intake = Intake::new(400_000);
    let long = intake.read(body(290_000), 400_000, TIME).await.unwrap();
    let second = intake.read(body(100_000), 400_000, TIME).await;
    assert_eq!(second.unwrap_err(), Fault::Crowded);
    let short = intake.read(body(60_000), 400_000, TIME).await.unwrap();
    assert_eq!(short.bytes.len(), 60_000);
    drop((long, short));
    assert!(intake.read(body(290_000), 400_000, TIME).await.is_ok());
}

/// Guards against a body over the limit that is read before it is refused.
#[tokio::test]
async fn a_body_over_the_limit_is_refused_unread() {
    let intake = Intake::new(400_000);
    let read = intake.read(body(10_001), 10_000, TIME).await;
    assert_eq!(read.unwrap_err(), Fault::TooLong);
}
