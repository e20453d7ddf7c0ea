//! Requests that one gateway passes on to another, over real connections.

use {
    bytes::Bytes,
    cactusspur::{
        gateway::response::{ResponseBody, StreamPart, StreamedBody},
        peer::{
            Envelope, NotTaken, PassFailure, PassLink, PassedAnswer, PassedRequest, PassedResponse,
            PeerKey, PeerResponse, PeerServer, Taken, TakenRequest, Taker,
        },
        timeline::HybridTime,
    },
    cactusspur_core::{DurationMs, EntryId, Verdict},
    futures::future::{AbortHandle, pending},
    http_body_util::Full,
    ntex::time::{Millis, sleep, timeout},
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
    },
    tokio::{
        io::copy_bidirectional,
        net::{TcpListener, TcpStream},
        sync::mpsc,
    },
};

const KEY: &str = "a shared key of the tests, 32 bytes or more";
const OTHER_KEY: &str = "another shared key of the tests, also long";
const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

fn key(text: &str) -> PeerKey {
    PeerKey::derive(text).expect("long enough")
}

fn passed(number: u64, body: &Bytes) -> Envelope<PassedRequest> {
    Envelope {
        from: EntryId::from_name("entry"),
        incarnation: 1,
        number,
        sent_at: HybridTime::default(),
        message: PassedRequest {
            method: "POST".to_owned(),
            target: "/hold/x".to_owned(),
            headers: vec![("x-request-id".to_owned(), b"1".to_vec())],
            answer_in_ms: DurationMs(500),
            caller_waits_ms: DurationMs(800),
            attempts: 0,
            random: 7,
            body_bytes: body.len(),
            body_hash: *blake3::hash(body).as_bytes(),
        },
    }
}

/// A server whose answers have this body.
fn server<F>(taken: &Rc<Taken>, body: F) -> PeerServer
where
    F: Fn(Bytes) -> Option<ResponseBody> + 'static,
{
    let body = Rc::new(body);
    let serving = Taker {
        taken: Rc::clone(taken),
        serve: Box::new(move |_, request_body| {
            let body = Rc::clone(&body);
            Box::pin(async move {
                let Some(body) = body(request_body) else {
                    return pending().await;
                };
                TakenRequest {
                    answer: PassedAnswer::Answer {
                        status: 200,
                        headers: vec![("x-server-seal".to_owned(), b"seal".to_vec())],
                        body_bytes: None,
                    },
                    body: Some(body),
                }
            })
        }),
    };
    let answer = |request: Envelope<_>| Envelope {
        from: request.from,
        incarnation: request.incarnation,
        number: request.number,
        sent_at: request.sent_at,
        message: PeerResponse::UpToDate,
    };
    PeerServer::bind_taking(ANY_PORT, key(KEY).into(), answer, Some(serving)).expect("bound")
}

fn echo(taken: &Rc<Taken>) -> PeerServer {
    server(taken, |body| Some(ResponseBody::Buffered(Full::new(body))))
}

fn verdict(result: Result<PassedResponse, PassFailure>) -> Verdict {
    result.expect_err("a failure").verdict
}

/// Sends a request and waits for the head of its answer.
async fn send(
    link: &PassLink,
    request: &Envelope<PassedRequest>,
    body: Bytes,
) -> Result<PassedResponse, PassFailure> {
    link.send(request, body).await?.answer().await
}

async fn wait_until_none(taken: &Taken) {
    for _ in 0..200 {
        if taken.requests() == 0 {
            return;
        }
        sleep(Millis(10)).await;
    }
    panic!("{} requests are still in progress", taken.requests());
}

#[ntex::test]
async fn long_bodies_go_both_ways() {
    let taken = Rc::default();
    let server = echo(&taken);
    let link = PassLink::new(server.address(), key(KEY));
    let body = Bytes::from(vec![7; 1_000_000]);
    for number in 1..4 {
        let response = send(&link, &passed(number, &body), body.clone()).await;
        let response = response.expect("an answer");
        assert!(matches!(
            response.answer,
            PassedAnswer::Answer { status: 200, .. }
        ));
        let echoed = response.body.read_rest(body.len()).await;
        assert_eq!(echoed.expect("a whole body"), body);
    }
    wait_until_none(&taken).await;
}

/// Each event arrives while the stream goes on, and a caller that leaves ends the request.
#[ntex::test]
async fn a_stream_arrives_event_by_event_until_it_is_cancelled() {
    let taken = Rc::default();
    let (sender, events) = mpsc::channel(8);
    let events = RefCell::new(Some(events));
    let (relay, registration) = AbortHandle::new_pair();
    let server = server(&taken, move |_| {
        let events = events.take().expect("one request");
        Some(ResponseBody::Streamed(StreamedBody::new(
            events,
            relay.clone(),
        )))
    });
    let link = PassLink::new(server.address(), key(KEY));
    let response = send(&link, &passed(1, &Bytes::new()), Bytes::new()).await;
    let mut body = response.expect("an answer").body;
    for event in ["data: a\n\n", "data: b\n\n"] {
        let part = StreamPart::Chunk(event.into());
        sender.send(part).await.expect("a reader");
        let received = timeout(Millis(1_000), body.next()).await;
        assert_eq!(received.expect("in time"), Ok(Some(event.into())));
    }
    drop(body);
    wait_until_none(&taken).await;
    assert!(registration.handle().is_aborted());
}

