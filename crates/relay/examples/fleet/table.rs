//! Prints what was measured.

use std::fmt::Write;

use serde_json::Value;
use serde_json::json;

use crate::measure::Figures;

/// Renders tables.
pub fn text(figures: &[Figures]) -> String {
    let mut text = String::from("until all VMs agree, in ms\n");
    for of in figures {
        let agreed = of.agreed.iter().map(|(name, span)| {
            let span = span.map_or_else(|| "never".to_owned(), |span| span.to_string());
            format!("{name} {span}")
        });
        let agreed: Vec<String> = agreed.collect();
        line(
            &mut text,
            &format!(
                "{:>4} VMs, {:>4} runners: {}",
                of.vms,
                of.runners,
                agreed.join(", ")
            ),
        );
    }
    line(&mut text, "\nmessages / bytes a VM and second, quiet");
    for of in figures {
        let parts = of.mechanisms.iter();
        let parts = parts.map(|(name, messages, bytes)| format!("{name} {messages:.2}/{bytes:.0}"));
        let parts: Vec<String> = parts.collect();
        line(
            &mut text,
            &format!("{:>4} VMs: {}", of.vms, parts.join(", ")),
        );
    }
    line(
        &mut text,
        "\na VM, quiet: bytes/s mean and most, exchanges/s most, % of a core mean and most; askers within a second, returns",
    );
    for of in figures {
        line(
            &mut text,
            &format!(
                "{:>4} VMs: {:.0} {:.0}, {:.0}, {:.2} {:.2}; {}, {}",
                of.vms,
                of.mean_bytes,
                of.most_bytes,
                of.most_asked,
                of.processor.0,
                of.processor.1,
                of.askers,
                of.returns
            ),
        );
    }
    text
}

fn line(text: &mut String, line: &str) {
    // Writing to a string can't fail.
    let _written = writeln!(text, "{line}");
}

/// Renders JSON.
pub fn json(figures: &[Figures]) -> Value {
    figures.iter().map(object).collect()
}

fn object(of: &Figures) -> Value {
    let agreed = of.agreed.iter();
    let agreed: Vec<Value> = agreed
        .map(|(name, span)| json!({ "event": name, "ms": span }))
        .collect();
    let mechanisms = of.mechanisms.iter();
    let mechanisms: Vec<Value> = mechanisms
        .map(|(name, messages, bytes)| {
            json!({ "mechanism": name, "messages_s": messages, "bytes_s": bytes })
        })
        .collect();
    json!({
        "vms": of.vms,
        "runners": of.runners,
        "agreed": agreed,
        "mechanisms": mechanisms,
        "mean_bytes_s": of.mean_bytes,
        "most_bytes_s": of.most_bytes,
        "most_asked_s": of.most_asked,
        "askers": of.askers,
        "mean_processor_percent": of.processor.0,
        "most_processor_percent": of.processor.1,
        "returns": of.returns,
    })
}
