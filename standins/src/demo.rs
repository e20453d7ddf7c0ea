//! The demonstration: starts a cluster of processes on loopback, runs the operators' commands, sends
//! a few dozen requests and prints their outcomes.

use {
    crate::load::{
        cluster::{Cluster, ClusterPlan},
        measure::{Figures, Observed},
        policy::Policy,
        process::beside,
        run::play,
        schedule::{Plan, Schedule},
        sender::{Addresses, Sender},
        unbounded::unbounded,
        workload::{Workload, api_key},
    },
    cactusspur_core::Generation,
    derive_more::{Display, Error},
    error_stack::{Report, ResultExt},
    ntex::http::StatusCode,
    serde_json::json,
    std::{
        path::Path,
        process::Command,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Seed of the request schedule.
const SEED: u64 = 7;
/// Number of entry VMs.
const ENTRY_VMS: usize = 3;
/// Time during which requests are sent.
const DURATION: Duration = Duration::from_secs(4);
/// Chat requests per second.
const RATE_PER_S: f64 = 12.0;
/// Generation of the configuration after the example declarations have been applied.
const EXPECTED_GENERATION: Generation = Generation(2);
/// Idempotency key of the call that is sent twice.
const REPEATED_KEY: &str = "demo-repeated-call";

/// The demonstration failed.
#[derive(Debug, Display, Error)]
#[display("demo: {reason}")]
pub struct DemoError {
    reason: &'static str,
}

const fn demo_error(reason: &'static str) -> DemoError {
    DemoError { reason }
}

/// Runs the demonstration. With `keep` the cluster stays up until the future is dropped.
///
/// # Errors
/// Returns an error if a process or a command fails or a request has an unexpected outcome.
pub async fn run(workload: Workload, examples: &Path, keep: bool) -> Result<(), Report<DemoError>> {
    let plan = ClusterPlan {
        workload,
        entry_vms: ENTRY_VMS,
        lapsing: None,
    };
    let cluster = Cluster::spawn(&plan)
        .await
        .change_context(demo_error("cluster"))?;
    let file = examples
        .join(format!("{workload}.yaml"))
        .display()
        .to_string();
    run_operator_command(&["check", &file])?;
    run_operator_command(&["apply", &file, "--platform", cluster.platform_address()])?;
    cluster
        .in_force(EXPECTED_GENERATION)
        .await
        .change_context(demo_error("configuration"))?;

    let figures = send_requests(&cluster, workload).await;
    print_table(&figures);
    send_default_chat(&cluster, workload).await?;
    check_repeated_call(&cluster, workload).await?;
    show_timeline(&cluster, workload)?;
    if figures
        .iter()
        .any(|class| !class.failed.is_empty() || class.complete == 0)
    {
        return Err(Report::new(demo_error(
            "a request got neither a complete answer nor a refusal",
        )));
    }
    if keep {
        keep_running(&cluster, workload).await;
    }
    Ok(())
}

/// Runs an operators' command and prints it with its output.
fn run_operator_command(arguments: &[&str]) -> Result<(), Report<DemoError>> {
    let program = beside("cactusspur").change_context(demo_error("command line"))?;
    println!("$ cactusspur {}", arguments.join(" "));
    let status = Command::new(program)
        .args(arguments)
        .status()
        .change_context(demo_error("command line"))?;
    println!();
    if status.success() {
        return Ok(());
    }
    Err(Report::new(demo_error("an operators' command failed")).attach(arguments.join(" ")))
}

async fn send_requests(cluster: &Cluster, workload: Workload) -> Vec<Figures> {
    let schedule = Schedule::of(&Plan {
        workload,
        seed: SEED,
        duration: DURATION,
        warm_up: Duration::ZERO,
        rate_per_s: RATE_PER_S,
        hot_prefix_moves: false,
    });
    let addresses = Addresses {
        entries: cluster.entry_addresses(),
        engines: cluster.engine_addresses(),
        services: cluster.service_addresses(),
    };
    let client = cluster.client().clone();
    let sender = Sender::open(client, workload, Policy::Cactusspur, addresses, SEED);
    let outcomes = play(&schedule, &Rc::new(sender), Instant::now()).await;
    let observed = Observed {
        schedule: &schedule,
        unbounded: &unbounded(&schedule),
        outcomes: &outcomes,
        counted_from_us: 0,
        fault_at: None,
    };
    observed.record(Policy::Cactusspur, 0).figures
}

fn print_table(figures: &[Figures]) {
    println!(
        "{:<18} {:>8} {:>10} {:>10} {:>8} {:>10} {:>7} {:>12}",
        "class",
        "requests",
        "p50 ms",
        "p99 ms",
        "hit rate",
        "recomputed",
        "refused",
        "microcredits"
    );
    for class in figures {
        let hit_rate = crate::load::number::ratio(class.cached_tokens, class.prompt_tokens);
        let refused: u64 = class.refused.iter().map(|row| row.count).sum();
        println!(
            "{:<18} {:>8} {:>10.1} {:>10.1} {:>8.3} {:>10} {:>7} {:>12}",
            class.name,
            class.requests,
            class.first_token.p50_ms,
            class.first_token.p99_ms,
            hit_rate,
            class.recomputed_tokens,
            refused,
            class.cost_microcredits
        );
    }
    println!();
}

/// Sends a chat request as client libraries do with default arguments. While the request is
/// rejected with 503 for lack of warm engines, it is retried after a short delay,
/// up to a maximum number of attempts.
async fn send_default_chat(cluster: &Cluster, workload: Workload) -> Result<(), Report<DemoError>> {
    const MAX_ATTEMPTS: usize = 20;
    const RETRY_DELAY: Duration = Duration::from_millis(300);
    let chats = workload.classes();
    let class = chats.iter().find(|class| class.service.is_none());
    let class = class.ok_or_else(|| Report::new(demo_error("no class to chat with")))?;
    let entries = cluster.entry_addresses();
    let address = entries
        .first()
        .ok_or_else(|| Report::new(demo_error("no entry VM")))?;
    let body = json!({
        "model": class.name,
        "messages": [{"role": "user", "content": "Is the band too thin?"}],
    });
    for _ in 0..MAX_ATTEMPTS {
        let response = cluster
            .client()
            .post(format!("http://{address}/v1/chat/completions"))
            .bearer_auth(api_key(workload.customers()[0].name))
            .send_json(&body)
            .await
            .map_err(|error| Report::new(demo_error("a chat")).attach(error.to_string()))?;
        if response.status() != StatusCode::SERVICE_UNAVAILABLE {
            println!("{} without max_tokens: {}", class.name, response.status());
            if response.status() == StatusCode::OK {
                return Ok(());
            }
            break;
        }
        sleep(RETRY_DELAY).await;
    }
    Err(Report::new(demo_error(
        "a chat with default arguments was refused",
    )))
}

/// Sends the same non-idempotent call through two entry VMs and checks that it ran exactly once.
async fn check_repeated_call(
    cluster: &Cluster,
    workload: Workload,
) -> Result<(), Report<DemoError>> {
    let class = non_idempotent_class(workload)?;
    let key = api_key(workload.customers()[0].name);
    for address in cluster.entry_addresses().iter().take(2) {
        let response = cluster
            .client()
            .post(format!("http://{address}/v1/services/{class}"))
            .bearer_auth(&key)
            .header("idempotency-key", REPEATED_KEY)
            .send_json(&json!({ "demo": true }))
            .await
            .map_err(|error| Report::new(demo_error("a call")).attach(error.to_string()))?;
        let replayed = response.header("x-idempotent-replayed");
        let replayed = replayed
            .and_then(|value| value.to_str().ok())
            .unwrap_or("-")
            .to_owned();
        println!(
            "{class} through {address}: {} replayed={replayed}",
            response.status()
        );
        if response.status() != StatusCode::OK {
            return Err(Report::new(demo_error("a call was refused")));
        }
    }
    let runs = cluster.runs_of(REPEATED_KEY).await;
    println!("{class} ran {runs} time(s)\n");
    if runs == 1 {
        return Ok(());
    }
    Err(Report::new(demo_error("a call did not run exactly once")))
}

fn non_idempotent_class(workload: Workload) -> Result<&'static str, Report<DemoError>> {
    let class = workload.classes().iter().find(|class| !class.idempotent);
    class
        .map(|class| class.name)
        .ok_or_else(|| Report::new(demo_error("no class to call once")))
}

fn show_timeline(cluster: &Cluster, workload: Workload) -> Result<(), Report<DemoError>> {
    let mut arguments = vec!["timeline", "--class", non_idempotent_class(workload)?];
    let entries = cluster.operator_addresses();
    for entry in &entries {
        arguments.extend(["--entry", entry]);
    }
    run_operator_command(&arguments)
}

async fn keep_running(cluster: &Cluster, workload: Workload) {
    let address = cluster.entry_addresses().swap_remove(0);
    let key = api_key(workload.customers()[0].name);
    let class = workload.classes()[0].name;
    println!("caller=http://{address} key={key} class={class}");
    println!("stop it with: kill {}", std::process::id());
    std::future::pending::<()>().await;
}
