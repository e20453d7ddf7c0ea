//! The log of accepted configurations under concurrent changes and lost answers, and the exit codes
//! of the command line.

mod support;

use {
    cactusspur::configuration_log::{
        Acceptance, ConfigurationLog, HEAD_KEY, LogError, MAX_INLINE_BYTES, change_key,
    },
    cactusspur_core::{Configuration, Customer, Declarations, Generation, TimeMs},
    std::process::{Command, Output},
    support::{FakeStore, Fault},
    test_case::test_case,
};

const NOW: TimeMs = TimeMs(1_780_000_000_000);

fn customers(names: &[&str]) -> Declarations {
    let customers = names.iter().map(|name| Customer {
        name: (*name).to_owned(),
        api_key_hashes: vec![blake3::hash(name.as_bytes()).to_hex().to_string()],
        credits: Vec::new(),
    });
    Declarations {
        customers: customers.collect(),
        ..Declarations::default()
    }
}

async fn accept(
    log: &ConfigurationLog<FakeStore>,
    before: &Configuration,
    names: &[&str],
    id: &str,
) -> Configuration {
    let outcome = log
        .accept(before, customers(names), id.to_owned(), NOW)
        .await;
    match outcome.expect("the platform answers") {
        Acceptance::Accepted(accepted) => accepted,
        other => panic!("not accepted: {other:?}"),
    }
}

#[ntex::test]
async fn the_loser_of_a_race_is_told_what_changed() {
    let log = ConfigurationLog::new(FakeStore::default());
    let first = accept(&log, &Configuration::default(), &["alder"], "one").await;
    let second = accept(&log, &first, &["alder", "bay"], "two").await;
    let result = log
        .accept(&first, customers(&["cedar"]), "three".to_owned(), NOW)
        .await;
    let Ok(Acceptance::Conflict(record)) = result else {
        panic!("no conflict: {result:?}");
    };
    assert_eq!(
        (record.generation, record.change_id.as_str()),
        (Generation(2), "two")
    );
    assert_eq!(record.summary[0].to_string(), "+ customer bay");
    assert_eq!(log.newest().await.expect("read"), second);
}

#[test_case(&[Fault::LoseAnswer]; "the answer is lost")]
#[test_case(&[Fault::LoseCall, Fault::LoseAnswer]; "the call is lost, then the answer")]
#[test_case(&[Fault::Refuse, Fault::LoseCall]; "refused, then lost")]
#[ntex::test]
async fn a_lost_answer_is_settled_by_reading_back(faults: &[Fault]) {
    let store = FakeStore::default();
    let log = ConfigurationLog::new(store.clone());
    store.fail_writes(faults);
    let first = accept(&log, &Configuration::default(), &["alder"], "one").await;
    assert_eq!(first.generation, Generation(1));
    assert_eq!(log.newest().await.expect("read"), first);
}

#[ntex::test]
async fn a_lost_race_behind_a_lost_call_is_a_conflict() {
    let store = FakeStore::default();
    let log = ConfigurationLog::new(store.clone());
    let initial = Configuration::default();
    accept(&log, &initial, &["alder"], "one").await;
    store.fail_writes(&[Fault::LoseCall]);
    let result = log
        .accept(&initial, customers(&["bay"]), "two".to_owned(), NOW)
        .await;
    assert!(matches!(result, Ok(Acceptance::Conflict(record)) if record.change_id == "one"));
}

#[test_case(Fault::Refuse, LogError::Unavailable)]
#[test_case(Fault::LoseCall, LogError::Unknown)]
#[ntex::test]
async fn a_write_that_never_answers_is_not_reported_as_undone(fault: Fault, error: LogError) {
    let store = FakeStore::default();
    let log = ConfigurationLog::new(store.clone());
    store.fail_writes(&[fault; 5]);
    let initial = Configuration::default();
    let result = log
        .accept(&initial, customers(&["bay"]), "two".to_owned(), NOW)
        .await;
    assert_eq!(
        *result.expect_err("the change fails").current_context(),
        error
    );
}

