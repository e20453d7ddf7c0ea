//! The command line for operators: checks declarations, applies them, and shows the state of the
//! entry VMs.

mod apply;
mod check;
mod diff;
mod entry_client;
mod explain;
mod gateway;
mod key_hash;
mod output;
mod status;
mod timeline;

pub use {
    entry_client::{EntryStatus, MemberStatus},
    output::{ExitStatus, Failure, OutputFormat},
};

use {
    crate::timeline::RequestName,
    cactusspur_core::{
        DurationMs, Tokens,
        gateway::{Culprit, RequestDigest},
    },
    clap::{Args, CommandFactory, Parser, Subcommand},
    clap_complete::Shell,
    std::{io, net::SocketAddr, num::ParseIntError, path::PathBuf},
};

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  `diff` found differences
  2  the command line is invalid
  3  the declarations are refused
  4  another change was accepted first; nothing was changed
  5  the platform or an entry VM can't be reached; nothing was changed
  6  it is unknown whether the change was accepted: run the same command
     again with the same --change-id
  7  the data read is invalid, or a file can't be read";

/// Checks declarations, applies them, and shows the state of the entry VMs.
#[derive(Debug, Parser)]
#[command(name = "cactusspur", version, after_help = EXIT_CODES)]
pub struct Arguments {
    /// The format of the results.
    #[arg(long, global = true, value_enum, default_value_t)]
    pub output: OutputFormat,
    /// The command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// The commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Checks declarations without connecting to anything.
    #[command(after_help = "Example:\n  cactusspur check examples/trust.yaml")]
    Check(CheckArguments),
    /// Shows how declarations differ from those in force.
    #[command(
        after_help = "Example:\n  cactusspur diff examples/trust.yaml --platform 10.0.0.5:8000"
    )]
    Diff(DiffArguments),
    /// Puts declarations into force.
    #[command(after_help = "Examples:\n  \
        cactusspur apply examples/trust.yaml --platform 10.0.0.5:8000\n  \
        cactusspur apply examples/trust.yaml --platform 10.0.0.5:8000 --based-on 41")]
    Apply(ApplyArguments),
    /// Shows the state of the entry VMs.
    #[command(after_help = "Example:\n  cactusspur status --entry 10.0.0.11:8082")]
    Status(StatusArguments),
    /// Shows the state of gateways on another platform and their view of its backend servers.
    #[command(after_help = "Example:\n  cactusspur gateway --metrics 10.1.0.30:9464")]
    Gateway(GatewayArguments),
    /// Shows where a gateway on another platform would send a request now, and why, without sending it.
    #[command(after_help = "Examples:\n  \
        cactusspur explain --metrics 10.1.0.30:9464 --host api.example --path /read/x --customer shop\n  \
        printf %s \"$API_KEY\" | cactusspur explain --metrics 10.1.0.30:9464 --host api.example \\\n    \
        --path /check/x --key-from-stdin --model m --parts a1:100,b2:200 --max-answer-tokens 20")]
    Explain(ExplainArguments),
    /// Shows the events of all entry VMs, ordered so that causes precede their effects.
    #[command(after_help = "Examples:\n  \
        cactusspur timeline --entry 10.0.0.11:8082 --class stone-hold\n  \
        cactusspur timeline --entry 10.0.0.11:8082 --request chatcmpl-00f1c7a52b6e9d34-17")]
    Timeline(TimelineArguments),
    /// Reads an API key from standard input and prints its hash.
    #[command(after_help = "Example:\n  printf %s \"$API_KEY\" | cactusspur key-hash")]
    KeyHash,
    /// Prints a completion script for a shell.
    #[command(after_help = "Example:\n  cactusspur completions bash > cactusspur.bash")]
    Completions {
        /// The shell to complete for.
        shell: Shell,
    },
}

/// The arguments of `check`.
#[derive(Debug, Args)]
pub struct CheckArguments {
    /// Files with declarations. Each is checked on its own.
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
}

/// The arguments of `diff`.
#[derive(Debug, Args)]
pub struct DiffArguments {
    /// The file with the declarations.
    pub file: PathBuf,
    /// The platform's address.
    #[arg(long, value_name = "IP:PORT")]
    pub platform: SocketAddr,
}

/// The arguments of `apply`.
#[derive(Debug, Args)]
pub struct ApplyArguments {
    /// The file with the declarations.
    pub file: PathBuf,
    /// The platform's address.
    #[arg(long, value_name = "IP:PORT")]
    pub platform: SocketAddr,
    /// The generation that the declarations are based on. It is a conflict if another generation is
    /// in force. Without this option, the newest generation is replaced.
    #[arg(long, value_name = "GENERATION")]
    pub based_on: Option<u64>,
    /// The id of the change. Give it to repeat a command whose result is unknown. It is random by
    /// default.
    #[arg(long)]
    pub change_id: Option<String>,
}

