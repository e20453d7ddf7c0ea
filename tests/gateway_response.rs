//! The queue of events between a server's stream and its caller.

use {
    bytes::Bytes, cactusspur::gateway::response::send_event, futures::FutureExt,
    test_case::test_case, tokio::sync::mpsc,
};

/// The largest event that a gateway passes on.
const EVENT_BYTES: usize = 65_536;
const PLACES: usize = 8;

/// Eight events of 64 KiB waited for each caller that reads slowly, so that a few hundred such streams took more
/// memory than a process has (found beside issue 53).
#[test_case(EVENT_BYTES, 1; "large events wait for each other")]
#[test_case(200, PLACES; "small events do not")]
fn events_that_wait_for_a_caller_are_bounded_by_their_bytes(event_bytes: usize, expected: usize) {
    let (sender, mut parts) = mpsc::channel(PLACES);
    let event = Bytes::from(vec![b'x'; event_bytes]);
    let queue_all = || {
        let queued =
            (0..2 * PLACES).map_while(|_| send_event(&sender, event.clone()).now_or_never());
        queued.flatten().count()
    };
    assert_eq!(queue_all(), expected);
    for _ in 0..expected {
        assert!(parts.try_recv().is_ok());
    }
    assert_eq!(queue_all(), expected, "room again");
}
