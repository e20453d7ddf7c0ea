//! System tests: guarantees that a cluster of real processes keeps under failures. Tests wait for
//! conditions rather than for fixed times.

mod caller;

use {
    cactusspur_standins::load::{
        cluster::Cluster,
        process::{Process, Signal},
        scenario::{Action, Target},
    },
    caller::{
        POLL_INTERVAL, StreamedAnswer, check_chat, expected_answer_to, in_progress, is_ready,
        is_serving, send_chat, send_hold, start_cluster, wait_until,
    },
    ntex::rt::{DefaultRuntime, System},
    serde_json::{Value, json},
    std::{
        fs,
        sync::{Mutex, PoisonError},
        time::Duration,
    },
    test_case::test_case,
};

/// Length of an answer that leaves time to inject a fault while it is streamed, in tokens.
const LONG_ANSWER_TOKENS: u64 = 40;

/// Delay between sending a call and killing the entry VM that owns its idempotency key. Slightly
/// longer than the 200 ms by which the test delays the table service.
const OWNER_KILL_DELAY: Duration = Duration::from_millis(210);

/// Ensures that only one cluster runs at a time, since each has a few dozen processes.
static CLUSTER_LOCK: Mutex<()> = Mutex::new(());

/// Runs a test while no other test of this process runs a cluster.
fn run_exclusively<F>(test: F)
where
    F: Future<Output = ()> + 'static,
{
    let _guard = CLUSTER_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    System::new("test", DefaultRuntime).block_on(test);
}

async fn set_faults(cluster: &mut Cluster, target: Target, change: Value) {
    let action = Action::Faults { target, change };
    cluster
        .act(&action)
        .await
        .expect("the simulated processes accept the faults");
}

#[test_case(json!({"crash_to_empty": true}) ; "engines crash to empty")]
#[test_case(json!({"silent_connections": true}) ; "connections go silent")]
#[test_case(json!({"duplicate_pieces_permille": 500, "late_pieces_permille": 500}) ; "pieces come twice and late")]
fn a_stream_is_whole_and_in_order(fault: Value) {
    run_exclusively(async move {
        let mut cluster = start_cluster(1).await;
        let mut response = send_chat(&cluster, 0, "q1", LONG_ANSWER_TOKENS)
            .await
            .expect("an answer");
        let mut streamed = StreamedAnswer::default();
        streamed.read_first_text(&mut response).await;
        set_faults(&mut cluster, Target::Engines, fault).await;
        streamed.read_all(&mut response).await;
        assert!(streamed.is_complete, "{streamed:?}");
        assert_eq!(streamed.text, expected_answer_to("q1", LONG_ANSWER_TOKENS));
    });
}

#[test]
fn the_work_of_a_caller_that_left_is_cancelled() {
    run_exclusively(async {
        let cluster = start_cluster(1).await;
        let mut response = send_chat(&cluster, 0, "q1", LONG_ANSWER_TOKENS)
            .await
            .expect("an answer");
        StreamedAnswer::default()
            .read_first_text(&mut response)
            .await;
        drop(response);
        wait_until("the engine logs the cancellation", || async {
            cluster
                .engine_log()
                .await
                .iter()
                .any(|entry| entry.cancelled)
        })
        .await;
    });
}

#[test]
fn a_caller_that_leaves_before_its_first_token_is_noticed() {
    run_exclusively(async {
        let mut cluster = start_cluster(1).await;
        set_faults(&mut cluster, Target::Engines, json!({"frozen": true})).await;
        let waiting = send_chat(&cluster, 0, "q1", LONG_ANSWER_TOKENS);
        let accepted = wait_until("the request is in progress", || async {
            in_progress(&cluster, 0).await == Some(1)
        });
        futures::future::select(Box::pin(waiting), Box::pin(accepted)).await;
        wait_until("the request has ended", || async {
            in_progress(&cluster, 0).await == Some(0)
        })
        .await;
    });
}

