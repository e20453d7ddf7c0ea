//! Checked reading of declarations from YAML.
//!
//! Every problem names the file, the line and the field. What an operator can't declare (weights
//! of a choice, engines, addresses) is refused as an unknown field, with a hint.

mod locate;
mod rules;

use {
    crate::change::canonical,
    cactusspur_core::{Declarations, TimeMs},
    derive_more::{Display, Error},
    locate::{Step, locate, path_text},
    serde::Serialize,
    std::fmt,
};

/// What is wrong with one field of a file.
#[derive(Clone, Debug, PartialEq, Eq, Display, Serialize)]
#[display("{file}:{line}:{column}: {field}: {message}")]
pub struct Problem {
    /// The file, as the operator named it.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1.
    pub column: usize,
    /// The field, as a path such as `classes[0].first_token_target_ms`.
    pub field: String,
    /// What is wrong with it.
    pub message: String,
}

/// The declarations were refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct Refused {
    /// What is wrong, in the order of the file.
    pub problems: Vec<Problem>,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.problems.iter().map(Problem::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

/// Reads and checks declarations, and puts them into canonical order. `file` is only named in
/// problems; `now` is the time that grants are compared with.
///
/// # Errors
///
/// What is wrong with them: a text that isn't YAML or doesn't have the declarations' shape has
/// one problem, the first; otherwise all problems are given.
pub fn read(file: &str, text: &str, now: TimeMs) -> Result<Declarations, Refused> {
    let declarations: Declarations = serde_norway::from_str(text).map_err(|error| Refused {
        problems: vec![shape_problem(file, &error)],
    })?;
    let mut problems: Vec<Problem> = rules::findings(&declarations, now)
        .into_iter()
        .map(|finding| {
            let (line, column) = locate(text, &finding.path);
            Problem {
                file: file.to_owned(),
                line,
                column,
                field: path_text(&finding.path),
                message: finding.message,
            }
        })
        .collect();
    if problems.is_empty() {
        return Ok(canonical(declarations));
    }
    problems.sort_by_key(|problem| (problem.line, problem.column));
    Err(Refused { problems })
}

/// A broken rule.
struct Finding {
    path: Vec<Step>,
    message: String,
}

const HINTS: [(&str, &str); 8] = [
    ("weight", WEIGHT_HINT),
    ("weights", WEIGHT_HINT),
    ("priority", WEIGHT_HINT),
    ("engine", PLACE_HINT),
    ("engines", PLACE_HINT),
    ("workers", PLACE_HINT),
    ("address", PLACE_HINT),
    ("addresses", PLACE_HINT),
];
const WEIGHT_HINT: &str = "; how work is weighed follows from the targets and can't be declared";
const PLACE_HINT: &str = "; where work runs follows from the targets and can't be declared";

fn shape_problem(file: &str, error: &serde_norway::Error) -> Problem {
    let location = error.location();
    let line = location.as_ref().map_or(1, serde_norway::Location::line);
    let column = location.as_ref().map_or(1, serde_norway::Location::column);
    let text = error.to_string();
    let text = text
        .rsplit_once(" at line ")
        .map_or(text.as_str(), |(message, _)| message);
    let (path, message) = match text.split_once(": ") {
        Some((path, message)) if is_path(path) => (path, message),
        _ => ("", text),
    };
    let (field, hint) = match named_field(message) {
        Some(name) if path.is_empty() => (name.to_owned(), hint_for(name)),
        Some(name) => (format!("{path}.{name}"), hint_for(name)),
        None if path.is_empty() => ("document".to_owned(), ""),
        None => (path.to_owned(), ""),
    };
    Problem {
        file: file.to_owned(),
        line,
        column,
        field,
        message: format!("{message}{hint}"),
    }
}

fn is_path(text: &str) -> bool {
    !text.is_empty()
        && text
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || "_[].".contains(c))
}

/// The field that the reader names in its message and not in its path.
fn named_field(message: &str) -> Option<&str> {
    let rest = ["unknown field `", "duplicate field `", "missing field `"]
        .iter()
        .find_map(|start| message.strip_prefix(start))?;
    rest.split_once('`').map(|(name, _)| name)
}

fn hint_for(field: &str) -> &'static str {
    HINTS
        .iter()
        .find(|(name, _)| *name == field)
        .map_or("", |(_, hint)| hint)
}
