//! The list of VMs, which shows changes late.

use {
    super::Shared,
    crate::fault::refuse,
    cactusspur_core::{Vm, VmList},
    ntex::{
        http::StatusCode,
        util::Bytes,
        web::{HttpRequest, HttpResponse},
    },
    serde::Deserialize,
    std::time::{Duration, Instant},
};

/// The lists that are kept, to show one of the past.
const MAX_LISTS: usize = 1_024;

/// The list of VMs over time, oldest first.
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

    /// The list as it was `lag` ago.
    fn seen(&self, lag: Duration) -> VmList {
        let now = Instant::now();
        let seen = self
            .lists
            .partition_point(|(set, _)| now.duration_since(*set) >= lag);
        seen.checked_sub(1)
            .map(|at| self.lists[at].1.clone())
            .unwrap_or_default()
    }
}

/// A list of VMs, bare or as it is read.
#[derive(Deserialize)]
#[serde(untagged)]
enum VmsBody {
    Bare(Vec<Vm>),
    List(VmList),
}

pub(super) async fn get(request: HttpRequest, platform: Shared) -> HttpResponse {
    let answer = async {
        let faults = platform.faults.borrow();
        if faults.vms_down {
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "down");
        }
        let lag = Duration::from_millis(faults.vms_lag_ms);
        HttpResponse::Ok().json(&platform.vms.borrow().seen(lag))
    };
    platform.connections.answer(&request, answer).await
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
