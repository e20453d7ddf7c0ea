//! Peer messages over real connections: rejected messages, silent connections, and processes that
//! discover each other and distribute a configuration.

mod support;

use {
    bytes::Bytes,
    cactusspur::{
        configuration_log::{Acceptance, ConfigurationLog},
        control::{Control, ControlSettings},
        membership::{Heartbeat, Introduction, LoadSummary, MemberState},
        peer::{
            Envelope, MAX_REQUEST_BYTES, MessageError, PeerError, PeerKey, PeerLink, PeerRequest,
            PeerResponse, PeerServer, SealedRequest, SealedResponse,
        },
        timeline::{HybridTime, Timeline},
        timer::now,
    },
    cactusspur_core::{
        Configuration, Customer, Declarations, EntryId, Generation, TimeMs, Vm, VmList, VmRole,
    },
    ntex::time::{Millis, sleep, timeout},
    std::{cell::Cell, net::SocketAddr, rc::Rc},
    support::FakeStore,
    test_case::test_case,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional},
        net::{TcpListener, TcpStream},
        sync::watch,
    },
};

const KEY: &str = "a shared key of the tests, 32 bytes or more";
const OTHER_KEY: &str = "another shared key of the tests, also long";
const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// The time limit for a condition, after which the test fails.
const CONDITION_TIMEOUT: Millis = Millis(30_000);

fn key(text: &str) -> PeerKey {
    PeerKey::derive(text).expect("long enough")
}

fn envelope<M>(number: u64, message: M) -> Envelope<M> {
    Envelope {
        from: EntryId::from_name("entry"),
        incarnation: 1,
        number,
        sent_at: HybridTime::default(),
        message,
    }
}

fn pull(number: u64) -> Envelope<PeerRequest> {
    let after = Generation(0);
    envelope(number, PeerRequest::PullChanges { after })
}

fn up_to_date(request: &Envelope<PeerRequest>) -> Envelope<PeerResponse> {
    envelope(request.number, PeerResponse::UpToDate)
}

fn server() -> PeerServer {
    PeerServer::bind(ANY_PORT, key(KEY), |request| up_to_date(&request)).expect("bound")
}

fn peer_error<T>(result: Result<T, error_stack::Report<PeerError>>) -> Option<PeerError> {
    result.err().map(|report| *report.current_context())
}

#[test]
fn a_sealed_message_opens_with_its_key_alone() {
    let request = pull(7);
    let sealed = SealedRequest::seal(&key(KEY), &request).expect("sealed");
    assert_eq!(sealed.open(&key(KEY)), Ok(request));
    assert_eq!(sealed.open(&key(OTHER_KEY)), Err(MessageError::Key));
    let as_answer = SealedResponse::from(Bytes::from(sealed));
    assert_eq!(as_answer.open(&key(KEY)), Err(MessageError::Key));
}

#[test]
fn every_changed_or_cut_message_is_refused() {
    let sealed: Bytes = SealedRequest::seal(&key(KEY), &pull(7))
        .expect("sealed")
        .into();
    for index in 0..sealed.len() {
        let mut changed = sealed.to_vec();
        changed[index] ^= 1;
        assert!(
            SealedRequest::from(Bytes::from(changed))
                .open(&key(KEY))
                .is_err()
        );
        assert!(
            SealedRequest::from(sealed.slice(..index))
                .open(&key(KEY))
                .is_err()
        );
    }
}

#[test]
fn a_short_key_is_refused() {
    let refused = PeerKey::derive("short").expect_err("refused");
    assert_eq!(refused, PeerError::ShortKey);
}

#[test]
fn an_ask_larger_than_the_limit_is_not_sealed() {
    let heartbeat = Heartbeat {
        introduction: Introduction {
            name: "x".repeat(MAX_REQUEST_BYTES),
            failure_domain: String::new(),
            peers_address: ANY_PORT,
            operators_address: ANY_PORT,
            incarnation: 1,
            started_at_ms: TimeMs(0),
        },
        generation: Generation(0),
        confirmed_ms_ago: None,
        load: LoadSummary::default(),
        leaving: false,
    };
    let large = envelope(1, PeerRequest::Heartbeat(heartbeat));
    assert_eq!(
        SealedRequest::seal(&key(KEY), &large),
        Err(MessageError::Size)
    );
}

/// Sends bytes as the body of a request and returns the response's status.
async fn post(address: SocketAddr, body: Bytes) -> u16 {
    let stream = TcpStream::connect(address).await.expect("connected");
    let (send, connection) = h2::client::handshake(stream).await.expect("h2");
    ntex::rt::spawn(async move { connection.await.is_ok() });
    let mut send = send.ready().await.expect("ready");
    let request = http::Request::post(format!("http://{address}/"))
        .body(())
        .expect("a request");
    let (response, mut stream) = send.send_request(request, false).expect("sent");
    stream.send_data(body, true).expect("sent");
    response.await.expect("answered").status().as_u16()
}

