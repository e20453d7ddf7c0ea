//! The command `cactusspur status`.

use {
    super::{
        EntryStatus, ExitStatus, Failure, OutputFormat, StatusArguments,
        entry_client::{EntryAnswer, fetch_statuses, print_answers},
    },
    std::io,
};

pub(super) async fn run<W>(
    arguments: &StatusArguments,
    format: OutputFormat,
    out: &mut W,
) -> Result<ExitStatus, Failure>
where
    W: io::Write,
{
    let results = fetch_statuses(&arguments.entries, arguments.only).await;
    print_answers(results, format, out, describe)
}

fn describe(answers: &[EntryAnswer<EntryStatus>]) -> Vec<String> {
    let header = row(
        "ENTRY VM",
        "DOMAIN",
        "GENERATION",
        "CONFIRMED",
        "REQUESTS",
        "STATE",
    );
    let rows = answers.iter().map(|answer| match &answer.status {
        Some(status) => describe_entry(status),
        None => format!("{} does not answer", answer.address),
    });
    std::iter::once(header).chain(rows).collect()
}

fn describe_entry(status: &EntryStatus) -> String {
    let confirmed = match status.confirmed_ms_ago {
        Some(age_ms) => format!("{age_ms} ms ago"),
        None => "never".to_owned(),
    };
    let state = if status.draining {
        "draining"
    } else {
        "serving"
    };
    row(
        &status.name,
        &status.failure_domain,
        &status.generation.to_string(),
        &confirmed,
        &status.in_progress.to_string(),
        state,
    )
}

fn row(
    name: &str,
    domain: &str,
    generation: &str,
    confirmed: &str,
    requests: &str,
    state: &str,
) -> String {
    format!("{name:<20} {domain:<12} {generation:>10} {confirmed:>14} {requests:>9}  {state}")
}