/// The arguments of `status`.
#[derive(Debug, Args)]
pub struct StatusArguments {
    /// The operators' address of an entry VM; may be given several times. The other entry VMs
    /// that it knows are queried as well.
    #[arg(long = "entry", value_name = "IP:PORT", required = true)]
    pub entries: Vec<SocketAddr>,
    /// Query only the given entry VMs.
    #[arg(long)]
    pub only: bool,
}

/// The arguments of `gateway`.
#[derive(Debug, Args)]
pub struct GatewayArguments {
    /// The metrics address of a gateway; may be given several times.
    #[arg(long, value_name = "IP:PORT", required = true)]
    pub metrics: Vec<SocketAddr>,
    /// First end this quarantine or suspicion in all gateways, given as the list of crashes names it.
    #[arg(long, value_name = "request ID|parts ID,ID")]
    pub lift: Option<Culprit>,
}

/// The arguments of `explain`.
#[derive(Debug, Args)]
pub struct ExplainArguments {
    /// The metrics address of a gateway; may be given several times. Each answers for itself.
    #[arg(long, value_name = "IP:PORT", required = true)]
    pub metrics: Vec<SocketAddr>,
    /// The requested host.
    #[arg(long)]
    pub host: String,
    /// The requested path.
    #[arg(long)]
    pub path: String,
    /// The name of the customer.
    #[arg(long, value_name = "NAME", conflicts_with = "key_from_stdin")]
    pub customer: Option<String>,
    /// Read the caller's API key from standard input.
    #[arg(long)]
    pub key_from_stdin: bool,
    /// The model.
    #[arg(long, value_name = "NAME")]
    pub model: Option<String>,
    /// The parts of the prompt with their lengths in tokens. The last one belongs to this request only.
    #[arg(
        long,
        value_name = "ID:TOKENS,...",
        requires = "model",
        default_value = ""
    )]
    pub parts: String,
    /// The maximum length of the answer in tokens; 0 if the caller gives none.
    #[arg(long, value_name = "TOKENS", default_value = "0")]
    pub max_answer_tokens: Tokens,
    /// How long the caller waits, in milliseconds.
    #[arg(long, value_name = "MS")]
    pub deadline_ms: Option<DurationMs>,
    /// The digest of the request in logs, by which gateways recognize a request that crashes servers.
    #[arg(long, value_name = "ID", value_parser = parse_digest)]
    pub digest: Option<RequestDigest>,
}

fn parse_digest(text: &str) -> Result<RequestDigest, ParseIntError> {
    u64::from_str_radix(text, 16).map(RequestDigest)
}

/// The arguments of `timeline`.
#[derive(Debug, Args)]
pub struct TimelineArguments {
    /// The operators' address of an entry VM; may be given several times. The other entry VMs
    /// that it knows are queried as well.
    #[arg(long = "entry", value_name = "IP:PORT", required = true)]
    pub entries: Vec<SocketAddr>,
    /// Query only the given entry VMs.
    #[arg(long)]
    pub only: bool,
    /// Show only events of this request, given by the id of its answer.
    #[arg(long, value_name = "ID")]
    pub request: Option<RequestName>,
    /// Show only events of this class.
    #[arg(long, value_name = "NAME")]
    pub class: Option<String>,
    /// Show only events of this worker, given by the name of its VM.
    #[arg(long, value_name = "NAME")]
    pub worker: Option<String>,
}

/// Runs a command, writes its result to `out`, and returns its exit status.
///
/// # Errors
///
/// Returns why the command failed. The caller prints it.
pub async fn run<W>(arguments: Arguments, out: &mut W) -> Result<ExitStatus, Failure>
where
    W: io::Write,
{
    let format = arguments.output;
    match arguments.command {
        Command::Check(arguments) => check::run(&arguments, format, out),
        Command::Diff(arguments) => diff::run(&arguments, format, out).await,
        Command::Apply(arguments) => apply::run(&arguments, format, out).await,
        Command::Status(arguments) => status::run(&arguments, format, out).await,
        Command::Gateway(arguments) => gateway::run(&arguments, format, out).await,
        Command::Explain(arguments) => {
            explain::run(&arguments, &mut io::stdin(), format, out).await
        }
        Command::Timeline(arguments) => timeline::run(&arguments, format, out).await,
        Command::KeyHash => key_hash::run(&mut io::stdin(), format, out),
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Arguments::command(), "cactusspur", out);
            Ok(ExitStatus::Done)
        }
    }
}
