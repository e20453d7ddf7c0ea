//! The command `cactusspur check`.

use {
    super::{CheckArguments, ExitStatus, Failure, OutputFormat},
    crate::{declaration_file, timer::now},
    cactusspur_core::Declarations,
    serde::Serialize,
    std::{fs, io, path::Path},
};

#[derive(Serialize)]
struct CheckedFile {
    file: String,
    models: usize,
    customers: usize,
    classes: usize,
}

pub(super) fn read_declarations(file: &Path) -> Result<Declarations, Failure> {
    let name = file.display().to_string();
    let text = fs::read_to_string(file)
        .map_err(|error| io::Error::new(error.kind(), format!("{name}: {error}")))?;
    Ok(declaration_file::parse(&name, &text, now())?)
}

pub(super) fn run<W>(
    arguments: &CheckArguments,
    format: OutputFormat,
    out: &mut W,
) -> Result<ExitStatus, Failure>
where
    W: io::Write,
{
    let mut checked = Vec::new();
    for file in &arguments.files {
        let declarations = read_declarations(file)?;
        checked.push(CheckedFile {
            file: file.display().to_string(),
            models: declarations.models.len(),
            customers: declarations.customers.len(),
            classes: declarations.classes.len(),
        });
    }
    format.print(out, &checked, |checked| {
        checked.iter().map(describe).collect()
    })?;
    Ok(ExitStatus::Done)
}

fn describe(checked: &CheckedFile) -> String {
    format!(
        "{}: good ({} models, {} customers, {} classes)",
        checked.file, checked.models, checked.customers, checked.classes
    )
}
