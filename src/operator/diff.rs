//! The command `cactusspur diff`.

use {
    super::{DiffArguments, ExitStatus, Failure, OutputFormat, check::read_declarations},
    crate::{
        change::{Change, Description},
        configuration_log::ConfigurationLog,
        platform::Platform,
    },
    cactusspur_core::Generation,
    serde::Serialize,
    std::io,
};

#[derive(Serialize)]
struct Difference {
    generation: Generation,
    changes: Vec<Description>,
}

pub(super) async fn run<W>(
    arguments: &DiffArguments,
    format: OutputFormat,
    out: &mut W,
) -> Result<ExitStatus, Failure>
where
    W: io::Write,
{
    let declarations = read_declarations(&arguments.file)?;
    let log = ConfigurationLog::new(Platform::new(arguments.platform).await);
    let newest = log.newest().await?;
    let change = Change::between(&newest.declarations, &declarations);
    let difference = Difference {
        generation: newest.generation,
        changes: change.describe(&newest.declarations),
    };
    format.print(out, &difference, describe)?;
    if difference.changes.is_empty() {
        return Ok(ExitStatus::Done);
    }
    Ok(ExitStatus::Differences)
}

fn describe(difference: &Difference) -> Vec<String> {
    let mut lines = vec![format!("generation {} is in force", difference.generation)];
    lines.extend(difference.changes.iter().map(Description::to_string));
    if difference.changes.is_empty() {
        lines.push("no differences".to_owned());
    }
    lines
}
