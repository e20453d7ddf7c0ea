//! How commands print their results and how they end.

use {
    crate::{configuration_log::LogError, declaration_file::Refused},
    clap::ValueEnum,
    derive_more::{Display, Error, From},
    error_stack::Report,
    serde::Serialize,
    serde_json::json,
    std::{io, process::ExitCode},
};

/// How results are printed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum OutputFormat {
    /// For people.
    #[default]
    Human,
    /// One JSON object.
    Json,
}

impl OutputFormat {
    /// Prints a result, as its lines for people or as JSON.
    pub(super) fn print<W, T, F>(self, out: &mut W, result: &T, lines: F) -> Result<(), Failure>
    where
        W: io::Write,
        T: Serialize,
        F: FnOnce(&T) -> Vec<String>,
    {
        match self {
            Self::Human => {
                for line in lines(result) {
                    writeln!(out, "{line}")?;
                }
            }
            Self::Json => {
                let text = serde_json::to_string_pretty(result).map_err(io::Error::from)?;
                writeln!(out, "{text}")?;
            }
        }
        Ok(())
    }
}

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// It did what it was asked.
    Done,
    /// `diff` found differences.
    Differences,
    /// The declarations are refused.
    Refused,
    /// Another change was accepted first.
    Conflict,
    /// The platform or an entry VM can't be reached. Nothing was changed.
    Unreachable,
    /// It is unknown whether the change was accepted.
    Unknown,
    /// What was read makes no sense, or a file can't be read.
    Unreadable,
}

impl ExitStatus {
    /// The number that the process ends with. 2 is left to the command line's own errors.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Differences => 1,
            Self::Refused => 3,
            Self::Conflict => 4,
            Self::Unreachable => 5,
            Self::Unknown => 6,
            Self::Unreadable => 7,
        }
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status.code())
    }
}

/// Why a command failed.
#[derive(Debug, Display, Error, From)]
pub enum Failure {
    /// The declarations are refused.
    #[display("{_0}")]
    Refused(Refused),
    /// A file or stream can't be read or written.
    #[display("{_0}")]
    Io(io::Error),
    /// The log of configurations can't be read or written.
    #[display("{_0:?}")]
    #[from(ignore)]
    Log(#[error(not(source))] Report<LogError>),
    /// An entry VM can't be reached or its answer can't be read.
    #[display("{_0}")]
    #[from(ignore)]
    Entry(#[error(not(source))] String),
}

impl From<Report<LogError>> for Failure {
    fn from(report: Report<LogError>) -> Self {
        Self::Log(report)
    }
}

impl Failure {
    /// How a command that failed this way ends.
    #[must_use]
    pub fn status(&self) -> ExitStatus {
        match self {
            Self::Refused(_) => ExitStatus::Refused,
            Self::Io(_) => ExitStatus::Unreadable,
            Self::Entry(_) => ExitStatus::Unreachable,
            Self::Log(report) => match report.current_context() {
                LogError::Unavailable => ExitStatus::Unreachable,
                LogError::Unknown => ExitStatus::Unknown,
                LogError::Damaged => ExitStatus::Unreadable,
            },
        }
    }

    /// The failure as the command line prints it.
    #[must_use]
    pub fn text(&self, format: OutputFormat) -> String {
        match (format, self) {
            (OutputFormat::Human, failure) => format!("error: {failure}"),
            (OutputFormat::Json, Self::Refused(refused)) => {
                json!({"error": "refused", "problems": refused.problems}).to_string()
            }
            (OutputFormat::Json, Self::Log(report)) => {
                json!({"error": report.current_context().to_string()}).to_string()
            }
            (OutputFormat::Json, failure) => json!({"error": failure.to_string()}).to_string(),
        }
    }
}
