//! The demonstration: a cluster of processes on loopback, the operators' commands, a few dozen
//! requests, and what became of them.

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

/// The seed of the requests.
const SEED: u64 = 7;
/// Entry VMs.
const ENTRY_VMS: usize = 3;
/// How long requests are sent.
const DURATION: Duration = Duration::from_secs(4);
/// Chats a second.
const RATE_PER_S: f64 = 12.0;
/// The generation that the example declarations get.
const APPLIED: Generation = Generation(2);
/// The idempotency key of the call that is sent twice.
const REPEATED_KEY: &str = "demo-repeated-call";

/// The demonstration did not go as it should.
#[derive(Debug, Display, Error)]
#[display("demo: {what}")]
pub struct DemoError {
    what: &'static str,
}

const fn failed(what: &'static str) -> DemoError {
    DemoError { what }
}

/// Runs the demonstration. With `keep` it ends only when it is dropped.
///
/// # Errors
/// When anything of it is wrong: a process, a command, an answer.
pub async fn run(workload: Workload, examples: &Path, keep: bool) -> Result<(), Report<DemoError>> {
    let plan = ClusterPlan {
        workload,
        entry_vms: ENTRY_VMS,
        lapsing: None,
    };
    let cluster = Cluster::spawn(&plan)
        .await
        .change_context(failed("cluster"))?;
    let file = examples
        .join(format!("{workload}.yaml"))
        .display()
        .to_string();
    operate(&["check", &file])?;
    operate(&["apply", &file, "--platform", cluster.platform_address()])?;
    cluster
        .in_force(APPLIED)
        .await
        .change_context(failed("configuration"))?;

    let figures = send(&cluster, workload).await;
    print_table(&figures);
    plain_chat(&cluster, workload).await?;
    repeat_call(&cluster, workload).await?;
    show_timeline(&cluster, workload)?;
    if figures
        .iter()
        .any(|class| !class.failed.is_empty() || class.complete == 0)
    {
        return Err(Report::new(failed(
            "a request got neither a whole answer nor a refusal",
        )));
    }
    if keep {
        wait(&cluster, workload).await;
    }
    Ok(())
}

/// Runs a command of the operators' command line and shows it with its output.
fn operate(arguments: &[&str]) -> Result<(), Report<DemoError>> {
    let program = beside("cactusspur").change_context(failed("command line"))?;
    println!("$ cactusspur {}", arguments.join(" "));
    let status = Command::new(program)
        .args(arguments)
        .status()
        .change_context(failed("command line"))?;
    println!();
    if status.success() {
        return Ok(());
    }
    Err(Report::new(failed("an operators' command failed")).attach(arguments.join(" ")))
}

async fn send(cluster: &Cluster, workload: Workload) -> Vec<Figures> {
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

/// Sends the chat that a client library sends with its default arguments. A refusal for lack of
/// warm engines says when to come back; this does so a few times.
async fn plain_chat(cluster: &Cluster, workload: Workload) -> Result<(), Report<DemoError>> {
    const TRIES: usize = 20;
    const PAUSE: Duration = Duration::from_millis(300);
    let chats = workload.classes();
    let class = chats.iter().find(|class| class.service.is_none());
    let class = class.ok_or_else(|| Report::new(failed("no class to chat with")))?;
    let entries = cluster.entry_addresses();
    let address = entries
        .first()
        .ok_or_else(|| Report::new(failed("no entry VM")))?;
    let body = json!({
        "model": class.name,
        "messages": [{"role": "user", "content": "Is the band too thin?"}],
    });
    for _ in 0..TRIES {
        let response = cluster
            .client()
            .post(format!("http://{address}/v1/chat/completions"))
            .bearer_auth(api_key(workload.customers()[0].name))
            .send_json(&body)
            .await
            .map_err(|error| Report::new(failed("a chat")).attach(error.to_string()))?;
        if response.status() != StatusCode::SERVICE_UNAVAILABLE {
            println!("{} without max_tokens: {}", class.name, response.status());
            if response.status() == StatusCode::OK {
                return Ok(());
            }
            break;
        }
        sleep(PAUSE).await;
    }
    Err(Report::new(failed(
        "a chat with default arguments was refused",
    )))
}

/// Sends one call that may not be repeated through two entry VMs; it must have run once.
async fn repeat_call(cluster: &Cluster, workload: Workload) -> Result<(), Report<DemoError>> {
    let class = once_class(workload)?;
    let key = api_key(workload.customers()[0].name);
    for address in cluster.entry_addresses().iter().take(2) {
        let response = cluster
            .client()
            .post(format!("http://{address}/v1/services/{class}"))
            .bearer_auth(&key)
            .header("idempotency-key", REPEATED_KEY)
            .send_json(&json!({ "demo": true }))
            .await
            .map_err(|error| Report::new(failed("a call")).attach(error.to_string()))?;
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
            return Err(Report::new(failed("a call was refused")));
        }
    }
    let runs = cluster.runs_of(REPEATED_KEY).await;
    println!("{class} ran {runs} time(s)\n");
    if runs == 1 {
        return Ok(());
    }
    Err(Report::new(failed("a call did not run exactly once")))
}

fn once_class(workload: Workload) -> Result<&'static str, Report<DemoError>> {
    let class = workload.classes().iter().find(|class| !class.idempotent);
    class
        .map(|class| class.name)
        .ok_or_else(|| Report::new(failed("no class to call once")))
}

fn show_timeline(cluster: &Cluster, workload: Workload) -> Result<(), Report<DemoError>> {
    let mut arguments = vec!["timeline", "--class", once_class(workload)?];
    let entries = cluster.operator_addresses();
    for entry in &entries {
        arguments.extend(["--entry", entry]);
    }
    operate(&arguments)
}

async fn wait(cluster: &Cluster, workload: Workload) {
    let address = cluster.entry_addresses().swap_remove(0);
    let key = api_key(workload.customers()[0].name);
    let class = workload.classes()[0].name;
    println!("caller=http://{address} key={key} class={class}");
    println!("stop it with: kill {}", std::process::id());
    std::future::pending::<()>().await;
}
