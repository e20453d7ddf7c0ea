//! The object store.

use {
    super::{Platform, Shared, decode_key},
    crate::fault::{break_connection, error_response},
    cactusspur_core::VecMap,
    ntex::{
        http::StatusCode,
        util::Bytes,
        web::{HttpRequest, HttpResponse, types::State},
    },
    std::{rc::Rc, time::Duration},
};

const PATH: &str = "/objects/";

/// The objects by key.
pub(super) type ObjectStore = VecMap<String, Bytes>;

pub(super) async fn get(request: HttpRequest, platform: Shared) -> HttpResponse {
    let handler = async {
        if let Some(refusal) = check_availability(&platform, false).await {
            return refusal;
        }
        let Some(key) = decode_key(&request, PATH) else {
            return error_response(StatusCode::BAD_REQUEST, "key");
        };
        match platform.objects.borrow().get(&key) {
            Some(object) => HttpResponse::Ok().body(object.clone()),
            None => HttpResponse::NotFound().finish(),
        }
    };
    platform.connections.respond(&request, handler).await
}

pub(super) async fn put(request: HttpRequest, platform: Shared, body: Bytes) -> HttpResponse {
    let handler = write(&platform, &request, body);
    platform.connections.respond(&request, handler).await
}

async fn write(platform: &State<Rc<Platform>>, request: &HttpRequest, body: Bytes) -> HttpResponse {
    if let Some(refusal) = check_availability(platform, true).await {
        return refusal;
    }
    let Some(key) = decode_key(request, PATH) else {
        return error_response(StatusCode::BAD_REQUEST, "key");
    };
    let faults = platform.faults.borrow().objects();
    if faults.late_write_ms > 0 {
        apply_later(platform, faults.late_write_ms, key, body);
        return break_connection(request);
    }
    platform.objects.borrow_mut().insert(key, body);
    if platform.fault_sampler.sample(faults.lose_answer_permille) {
        return break_connection(request);
    }
    HttpResponse::Ok().finish()
}

fn apply_later(platform: &State<Rc<Platform>>, delay_ms: u64, key: String, body: Bytes) {
    let platform = platform.get_ref().clone();
    ntex::rt::spawn(async move {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        platform.objects.borrow_mut().insert(key, body);
    });
}

/// Applies the delay of a slow store and returns a refusal if the store is down or the rate limit
/// is exceeded.
async fn check_availability(platform: &Platform, write: bool) -> Option<HttpResponse> {
    let faults = platform.faults.borrow().objects();
    let is_down = platform.faults.borrow().objects_down;
    let take_permit = || {
        if write {
            platform.object_limit.try_write()
        } else {
            platform.object_limit.try_read()
        }
    };
    super::check_availability(
        faults.slow_ms,
        is_down,
        take_permit,
        StatusCode::SERVICE_UNAVAILABLE,
    )
    .await
}
