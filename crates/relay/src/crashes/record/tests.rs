use super::*;

fn evidence(wider: Option<Scope>) -> Vec<Report> {
    let crash = |number| Report {
        content: Content(0x2a),
        wider,
        outcome: Outcome::Crashed(Incarnation(number)),
        age: Millis::ZERO,
    };
    vec![crash(1), crash(u64::MAX)]
}

#[test]
fn a_record_is_read_as_it_was_written() {
    let wider = Scope {
        body: Content(0x2b),
        resource: Content(u128::MAX),
    };
    for (width, wider) in [
        (Width::Exact, None),
        (Width::Body, Some(wider)),
        (Width::Resource, Some(wider)),
    ] {
        let record = Record {
            content: Content(0x2a),
            width,
            evidence: evidence(wider),
        };
        let name = record.content.to_string();
        let read = decode(width, &name, &record.value());
        assert_eq!(read, Some(record.evidence));
    }
}

/// Guards against a record that a process of an older release can't read.
#[test]
fn a_record_of_an_exact_content_lists_the_runners_only() {
    let wider = Scope {
        body: Content(1),
        resource: Content(2),
    };
    let record = Record {
        content: Content(0x2a),
        width: Width::Exact,
        evidence: evidence(Some(wider)),
    };
    assert_eq!(record.value(), b"1 18446744073709551615");
    assert_eq!(
        record.key(),
        format!("{}refused/{}", keys::OWN, record.content)
    );
}

#[test]
fn other_bytes_are_no_record() {
    for (name, value) in [("x", "1 2"), ("2a", ""), ("2a", "1  2"), ("2a", "-1")] {
        for width in WIDTHS {
            let read = decode(width, name, value.as_bytes());
            assert_eq!(read, None, "{width} {name} {value}");
        }
    }
}
