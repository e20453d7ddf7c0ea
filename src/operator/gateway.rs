//! The command `cactusspur gateway`.

use {
    super::{
        ExitStatus, Failure, GatewayArguments, OutputFormat,
        entry_client::{EntryAnswer, fetch_all, post, print_answers},
    },
    crate::gateway::{
        server::LIFT_PATH,
        status::{BackendStatus, GatewayStatus},
    },
    cactusspur_core::gateway::{Suspect, UsageState},
    std::{io, iter},
};

pub(super) async fn run<W>(
    arguments: &GatewayArguments,
    format: OutputFormat,
    out: &mut W,
) -> Result<ExitStatus, Failure>
where
    W: io::Write,
{
    if let Some(culprit) = &arguments.lift {
        let path = format!("{LIFT_PATH}{}", culprit.to_string().replace(' ', ":"));
        for address in &arguments.metrics {
            post(*address, &path).await?;
        }
    }
    let results = fetch_all::<GatewayStatus>(&arguments.metrics, "/status").await;
    print_answers(results, format, out, |answers| {
        answers.iter().flat_map(describe).collect()
    })
}

fn describe(answer: &EntryAnswer<GatewayStatus>) -> Vec<String> {
    let Some(status) = &answer.status else {
        return vec![format!("{} does not answer", answer.address)];
    };
    let format_optional =
        |known: Option<u64>| known.map_or("none".to_owned(), |value| value.to_string());
    let store = status.store_age_ms.map_or_else(
        || "has not answered this gateway".to_owned(),
        |age| format!("answered {} ms ago", age.0),
    );
    let peers = match status.unread_peers {
        0 => status.peers.join(", "),
        known => format!("none of {known} known can be read; compare the shared keys"),
    };
    let polls = if status.polls_store {
        ", which this gateway polls"
    } else {
        ""
    };
    let state = match (status.is_stopping, status.is_rolling_out) {
        (true, _) => "shutting down",
        (false, true) => "rolling weights out",
        (false, false) => "serving",
    };
    let mut lines = vec![
        format!("{} in {}: {state}", status.name, status.domain),
        format!("  configuration  {}", format_optional(status.configuration)),
        format!("  store          {store}{polls}"),
        format!("  peers          {peers}"),
        format!("  messages       version {}", status.messages_version),
        format!("  cached parts   {}", status.cached_parts),
    ];
    let older = status.peer_versions.iter();
    let older = older.filter(|row| row.1 < status.messages_version);
    lines.extend(older.map(|(address, version)| {
        format!("  older peer     {address} reads version {version} of messages")
    }));
    lines.extend(status.weights.iter().map(|announced| {
        let (model, version) = (&announced.model, announced.version.0);
        let age = announced.age_ms.map_or_else(
            || "at an unknown time".to_owned(),
            |age_ms| format!("{} ms ago", age_ms.0),
        );
        let source = announced.source;
        let source = source.map_or_else(String::new, |source| format!(" ({source})"));
        format!("  weights        {model} {version}, named {age}{source}")
    }));
    lines.extend(status.kept_stores.iter().map(|store| {
        let answers = if store.answers { "answers" } else { "silent" };
        format!("  kept cache     {} {answers}", store.address)
    }));
    lines.extend(status.suspects.iter().map(describe_suspect));
    let repeats = status.repeats_left.iter();
    lines.extend(repeats.map(|(service, left)| format!("  repeats left   {service} {left}")));
    lines.extend(status.usage.iter().map(describe_usage));
    lines.extend(iter::once(format!(
        "  {:<16} {:<10} {:<21} {:>7} {:>9} {:>8} {:>8}  STATE",
        "SERVER", "SERVICE", "ADDRESS", "WEIGHTS", "REQUESTS", "QUEUE MS", "FAILING"
    )));
    lines.extend(status.backends.iter().map(describe_backend));
    lines
}

fn describe_suspect(suspect: &Suspect) -> String {
    let state = if suspect.is_quarantined {
        format!("quarantined, {} requests refused here", suspect.refused)
    } else {
        "suspected".to_owned()
    };
    format!(
        "  crashes        {} {state}, {} crashes, the last one {} ms ago",
        suspect.culprit, suspect.crashes, suspect.age_ms.0
    )
}

fn describe_usage((customer, usage): &(String, UsageState)) -> String {
    format!(
        "  usage          {customer}: level {}, cap {} a second, share {}.{}%, {} used and {} requests refused here",
        usage.level,
        usage.rate_per_s,
        usage.share_milli / 10,
        usage.share_milli % 10,
        usage.used,
        usage.refused
    )
}

fn describe_backend(backend: &BackendStatus) -> String {
    let weights = backend.weights.first().map(|row| row.1.0.to_string());
    let state = match (backend.is_ready, backend.takes_requests) {
        (false, _) => "leaving",
        (true, false) => "left out",
        (true, true) => "in use",
    };
    format!(
        "  {:<16} {:<10} {:<21} {:>7} {:>9} {:>8} {:>7}%  {state}",
        backend.instance,
        backend.service,
        backend.address,
        weights.unwrap_or_default(),
        backend.occupancy,
        backend.queue_ms.0,
        backend.failure_permille / 10,
    )
}
