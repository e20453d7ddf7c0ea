//! The list of VMs, whose changes can become visible late.

use {
    super::Shared,
    crate::fault::error_response,
    cactusspur_core::{Vm, VmList},
    ntex::{
        http::StatusCode,
        util::Bytes,
        web::{HttpRequest, HttpResponse},
    },
    serde::Deserialize,
    std::time::{Duration, Instant},
};

/// Number of past lists retained.
const MAX_LISTS: usize = 1_024;

/// History of the list of VMs, oldest first.
#[derive(Debug, Default)]
pub(super) struct VmHistory {
    lists: Vec<(Instant, VmList)>,
}

impl VmHistory {
    fn set(&mut self, list: VmList) {
        if self.lists.len() == MAX_LISTS {
            self.lists.remove(0);
        }
        self.lists.push((Instant::now(), list));
    }

    /// Returns the list as it was `lag` ago.
    fn list_before(&self, lag: Duration) -> VmList {
        let now = Instant::now();
        let count = self
            .lists
            .partition_point(|(set, _)| now.duration_since(*set) >= lag);
        count
            .checked_sub(1)
            .map(|index| self.lists[index].1.clone())
            .unwrap_or_default()
    }
}

/// A list of VMs, as a bare array or in the form that readers receive.
#[derive(Deserialize)]
#[serde(untagged)]
enum VmsBody {
    Bare(Vec<Vm>),
    List(VmList),
}

pub(super) async fn get(request: HttpRequest, platform: Shared) -> HttpResponse {
    let handler = async {
        let faults = platform.faults.borrow();
        if faults.vms_down {
            return error_response(StatusCode::SERVICE_UNAVAILABLE, "down");
        }
        let lag = Duration::from_millis(faults.vms_lag_ms);
        HttpResponse::Ok().json(&platform.vms.borrow().list_before(lag))
    };
    platform.connections.respond(&request, handler).await
}

pub(super) async fn set(platform: Shared, body: Bytes) -> HttpResponse {
    let list = match serde_json::from_slice(&body) {
        Ok(VmsBody::Bare(vms)) => VmList { vms },
        Ok(VmsBody::List(list)) => list,
        Err(error) => return HttpResponse::BadRequest().body(error.to_string()),
    };
    platform.vms.borrow_mut().set(list);
    HttpResponse::Ok().finish()
}
