//! The object store.

use {
    super::{Platform, Shared, key_of},
    crate::fault::{hang_up, refuse},
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
    let answer = async {
        if let Some(refusal) = refused(&platform, false).await {
            return refusal;
        }
        let Some(key) = key_of(&request, PATH) else {
            return refuse(StatusCode::BAD_REQUEST, "key");
        };
        match platform.objects.borrow().get(&key) {
            Some(object) => HttpResponse::Ok().body(object.clone()),
            None => HttpResponse::NotFound().finish(),
        }
    };
    platform.connections.answer(&request, answer).await
}

pub(super) async fn put(request: HttpRequest, platform: Shared, body: Bytes) -> HttpResponse {
    let answer = write(&platform, &request, body);
    platform.connections.answer(&request, answer).await
}

async fn write(platform: &State<Rc<Platform>>, request: &HttpRequest, body: Bytes) -> HttpResponse {
    if let Some(refusal) = refused(platform, true).await {
        return refusal;
    }
    let Some(key) = key_of(request, PATH) else {
        return refuse(StatusCode::BAD_REQUEST, "key");
    };
    let faults = platform.faults.borrow().objects();
    if faults.late_write_ms > 0 {
        apply_later(platform, faults.late_write_ms, key, body);
        return hang_up(request);
    }
    platform.objects.borrow_mut().insert(key, body);
    if platform.draws.hits(faults.lose_answer_permille) {
        return hang_up(request);
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

/// Waits as long as the store is slow, and gives the refusal of a call that it doesn't take.
async fn refused(platform: &Platform, write: bool) -> Option<HttpResponse> {
    let faults = platform.faults.borrow().objects();
    let is_down = platform.faults.borrow().objects_down;
    let within = || {
        if write {
            platform.object_limit.write()
        } else {
            platform.object_limit.read()
        }
    };
    super::refused(
        faults.slow_ms,
        is_down,
        within,
        StatusCode::SERVICE_UNAVAILABLE,
    )
    .await
}
