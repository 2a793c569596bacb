use super::*;

const LIMITS: Limits = Limits {
    count: 3,
    bytes: 20 * CONNECTION_BYTES,
    head_time: Millis::new(3_000),
    idle_time: Millis::new(10_000),
};

const fn at(ms: u64) -> Millis {
    Millis::new(ms)
}

/// Opens as many connections as there may be.
fn full() -> (Table, [Id; 3]) {
    let mut table = Table::new(LIMITS);
    let ids = [0, 1, 2].map(|ms| table.open(at(ms)).unwrap());
    (table, ids)
}

fn serve(table: &mut Table, id: Id, now: Millis) {
    let verdict = table.begin_request(id, 100, 5, now);
    assert_eq!(verdict, Verdict::Admitted);
    table.end_request(id, now);
}

/// Guards against a crowd that keeps newcomers out, and against callers that lose a connection which they may
/// reuse while one with an unfinished head is open.
#[test]
fn an_unfinished_head_gives_way_before_a_connection_that_may_be_reused() {
    let (mut table, [kept, half, other]) = full();
    serve(&mut table, kept, at(3));
    serve(&mut table, other, at(4));
    table.note_head(half, 10, at(5));
    assert!(table.open(at(6)).is_some());
    assert_eq!(table.take_ended(), [half]);
}

/// Guards against callers that lose a connection to a crowd that connects and sends nothing.
#[test]
fn a_connection_without_a_request_gives_way_before_one_that_had_one() {
    let (mut table, [kept, silent, other]) = full();
    serve(&mut table, kept, at(3));
    serve(&mut table, other, at(4));
    assert!(table.open(at(6)).is_some());
    assert_eq!(table.take_ended(), [silent]);
}

/// Guards against a crowd that sends one request each and then keeps its connections.
#[test]
fn of_idle_connections_the_one_idle_longest_gives_way() {
    let (mut table, [first, second, third]) = full();
    for (id, ms) in [(second, 3), (third, 4), (first, 5)] {
        serve(&mut table, id, at(ms));
    }
    assert!(table.open(at(6)).is_some());
    assert_eq!(table.take_ended(), [second]);
}

/// Guards against a caller that loses its connection although another one is open that isn't reused any more.
#[test]
fn a_connection_that_is_not_reused_any_more_gives_way_first() {
    let (mut table, [old, half, other]) = full();
    serve(&mut table, old, at(3));
    serve(&mut table, other, at(4_000));
    table.note_head(half, 10, at(9_000));
    assert!(table.open(at(9_001)).is_some());
    assert_eq!(table.take_ended(), [old]);
}

/// Guards against an answer that is lost to a newcomer.
#[test]
fn requests_under_way_are_kept() {
    let (mut table, ids) = full();
    for id in ids {
        let _admitted = table.begin_request(id, 100, 5, at(3));
    }
    assert_eq!(table.open(at(600_000)), None);
    assert_eq!(table.full_at(), Some(at(600_000)));
    assert_eq!(table.take_ended(), []);
}

/// Guards against callers that read nothing and keep all others out.
#[test]
fn an_unread_answer_gives_way_after_some_time_only() {
    let (mut table, ids) = full();
    for id in ids {
        let _admitted = table.begin_request(id, 100, 5, at(3));
        table.note_blocked(id, at(4));
    }
    assert_eq!(table.open(at(3_000)), None);
    assert!(table.open(at(3_005)).is_some());
    assert_eq!(table.take_ended(), [ids[0]]);
}

/// Guards against callers that send requests one behind the other and read nothing: the next request begins
/// before the answer to the last one is sent.
#[test]
fn a_further_request_does_not_keep_an_unread_answer() {
    let (mut table, ids) = full();
    for id in ids {
        let _admitted = table.begin_request(id, 100, 5, at(3));
        table.note_blocked(id, at(4));
        table.end_request(id, at(5));
        let _admitted = table.begin_request(id, 100, 5, at(2_900));
    }
    assert!(table.open(at(3_005)).is_some());
    assert_eq!(table.take_ended(), [ids[0]]);
}

/// Guards against heads that are each within the limits and fill the memory together.
#[test]
fn heads_that_grow_give_way_to_each_other() {
    let (mut table, [first, second, third]) = full();
    let bytes = LIMITS.bytes / HEAD_FACTOR / 3;
    for (id, ms) in [(first, 3), (second, 4), (third, 5)] {
        table.note_head(id, bytes, at(ms));
    }
    assert_eq!(table.take_ended(), [first]);
    assert!(table.bytes() <= LIMITS.bytes);
}

/// Guards against heads of many fields that fill the memory once they are decoded.
#[test]
fn a_head_of_many_fields_is_refused_without_room() {
    let (mut table, [first, second, third]) = full();
    let fields = LIMITS.bytes / FIELD_BYTES / 2;
    assert_eq!(
        table.begin_request(first, 100, fields, at(3)),
        Verdict::Admitted
    );
    let _waits = table.begin_request(third, 100, 5, at(3));
    assert_eq!(
        table.begin_request(second, 100, fields, at(4)),
        Verdict::Full
    );
    table.end_request(second, at(5));
    assert!(table.bytes() <= LIMITS.bytes);
}

/// Guards against connections that are kept open without requests, and heads that never end.
#[test]
fn heads_and_idle_connections_end_in_time() {
    let (mut table, [idle, half, busy]) = full();
    let _admitted = table.begin_request(busy, 100, 5, at(3));
    table.note_head(half, 10, at(100));
    table.note_head(half, 20, at(3_000));
    table.expire(at(3_100));
    assert_eq!(table.take_ended(), []);
    table.expire(at(3_101));
    assert_eq!(table.take_ended(), [half]);
    table.expire(at(10_001));
    assert_eq!(table.take_ended(), [idle]);
    table.expire(at(600_000));
    assert_eq!(table.take_ended(), []);
}

/// Guards against limits of a new configuration that count for new connections only.
#[test]
fn limits_count_for_open_connections() {
    let (mut table, [idle, ..]) = full();
    table.set_limits(Limits {
        idle_time: at(500),
        ..LIMITS
    });
    table.expire(at(501));
    assert_eq!(table.take_ended(), [idle]);
}
