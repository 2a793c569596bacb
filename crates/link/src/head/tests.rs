use hyper::Response;
use rstest::rstest;

use super::check;

/// Guards against whole answers that are refused because of the names of protocols in their headers.
#[rstest]
#[case::server("engine/1.1")]
#[case::via("HTTP/1.1 proxy")]
#[case::upgrade("HTTP/2.0, HTTP/1.1")]
#[case::version_and_word("HTTP/1.1 404pages")]
#[case::number("HTTP/1.1 20")]
#[case::other_protocol("RTSP/1.0 200 OK")]
fn a_header_may_name_protocols(#[case] value: &str) {
    let answer = Response::builder().header("via", value).body(()).unwrap();
    assert_eq!(check(&answer), Ok(()));
}
