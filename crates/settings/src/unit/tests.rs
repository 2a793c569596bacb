use rstest::rstest;

use super::*;

#[rstest]
#[case("500ms", 500)]
#[case("5s", 5_000)]
#[case("2 m", 120_000)]
#[case("1d", 86_400_000)]
fn spans_parse(#[case] text: &str, #[case] millis: u64) {
    assert_eq!(Span::parse(text), Ok(Millis::new(millis)));
}

#[rstest]
#[case("5")]
#[case("")]
#[case("5 sec")]
#[case("-5s")]
#[case("1.5s")]
#[case("99999999999999999999s")]
#[case("18446744073709551615d")]
fn invalid_spans_are_rejected(#[case] text: &str) {
    assert!(Span::parse(text).is_err());
}

#[rstest]
#[case(0, "0ms")]
#[case(1_500, "1500ms")]
#[case(90_000, "90s")]
#[case(86_400_000, "1d")]
fn spans_render_without_loss(#[case] millis: u64, #[case] text: &str) {
    assert_eq!(Span::render(Millis::new(millis)), text);
    assert_eq!(Span::parse(text), Ok(Millis::new(millis)));
}

#[test]
fn sizes_and_rates_parse_with_their_units() {
    assert_eq!(Size::parse("2MiB"), Ok(2 << 20));
    assert_eq!(Rate::parse("30/s"), Ok(30));
    assert!(Rate::parse("30").is_err());
}
