//! Renders the figures as text or JSON.

use std::fmt::Write;

use serde_json::Value;
use serde_json::json;

use crate::measure::Figures;

/// Renders the figures as text tables.
pub fn text(figures: &[Figures]) -> String {
    let mut text = String::from(
        "time in ms from each event until all VMs agree on the runners and the configuration\n",
    );
    for row in figures {
        let agreed = row.agreed.iter().map(|(name, span)| {
            let span = span.map_or_else(|| "never".to_owned(), |span| span.to_string());
            format!("{name} {span}")
        });
        let agreed: Vec<String> = agreed.collect();
        line(
            &mut text,
            &format!(
                "{:>4} VMs, {:>4} runners: {}",
                row.vms,
                row.runners,
                agreed.join(", ")
            ),
        );
    }
    line(&mut text, "\nmessages / bytes per VM and second, idle");
    for row in figures {
        let parts = row.mechanisms.iter();
        let parts = parts.map(|(name, messages, bytes)| format!("{name} {messages:.2}/{bytes:.0}"));
        let parts: Vec<String> = parts.collect();
        line(
            &mut text,
            &format!("{:>4} VMs: {}", row.vms, parts.join(", ")),
        );
    }
    line(
        &mut text,
        "\nper VM, idle: bytes/s (mean, max), exchanges served per s (max), % of a core (mean, max); then the largest number of VMs that contacted the same VM within a second, and how often a departed runner was used again",
    );
    for row in figures {
        line(
            &mut text,
            &format!(
                "{:>4} VMs: {:.0} {:.0}, {:.0}, {:.2} {:.2}; {}, {}",
                row.vms,
                row.mean_bytes,
                row.max_bytes,
                row.max_exchanges_served,
                row.processor.0,
                row.processor.1,
                row.askers,
                row.readmissions
            ),
        );
    }
    calls(&mut text, figures);
    text
}

fn calls(text: &mut String, figures: &[Figures]) {
    line(
        text,
        "\ncalls of the key-value service, all VMs: their price in whole calls, and their number by kind",
    );
    for row in figures {
        for (situation, calls) in &row.calls {
            let kinds = calls.by_kind.iter().filter(|(_, count)| *count > 0);
            let kinds: Vec<String> = kinds
                .map(|(name, count)| format!("{name} {count}"))
                .collect();
            let (vms, weight, kinds) = (row.vms, calls.weight, kinds.join(", "));
            line(
                text,
                &format!("{vms:>4} VMs, {situation}: {weight}; {kinds}"),
            );
        }
    }
}

fn line(text: &mut String, line: &str) {
    // Writing to a string can't fail.
    let _written = writeln!(text, "{line}");
}

/// Renders the figures as JSON.
pub fn json(figures: &[Figures]) -> Value {
    figures.iter().map(object).collect()
}

fn object(row: &Figures) -> Value {
    let agreed = row.agreed.iter();
    let agreed: Vec<Value> = agreed
        .map(|(name, span)| json!({ "event": name, "ms": span }))
        .collect();
    let mechanisms = row.mechanisms.iter();
    let mechanisms: Vec<Value> = mechanisms
        .map(|(name, messages, bytes)| {
            json!({ "mechanism": name, "messages_s": messages, "bytes_s": bytes })
        })
        .collect();
    json!({
        "vms": row.vms,
        "runners": row.runners,
        "agreed": agreed,
        "mechanisms": mechanisms,
        "mean_bytes_s": row.mean_bytes,
        "most_bytes_s": row.max_bytes,
        "most_asked_s": row.max_exchanges_served,
        "askers": row.askers,
        "mean_processor_percent": row.processor.0,
        "most_processor_percent": row.processor.1,
        "returns": row.readmissions,
        "calls": row.calls.iter().map(|(situation, calls)| json!({
            "situation": situation,
            "weight": calls.weight,
            "kinds": calls.by_kind.iter().map(|(name, count)| json!({ "call": name, "count": count })).collect::<Vec<Value>>(),
        })).collect::<Vec<Value>>(),
    })
}
