//! Parses and validates declarations in YAML.
//!
//! Every problem names the file, the line and the field. Settings that an operator can't declare
//! (weights of a choice, engines, addresses) are rejected as unknown fields, with a hint.

mod locate;
mod rules;

use {
    crate::change::canonical,
    cactusspur_core::{Declarations, TimeMs},
    derive_more::{Display, Error},
    locate::{PathStep, locate, path_text},
    serde::Serialize,
    std::fmt,
};

/// A problem with a field of a declaration file.
#[derive(Clone, Debug, PartialEq, Eq, Display, Serialize)]
#[display("{file}:{line}:{column}: {field}: {message}")]
pub struct Problem {
    /// The path of the file as given by the operator.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The column, counted from 1.
    pub column: usize,
    /// The path of the field, such as `classes[0].first_token_target_ms`.
    pub field: String,
    /// Why the field is invalid.
    pub message: String,
}

/// The declarations are invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct InvalidDeclarations {
    /// The problems in the order of the file.
    pub problems: Vec<Problem>,
}

impl fmt::Display for InvalidDeclarations {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.problems.iter().map(Problem::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

/// Parses and validates declarations, and sorts them into canonical order. `file` is the name used
/// in problems; `now` is the time against which the expiry of grants is checked.
///
/// # Errors
///
/// Returns the first problem when the text isn't YAML or doesn't match the declarations' schema,
/// and otherwise every violation of a rule.
pub fn parse(file: &str, text: &str, now: TimeMs) -> Result<Declarations, InvalidDeclarations> {
    let declarations: Declarations =
        serde_norway::from_str(text).map_err(|error| InvalidDeclarations {
            problems: vec![parse_problem(file, &error)],
        })?;
    let mut problems: Vec<Problem> = rules::check(&declarations, now)
        .into_iter()
        .map(|violation| {
            let (line, column) = locate(text, &violation.path);
            Problem {
                file: file.to_owned(),
                line,
                column,
                field: path_text(&violation.path),
                message: violation.message,
            }
        })
        .collect();
    if problems.is_empty() {
        return Ok(canonical(declarations));
    }
    problems.sort_by_key(|problem| (problem.line, problem.column));
    Err(InvalidDeclarations { problems })
}

/// A violation of a rule, before its field is located in the text.
struct RuleViolation {
    path: Vec<PathStep>,
    message: String,
}

const HINTS: [(&str, &str); 8] = [
    ("weight", WEIGHT_HINT),
    ("weights", WEIGHT_HINT),
    ("priority", WEIGHT_HINT),
    ("engine", PLACEMENT_HINT),
    ("engines", PLACEMENT_HINT),
    ("workers", PLACEMENT_HINT),
    ("address", PLACEMENT_HINT),
    ("addresses", PLACEMENT_HINT),
];
const WEIGHT_HINT: &str = "; how work is weighed follows from the targets and can't be declared";
const PLACEMENT_HINT: &str = "; where work runs follows from the targets and can't be declared";

fn parse_problem(file: &str, error: &serde_norway::Error) -> Problem {
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
    let (field, hint) = match field_in_message(message) {
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

/// The field that the parser names in its message but not in its path.
fn field_in_message(message: &str) -> Option<&str> {
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
