//! The pool of connections before servers whose answers have no end.

use {
    bytes::Bytes,
    cactusspur::gateway::link::{
        ConnectionPool, ExchangeFailure, MAX_SHARED_BUFFER_BYTES, MAX_UNSHARED_BUFFER_BYTES,
    },
    http::Request,
    http_body_util::Full,
    std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
        time::sleep,
    },
};

/// Exchanges at the same time.
const EXCHANGES: usize = 200;
const MAX_BODY_BYTES: usize = 4 * 1_024 * 1_024;
/// What one read from a connection may add before it is counted.
const READ_BYTES: usize = 16_384;

/// A server that sends `head`, and `rest` over and over until its client closes the connection.
async fn endless_server(head: &'static str, rest: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    ntex::rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let rest = rest.clone();
            ntex::rt::spawn(async move {
                let mut buffer = [0; 4_096];
                let read = stream.read(&mut buffer).await;
                let mut sent = read.map(|_| ());
                if sent.is_ok() {
                    sent = stream.write_all(head.as_bytes()).await;
                }
                while sent.is_ok() {
                    sent = stream.write_all(rest.as_bytes()).await;
                }
            });
        }
    });
    address
}

/// A server that sends one short answer on each connection.
async fn sound_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    ntex::rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 4_096];
            let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            if stream.read(&mut buffer).await.is_ok() {
                // The pool sees an answer that could not be written.
                let _ = stream.write_all(answer).await;
            }
        }
    });
    address
}

fn exchange(
    pool: &ConnectionPool,
    address: SocketAddr,
) -> impl Future<Output = Result<Bytes, ExchangeFailure>> + use<> {
    let pool = pool.clone();
    async move {
        let request = Request::new(Full::new(Bytes::new()));
        let limit = Duration::from_secs(3);
        let answer = pool.exchange(address, request, MAX_BODY_BYTES, limit);
        answer.await.map(|answer| answer.1)
    }
}

async fn check_endless(what: &str, head: &'static str, rest: String) {
    let address = endless_server(head, rest).await;
    let sound = sound_server().await;
    let pool = ConnectionPool::new();
    let failed = Rc::new(Cell::new(0));
    for _ in 0..EXCHANGES {
        let (failed, answer) = (Rc::clone(&failed), exchange(&pool, address));
        ntex::rt::spawn(async move {
            let is_failed = answer.await.is_err();
            failed.set(failed.get() + usize::from(is_failed));
        });
    }
    let mut most_bytes = 0;
    while failed.get() < EXCHANGES {
        most_bytes = most_bytes.max(pool.buffered_bytes());
        let answer = exchange(&pool, sound).await;
        assert_eq!(
            answer.as_deref().ok(),
            Some(&b"ok"[..]),
            "{what}: {answer:?}"
        );
        sleep(Duration::from_millis(5)).await;
    }
    let bound = MAX_SHARED_BUFFER_BYTES + EXCHANGES * (MAX_UNSHARED_BUFFER_BYTES + READ_BYTES);
    assert!(most_bytes <= bound, "{what}: {most_bytes} bytes");
    assert_eq!(pool.buffered_bytes(), 0, "{what}");
}

/// Bytes without end in an answer took up to 4 MiB each, more than an entry VM has for all together. Each
/// must end within its time, and others must not be held up.
#[ntex::test]
async fn answers_without_end_stay_within_their_bounds() {
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let last_chunk = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
    let bytes = "x".repeat(8_192);
    let chunk = format!("2000\r\n{bytes}\r\n");
    let lines = "a: b\r\n".repeat(999);
    let informational = "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(200);
    check_endless("body", "HTTP/1.1 200 OK\r\n\r\n", bytes.clone()).await;
    check_endless("chunks", chunked, chunk).await;
    check_endless("a chunk size", chunked, "0".repeat(8_192)).await;
    check_endless("trailers", last_chunk, lines.clone()).await;
    check_endless("headers", "HTTP/1.1 200 OK\r\n", lines).await;
    check_endless("one header", "HTTP/1.1 200 OK\r\na: ", bytes).await;
    check_endless("informational heads", "", informational).await;
}