/// A stream that breaks off at the peer doesn't end as if it were whole.
#[ntex::test]
async fn a_broken_stream_has_no_end() {
    let taken = Rc::default();
    let server = server(&taken, |_| {
        let (sender, events) = mpsc::channel(8);
        // Without `StreamPart::End`.
        drop(sender);
        let (relay, _) = AbortHandle::new_pair();
        Some(ResponseBody::Streamed(StreamedBody::new(events, relay)))
    });
    let link = PassLink::new(server.address(), key(KEY));
    let response = send(&link, &passed(1, &Bytes::new()), Bytes::new()).await;
    let mut body = response.expect("an answer").body;
    assert!(body.next().await.is_err());
}

/// What failed before anything was sent has not run; what failed after it may have.
#[ntex::test]
async fn a_failure_says_whether_the_request_may_have_run() {
    let body = Bytes::from_static(b"body");
    let listener = TcpListener::bind(ANY_PORT).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let link = PassLink::new(address, key(KEY));
    // Reads the request and closes the connection.
    ntex::rt::spawn(async move {
        let (stream, _) = listener.accept().await.expect("a connection");
        drop(listener);
        let mut connection = h2::server::handshake(stream).await.expect("a handshake");
        let (mut request, _respond) = connection.accept().await.expect("one").expect("one");
        let reading = async { while request.body_mut().data().await.is_some() {} };
        tokio::select! {
            () = reading => {}
            _ = std::future::poll_fn(|context| connection.poll_closed(context)) => {}
        }
    });
    let result = send(&link, &passed(1, &body), body.clone()).await;
    assert_eq!(verdict(result), Verdict::MayHaveRun);
    let result = send(&link, &passed(2, &body), body.clone()).await;
    assert_eq!(verdict(result), Verdict::NotRun);
}

#[ntex::test]
async fn what_is_not_sealed_with_the_key_is_not_taken() {
    let taken = Rc::default();
    let calls = Rc::new(Cell::new(0));
    let counted = Rc::clone(&calls);
    let server = server(&taken, move |body| {
        counted.set(counted.get() + 1);
        Some(ResponseBody::Buffered(Full::new(body)))
    });
    let body = Bytes::from_static(b"body");
    let link = PassLink::new(server.address(), key(OTHER_KEY));
    let result = send(&link, &passed(1, &body), body.clone()).await;
    assert_eq!(verdict(result), Verdict::NotRun);
    // The head names another body.
    let link = PassLink::new(server.address(), key(KEY));
    let other = Bytes::from_static(b"ydob");
    let result = send(&link, &passed(2, &body), other).await;
    assert_eq!(verdict(result), Verdict::NotRun);
    assert_eq!(calls.get(), 0);
}

/// The memory that requests of peers hold is bounded.
#[ntex::test]
async fn a_peer_that_is_full_takes_nothing() {
    const BODY_BYTES: usize = 4 * 1_024 * 1_024;
    let taken = Rc::default();
    let server = server(&taken, |_| None);
    let link = Rc::new(PassLink::new(server.address(), key(KEY)));
    let body = Bytes::from(vec![0; BODY_BYTES]);
    for number in 1..=4 {
        let (link, body) = (Rc::clone(&link), body.clone());
        ntex::rt::spawn(async move { send(&link, &passed(number, &body), body).await });
    }
    for _ in 0..200 {
        if taken.requests() == 4 {
            break;
        }
        sleep(Millis(10)).await;
    }
    let response = send(&link, &passed(5, &body), body.clone()).await;
    let answer = response.expect("an answer").answer;
    assert_eq!(answer, PassedAnswer::NotTaken(NotTaken::Full));
}

/// A peer that was frozen ran, once it went on, requests that had been cancelled meanwhile.
#[ntex::test]
async fn what_was_cancelled_before_it_was_read_does_not_run() {
    let calls = Rc::new(Cell::new(0));
    let counted = Rc::clone(&calls);
    let server = server(&Rc::default(), move |_| {
        counted.set(counted.get() + 1);
        None
    });
    let listener = TcpListener::bind(ANY_PORT).await.expect("a port");
    let link = PassLink::new(listener.local_addr().expect("an address"), key(KEY));
    let body = Bytes::from_static(b"body");
    for number in 1..=8 {
        let request = passed(number, &body);
        let sending = send(&link, &request, body.clone());
        assert!(timeout(Millis(50), sending).await.is_err());
    }
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut upstream = TcpStream::connect(server.address()).await.expect("open");
    let carried = copy_bidirectional(&mut stream, &mut upstream);
    assert!(timeout(Millis(300), carried).await.is_err());
    assert_eq!(calls.get(), 0);
}
