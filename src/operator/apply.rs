//! The command `cactusspur apply`.

use {
    super::{ApplyArguments, ExitStatus, Failure, OutputFormat, check::read_declarations},
    crate::{
        change::{Change, Description, hash_declarations},
        configuration_log::{Acceptance, ChangeRecord, ConfigurationLog, LogError, Store},
        platform::Platform,
        timer::now,
    },
    cactusspur_core::{Declarations, Generation, TimeMs},
    error_stack::Report,
    serde::Serialize,
    std::io,
};

/// The number of past generations in which a repeated command searches for its change, and the
/// maximum number that a conflict lists.
const MAX_LOOKBACK_GENERATIONS: u64 = 64;

#[derive(Debug, Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
enum Outcome {
    Accepted {
        generation: Generation,
        change_id: String,
        changes: Vec<Description>,
    },
    Unchanged {
        generation: Generation,
    },
    Conflict {
        newest: Generation,
        based_on: Generation,
        accepted: Vec<ConflictingChange>,
    },
}

#[derive(Debug, Serialize)]
struct ConflictingChange {
    generation: Generation,
    change_id: String,
    accepted_at_ms: TimeMs,
    changes: Vec<Description>,
}

impl From<ChangeRecord> for ConflictingChange {
    fn from(record: ChangeRecord) -> Self {
        Self {
            generation: record.generation,
            change_id: record.change_id,
            accepted_at_ms: record.accepted_at_ms,
            changes: record.summary,
        }
    }
}

pub(super) async fn run<W>(
    arguments: &ApplyArguments,
    format: OutputFormat,
    out: &mut W,
) -> Result<ExitStatus, Failure>
where
    W: io::Write,
{
    let declarations = read_declarations(&arguments.file)?;
    let log = ConfigurationLog::new(Platform::new(arguments.platform).await);
    if let Some(change_id) = &arguments.change_id
        && let Some(earlier) =
            find_change(&log, change_id, &hash_declarations(&declarations)).await?
    {
        let outcome = Outcome::Accepted {
            generation: earlier.generation,
            change_id: earlier.change_id,
            changes: earlier.summary,
        };
        format.print(out, &outcome, describe)?;
        return Ok(ExitStatus::Done);
    }
    let change_id = match &arguments.change_id {
        Some(change_id) => change_id.clone(),
        None => format!("{:032x}", rand::random::<u128>()),
    };
    let based_on = arguments.based_on.map(Generation);
    let applied = apply(&log, declarations, based_on, change_id.clone()).await;
    let outcome = applied.map_err(|report| attach_change_id(report, &change_id))?;
    format.print(out, &outcome, describe)?;
    Ok(match outcome {
        Outcome::Conflict { .. } => ExitStatus::Conflict,
        Outcome::Accepted { .. } | Outcome::Unchanged { .. } => ExitStatus::Done,
    })
}

fn attach_change_id(report: Report<LogError>, change_id: &str) -> Report<LogError> {
    if *report.current_context() != LogError::Unknown {
        return report;
    }
    report.attach(format!(
        "settle it by running the same command with --change-id {change_id}"
    ))
}

async fn apply<S>(
    log: &ConfigurationLog<S>,
    declarations: Declarations,
    based_on: Option<Generation>,
    change_id: String,
) -> Result<Outcome, Report<LogError>>
where
    S: Store,
{
    let newest = log.newest().await?;
    let based_on = based_on.unwrap_or(newest.generation);
    if based_on != newest.generation {
        return conflict(log, based_on, newest.generation).await;
    }
    let changes =
        Change::between(&newest.declarations, &declarations).describe(&newest.declarations);
    match log.accept(&newest, declarations, change_id, now()).await? {
        Acceptance::Accepted(accepted) => Ok(Outcome::Accepted {
            generation: accepted.generation,
            change_id: accepted.change_id,
            changes,
        }),
        Acceptance::Unchanged => Ok(Outcome::Unchanged {
            generation: newest.generation,
        }),
        Acceptance::Conflict(record) => Ok(Outcome::Conflict {
            newest: record.generation,
            based_on,
            accepted: vec![record.into()],
        }),
    }
}

/// Finds the record of the change with this id and resulting hash, which an earlier run of the same
/// command wrote if it was accepted.
async fn find_change<S>(
    log: &ConfigurationLog<S>,
    change_id: &str,
    hash: &str,
) -> Result<Option<ChangeRecord>, Report<LogError>>
where
    S: Store,
{
    let newest = log.newest().await?.generation.0;
    let oldest = newest.saturating_sub(MAX_LOOKBACK_GENERATIONS);
    for generation in (oldest + 1..=newest).rev() {
        let Some(record) = log.record(Generation(generation)).await? else {
            return Ok(None);
        };
        if record.change_id == change_id && record.result_hash == hash {
            return Ok(Some(record));
        }
    }
    Ok(None)
}

async fn conflict<S>(
    log: &ConfigurationLog<S>,
    based_on: Generation,
    newest: Generation,
) -> Result<Outcome, Report<LogError>>
where
    S: Store,
{
    let oldest = newest
        .0
        .saturating_sub(MAX_LOOKBACK_GENERATIONS)
        .max(based_on.0);
    let mut accepted = Vec::new();
    for generation in oldest + 1..=newest.0 {
        let record = log.record(Generation(generation)).await?;
        accepted.extend(record.map(ConflictingChange::from));
    }
    Ok(Outcome::Conflict {
        newest,
        based_on,
        accepted,
    })
}

fn describe(outcome: &Outcome) -> Vec<String> {
    match outcome {
        Outcome::Accepted {
            generation,
            change_id,
            changes,
        } => {
            let mut lines: Vec<String> = changes.iter().map(Description::to_string).collect();
            lines.push(format!(
                "accepted as generation {generation} (change {change_id})"
            ));
            lines
        }
        Outcome::Unchanged { generation } => {
            vec![format!("no differences from generation {generation}")]
        }
        Outcome::Conflict {
            newest,
            based_on,
            accepted,
        } => {
            let mut lines = vec![format!(
                "conflict: based on generation {based_on}, but {newest} is in force; nothing was changed"
            )];
            for record in accepted {
                lines.push(format!(
                    "generation {} (change {}):",
                    record.generation, record.change_id
                ));
                lines.extend(record.changes.iter().map(|change| format!("  {change}")));
            }
            lines
        }
    }
}
