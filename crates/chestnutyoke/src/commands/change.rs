//! Sends a configuration change and prints its result.

use hyper::Method;
use node::controllers::config::edit::Edit;
use serde_json::Value;
use serde_json::json;

use crate::cli::operate::Format;
use crate::cli::operate::Target;
use crate::client;

/// Sends an edit to a VM, and prints the new revision and on how many VMs it is in force.
///
/// # Errors
///
/// Fails if the VM can't be reached, refuses the change or doesn't know the outcome of the change.
pub async fn run(target: &Target, edit: &Edit) -> client::Result<()> {
    let body = json!({ "edit": edit, "expected": target.expected });
    let answer = client::call(target.admin, Method::POST, "/operate/change", Some(&body)).await?;
    match target.format {
        Format::Json => println!("{answer}"),
        Format::Table => println!("{}", summary(&answer)),
    }
    Ok(())
}

fn summary(answer: &Value) -> String {
    let count = |list: &str| answer["rollout"][list].as_array().map_or(0, Vec::len);
    format!(
        "revision {}: in force on {} VMs, not yet on {}, {} not responding",
        answer["revision"],
        count("reached"),
        count("behind"),
        count("silent"),
    )
}
