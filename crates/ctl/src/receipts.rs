//! Commands `receipts` and `statements`.

use receipt::{Segment, Statement};
use serde_json::json;
use store::{HttpPlatformClient, ObjectApi};

use crate::error::CommandError;
use crate::output::Output;
use crate::platform;

/// Prints the receipts that the platform still holds, without duplicates.
pub(crate) async fn receipts(
    platform: &HttpPlatformClient,
    workspace: Option<&str>,
    output: Output,
) -> Result<(), CommandError> {
    let listing = platform.list("receipts/").await;
    let listing = listing.map_err(|err| platform::command_error("cannot read receipts", &err))?;
    let mut seen = std::collections::HashSet::new();
    let mut rows = Vec::new();
    for object in listing.objects {
        let segment: Option<Segment> = object
            .value
            .and_then(|value| serde_json::from_value(value).ok());
        for receipt in segment.into_iter().flat_map(|segment| segment.receipts) {
            let other = workspace.is_some_and(|name| name != &*receipt.workspace);
            if other || !seen.insert((receipt.home, receipt.workspace.clone(), receipt.number)) {
                continue;
            }
            rows.push(json!({
                "workspace": receipt.workspace,
                "request": receipt.request,
                "version": receipt.usage.version,
                "outcome": receipt.usage.outcome,
                "cost_micros": receipt.usage.cost_micros,
                "ended_ms": receipt.ended_ms,
            }));
        }
    }
    output.print(
        &[
            "workspace",
            "request",
            "version",
            "outcome",
            "cost_micros",
            "ended_ms",
        ],
        &rows,
    );
    Ok(())
}

/// Prints the settled totals of each workspace.
pub(crate) async fn statements(
    platform: &HttpPlatformClient,
    output: Output,
) -> Result<(), CommandError> {
    let listing = platform.list("statements/").await;
    let listing = listing.map_err(|err| platform::command_error("cannot read statements", &err))?;
    let mut rows = Vec::new();
    for object in listing.objects {
        let statement: Option<Statement> = object
            .value
            .and_then(|value| serde_json::from_value(value).ok());
        let Some(statement) = statement else {
            continue;
        };
        rows.push(json!({
            "workspace": object.path.split('/').nth(1),
            "requests": statement.totals.requests,
            "cost_micros": statement.totals.cost_micros,
            "prompt_tokens": statement.totals.prompt_tokens,
            "completion_tokens": statement.totals.completion_tokens,
            "too_late": statement.too_late,
        }));
    }
    let columns = [
        "workspace",
        "requests",
        "cost_micros",
        "prompt_tokens",
        "completion_tokens",
        "too_late",
    ];
    output.print(&columns, &rows);
    Ok(())
}
