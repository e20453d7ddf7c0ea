//! Simulated platform: table service, object store, list of VMs, KV cache store and weight store,
//! all held in memory.

mod kv_store;
mod limit;
mod object;
mod row;
mod table;
mod vm;
mod weight;

use {
    self::{
        kv_store::KvStore, limit::RateLimit, object::ObjectStore, table::RowTable, vm::VmHistory,
        weight::WeightStore,
    },
    crate::{
        fault::{self, Connections, FaultSampler, PlatformFaults, error_response},
        server::{self, BindError, ServerHandle},
    },
    clap::Args,
    error_stack::Report,
    ntex::{
        http::StatusCode,
        util::Bytes,
        web::{self, HttpRequest, HttpResponse, ServiceConfig, types::State},
    },
    std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration},
};

/// Settings of the simulated platform.
#[derive(Clone, Copy, Debug, Args)]
pub struct PlatformSettings {
    /// Writes per second that each store accepts; further ones are rejected.
    #[arg(long, default_value_t = 400)]
    pub writes_per_second: u64,
    /// Reads per second that each store accepts; further ones are rejected.
    #[arg(long, default_value_t = 2_000)]
    pub reads_per_second: u64,
    /// Capacity of the KV cache store, in pieces; the oldest are evicted first.
    #[arg(long, default_value_t = 100_000)]
    pub kept_pieces: usize,
    /// Seed of the random sampling for faults that affect only a share of events.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

struct Platform {
    connections: Connections,
    fault_sampler: FaultSampler,
    faults: RefCell<PlatformFaults>,
    rows: RefCell<RowTable>,
    row_limit: RateLimit,
    objects: RefCell<ObjectStore>,
    object_limit: RateLimit,
    vms: RefCell<VmHistory>,
    kv_store: RefCell<KvStore>,
    weights: RefCell<WeightStore>,
}

type Shared = State<Rc<Platform>>;

/// Starts a platform that listens on `address`.
///
/// # Errors
/// Returns an error if it can't listen on the address.
pub fn bind(
    settings: PlatformSettings,
    address: SocketAddr,
) -> Result<ServerHandle, Report<BindError>> {
    server::bind(address, move |config| {
        let new_limit = || RateLimit::new(settings.reads_per_second, settings.writes_per_second);
        let platform = Rc::new(Platform {
            connections: Connections::default(),
            fault_sampler: FaultSampler::new(settings.seed),
            faults: RefCell::default(),
            rows: RefCell::default(),
            row_limit: new_limit(),
            objects: RefCell::default(),
            object_limit: new_limit(),
            vms: RefCell::default(),
            kv_store: RefCell::new(KvStore::new(settings.kept_pieces)),
            weights: RefCell::default(),
        });
        routes(config, platform);
    })
}

fn routes(config: &mut ServiceConfig, platform: Rc<Platform>) {
    config
        .state(platform)
        .route("/table/rows", web::get().to(row::list))
        .route("/table/rows/{key}*", web::get().to(row::get))
        .route("/table/rows/{key}*", web::put().to(row::put))
        .route("/objects/{key}*", web::get().to(object::get))
        .route("/objects/{key}*", web::put().to(object::put))
        .route("/vms", web::get().to(vm::get))
        .route("/standin/vms", web::put().to(vm::set))
        .route("/kept/lookup", web::post().to(kv_store::lookup))
        .route("/kept/put", web::post().to(kv_store::put))
        .route("/weights/load", web::post().to(weight::load))
        .route("/weights/load", web::get().to(weight::get))
        .route("/standin/log", web::get().to(log))
        .route("/standin/faults", web::post().to(set_faults));
}

/// Returns an empty log, since the platform runs no calls.
async fn log() -> HttpResponse {
    HttpResponse::Ok().json(&crate::log::Log::default())
}

async fn set_faults(request: HttpRequest, platform: Shared, change: Bytes) -> HttpResponse {
    let mut faults = match fault::update(&*platform.faults.borrow(), &change) {
        Ok(faults) => faults,
        Err(report) => return error_response(StatusCode::BAD_REQUEST, &format!("{report:#}")),
    };
    if std::mem::take(&mut faults.silent_connections) {
        platform.connections.silence(&request);
    }
    platform
        .connections
        .set_availability(faults.frozen, faults.refuse_connections);
    let response = HttpResponse::Ok().json(&faults);
    platform.faults.replace(faults);
    response
}

/// Percent-decodes the key that follows `prefix` in the path. Returns `None` if the encoding is
/// invalid or the key isn't UTF-8.
fn decode_key(request: &HttpRequest, prefix: &str) -> Option<String> {
    let encoded = request.path().strip_prefix(prefix)?.as_bytes();
    let mut decoded = Vec::with_capacity(encoded.len());
    let mut index = 0;
    while index < encoded.len() {
        if encoded[index] != b'%' {
            decoded.push(encoded[index]);
            index += 1;
            continue;
        }
        let digits = std::str::from_utf8(encoded.get(index + 1..index + 3)?).ok()?;
        decoded.push(u8::from_str_radix(digits, 16).ok()?);
        index += 3;
    }
    String::from_utf8(decoded).ok()
}

/// Waits for `slow_ms`, then returns a refusal if the service is down or the call exceeds its rate
/// limit.
async fn check_availability<F>(
    slow_ms: u64,
    is_down: bool,
    take_permit: F,
    rate_limit_status: StatusCode,
) -> Option<HttpResponse>
where
    F: FnOnce() -> bool,
{
    if slow_ms > 0 {
        tokio::time::sleep(Duration::from_millis(slow_ms)).await;
    }
    if is_down {
        return Some(error_response(StatusCode::SERVICE_UNAVAILABLE, "down"));
    }
    (!take_permit()).then(|| error_response(rate_limit_status, "rate"))
}
