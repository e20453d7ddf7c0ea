//! Tests of the time line: causal order across processes with wrong clocks, bounds, filters.

use {
    bytes::Bytes,
    cactusspur::timeline::{
        EventKind, HybridClock, HybridTime, MAX_DRIFT_MS, RequestName, Timeline, TimelineEvent,
        TimelineFilter, merge,
    },
    cactusspur_core::{
        Arrival, AttemptId, ClassId, Command, CustomerId, Event, RequestId, Send, TimeMs, Tokens,
        Usage, WorkerId,
    },
    std::sync::Arc,
    test_case::test_case,
};

const NOW: TimeMs = TimeMs(1_000_000);

fn record_arrival(timeline: &Timeline, now: TimeMs, request: u64, class: &str) {
    let arrival = Arrival {
        request: RequestId(request),
        customer: CustomerId::from_name("alder"),
        class: ClassId::from_name(class),
        levels: Vec::new(),
        max_answer_tokens: Tokens(1),
        idempotency_key: None,
        body_hash: 0,
    };
    timeline.record_event(now, &arrival.into());
}

fn record_send(timeline: &Timeline, request: u64, attempt: u128, worker: &str) {
    let send = Send {
        request: RequestId(request),
        attempt: AttemptId(attempt),
        worker: WorkerId::from_name(worker),
        incarnation: None,
        priority: 0,
        scope: None,
        resume_offset_bytes: 0,
        import: Vec::new(),
        export: Vec::new(),
    };
    timeline.record_command(NOW, &send.into());
}

fn record_piece(timeline: &Timeline, attempt: u128) {
    let piece = Event::Piece {
        attempt: AttemptId(attempt),
        offset_bytes: 0,
        text: Bytes::new(),
    };
    timeline.record_event(NOW, &piece);
}

fn kinds(events: &[TimelineEvent]) -> Vec<EventKind> {
    events.iter().map(|event| event.kind).collect()
}

#[test]
fn an_effect_sorts_after_its_cause_though_its_clock_is_behind() {
    let ahead = Timeline::new("ahead", 1);
    let behind = Timeline::new("behind", 2);
    ahead.record(NOW, EventKind::Member, "cause".to_owned());
    let message = ahead.stamp(NOW);
    let behind_now = TimeMs(NOW.0 - 30_000);
    behind.record(behind_now, EventKind::Member, "before".to_owned());
    behind.observe(behind_now, message);
    behind.record(behind_now, EventKind::Member, "effect".to_owned());
    let any = TimelineFilter::default();
    let merged = merge(vec![behind.select(&any), ahead.select(&any)]);
    let details: Vec<&str> = merged.iter().map(|event| event.detail.as_str()).collect();
    assert_eq!(details, ["before", "cause", "effect"]);
}

#[test]
fn stamps_rise_when_the_clock_falls() {
    let mut clock = HybridClock::default();
    let stamps: Vec<HybridTime> = [5, 5, 3, 9, 1].map(|now| clock.stamp(TimeMs(now))).into();
    assert!(stamps.is_sorted_by(|a, b| a < b), "{stamps:?}");
}

#[test_case(MAX_DRIFT_MS.0, true)]
#[test_case(MAX_DRIFT_MS.0 + 1, false)]
fn a_clock_far_ahead_is_not_believed(ahead_ms: u64, is_accepted: bool) {
    let mut clock = HybridClock::default();
    let remote = HybridTime {
        wall_ms: TimeMs(NOW.0 + ahead_ms),
        count: 0,
    };
    clock.observe(NOW, remote);
    assert_eq!(clock.stamp(NOW) > remote, is_accepted);
}

#[test]
fn the_buffer_is_bounded_and_says_what_it_lost() {
    let timeline = Timeline::with_capacity("entry", 1, 3);
    for index in 0..5 {
        timeline.record(NOW, EventKind::Member, index.to_string());
    }
    let part = timeline.select(&TimelineFilter::default());
    let numbers: Vec<u64> = part.events.iter().map(|event| event.sequence).collect();
    assert_eq!((part.dropped, numbers), (2, vec![2, 3, 4]));
}

fn recorded_requests() -> Arc<Timeline> {
    let timeline = Timeline::new("entry", 0xab);
    record_arrival(&timeline, NOW, 1, "design-check");
    record_arrival(&timeline, NOW, 2, "stone-hold");
    record_send(&timeline, 1, 10, "engine-1");
    record_send(&timeline, 2, 20, "service-1");
    record_piece(&timeline, 10);
    record_piece(&timeline, 10);
    let complete = Command::Complete {
        request: RequestId(1),
        usage: Usage::default(),
    };
    timeline.record_command(NOW, &complete);
    record_piece(&timeline, 10);
    timeline
}

#[test]
fn a_request_is_followed_from_arrival_to_answer() {
    let filter = TimelineFilter {
        request: Some("chatcmpl-00000000000000ab-1".parse().expect("a name")),
        ..TimelineFilter::default()
    };
    let events = recorded_requests().select(&filter).events;
    let expected = [
        EventKind::Arrived,
        EventKind::Sent,
        EventKind::FirstPiece,
        EventKind::Complete,
    ];
    assert_eq!(kinds(&events), expected);
    assert_eq!(events[1].attempt, Some(AttemptId(10)));
}

#[test_case(Some("stone-hold"), None, 2)]
#[test_case(None, Some("engine-1"), 2)]
#[test_case(Some("stone-hold"), Some("engine-1"), 0)]
#[test_case(None, None, 6)]
fn filters_by_class_and_worker(class: Option<&str>, worker: Option<&str>, count: usize) {
    let filter = TimelineFilter {
        request: None,
        class: class.map(str::to_owned),
        worker: worker.map(str::to_owned),
    };
    assert_eq!(recorded_requests().select(&filter).events.len(), count);
}

#[test_case("chatcmpl-00000000000000ab-7")]
#[test_case("00000000000000ab-7")]
fn a_request_is_named_by_its_answers_id(text: &str) {
    let name: RequestName = text.parse().expect("a name");
    assert_eq!((name.incarnation, name.request), (0xab, RequestId(7)));
    assert_eq!(name.to_string().parse(), Ok(name));
}

#[test_case("")]
#[test_case("7")]
#[test_case("chatcmpl-x-7")]
fn other_texts_name_no_request(text: &str) {
    assert!(text.parse::<RequestName>().is_err());
}
