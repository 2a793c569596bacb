use super::*;

fn load(speed: f64, at: u64) -> Load {
    Load {
        endpoint: id::Endpoint::parse("fast").unwrap(),
        up: true,
        leaving: false,
        running: 0,
        waiting: 0,
        speed,
        cache: 0,
        at: Millis::new(at),
    }
}

/// While a prompt is prefilled beside a batch, an endpoint reports a third less speed. Without
/// smoothing, the batch's other programs would move away from the endpoint that caches their
/// prefix. The same report is seen again with each change of the view and must count only once.
#[test]
fn one_slow_report_hardly_changes_the_speed() {
    let mut state = State::new(id::Endpoint::parse("fast").unwrap(), Millis::ZERO);
    state.record_report(&load(90.0, 1));
    for _ in 0..20 {
        state.record_report(&load(60.0, 2));
    }
    assert!(state.speed > 80.0, "{}", state.speed);
    for at in 3..60 {
        state.record_report(&load(60.0, at));
    }
    assert!(state.speed < 61.0, "{}", state.speed);
}
