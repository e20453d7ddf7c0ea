//! Calls of the table service.

use {
    super::{Platform, Shared, key_of, table::Write},
    crate::fault::{hang_up, refuse},
    ntex::{
        http::StatusCode,
        util::Bytes,
        web::{
            HttpRequest, HttpResponse,
            types::{Query, State},
        },
    },
    serde::Deserialize,
    serde_json::json,
    std::{rc::Rc, time::Duration},
};

const PATH: &str = "/table/rows/";

/// Which rows to list.
#[derive(Debug, Deserialize)]
pub(super) struct ListQuery {
    #[serde(default)]
    prefix: String,
    limit: Option<usize>,
}

pub(super) async fn get(request: HttpRequest, platform: Shared) -> HttpResponse {
    let answer = async {
        if let Some(refusal) = refused(&platform, false).await {
            return refusal;
        }
        let Some(key) = key_of(&request, PATH) else {
            return refuse(StatusCode::BAD_REQUEST, "key");
        };
        match platform.rows.borrow().get(&key) {
            Some(row) => HttpResponse::Ok().json(row),
            None => HttpResponse::NotFound().finish(),
        }
    };
    platform.connections.answer(&request, answer).await
}

pub(super) async fn list(
    request: HttpRequest,
    platform: Shared,
    query: Query<ListQuery>,
) -> HttpResponse {
    let answer = async {
        if let Some(refusal) = refused(&platform, false).await {
            return refusal;
        }
        let limit = query.limit.unwrap_or(usize::MAX);
        let rows = platform.rows.borrow().list(&query.prefix, limit);
        HttpResponse::Ok().json(&json!({"rows": rows}))
    };
    platform.connections.answer(&request, answer).await
}

pub(super) async fn put(request: HttpRequest, platform: Shared, body: Bytes) -> HttpResponse {
    let answer = write(&platform, &request, &body);
    platform.connections.answer(&request, answer).await
}

async fn write(platform: &State<Rc<Platform>>, request: &HttpRequest, body: &[u8]) -> HttpResponse {
    if let Some(refusal) = refused(platform, true).await {
        return refusal;
    }
    let Some(key) = key_of(request, PATH) else {
        return refuse(StatusCode::BAD_REQUEST, "key");
    };
    let Ok(write) = serde_json::from_slice(body) else {
        return refuse(StatusCode::BAD_REQUEST, "body");
    };
    let faults = platform.faults.borrow().table();
    if faults.late_write_ms > 0 {
        apply_later(platform, faults.late_write_ms, key, write);
        return hang_up(request);
    }
    let response = apply(platform, key, write);
    if platform.draws.hits(faults.lose_answer_permille) {
        return hang_up(request);
    }
    response
}

fn apply_later(platform: &State<Rc<Platform>>, delay_ms: u64, key: String, write: Write) {
    let platform = platform.get_ref().clone();
    ntex::rt::spawn(async move {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        apply(&platform, key, write);
    });
}

fn apply(platform: &Platform, key: String, write: Write) -> HttpResponse {
    match platform.rows.borrow_mut().put(key, write) {
        Ok(version) => HttpResponse::Ok().json(&json!({"version": version})),
        Err(row) => HttpResponse::Conflict().json(&json!({"row": row})),
    }
}

/// Waits as long as the service is slow, and gives the refusal of a call that it doesn't take.
async fn refused(platform: &Platform, write: bool) -> Option<HttpResponse> {
    let faults = platform.faults.borrow().table();
    let is_down = platform.faults.borrow().down;
    let within = || {
        if write {
            platform.row_limit.write()
        } else {
            platform.row_limit.read()
        }
    };
    super::refused(
        faults.slow_ms,
        is_down,
        within,
        StatusCode::TOO_MANY_REQUESTS,
    )
    .await
}
