//! Parsing and validation of declarations, and changes between them. Each invalid fixture must be
//! reported with its line and field.

use {
    cactusspur::{
        change::{Change, canonical, hash_declarations},
        declaration_file::{InvalidDeclarations, parse},
    },
    cactusspur_core::{CustomerId, Declarations, TimeMs},
    std::{fs, path::PathBuf},
    test_case::test_case,
};

const NOW: TimeMs = TimeMs(1_780_000_000_000);

fn read_file(path: &str) -> Result<Declarations, InvalidDeclarations> {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let text = fs::read_to_string(root.join(path)).expect("the fixture exists");
    parse(path, &text, NOW)
}

fn fixture(name: &str) -> Result<Declarations, InvalidDeclarations> {
    read_file(&format!("tests/data/declarations/{name}.yaml"))
}

#[test_case("unknown_field", 12, "classes[0].color", "unknown field")]
#[test_case("weight", 3, "models[0].weight", "can't be declared")]
#[test_case("engine", 10, "classes[0].engine", "can't be declared")]
#[test_case("address", 27, "customers[1].address", "can't be declared")]
#[test_case("unit_in_value", 10, "classes[0].first_token_target_ms", "2s")]
#[test_case("unit_in_name", 10, "classes[0].first_token_target_s", "unknown field")]
#[test_case("wrong_type", 3, "models[0].weights_version", "newest")]
#[test_case("negative", 24, "customers[0].credits[0].amount_microcredits", "-5")]
#[test_case("zero_target", 10, "classes[0].first_token_target_ms", "0 ms")]
#[test_case("late_target", 10, "classes[0].first_token_target_ms", "an hour")]
#[test_case("duplicate_customer", 26, "customers[1].name", "declared twice")]
#[test_case("duplicate_class", 12, "classes[1].name", "declared twice")]
#[test_case(
    "duplicate_field",
    5,
    "classes[0].first_token_target_ms",
    "duplicate field"
)]
#[test_case(
    "duplicate_key",
    27,
    "customers[1].api_key_hashes[0]",
    "declared twice"
)]
#[test_case("model_id_collision", 7, "models[2].name", "declared twice")]
#[test_case(
    "undeclared_model",
    8,
    "classes[0].served_by.model.name",
    "`other` is not declared"
)]
#[test_case("undeclared_adapter", 8, "classes[0].served_by.model.name", "`rings`")]
#[test_case(
    "lapsed_grant",
    25,
    "customers[0].credits[0].lapses_at_ms",
    "has lapsed"
)]
#[test_case(
    "grant_in_seconds",
    25,
    "customers[0].credits[0].lapses_at_ms",
    "seconds?"
)]
#[test_case(
    "empty_grant",
    24,
    "customers[0].credits[0].amount_microcredits",
    "empty grant"
)]
#[test_case("bad_key_hash", 21, "customers[0].api_key_hashes[0]", "BLAKE3")]
#[test_case("no_key", 27, "customers[1].api_key_hashes", "without a key")]
#[test_case("bad_name", 12, "classes[1].name", "lower-case")]
#[test_case(
    "no_weights_version",
    2,
    "models[0].weights_version",
    "missing field `weights_version`"
)]
#[test_case(
    "zero_answer",
    9,
    "classes[0].served_by.model.max_answer_tokens",
    "from 1"
)]
#[test_case("not_yaml", 5, "document", "did not find")]
fn refuses(name: &str, line: usize, field: &str, message: &str) {
    let invalid = fixture(name).expect_err("the declarations are invalid");
    let [problem] = invalid.problems.as_slice() else {
        panic!("not one problem: {invalid}");
    };
    assert_eq!(
        (problem.line, problem.field.as_str()),
        (line, field),
        "{problem}"
    );
    assert!(problem.message.contains(message), "{problem}");
    assert!(problem.file.ends_with(&format!("{name}.yaml")));
}

#[test]
fn all_broken_rules_are_named_in_the_order_of_the_file() {
    let invalid = fixture("two_problems").expect_err("the declarations are invalid");
    let lines: Vec<usize> = invalid
        .problems
        .iter()
        .map(|problem| problem.line)
        .collect();
    assert_eq!(lines, [10, 27]);
}

#[test_case("tests/data/declarations/good.yaml", 2)]
#[test_case("examples/trust.yaml", 8)]
#[test_case("examples/kitahama.yaml", 8)]
fn accepts(path: &str, customers: usize) {
    let declarations = read_file(path).expect("the declarations are valid");
    assert_eq!(declarations.customers.len(), customers);
}

#[test_case("examples/trust.yaml")]
#[test_case("examples/kitahama.yaml")]
fn example_keys_are_as_documented(path: &str) {
    for customer in read_file(path)
        .expect("the declarations are valid")
        .customers
    {
        let key = format!("KEY-{}", customer.name);
        let hash = blake3::hash(key.as_bytes()).to_hex().to_string();
        assert_eq!(customer.api_key_hashes, [hash]);
    }
}

#[test]
fn a_change_applied_gives_exactly_what_it_was_made_from() {
    let states = [
        Declarations::default(),
        read_file("examples/trust.yaml").expect("the declarations are valid"),
        read_file("examples/kitahama.yaml").expect("the declarations are valid"),
        fixture("good").expect("the declarations are valid"),
    ];
    for before in &states {
        for after in &states {
            let change = Change::between(before, after);
            assert_eq!(change.is_empty(), before == after);
            assert_eq!(change.apply(before).as_ref(), Ok(after));
        }
    }
}

#[test]
fn the_order_of_entries_changes_nothing() {
    let declared = fixture("good").expect("the declarations are valid");
    let mut reversed = declared.clone();
    reversed.classes.reverse();
    reversed.customers.reverse();
    assert!(Change::between(&declared, &reversed).is_empty());
    assert_eq!(hash_declarations(&reversed), hash_declarations(&declared));
    assert_eq!(canonical(reversed), declared);
}

#[test]
fn a_change_is_not_applied_to_declarations_that_it_does_not_belong_to() {
    let mut change = Change::default();
    change
        .customers
        .remove
        .push(CustomerId::from_name("nobody"));
    let result = change.apply(&Declarations::default());
    assert_eq!(
        result.expect_err("the customer is unknown").kind,
        "customer"
    );
}

#[test]
fn a_change_is_described_by_names() {
    let before = fixture("good").expect("the declarations are valid");
    let mut after = before.clone();
    after.customers.retain(|customer| customer.name != "bay");
    after.models[0].weights_version.0 = 2;
    let lines: Vec<String> = Change::between(&before, &after)
        .describe(&before)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(lines, ["~ model heirloom", "- customer bay"]);
}
