//! The command `cactusspur timeline`.

use {
    super::{
        ExitStatus, Failure, OutputFormat, TimelineArguments,
        entry_client::{fetch_all, fetch_statuses},
    },
    crate::timeline::{TimelineEvent, TimelineFilter, TimelinePart, merge},
    serde::Serialize,
    std::{io, net::SocketAddr},
};

#[derive(Serialize)]
struct MergedTimeline {
    events: Vec<TimelineEvent>,
    /// The errors of the entry VMs that didn't answer and whose events are missing.
    missing: Vec<String>,
}

pub(super) async fn run<W>(
    arguments: &TimelineArguments,
    format: OutputFormat,
    out: &mut W,
) -> Result<ExitStatus, Failure>
where
    W: io::Write,
{
    let filter = TimelineFilter {
        request: arguments.request,
        class: arguments.class.clone(),
        worker: arguments.worker.clone(),
    };
    let results = fetch_statuses(&arguments.entries, arguments.only).await;
    let addresses: Vec<SocketAddr> = results.iter().map(|(address, _)| *address).collect();
    let path = format!("/timeline{}", filter.query());
    let mut parts: Vec<TimelinePart> = Vec::new();
    let mut missing = Vec::new();
    for (_, answer) in fetch_all(&addresses, &path).await {
        match answer {
            Ok(part) => parts.push(part),
            Err(failure) => missing.push(failure.to_string()),
        }
    }
    let merged = MergedTimeline {
        events: merge(parts),
        missing,
    };
    format.print(out, &merged, describe)?;
    if merged.missing.is_empty() {
        return Ok(ExitStatus::Done);
    }
    Ok(ExitStatus::Unreachable)
}

fn describe(merged: &MergedTimeline) -> Vec<String> {
    let events = merged.events.iter().map(describe_event);
    let missing = merged
        .missing
        .iter()
        .map(|failure| format!("missing: {failure}"));
    events.chain(missing).collect()
}

fn describe_event(event: &TimelineEvent) -> String {
    let references = [
        ("request", event.request.map(|name| name.to_string())),
        ("class", event.class.clone()),
        ("worker", event.worker.clone()),
        ("attempt", event.attempt.map(|attempt| attempt.to_string())),
    ];
    let start = format!(
        "{:<18} {:<18} {:<15}",
        event.time.to_string(),
        event.entry,
        event.kind.to_string()
    );
    let references = references
        .into_iter()
        .filter_map(|(name, value)| value.map(|value| format!("{name}={value}")));
    let detail = (!event.detail.is_empty()).then(|| format!("({})", event.detail));
    let parts: Vec<String> = std::iter::once(start)
        .chain(references)
        .chain(detail)
        .collect();
    parts.join(" ")
}
