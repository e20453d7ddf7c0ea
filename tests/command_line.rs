//! The command line against a stand-in of the platform.

use {
    cactusspur_standins::platform::{self, PlatformSettings},
    ntex::rt::{DefaultRuntime, System},
    serde_json::Value,
    std::{
        fs,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        path::PathBuf,
        process::Command,
        sync::mpsc,
        thread,
    },
};

const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A platform on a thread of its own, and a file with declarations that can be changed.
struct Bench {
    platform: SocketAddr,
    file: PathBuf,
}

impl Bench {
    fn open(name: &str) -> Self {
        let settings = PlatformSettings {
            writes_per_second: 400,
            reads_per_second: 2_000,
            kept_pieces: 1,
            seed: 1,
        };
        let (address, bound) = mpsc::channel();
        thread::spawn(move || {
            System::new("platform", DefaultRuntime).block_on(async move {
                let running = platform::bind(settings, ANY_PORT).expect("bound");
                address.send(running.address()).expect("the test waits");
                running.await.expect("it runs until the test ends");
            });
        });
        let platform = bound.recv().expect("bound");
        let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let bench = Self { platform, file };
        bench.write(&example());
        bench
    }

    fn write(&self, text: &str) {
        fs::write(&self.file, text).expect("written");
    }

    /// Runs a command on the file and gives its exit code and its JSON.
    fn run(&self, command: &str, more: &[&str]) -> (i32, Value) {
        let output = Command::new(env!("CARGO_BIN_EXE_cactusspur"))
            .args([command, "--output", "json", "--platform"])
            .arg(self.platform.to_string())
            .arg(&self.file)
            .args(more)
            .output()
            .expect("the command runs");
        let json = serde_json::from_slice(&output.stdout).unwrap_or_default();
        (output.status.code().expect("it ended"), json)
    }
}

fn example() -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    fs::read_to_string(root.join("tests/data/declarations/good.yaml")).expect("read")
}

fn with_target(target_ms: u64) -> String {
    let target = format!("first_token_target_ms: {target_ms}");
    example().replacen("first_token_target_ms: 400", &target, 1)
}

#[test]
fn declarations_come_into_force_and_a_race_is_lost_by_name() {
    let bench = Bench::open("race.yaml");
    assert_eq!(bench.run("diff", &[]).0, 1);
    let (code, first) = bench.run("apply", &[]);
    assert_eq!((code, &first["generation"]), (0, &1.into()), "{first}");
    assert_eq!(bench.run("diff", &[]).0, 0);
    assert_eq!(bench.run("apply", &[]).1["outcome"], "unchanged");

    bench.write(&with_target(300));
    let (code, second) = bench.run("apply", &["--based-on", "1"]);
    assert_eq!((code, &second["generation"]), (0, &2.into()), "{second}");

    bench.write(&with_target(500));
    let (code, lost) = bench.run("apply", &["--based-on", "1"]);
    assert_eq!((code, &lost["outcome"]), (4, &"conflict".into()), "{lost}");
    assert_eq!(lost["accepted"][0]["changes"][0]["name"], "design-check");
    assert_eq!(bench.run("diff", &[]).1["generation"], 2);
}

#[test]
fn a_command_that_is_run_again_finds_its_own_change() {
    let bench = Bench::open("again.yaml");
    let once = bench.run("apply", &["--change-id", "mine"]);
    bench.write(&with_target(300));
    bench.run("apply", &[]);
    bench.write(&example());
    let again = bench.run("apply", &["--change-id", "mine"]);
    assert_eq!(
        (again.0, &again.1["generation"]),
        (0, &1.into()),
        "{}",
        again.1
    );
    assert_eq!(once.1["generation"], again.1["generation"]);
    assert_eq!(bench.run("diff", &[]).1["generation"], 2);
}
