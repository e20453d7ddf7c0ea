//! What the tests of the stand-ins share.

use {
    ntex::{
        client::Client,
        http::{Method, body::Body},
        time::{Millis, sleep, timeout},
    },
    serde_json::Value,
    std::net::SocketAddr,
};

/// How long a test waits for what must happen before it fails.
pub const LIMIT: Millis = Millis(60_000);
/// The time between two looks at a condition.
const LOOK_AGAIN: Millis = Millis(2);

/// Waits until a condition holds.
pub async fn eventually<C>(mut condition: C)
where
    C: AsyncFnMut() -> bool,
{
    let holds = async {
        while !condition().await {
            sleep(LOOK_AGAIN).await;
        }
    };
    assert!(timeout(LIMIT, holds).await.is_ok(), "it never came to hold");
}

/// An answer: its status, and its body when that is JSON.
#[derive(Debug, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub body: Value,
}

/// A client with connections of its own to one stand-in.
pub struct Caller {
    pub address: SocketAddr,
    client: Client,
}

impl Caller {
    pub async fn open(address: SocketAddr) -> Self {
        let client = Client::builder()
            .response_timeout(LIMIT)
            .response_payload_timeout(LIMIT)
            .build(ntex::SharedCfg::default())
            .await
            .unwrap();
        Self { address, client }
    }

    /// Sends a request. None when the connection broke before the answer.
    pub async fn send(&self, method: Method, path: &str, body: Value) -> Option<Answer> {
        let url = format!("http://{}{path}", self.address);
        let body = match body {
            Value::Null => Body::Empty,
            body => Body::from(body.to_string()),
        };
        let response = self
            .client
            .request(method, url)
            .send_body(body)
            .await
            .ok()?;
        let bytes = response.body().await.ok()?;
        Some(Answer {
            status: response.status().as_u16(),
            body: serde_json::from_slice(&bytes).unwrap_or_default(),
        })
    }

    /// The body of a GET that must be answered.
    pub async fn get(&self, path: &str) -> Value {
        let answer = self.send(Method::GET, path, Value::Null).await.unwrap();
        assert_eq!(answer.status, 200, "{path}: {answer:?}");
        answer.body
    }

    /// Sets faults, over a connection of its own.
    pub async fn set_faults(&self, faults: Value) {
        let control = Self::open(self.address).await;
        let answer = control.send(Method::POST, "/standin/faults", faults).await;
        assert_eq!(answer.map(|answer| answer.status), Some(200));
    }
}
