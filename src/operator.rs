//! The operators' command line: checks declarations, brings them into force, and shows what the
//! entry VMs do.

mod apply;
mod check;
mod diff;
mod entry_client;
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
    clap::{Args, CommandFactory, Parser, Subcommand},
    clap_complete::Shell,
    std::{io, net::SocketAddr, path::PathBuf},
};

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  `diff` found differences
  2  the command line can't be understood
  3  the declarations are refused
  4  another change was accepted first; nothing was changed
  5  the platform or an entry VM can't be reached; nothing was changed
  6  it is unknown whether the change was accepted: run the same command
     again with the same --change-id
  7  what was read makes no sense, or a file can't be read";

/// Checks declarations, brings them into force, and shows what the entry VMs do.
#[derive(Debug, Parser)]
#[command(name = "cactusspur", version, after_help = EXIT_CODES)]
pub struct Arguments {
    /// How results are printed.
    #[arg(long, global = true, value_enum, default_value_t)]
    pub output: OutputFormat,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What the command line does.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Checks declarations, without any connection.
    #[command(after_help = "Example:\n  cactusspur check examples/trust.yaml")]
    Check(CheckArguments),
    /// Shows what declarations would change.
    #[command(
        after_help = "Example:\n  cactusspur diff examples/trust.yaml --platform 10.0.0.5:8000"
    )]
    Diff(DiffArguments),
    /// Brings declarations into force.
    #[command(after_help = "Examples:\n  \
        cactusspur apply examples/trust.yaml --platform 10.0.0.5:8000\n  \
        cactusspur apply examples/trust.yaml --platform 10.0.0.5:8000 --based-on 41")]
    Apply(ApplyArguments),
    /// Shows the state of the entry VMs.
    #[command(after_help = "Example:\n  cactusspur status --entry 10.0.0.11:8082")]
    Status(StatusArguments),
    /// Shows what gateways before another platform's backend servers believe.
    #[command(after_help = "Example:\n  cactusspur gateway --metrics 10.1.0.30:9464")]
    Gateway(GatewayArguments),
    /// Shows what happened on all entry VMs, in an order that respects causes.
    #[command(after_help = "Examples:\n  \
        cactusspur timeline --entry 10.0.0.11:8082 --class stone-hold\n  \
        cactusspur timeline --entry 10.0.0.11:8082 --request chatcmpl-00f1c7a52b6e9d34-17")]
    Timeline(TimelineArguments),
    /// Prints the hash of an API key that is read from the standard input.
    #[command(after_help = "Example:\n  printf %s \"$API_KEY\" | cactusspur key-hash")]
    KeyHash,
    /// Prints a shell's completions.
    #[command(after_help = "Example:\n  cactusspur completions bash > cactusspur.bash")]
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// The arguments of `check`.
#[derive(Debug, Args)]
pub struct CheckArguments {
    /// Files with declarations. Each is checked by itself.
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
    /// The generation that the declarations were written for. Another generation in force is a
    /// conflict. Without it, the newest is read and replaced.
    #[arg(long, value_name = "GENERATION")]
    pub based_on: Option<u64>,
    /// The id of the change, to run a command again whose result is unknown. Drawn at random
    /// without it.
    #[arg(long)]
    pub change_id: Option<String>,
}

/// The arguments of `status`.
#[derive(Debug, Args)]
pub struct StatusArguments {
    /// The operators' address of an entry VM; may be given several times. Other entry VMs that
    /// it knows are asked as well.
    #[arg(long = "entry", value_name = "IP:PORT", required = true)]
    pub entries: Vec<SocketAddr>,
    /// Ask only the entry VMs that are given.
    #[arg(long)]
    pub only: bool,
}

/// The arguments of `gateway`.
#[derive(Debug, Args)]
pub struct GatewayArguments {
    /// The metrics address of a gateway; may be given several times.
    #[arg(long, value_name = "IP:PORT", required = true)]
    pub metrics: Vec<SocketAddr>,
}

/// The arguments of `timeline`.
#[derive(Debug, Args)]
pub struct TimelineArguments {
    /// The operators' address of an entry VM; may be given several times. Other entry VMs that
    /// it knows are asked as well.
    #[arg(long = "entry", value_name = "IP:PORT", required = true)]
    pub entries: Vec<SocketAddr>,
    /// Ask only the entry VMs that are given.
    #[arg(long)]
    pub only: bool,
    /// Only events of this request: the id of its answer.
    #[arg(long, value_name = "ID")]
    pub request: Option<RequestName>,
    /// Only events of this class.
    #[arg(long, value_name = "NAME")]
    pub class: Option<String>,
    /// Only events of this worker, by its VM's name.
    #[arg(long, value_name = "NAME")]
    pub worker: Option<String>,
}

/// Carries a command out, writes its result to `out`, and says how it ended.
///
/// # Errors
///
/// Why it failed, for the caller to print.
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
        Command::Timeline(arguments) => timeline::run(&arguments, format, out).await,
        Command::KeyHash => key_hash::run(&mut io::stdin(), format, out),
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Arguments::command(), "cactusspur", out);
            Ok(ExitStatus::Done)
        }
    }
}