fn sealed_request(text: &str) -> Bytes {
    SealedRequest::seal(&key(text), &pull(1))
        .expect("sealed")
        .into()
}

fn sealed_request_with_version(version: u8) -> Bytes {
    let mut bytes = sealed_request(KEY).to_vec();
    bytes[0] = version;
    bytes.into()
}

#[test_case(sealed_request(KEY), 200; "a message that belongs")]
#[test_case(sealed_request(OTHER_KEY), 401; "another key")]
#[test_case(sealed_request_with_version(2), 505; "another version")]
#[test_case(Bytes::from_static(b""), 400; "nothing")]
#[test_case(Bytes::from_static(b"\x01rubbish"), 400; "rubbish")]
#[test_case(Bytes::from(vec![1; 4_096]), 401; "long rubbish")]
#[test_case(Bytes::from(vec![1; MAX_REQUEST_BYTES + 1]), 413; "more than is allowed")]
#[ntex::test]
async fn a_server_answers_with_a_status(body: Bytes, status: u16) {
    let server = server();
    assert_eq!(post(server.address(), body).await, status);
    assert_eq!(
        post(server.address(), sealed_request(KEY)).await,
        200,
        "the server still serves"
    );
}

#[ntex::test]
async fn bytes_that_are_not_http2_end_the_connection() {
    let server = server();
    let mut stream = TcpStream::connect(server.address())
        .await
        .expect("connected");
    stream
        .write_all(b"GET / HTTP/1.1\r\n\r\n")
        .await
        .expect("sent");
    let mut received = Vec::new();
    let ended = timeout(CONDITION_TIMEOUT, stream.read_to_end(&mut received)).await;
    assert!(ended.is_ok(), "the connection stays open");
    assert_eq!(
        post(server.address(), sealed_request(KEY)).await,
        200,
        "the server still serves"
    );
}

#[ntex::test]
async fn a_link_names_the_refusal_and_backs_off() {
    let server = server();
    let link = PeerLink::new(server.address(), key(OTHER_KEY));
    let refused = link.call(TimeMs(1_000), &pull(1)).await;
    assert_eq!(
        peer_error(refused),
        Some(PeerError::Refused { status: 401 })
    );
    let soon = link.call(TimeMs(1_001), &pull(2)).await;
    assert_eq!(peer_error(soon), Some(PeerError::BackingOff));
}

#[ntex::test]
async fn an_answer_to_another_ask_is_refused() {
    let wrong =
        |request: Envelope<PeerRequest>| envelope(request.number + 1, PeerResponse::UpToDate);
    let server = PeerServer::bind(ANY_PORT, key(KEY), wrong).expect("bound");
    let link = PeerLink::new(server.address(), key(KEY));
    let refused = link.call(TimeMs(1_000), &pull(1)).await;
    assert_eq!(
        peer_error(refused),
        Some(PeerError::Answer(MessageError::Malformed))
    );
}

/// Starts a TCP proxy to a server. Connections that are open when `silence` becomes true stop
/// forwarding for good; later ones work. Counts the connections in `opened`.
async fn start_proxy(
    server: SocketAddr,
    silence: watch::Receiver<bool>,
    opened: Rc<Cell<u32>>,
) -> SocketAddr {
    let listener = TcpListener::bind(ANY_PORT).await.expect("bound");
    let address = listener.local_addr().expect("an address");
    ntex::rt::spawn(async move {
        while let Ok((mut client_side, _)) = listener.accept().await {
            opened.set(opened.get() + 1);
            let mut silence = silence.clone();
            let is_silenced = *silence.borrow_and_update();
            ntex::rt::spawn(async move {
                let mut server_side = TcpStream::connect(server).await.expect("connected");
                let silenced = async {
                    if is_silenced || silence.changed().await.is_err() {
                        std::future::pending::<()>().await;
                    }
                };
                tokio::select! {
                    _ = copy_bidirectional(&mut client_side, &mut server_side) => {}
                    () = silenced => std::future::pending().await,
                }
            });
        }
    });
    address
}

