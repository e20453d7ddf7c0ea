//! Validation of settings files.

use {
    cactusspur::Settings,
    std::path::{Path, PathBuf},
    test_case::test_case,
};

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/data/settings")
        .join(name)
}

#[test]
fn the_example_is_accepted() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/settings.yaml");
    let settings = Settings::from_file(&path).expect("the example is valid");
    assert_eq!(settings.failure_domain, "sapporo");
}

#[test_case("short_key.yaml", "shared_key: must have 32 bytes or more")]
#[test_case("unknown_field.yaml", "unknown field `weight`")]
#[test_case("no_requests.yaml", "max_requests: must not be 0")]
#[test_case("missing.yaml", "missing.yaml")]
fn a_bad_file_is_refused_with_its_field(name: &str, message: &str) {
    let report = Settings::from_file(&fixture(name)).expect_err("the settings are invalid");
    let text = format!("{report:?}");
    assert!(text.contains(message), "{text}");
}