#[ntex::test]
async fn a_head_that_was_not_moved_hides_no_change() {
    let store = FakeStore::default();
    let log = ConfigurationLog::new(store.clone());
    let first = accept(&log, &Configuration::default(), &["alder"], "one").await;
    let second = accept(&log, &first, &["bay"], "two").await;
    for head in [None, Some(serde_json::to_value(&first).expect("JSON"))] {
        store.remove(HEAD_KEY);
        if let Some(head) = head {
            store.put(HEAD_KEY, head);
        }
        assert_eq!(log.newest().await.expect("read"), second);
    }
}

#[ntex::test]
async fn a_large_configuration_goes_to_the_object_store() {
    let names: Vec<String> = (0..1_000)
        .map(|index| format!("customer-{index}"))
        .collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    assert!(serde_json::to_vec(&customers(&names)).expect("JSON").len() > MAX_INLINE_BYTES);
    let store = FakeStore::default();
    let log = ConfigurationLog::new(store.clone());
    let first = accept(&log, &Configuration::default(), &names, "one").await;
    let second = accept(&log, &first, &names[1..], "two").await;
    assert_eq!(log.newest().await.expect("read"), second);

    store.set_objects_down(true);
    let third = accept(&log, &second, &names[2..], "three").await;
    assert_eq!(log.next(&second).await.expect("read"), Some(third.clone()));
    let result = log
        .accept(&third, customers(&["x"]), "four".to_owned(), NOW)
        .await;
    assert!(
        matches!(result, Ok(Acceptance::Accepted(_))),
        "the change is small enough to be written inline"
    );
}

#[ntex::test]
async fn a_damaged_change_is_not_taken() {
    let store = FakeStore::default();
    let log = ConfigurationLog::new(store.clone());
    let initial = Configuration::default();
    accept(&log, &initial, &["alder"], "one").await;
    let record = log
        .record(Generation(1))
        .await
        .expect("read")
        .expect("there");
    let mut value = serde_json::to_value(&record).expect("JSON");
    value["result_hash"] = "0".into();
    store.put(&change_key(Generation(1)), value);
    let refused = log.next(&initial).await.expect_err("refused");
    assert_eq!(*refused.current_context(), LogError::Damaged);
}

fn cactusspur(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cactusspur"))
        .args(arguments)
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .output()
        .expect("the command can be started")
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).expect("UTF-8")
}

#[test_case(&["check", "examples/trust.yaml", "examples/kitahama.yaml"], 0)]
#[test_case(&["check", "tests/data/declarations/zero_target.yaml"], 3)]
#[test_case(&["check", "tests/data/nothing.yaml"], 7)]
#[test_case(&["check"], 2)]
#[test_case(&["diff", "examples/trust.yaml", "--platform", "127.0.0.1:1"], 5)]
#[test_case(&["apply", "examples/trust.yaml", "--platform", "127.0.0.1:1"], 5)]
#[test_case(&["status", "--entry", "127.0.0.1:1"], 5)]
#[test_case(&["gateway", "--metrics", "127.0.0.1:1"], 5)]
#[test_case(&["completions", "bash"], 0)]
#[test_case(&["apply", "--help"], 0)]
fn ends_with(arguments: &[&str], code: i32) {
    let output = cactusspur(arguments);
    assert_eq!(output.status.code(), Some(code), "{}", text(&output.stderr));
}

#[test]
fn refusals_are_json_when_asked_for() {
    let file = "tests/data/declarations/zero_target.yaml";
    let output = cactusspur(&["check", file, "--output", "json"]);
    let refused: serde_json::Value = serde_json::from_slice(&output.stderr).expect("JSON");
    assert_eq!(refused["problems"][0]["line"], 10);
    assert_eq!(refused["problems"][0]["file"], file);
}
