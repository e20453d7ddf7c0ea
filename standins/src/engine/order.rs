//! Orders to load and unload models.

use {
    super::{
        Engine, Shared,
        wire::{Order, OrderBody},
    },
    crate::fault::refuse,
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
    let answer = async {
        let Ok(OrderBody { fencing, order }) = serde_json::from_slice(&body) else {
            return refuse(StatusCode::BAD_REQUEST, "body");
        };
        let highest = engine.fencing.get().max(fencing);
        if fencing < highest && engine.settings.honours_fencing {
            return HttpResponse::Conflict().json(&json!({"fencing": highest}));
        }
        engine.fencing.set(highest);
        match order {
            Order::Load(model) => drop(ntex::rt::spawn(load(engine.get_ref().clone(), model))),
            Order::Unload(model) => engine.models.borrow_mut().retain(|held| *held != model),
        }
        HttpResponse::Ok().json(&json!({"applied": true}))
    };
    engine.connections.answer(&request, answer).await
}

/// Loads a model, which shows in load reports when it is done, unless the engine crashes before.
async fn load(engine: Rc<Engine>, model: Model) {
    if engine.models.borrow().contains(&model) {
        return;
    }
    let incarnation = engine.batch.borrow().incarnation;
    let full_rate_ms = engine.settings.weight_load_ms;
    let takes_ms = engine.platform.start_weight_load(full_rate_ms).await;
    let takes = Duration::from_millis(takes_ms);
    let slowed = engine.batch.borrow().faults.stretch(takes);
    tokio::time::sleep(slowed).await;
    engine.connections.thawed().await;
    let mut models = engine.models.borrow_mut();
    if engine.batch.borrow().incarnation == incarnation && !models.contains(&model) {
        models.push(model);
    }
}
