//! Processes that the tool starts, and ends by their ids.

use {
    derive_more::{Display, Error},
    error_stack::{Report, ResultExt},
    std::{
        io::{BufRead, BufReader},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
    },
};

/// A process can't be started or spoken to.
#[derive(Debug, Display, Error)]
#[display("process {program}")]
pub struct ProcessError {
    program: String,
}

/// A process that ends with its handle.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// What it said once it was up.
    pub banner: String,
}

/// A signal that a process can be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Signal {
    /// Pause.
    #[display("STOP")]
    Stop,
    /// Go on.
    #[display("CONT")]
    Continue,
    /// Shut down gracefully.
    #[display("TERM")]
    Terminate,
}

/// The path of a program beside this one.
///
/// # Errors
/// When the path of this program isn't known, or there is no such program.
pub fn beside(program: &str) -> Result<PathBuf, Report<ProcessError>> {
    let failed = || ProcessError {
        program: program.to_owned(),
    };
    let own = std::env::current_exe().change_context_lazy(failed)?;
    let folders = own.ancestors().skip(1).take(2);
    let mut paths = folders.map(|folder| folder.join(program));
    let found = paths.find(|path| path.is_file());
    found.ok_or_else(|| Report::new(failed()).attach("build the workspace first"))
}

impl Process {
    /// Starts a program and waits for the first line that it prints.
    ///
    /// # Errors
    /// When it can't be started or ends without a line.
    pub fn spawn(path: &Path, arguments: &[String]) -> Result<Self, Report<ProcessError>> {
        let failed = || ProcessError {
            program: path.display().to_string(),
        };
        let mut child = Command::new(path)
            .args(arguments)
            .env("RUST_LOG", "warn")
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .change_context_lazy(failed)?;
        let output = child.stdout.take();
        let mut process = Self {
            child,
            banner: String::new(),
        };
        let Some(output) = output else {
            return Err(Report::new(failed()));
        };
        let mut lines = BufReader::new(output);
        lines
            .read_line(&mut process.banner)
            .change_context_lazy(failed)?;
        if process.banner.is_empty() {
            return Err(Report::new(failed()).attach("it ended without a line"));
        }
        std::thread::spawn(move || std::io::copy(&mut lines, &mut std::io::sink()));
        Ok(process)
    }

    /// The value of `name=value` in the first line.
    #[must_use]
    pub fn said(&self, name: &str) -> Option<&str> {
        self.banner
            .split_whitespace()
            .find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
    }

    /// Its id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends it a signal.
    ///
    /// # Errors
    /// When the signal can't be sent.
    pub fn signal(&self, signal: Signal) -> Result<(), Report<ProcessError>> {
        let failed = || ProcessError {
            program: "kill".to_owned(),
        };
        let status = Command::new("kill")
            .args([format!("-{signal}"), self.id().to_string()])
            .status()
            .change_context_lazy(failed)?;
        if status.success() {
            return Ok(());
        }
        Err(Report::new(failed()))
    }

    /// Whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
