//! The state of a gateway after notices of its peers and changes of backend rows.

use {
    cactusspur::gateway::{
        GatewaySettings,
        notice::{Notice, RolloutNotice},
        state::GatewayState,
    },
    cactusspur_core::{
        DurationMs, TimeMs, WeightsVersion, WorkerId,
        gateway::{BackendSpec, Load, Pace, PartState, PartUpdate, RetryBudgetLimits},
    },
    std::net::SocketAddr,
    test_case::test_case,
};

const MODEL: &str = "model";
const ENGINE: &str = "engine-1";
/// The key of a prompt part.
const PART: u64 = 77;
const NOW: TimeMs = TimeMs(1_000_000);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn spec(weights: u64, started_at_ms: u64) -> BackendSpec {
    BackendSpec {
        instance: ENGINE.to_owned(),
        started_at_ms,
        service: "engines".to_owned(),
        address: address(9_000),
        domain: "north".to_owned(),
        slots: 32,
        is_ready: true,
        weights: vec![(MODEL.to_owned(), WeightsVersion(weights))],
        software: None,
    }
}

/// Returns the state of a gateway after a peer has announced that an engine caches a part.
fn state() -> GatewayState {
    let settings = GatewaySettings {
        name: "entry-1".to_owned(),
        domain: "north".to_owned(),
        callers_address: address(7_001),
        readiness_address: address(7_002),
        peers_address: address(7_003),
        metrics_address: None,
        seed_addresses: Vec::new(),
        shared_key: "a key that is long enough for the tests".to_owned(),
        has_common_key: false,
        retry_budget: RetryBudgetLimits {
            ratio_milli: 200,
            allowance: 50,
            window_ms: 10_000,
        },
        usage: None,
        old_weights_grace_ms: DurationMs(10_000),
        configuration_limit_ms: DurationMs(2_000),
        drain_limit_ms: DurationMs(2_000),
        server_timeout_ms: DurationMs(3_600),
        handover_pause_ms: DurationMs(3_300),
        contact_limit_ms: DurationMs(3_000),
        grace_ms: DurationMs(8_000),
        memory_limit_bytes: 88_000_000,
    };
    let mut state = GatewayState::new(&settings);
    state.backends.upsert(spec(1, 1));
    state.apply_notice(&cached_notice(), NOW);
    assert!(state.cached_parts.holds(PART, engine(), NOW));
    state
}

fn engine() -> WorkerId {
    WorkerId::from_name(ENGINE)
}

fn cached_notice() -> Notice {
    Notice {
        address: Some(address(7_013)),
        parts: vec![PartUpdate {
            part: PART,
            worker: engine(),
            state: PartState::Cached,
        }],
        ..Notice::default()
    }
}

fn updated_notice(version: u64) -> Notice {
    Notice {
        address: Some(address(7_013)),
        rollout: Some(RolloutNotice {
            model: MODEL.to_owned(),
            version: WeightsVersion(version),
            draining: Vec::new(),
            loading: Vec::new(),
            updated: vec![engine()],
        }),
        ..Notice::default()
    }
}

/// An engine discards its cached parts when it loads weights. A gateway that learns of the new
/// weights from a peer must not name the engine as a source of parts any more.
#[test_case(2, false; "newer weights")]
#[test_case(1, true; "the weights that it has")]
fn an_engine_that_loaded_weights_holds_nothing(version: u64, expected: bool) {
    let mut state = state();
    state.apply_notice(&updated_notice(version), NOW);
    assert_eq!(state.cached_parts.holds(PART, engine(), NOW), expected);
    // A repeated notice keeps the parts that were cached since.
    state.apply_notice(&cached_notice(), NOW);
    state.apply_notice(&updated_notice(version), NOW);
    assert!(state.cached_parts.holds(PART, engine(), NOW));
}

#[test_case(2, 1, true; "newer weights")]
#[test_case(1, 2, true; "another life")]
#[test_case(1, 1, false; "no change")]
fn an_entry_tells_whether_what_was_held_is_lost(weights: u64, started_at_ms: u64, expected: bool) {
    let mut state = state();
    assert_eq!(
        state.backends.upsert(spec(weights, started_at_ms)),
        expected
    );
}

/// The row in the store names older weights than the engine has reported.
#[test]
fn an_older_entry_takes_nothing_back() {
    let mut state = state();
    assert!(state.update_backend_weights(engine(), MODEL, WeightsVersion(3)));
    assert!(!state.backends.upsert(spec(2, 1)));
    let backend = state.backends.get(engine()).expect("the engine");
    assert_eq!(backend.weights(MODEL), Some(WeightsVersion(3)));
}

#[test]
fn what_peers_send_and_hear_counts() {
    let mut state = state();
    let slow = Pace::sample(DurationMs(100), DurationMs(135)).expect("a sample");
    let notice = Notice {
        address: Some(address(7_013)),
        sent_requests: vec![(engine(), DurationMs(90)), (engine(), DurationMs(60))],
        paces: vec![(engine(), slow)],
        ..Notice::default()
    };
    state.apply_notice(&notice, NOW);
    let backend = state.backends.get(engine()).expect("the engine");
    assert_eq!(backend.queue_ms(NOW), DurationMs(150));
    assert_eq!(backend.queue_ms(NOW.after(DurationMs(100))), DurationMs(50));
    assert_eq!(backend.occupancy(NOW), 2);
    assert!(backend.pace > Pace::default());
    let load_notice = Notice {
        loads: vec![(
            engine(),
            Load {
                running: 5,
                waiting: 1,
                limit: None,
                brittle: None,
            },
        )],
        ..notice
    };
    state.apply_notice(&load_notice, NOW);
    let backend = state.backends.get(engine()).expect("the engine");
    assert_eq!(backend.occupancy(NOW), 6);
}
