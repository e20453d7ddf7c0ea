//! The command `cactusspur explain`.

use {
    super::{
        ExitStatus, ExplainArguments, Failure, OutputFormat,
        entry_client::{EntryAnswer, ask, print_answers},
        key_hash::read_key,
    },
    crate::gateway::{
        explain::{ExplainQuery, ExplainedServer, Explanation},
        server::EXPLAIN_PATH,
    },
    futures::future::join_all,
    std::{io, iter},
};

pub(super) async fn run<R, W>(
    arguments: &ExplainArguments,
    input: &mut R,
    format: OutputFormat,
    out: &mut W,
) -> Result<ExitStatus, Failure>
where
    R: io::Read,
    W: io::Write,
{
    let key = arguments.key_from_stdin.then(|| read_key(input));
    let query = ExplainQuery {
        host: arguments.host.clone(),
        path: arguments.path.clone(),
        key: key.transpose()?,
        customer: arguments.customer.clone(),
        model: arguments.model.clone(),
        parts: arguments.parts.clone(),
        max_answer_tokens: arguments.max_answer_tokens,
        deadline_ms: arguments.deadline_ms,
        digest: arguments.digest,
    };
    let answers = arguments.metrics.iter().map(|address| {
        let answer = ask(*address, EXPLAIN_PATH, &query);
        async move { (*address, answer.await) }
    });
    print_answers(join_all(answers).await, format, out, |answers| {
        answers.iter().flat_map(describe).collect()
    })
}

fn describe(answer: &EntryAnswer<Explanation>) -> Vec<String> {
    let Some(explanation) = &answer.status else {
        return vec![format!("{} does not answer", answer.address)];
    };
    let name = |known: &Option<String>| known.clone().unwrap_or_else(|| "none".to_owned());
    let outdated = if explanation.may_be_outdated {
        ", which may be outdated"
    } else {
        ""
    };
    let version = explanation.configuration.map(|version| version.to_string());
    let mut lines = vec![
        format!(
            "{} in {}: {}",
            explanation.gateway, explanation.domain, explanation.outcome
        ),
        format!("  configuration  {}{outdated}", name(&version)),
        format!("  route          {}", name(&explanation.route)),
        format!("  service        {}", name(&explanation.service)),
        format!("  customer       {}", name(&explanation.customer)),
    ];
    if !explanation.servers.is_empty() {
        lines.extend(iter::once(format!(
            "  {:<16} {:<10} {:>8} {:>8} {:>12} {:>9} {:>10} {:>14}  STATE",
            "SERVER",
            "DOMAIN",
            "REQUESTS",
            "COST MS",
            "1ST TOKEN MS",
            "QUEUE MS",
            "PREFILL MS",
            "PREFILL TOKENS"
        )));
    }
    lines.extend(explanation.servers.iter().map(describe_server));
    lines
}

fn describe_server(server: &ExplainedServer) -> String {
    let (instance, domain, requests) = (&server.instance, &server.domain, server.occupancy);
    let Some(prediction) = &server.prediction else {
        let why = server.exclusion.map(|exclusion| exclusion.to_string());
        let (blank, why) = ("-", why.unwrap_or_default());
        return format!(
            "  {instance:<16} {domain:<10} {requests:>8} {blank:>8} {blank:>12} {blank:>9} {blank:>10} {blank:>14}  {why}"
        );
    };
    let state = if prediction.is_compared {
        "compared"
    } else {
        "eligible, too far from home to be compared"
    };
    let fetch = prediction
        .fetch_from
        .map(|address| format!(", fetches from {address}"));
    format!(
        "  {instance:<16} {domain:<10} {requests:>8} {:>8} {:>12} {:>9} {:>10} {:>14}  {state}{}",
        prediction.cost_ms.0,
        prediction.first_token_ms.0,
        prediction.queue_ms.0,
        prediction.prefill_ms.0,
        prediction.prefill_tokens.0,
        fetch.unwrap_or_default(),
    )
}
