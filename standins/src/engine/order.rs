//! Orders to load and unload models.

use {
    super::{
        Engine, Shared,
        wire::{Order, OrderBody},
    },
    crate::fault::error_response,
    cactusspur_core::Model,
    ntex::{
        http::StatusCode,
        util::Bytes,
        web::{HttpRequest, HttpResponse},
    },
    serde_json::json,
    std::{rc::Rc, time::Duration},
};

pub(super) async fn order(request: HttpRequest, engine: Shared, body: Bytes) -> HttpResponse {
    let handler = async {
        let Ok(OrderBody { fencing, order }) = serde_json::from_slice(&body) else {
            return error_response(StatusCode::BAD_REQUEST, "body");
        };
        let highest = engine.fencing.get().max(fencing);
        if fencing < highest && engine.settings.honours_fencing {
            return HttpResponse::Conflict().json(&json!({"fencing": highest}));
        }
        engine.fencing.set(highest);
        match order {
            Order::Load(model) => drop(ntex::rt::spawn(load(engine.get_ref().clone(), model))),
            Order::Unload(model) => engine.models.borrow_mut().retain(|loaded| *loaded != model),
        }
        HttpResponse::Ok().json(&json!({"applied": true}))
    };
    engine.connections.respond(&request, handler).await
}

/// Loads a model. Load reports list it once loading is done; a crash in the meantime discards it.
async fn load(engine: Rc<Engine>, model: Model) {
    if engine.models.borrow().contains(&model) {
        return;
    }
    let incarnation = engine.batch.borrow().incarnation;
    let full_rate_ms = engine.settings.weight_load_ms;
    let takes_ms = engine.platform.start_weight_load(full_rate_ms).await;
    let load_time = Duration::from_millis(takes_ms);
    let delay = engine.batch.borrow().faults.apply_slowdown(load_time);
    tokio::time::sleep(delay).await;
    engine.connections.wait_until_unfrozen().await;
    let mut models = engine.models.borrow_mut();
    if engine.batch.borrow().incarnation == incarnation && !models.contains(&model) {
        models.push(model);
    }
}
