//! HTTP handlers of the table service.

use {
    super::{Platform, Shared, decode_key, table::Write},
    crate::fault::{break_connection, error_response},
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

/// Selects the rows to list.
#[derive(Debug, Deserialize)]
pub(super) struct ListQuery {
    #[serde(default)]
    prefix: String,
    limit: Option<usize>,
}

pub(super) async fn get(request: HttpRequest, platform: Shared) -> HttpResponse {
    let handler = async {
        if let Some(refusal) = check_availability(&platform, false).await {
            return refusal;
        }
        let Some(key) = decode_key(&request, PATH) else {
            return error_response(StatusCode::BAD_REQUEST, "key");
        };
        match platform.rows.borrow().get(&key) {
            Some(row) => HttpResponse::Ok().json(row),
            None => HttpResponse::NotFound().finish(),
        }
    };
    platform.connections.respond(&request, handler).await
}

pub(super) async fn list(
    request: HttpRequest,
    platform: Shared,
    query: Query<ListQuery>,
) -> HttpResponse {
    let handler = async {
        if let Some(refusal) = check_availability(&platform, false).await {
            return refusal;
        }
        let limit = query.limit.unwrap_or(usize::MAX);
        let rows = platform.rows.borrow().list(&query.prefix, limit);
        HttpResponse::Ok().json(&json!({"rows": rows}))
    };
    platform.connections.respond(&request, handler).await
}

pub(super) async fn put(request: HttpRequest, platform: Shared, body: Bytes) -> HttpResponse {
    let handler = write(&platform, &request, &body);
    platform.connections.respond(&request, handler).await
}

async fn write(platform: &State<Rc<Platform>>, request: &HttpRequest, body: &[u8]) -> HttpResponse {
    if let Some(refusal) = check_availability(platform, true).await {
        return refusal;
    }
    let Some(key) = decode_key(request, PATH) else {
        return error_response(StatusCode::BAD_REQUEST, "key");
    };
    let Ok(write) = serde_json::from_slice(body) else {
        return error_response(StatusCode::BAD_REQUEST, "body");
    };
    let faults = platform.faults.borrow().table();
    if faults.late_write_ms > 0 {
        apply_later(platform, faults.late_write_ms, key, write);
        return break_connection(request);
    }
    let response = apply(platform, key, write);
    if platform.fault_sampler.sample(faults.lose_answer_permille) {
        return break_connection(request);
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

/// Applies the delay of a slow service and returns a refusal if the service is down or the rate
/// limit is exceeded.
async fn check_availability(platform: &Platform, write: bool) -> Option<HttpResponse> {
    let faults = platform.faults.borrow().table();
    let is_down = platform.faults.borrow().down;
    let take_permit = || {
        if write {
            platform.row_limit.try_write()
        } else {
            platform.row_limit.try_read()
        }
    };
    super::check_availability(
        faults.slow_ms,
        is_down,
        take_permit,
        StatusCode::TOO_MANY_REQUESTS,
    )
    .await
}
