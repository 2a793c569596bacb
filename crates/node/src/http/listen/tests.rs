use super::*;

#[test]
fn the_last_connections_are_kept_for_urgent_work() {
    let connections = Arc::new(Connections::new(3, 1, Millis::new(1_000)));
    let entered: Vec<(Pass, Room)> = (0..4).map(|_| connections.enter()).collect();
    let rooms: Vec<Room> = entered.iter().map(|(_, room)| *room).collect();
    assert_eq!(
        rooms,
        [Room::Free, Room::Free, Room::UrgentOnly, Room::Full]
    );
    drop(entered);
    assert_eq!(connections.enter().1, Room::Free);
}
