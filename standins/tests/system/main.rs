//! Promises that are kept by real processes under failure. Every test waits on conditions.

mod caller;

use {
    cactusspur_standins::load::{
        cluster::Cluster,
        process::{Process, Signal},
        scenario::{Action, Target},
    },
    caller::{
        INTERVAL, Streamed, chat, cluster, expected, hold, in_progress, is_ready, serves, until,
        whole_chat,
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

/// Tokens of an answer that is long enough for a fault to come in between.
const LONG_ANSWER_TOKENS: u64 = 40;

/// How long the owner of a key lives after it was asked; the table service takes 200 ms.
const OWNER_LIFE: Duration = Duration::from_millis(210);

/// Clusters take turns: each is a few dozen processes.
static TURN: Mutex<()> = Mutex::new(());

/// Runs a test when it is its turn.
fn in_turn<F>(test: F)
where
    F: Future<Output = ()> + 'static,
{
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    System::new("test", DefaultRuntime).block_on(test);
}

async fn break_servers(cluster: &mut Cluster, target: Target, change: Value) {
    let action = Action::Faults { target, change };
    cluster
        .act(&action)
        .await
        .expect("the stand-ins take faults");
}

#[test_case(json!({"crash_to_empty": true}) ; "engines crash to empty")]
#[test_case(json!({"silent_connections": true}) ; "connections go silent")]
#[test_case(json!({"duplicate_pieces_permille": 500, "late_pieces_permille": 500}) ; "pieces come twice and late")]
fn a_stream_is_whole_and_in_order(fault: Value) {
    in_turn(async move {
        let mut cluster = cluster(1).await;
        let mut response = chat(&cluster, 0, "q1", LONG_ANSWER_TOKENS)
            .await
            .expect("an answer");
        let mut streamed = Streamed::default();
        streamed.read_some(&mut response).await;
        break_servers(&mut cluster, Target::Engines, fault).await;
        streamed.read_all(&mut response).await;
        assert!(streamed.whole, "{streamed:?}");
        assert_eq!(streamed.text, expected("q1", LONG_ANSWER_TOKENS));
    });
}

#[test]
fn the_work_of_a_caller_that_left_is_cancelled() {
    in_turn(async {
        let cluster = cluster(1).await;
        let mut response = chat(&cluster, 0, "q1", LONG_ANSWER_TOKENS)
            .await
            .expect("an answer");
        Streamed::default().read_some(&mut response).await;
        drop(response);
        until("the engine says cancelled", || async {
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
    in_turn(async {
        let mut cluster = cluster(1).await;
        break_servers(&mut cluster, Target::Engines, json!({"frozen": true})).await;
        let waiting = chat(&cluster, 0, "q1", LONG_ANSWER_TOKENS);
        let taken = until("it is in progress", || async {
            in_progress(&cluster, 0).await == Some(1)
        });
        futures::future::select(Box::pin(waiting), Box::pin(taken)).await;
        until("it is given up", || async {
            in_progress(&cluster, 0).await == Some(0)
        })
        .await;
    });
}

#[test]
fn a_hold_runs_once_through_two_entry_vms_with_lost_answers() {
    in_turn(async {
        let mut cluster = cluster(2).await;
        let lossy = json!({"lose_answer_permille": 500});
        break_servers(&mut cluster, Target::Platform, lossy).await;
        for key in ["k1", "k2", "k3", "k4"] {
            let (first, second) = futures::join!(hold(&cluster, 0, key), hold(&cluster, 1, key));
            assert!(first.is_some() && second.is_some());
            until("the hold is answered", || async {
                hold(&cluster, 1, key)
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
    in_turn(async {
        let mut cluster = cluster(1).await;
        break_servers(&mut cluster, Target::Platform, json!({"down": true})).await;
        let refused = hold(&cluster, 0, "k1").await.expect("an answer");
        assert_eq!(refused.status, 503);
        assert_eq!(refused.verdict.as_deref(), Some("not-run"));
        assert!(refused.retry_after);
        assert_eq!(cluster.runs_of("k1").await, 0);
        break_servers(&mut cluster, Target::Platform, json!({"down": false})).await;
        until("the hold is answered", || async {
            hold(&cluster, 0, "k1")
                .await
                .is_some_and(|answer| answer.status == 200)
        })
        .await;
        assert_eq!(cluster.runs_of("k1").await, 1);
    });
}

#[test]
fn a_hold_whose_owner_dies_runs_at_most_once() {
    in_turn(async {
        let mut cluster = cluster(2).await;
        let slow = json!({"slow_ms": 200});
        break_servers(&mut cluster, Target::Platform, slow).await;
        for key in ["k1", "k2", "k3"] {
            let sending = hold(&cluster, 0, key);
            let killing = tokio::time::sleep(OWNER_LIFE);
            futures::future::select(Box::pin(sending), Box::pin(killing)).await;
            cluster.restart_entry(0).expect("it starts again");
            assert!(hold(&cluster, 1, key).await.is_some());
            assert!(cluster.runs_of(key).await <= 1, "{key}");
        }
    });
}

#[test]
fn killed_entry_vms_serve_again_after_their_restart() {
    in_turn(async {
        let mut cluster = cluster(2).await;
        cluster
            .act(&Action::RestartEntries)
            .await
            .expect("they start again");
        for entry in [0, 1] {
            until("a restarted entry VM serves", || serves(&cluster, entry)).await;
        }
    });
}

#[test]
fn entry_vms_that_all_restart_in_an_outage_refuse_at_once() {
    in_turn(async {
        let mut cluster = cluster(2).await;
        let outage = json!({"down": true, "objects_down": true, "vms_down": true});
        break_servers(&mut cluster, Target::Platform, outage).await;
        cluster
            .act(&Action::RestartEntries)
            .await
            .expect("they start again");
        let refused = hold(&cluster, 0, "k1").await.expect("an answer");
        assert_eq!(refused.status, 503);
        assert_eq!(refused.verdict.as_deref(), Some("not-run"));
        assert!(refused.retry_after);
        assert_eq!(cluster.runs_of("k1").await, 0);
    });
}

#[test]
fn an_entry_vm_that_restarts_in_an_outage_of_the_platform_serves() {
    in_turn(async {
        let mut cluster = cluster(2).await;
        let outage =
            json!({"down": true, "objects_down": true, "vms_down": true, "kept_down": true});
        break_servers(&mut cluster, Target::Platform, outage).await;
        cluster.restart_entry(0).expect("it starts again");
        until("it serves", || serves(&cluster, 0)).await;
    });
}

#[test]
fn a_rolling_restart_loses_no_request() {
    in_turn(async {
        let mut cluster = cluster(2).await;
        for (stopping, other) in [(0, 1), (1, 0)] {
            until("both are ready", || async {
                is_ready(&cluster, 0).await && is_ready(&cluster, 1).await
            })
            .await;
            let process = cluster.entry_process(stopping).expect("there is one");
            process
                .signal(Signal::Terminate)
                .expect("it can be signalled");
            while !cluster
                .entry_process(stopping)
                .is_some_and(Process::has_ended)
            {
                let entry = if is_ready(&cluster, stopping).await {
                    stopping
                } else {
                    other
                };
                whole_chat(&cluster, entry, "q").await;
            }
            cluster.restart_entry(stopping).expect("it starts again");
        }
    });
}

#[test]
fn other_failure_domains_serve_while_one_is_cut_off() {
    in_turn(async {
        let mut cluster = cluster(3).await;
        break_servers(&mut cluster, Target::FirstDomain, json!({"frozen": true})).await;
        cluster
            .act(&Action::PauseEntries)
            .await
            .expect("they are paused");
        for entry in [1, 2] {
            until("it serves", || serves(&cluster, entry)).await;
        }
        for question in ["q1", "q2", "q3", "q4"] {
            whole_chat(&cluster, 1, question).await;
        }
        break_servers(&mut cluster, Target::FirstDomain, json!({"frozen": false})).await;
        cluster
            .act(&Action::ContinueEntries)
            .await
            .expect("they go on");
        until("the domain serves again", || serves(&cluster, 0)).await;
    });
}

#[test]
fn a_planned_stop_cuts_no_stream() {
    in_turn(async {
        let mut cluster = cluster(2).await;
        let mut response = chat(&cluster, 0, "q1", LONG_ANSWER_TOKENS)
            .await
            .expect("an answer");
        let mut streamed = Streamed::default();
        streamed.read_some(&mut response).await;
        let process = cluster.entry_process(0).expect("there is one");
        process
            .signal(Signal::Terminate)
            .expect("it can be signalled");
        streamed.read_all(&mut response).await;
        assert!(streamed.whole, "{streamed:?}");
        assert_eq!(streamed.text, expected("q1", LONG_ANSWER_TOKENS));
        while !process.has_ended() {
            tokio::time::sleep(INTERVAL).await;
        }
    });
}

#[test]
fn a_leaving_engine_gets_no_new_work() {
    in_turn(async {
        let mut cluster = cluster(1).await;
        break_servers(&mut cluster, Target::FirstDomain, json!({"leaving": true})).await;
        for turn in 0..12 {
            let question = format!("q{turn}");
            let mut response = chat(&cluster, 0, &question, 4).await.expect("an answer");
            let mut streamed = Streamed::default();
            streamed.read_all(&mut response).await;
            assert!(streamed.whole, "{streamed:?}");
            assert_eq!(streamed.text, expected(&question, 4));
        }
    });
}

#[test]
fn the_daemon_opens_no_io_uring() {
    in_turn(async {
        let mut cluster = cluster(1).await;
        let id = cluster.entry_process(0).expect("there is one").id();
        let descriptors = fs::read_dir(format!("/proc/{id}/fd")).expect("it runs");
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
