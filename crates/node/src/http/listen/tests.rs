use super::*;

#[test]
fn the_last_connections_are_kept_for_urgent_work() {
    let door = Arc::new(Door::new(3, 1, Millis::new(1_000)));
    let entered: Vec<(Pass, Room)> = (0..4).map(|_| door.enter()).collect();
    let rooms: Vec<Room> = entered.iter().map(|(_, room)| *room).collect();
    assert_eq!(
        rooms,
        [Room::Free, Room::Free, Room::UrgentOnly, Room::Full]
    );
    drop(entered);
    assert_eq!(door.enter().1, Room::Free);
}
