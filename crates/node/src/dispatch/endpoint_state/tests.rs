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

/// A prompt is prefilled beside a batch, and the next report names a third less speed. Taken as it
/// is, it would make the batch's other programs leave their prefix; and the same report, which is
/// seen with each change of the view, must not count again.
#[test]
fn one_slow_report_hardly_moves_the_speed() {
    let mut state = EndpointState::new(id::Endpoint::parse("fast").unwrap(), Millis::ZERO);
    state.report(&load(90.0, 1));
    for _ in 0..20 {
        state.report(&load(60.0, 2));
    }
    assert!(state.speed > 80.0, "{}", state.speed);
    for at in 3..60 {
        state.report(&load(60.0, at));
    }
    assert!(state.speed < 61.0, "{}", state.speed);
}
