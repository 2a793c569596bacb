use super::*;

#[test]
fn the_last_connections_are_reserved_for_urgent_work() {
    let connections = Arc::new(Connections::new(3, 1, Millis::new(1_000)));
    let admitted: Vec<(Slot, Admission)> = (0..4).map(|_| connections.admit()).collect();
    let admissions: Vec<Admission> = admitted.iter().map(|(_, admission)| *admission).collect();
    assert_eq!(
        admissions,
        [
            Admission::Any,
            Admission::Any,
            Admission::UrgentOnly,
            Admission::None
        ]
    );
    drop(admitted);
    assert_eq!(connections.admit().1, Admission::Any);
}
