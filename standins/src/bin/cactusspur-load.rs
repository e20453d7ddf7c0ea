//! Plays traffic against a cluster that it brings up on loopback, and compares policies.

use {
    cactusspur_standins::{
        demo,
        load::{
            measure::RunRecord,
            plot,
            policy::Policy,
            report::Report as LoadReport,
            rest::{self, RestReport},
            run::{Experiment, longest_s},
            scenario::Scenario,
            workload::Workload,
        },
    },
    clap::{Args, Parser, Subcommand},
    derive_more::Display,
    error_stack::{Report, ResultExt},
    std::{fs, path::PathBuf, process::ExitCode, time::Duration},
    tokio::signal::unix::{SignalKind, signal},
};

/// The experiment could not be made or saved.
#[derive(Debug, Display)]
#[display("the experiment failed")]
struct ExperimentError;

impl std::error::Error for ExperimentError {}

/// Plays the traffic of the Trust and of Kitahama and compares ways of choosing engines.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Brings clusters up on loopback and runs each policy in turn.
    Run(RunArguments),
    /// Shows the whole path: a cluster, the operators' commands, a few dozen requests.
    Demo(DemoArguments),
}

#[derive(Debug, Args)]
struct DemoArguments {
    /// Whose declarations and traffic.
    #[arg(long, default_value = "trust")]
    workload: Workload,
    /// Leave the cluster up until this program is stopped.
    #[arg(long)]
    keep: bool,
    /// The folder with the example declarations.
    #[arg(long, default_value = "examples")]
    examples: PathBuf,
}

#[derive(Debug, Args)]
struct RunArguments {
    /// Whose traffic.
    #[arg(long, default_value = "trust")]
    workload: Workload,
    /// Under which circumstances.
    #[arg(long, default_value = "steady")]
    scenario: Scenario,
    /// The policies, in the order in which they take turns.
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "cactusspur,round-robin,least-loaded,prefix-hash"
    )]
    policies: Vec<Policy>,
    /// How often each policy is run.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u32).range(1..=10))]
    repeats: u32,
    /// The seed of the schedule.
    #[arg(long, default_value_t = 7)]
    seed: u64,
    /// How long requests are sent before those that count, in seconds.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(0..=60))]
    warm_up_seconds: u64,
    /// How long requests are sent that count in each run, in seconds.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(2..=120))]
    seconds: u64,
    /// Chats a second in place of the workload's own rate.
    #[arg(long, value_parser = parse_rate)]
    rate: Option<f64>,
    /// Entry VMs.
    #[arg(long, default_value_t = 3, value_parser = parse_entry_vms)]
    entry_vms: usize,
    /// The cactusspurd of another build, for the policy `earlier`.
    #[arg(long, required_if_eq("policies", "earlier"))]
    earlier: Option<PathBuf>,
    /// Where to save the results as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Where to save a plot as SVG.
    #[arg(long)]
    svg: Option<PathBuf>,
}

const MAX_RATE_PER_S: f64 = 500.0;
const MAX_ENTRY_VMS: usize = 8;

fn parse_rate(text: &str) -> Result<f64, String> {
    let rate: f64 = text.parse().map_err(|_| "not a number".to_owned())?;
    if rate > 0.0 && rate <= MAX_RATE_PER_S {
        return Ok(rate);
    }
    Err(format!("must be over 0 and at most {MAX_RATE_PER_S}"))
}

fn parse_entry_vms(text: &str) -> Result<usize, String> {
    let count: usize = text.parse().map_err(|_| "not a number".to_owned())?;
    if (1..=MAX_ENTRY_VMS).contains(&count) {
        return Ok(count);
    }
    Err(format!("must be 1 to {MAX_ENTRY_VMS}"))
}

impl RunArguments {
    fn experiment(&self) -> Experiment {
        Experiment {
            workload: self.workload,
            scenario: self.scenario,
            policies: self.policies.clone(),
            repeats: self.repeats,
            seed: self.seed,
            duration: Duration::from_secs(self.seconds),
            warm_up: Duration::from_secs(self.warm_up_seconds),
            rate_per_s: self.rate,
            entry_vms: self.entry_vms,
            earlier: self.earlier.clone(),
        }
    }

    fn save(&self, report: &LoadReport) -> Result<(), Report<ExperimentError>> {
        if let Some(path) = &self.json {
            let text = serde_json::to_string_pretty(report).change_context(ExperimentError)?;
            fs::write(path, text).change_context(ExperimentError)?;
        }
        if let Some(path) = &self.svg {
            let drawing = plot::svg(report).change_context(ExperimentError)?;
            fs::write(path, drawing).change_context(ExperimentError)?;
        }
        Ok(())
    }
}

async fn run(arguments: &RunArguments) -> Result<(), Report<ExperimentError>> {
    if arguments.scenario == Scenario::Rest {
        let report: RestReport = rest::run(arguments.workload, arguments.entry_vms)
            .await
            .change_context(ExperimentError)?;
        println!("{report}");
        return Ok(());
    }
    let experiment = arguments.experiment();
    eprintln!("at most {:.0} s", longest_s(&experiment));
    let report = experiment
        .run(announce)
        .await
        .change_context(ExperimentError)?;
    println!("{report}");
    arguments.save(&report)
}

fn announce(record: &RunRecord) {
    let Some(all) = record.figures.first() else {
        return;
    };
    eprintln!(
        "run {} {}: {} of {} complete, first token p99 {:.1} ms",
        record.repeat, record.policy, all.complete, all.requests, all.first_token.p99_ms
    );
}

/// Waits for a signal to stop.
async fn stop_signal() {
    let signals = [SignalKind::terminate(), SignalKind::interrupt()].map(signal);
    let [Ok(mut terminate), Ok(mut interrupt)] = signals else {
        return std::future::pending().await;
    };
    let terminated = std::pin::pin!(terminate.recv());
    let interrupted = std::pin::pin!(interrupt.recv());
    futures::future::select(terminated, interrupted).await;
}

async fn obey(command: Command) -> Result<(), Report<ExperimentError>> {
    match command {
        Command::Run(arguments) => run(&arguments).await,
        Command::Demo(DemoArguments {
            workload,
            keep,
            examples,
        }) => demo::run(workload, &examples, keep)
            .await
            .change_context(ExperimentError),
    }
}

#[ntex::main]
async fn main() -> ExitCode {
    let running = std::pin::pin!(obey(Arguments::parse().command));
    let stopped = std::pin::pin!(stop_signal());
    match futures::future::select(running, stopped).await {
        futures::future::Either::Left((Ok(()), _)) => ExitCode::SUCCESS,
        futures::future::Either::Left((Err(report), _)) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
        futures::future::Either::Right(_) => {
            eprintln!("stopped by a signal");
            ExitCode::FAILURE
        }
    }
}
