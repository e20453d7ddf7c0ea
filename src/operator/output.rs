//! The output formats, exit statuses and errors of the commands.

use {
    crate::{configuration_log::LogError, declaration_file::InvalidDeclarations},
    clap::ValueEnum,
    derive_more::{Display, Error, From},
    error_stack::Report,
    serde::Serialize,
    serde_json::json,
    std::{io, process::ExitCode},
};

/// The format of the results.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum OutputFormat {
    /// Readable text.
    #[default]
    Human,
    /// One JSON object.
    Json,
}

impl OutputFormat {
    /// Prints a result as the lines that `lines` makes of it, or as JSON.
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

/// The exit status of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
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
    /// The data read is invalid, or a file can't be read.
    Unreadable,
}

impl ExitStatus {
    /// The exit code of the process. 2 is reserved for errors in the command line itself.
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
    Refused(InvalidDeclarations),
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
    /// The exit status for this failure.
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

    /// The error message as the command line prints it.
    #[must_use]
    pub fn text(&self, format: OutputFormat) -> String {
        match (format, self) {
            (OutputFormat::Human, failure) => format!("error: {failure}"),
            (OutputFormat::Json, Self::Refused(invalid)) => {
                json!({"error": "refused", "problems": invalid.problems}).to_string()
            }
            (OutputFormat::Json, Self::Log(report)) => {
                json!({"error": report.current_context().to_string()}).to_string()
            }
            (OutputFormat::Json, failure) => json!({"error": failure.to_string()}).to_string(),
        }
    }
}