#[test]
fn a_hold_runs_once_through_two_entry_vms_with_lost_answers() {
    run_exclusively(async {
        let mut cluster = start_cluster(2).await;
        let lossy = json!({"lose_answer_permille": 500});
        set_faults(&mut cluster, Target::Platform, lossy).await;
        for key in ["k1", "k2", "k3", "k4"] {
            let (first, second) =
                futures::join!(send_hold(&cluster, 0, key), send_hold(&cluster, 1, key));
            assert!(first.is_some() && second.is_some());
            wait_until("the hold is answered", || async {
                send_hold(&cluster, 1, key)
                    .await
                    .is_some_and(|answer| answer.status == 200)
            })
            .await;
            assert_eq!(cluster.runs_of(key).await, 1, "{key}");
        }
    });
}

#[test]
fn a_refused_hold_has_not_run_and_can_come_back() {
    run_exclusively(async {
        let mut cluster = start_cluster(1).await;
        set_faults(&mut cluster, Target::Platform, json!({"down": true})).await;
        let refused = send_hold(&cluster, 0, "k1").await.expect("an answer");
        assert_eq!(refused.status, 503);
        assert_eq!(refused.verdict.as_deref(), Some("not-run"));
        assert!(refused.retry_after);
        assert_eq!(cluster.runs_of("k1").await, 0);
        set_faults(&mut cluster, Target::Platform, json!({"down": false})).await;
        wait_until("the hold is answered", || async {
            send_hold(&cluster, 0, "k1")
                .await
                .is_some_and(|answer| answer.status == 200)
        })
        .await;
        assert_eq!(cluster.runs_of("k1").await, 1);
    });
}

#[test]
fn a_hold_whose_owner_dies_runs_at_most_once() {
    run_exclusively(async {
        let mut cluster = start_cluster(2).await;
        let slow = json!({"slow_ms": 200});
        set_faults(&mut cluster, Target::Platform, slow).await;
        for key in ["k1", "k2", "k3"] {
            let sending = send_hold(&cluster, 0, key);
            let killing = tokio::time::sleep(OWNER_KILL_DELAY);
            futures::future::select(Box::pin(sending), Box::pin(killing)).await;
            cluster.restart_entry(0).expect("the entry VM restarts");
            assert!(send_hold(&cluster, 1, key).await.is_some());
            assert!(cluster.runs_of(key).await <= 1, "{key}");
        }
    });
}

#[test]
fn killed_entry_vms_serve_again_after_their_restart() {
    run_exclusively(async {
        let mut cluster = start_cluster(2).await;
        cluster
            .act(&Action::RestartEntries)
            .await
            .expect("the entry VMs restart");
        for entry in [0, 1] {
            wait_until("a restarted VM serves", || is_serving(&cluster, entry)).await;
        }
    });
}

#[test]
fn entry_vms_that_all_restart_in_an_outage_refuse_at_once() {
    run_exclusively(async {
        let mut cluster = start_cluster(2).await;
        let outage = json!({"down": true, "objects_down": true, "vms_down": true});
        set_faults(&mut cluster, Target::Platform, outage).await;
        cluster
            .act(&Action::RestartEntries)
            .await
            .expect("the entry VMs restart");
        let refused = send_hold(&cluster, 0, "k1").await.expect("an answer");
        assert_eq!(refused.status, 503);
        assert_eq!(refused.verdict.as_deref(), Some("not-run"));
        assert!(refused.retry_after);
        assert_eq!(cluster.runs_of("k1").await, 0);
    });
}

#[test]
fn an_entry_vm_that_restarts_in_an_outage_of_the_platform_serves() {
    run_exclusively(async {
        let mut cluster = start_cluster(2).await;
        let outage =
            json!({"down": true, "objects_down": true, "vms_down": true, "kept_down": true});
        set_faults(&mut cluster, Target::Platform, outage).await;
        cluster.restart_entry(0).expect("the entry VM restarts");
        wait_until("the VM serves", || is_serving(&cluster, 0)).await;
    });
}