#[ntex::test]
async fn a_connection_that_goes_silent_is_replaced_by_a_new_one() {
    let server = server();
    let (silence, silenced) = watch::channel(false);
    let opened = Rc::new(Cell::new(0));
    let address = start_proxy(server.address(), silenced, Rc::clone(&opened)).await;
    let link = PeerLink::new(address, key(KEY));
    link.call(now(), &pull(1)).await.expect("answered");
    link.call(now(), &pull(2)).await.expect("answered");
    assert_eq!(opened.get(), 1, "the connection is kept");
    silence.send(true).expect("the proxy runs");
    let answer = link
        .call(now(), &pull(3))
        .await
        .expect("answered over a new connection");
    assert_eq!((answer.number, opened.get()), (3, 2));
}

fn spawn(name: &str, domain: &str, seeds: &[SocketAddr], store: FakeStore) -> Control {
    let settings = ControlSettings {
        name: name.to_owned(),
        failure_domain: domain.to_owned(),
        peers_address: ANY_PORT,
        operators_address: ANY_PORT,
        seed_addresses: seeds.to_vec(),
        shared_key: KEY.to_owned(),
        incarnation: EntryId::from_name(name).0,
    };
    Control::spawn(&settings, store, Timeline::new(name, 1)).expect("bound")
}

async fn wait_for<F>(description: &str, condition: F)
where
    F: Fn() -> bool,
{
    let waiting = async {
        while !condition() {
            sleep(Millis(10)).await;
        }
    };
    assert!(
        timeout(CONDITION_TIMEOUT, waiting).await.is_ok(),
        "{description}"
    );
}

fn generation(control: &Control) -> u64 {
    control.configurations().borrow().generation.0
}

async fn accept(store: &FakeStore, names: &[&str]) -> Configuration {
    let log = ConfigurationLog::new(store.clone());
    let before = log.newest().await.expect("read");
    let customers = names.iter().map(|name| Customer {
        name: (*name).to_owned(),
        api_key_hashes: vec![(*name).to_owned()],
        credits: Vec::new(),
    });
    let declarations = Declarations {
        customers: customers.collect(),
        ..Declarations::default()
    };
    let id = names.join("-");
    match log.accept(&before, declarations, id, now()).await {
        Ok(Acceptance::Accepted(accepted)) => accepted,
        other => panic!("not accepted: {other:?}"),
    }
}

#[ntex::test]
async fn a_node_without_the_platform_gets_each_configuration_from_a_peer() {
    let (store, cut_off) = (FakeStore::default(), FakeStore::default());
    cut_off.set_down(true);
    accept(&store, &["alder"]).await;
    let one = spawn("one", "east", &[], store.clone());
    let other = spawn("other", "west", &[one.address()], cut_off);
    wait_for("the first", || generation(&other) == 1).await;
    let newest = accept(&store, &["alder", "bay"]).await;
    wait_for("the second", || generation(&other) == 2).await;
    assert_eq!(**other.configurations().borrow(), newest);
    assert!(
        other.view().confirmed_ms_ago.is_some(),
        "a peer confirms that this is the newest"
    );
}

#[ntex::test]
async fn members_of_the_list_find_each_other_and_tell_their_load() {
    let store = FakeStore::default();
    let one = spawn("one", "east", &[], store.clone());
    let other = spawn("other", "east", &[], store);
    let listed = Vm {
        name: "other".to_owned(),
        address: other.address().to_string(),
        failure_domain: "east".to_owned(),
        role: VmRole::Entry,
        leaving: false,
    };
    one.apply_vm_list(&VmList { vms: vec![listed] });
    other.report_load(LoadSummary::new(3, Vec::new()));
    let knows = |control: &Control| {
        let members = control.view().members;
        members
            .iter()
            .any(|member| member.state == MemberState::Alive)
    };
    wait_for("both know each other", || knows(&one) && knows(&other)).await;
    wait_for("the load", || one.view().members[0].in_progress == 3).await;
    drop(other);
    wait_for("silence is noticed", || !knows(&one)).await;
}

#[ntex::test]
async fn a_stranger_is_not_made_a_member() {
    let store = FakeStore::default();
    let one = spawn("one", "east", &[], store);
    let stranger = PeerLink::new(one.address(), key(OTHER_KEY));
    let heartbeat = Heartbeat {
        introduction: Introduction {
            name: "stranger".to_owned(),
            failure_domain: "east".to_owned(),
            peers_address: ANY_PORT,
            operators_address: ANY_PORT,
            incarnation: 1,
            started_at_ms: now(),
        },
        generation: Generation(9),
        confirmed_ms_ago: None,
        load: LoadSummary::default(),
        leaving: false,
    };
    let refused = stranger
        .call(now(), &envelope(1, PeerRequest::Heartbeat(heartbeat)))
        .await;
    assert_eq!(
        peer_error(refused),
        Some(PeerError::Refused { status: 401 })
    );
    assert!(one.view().members.is_empty());
}