#[test]
fn a_rolling_restart_loses_no_request() {
    run_exclusively(async {
        let mut cluster = start_cluster(2).await;
        for (stopping, other) in [(0, 1), (1, 0)] {
            wait_until("both entry VMs are ready", || async {
                is_ready(&cluster, 0).await && is_ready(&cluster, 1).await
            })
            .await;
            let process = cluster.entry_process(stopping).expect("the process exists");
            process
                .signal(Signal::Terminate)
                .expect("the signal is sent");
            while !cluster
                .entry_process(stopping)
                .is_some_and(Process::has_ended)
            {
                let entry = if is_ready(&cluster, stopping).await {
                    stopping
                } else {
                    other
                };
                check_chat(&cluster, entry, "q").await;
            }
            cluster
                .restart_entry(stopping)
                .expect("the entry VM restarts");
        }
    });
}

#[test]
fn other_failure_domains_serve_while_one_is_cut_off() {
    run_exclusively(async {
        let mut cluster = start_cluster(3).await;
        set_faults(&mut cluster, Target::FirstDomain, json!({"frozen": true})).await;
        cluster
            .act(&Action::PauseEntries)
            .await
            .expect("the entry VMs are paused");
        for entry in [1, 2] {
            wait_until("the VM serves", || is_serving(&cluster, entry)).await;
        }
        for question in ["q1", "q2", "q3", "q4"] {
            check_chat(&cluster, 1, question).await;
        }
        set_faults(&mut cluster, Target::FirstDomain, json!({"frozen": false})).await;
        cluster
            .act(&Action::ContinueEntries)
            .await
            .expect("the entry VMs continue");
        wait_until("the domain serves again", || is_serving(&cluster, 0)).await;
    });
}

#[test]
fn a_planned_stop_cuts_no_stream() {
    run_exclusively(async {
        let mut cluster = start_cluster(2).await;
        let mut response = send_chat(&cluster, 0, "q1", LONG_ANSWER_TOKENS)
            .await
            .expect("an answer");
        let mut streamed = StreamedAnswer::default();
        streamed.read_first_text(&mut response).await;
        let process = cluster.entry_process(0).expect("the process exists");
        process
            .signal(Signal::Terminate)
            .expect("the signal is sent");
        streamed.read_all(&mut response).await;
        assert!(streamed.is_complete, "{streamed:?}");
        assert_eq!(streamed.text, expected_answer_to("q1", LONG_ANSWER_TOKENS));
        while !process.has_ended() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    });
}

#[test]
fn a_leaving_engine_gets_no_new_work() {
    run_exclusively(async {
        let mut cluster = start_cluster(1).await;
        set_faults(&mut cluster, Target::FirstDomain, json!({"leaving": true})).await;
        for index in 0..12 {
            let question = format!("q{index}");
            let mut response = send_chat(&cluster, 0, &question, 4)
                .await
                .expect("an answer");
            let mut streamed = StreamedAnswer::default();
            streamed.read_all(&mut response).await;
            assert!(streamed.is_complete, "{streamed:?}");
            assert_eq!(streamed.text, expected_answer_to(&question, 4));
        }
    });
}

#[test]
fn the_daemon_opens_no_io_uring() {
    run_exclusively(async {
        let mut cluster = start_cluster(1).await;
        let id = cluster.entry_process(0).expect("the process exists").id();
        let descriptors = fs::read_dir(format!("/proc/{id}/fd")).expect("the process runs");
        let targets: Vec<String> = descriptors
            .filter_map(|entry| fs::read_link(entry.ok()?.path()).ok())
            .map(|target| target.display().to_string())
            .collect();
        assert!(!targets.is_empty());
        assert!(
            !targets.iter().any(|target| target.contains("io_uring")),
            "{targets:?}"
        );
    });
}
