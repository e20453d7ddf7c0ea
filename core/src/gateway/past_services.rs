//! The services that the streams of routes went to lately. A stream may be taken up after its route was moved.

use {
    super::routing::{CallKind, Route},
    crate::{
        unit::{DurationMs, TimeMs},
        vec_map::VecMap,
    },
};

/// A route across configurations: its host and its prefix.
type RouteKey = (String, String);

/// Until when routes led to services that they no longer lead to, as far as this entry VM knows.
#[derive(Clone, Debug, Default)]
pub struct PastServices {
    rows: VecMap<(RouteKey, String), TimeMs>,
}

impl PastServices {
    /// Records that routes led to their services until now, and forgets those of more than `lifetime_ms` ago.
    pub fn record<'a, I>(&mut self, routes: I, lifetime_ms: DurationMs, now: TimeMs)
    where
        I: IntoIterator<Item = &'a Route>,
    {
        self.rows
            .retain(|_, last_at_ms| now.since(*last_at_ms) < lifetime_ms);
        let resumable = CallKind::Stream { resumable: true };
        for route in routes.into_iter().filter(|route| route.kind == resumable) {
            for service in route.services() {
                let key = (key_of(route), service.to_owned());
                *self.rows.get_or_insert_with(key, || now) = now;
            }
        }
    }

    /// The services at which a stream of a route may have begun within `lifetime_ms`, in order.
    #[must_use]
    pub fn of_route(&self, route: &Route, lifetime_ms: DurationMs, now: TimeMs) -> Vec<String> {
        let key = key_of(route);
        let past = self.rows.iter().filter(|((of_route, _), last_at_ms)| {
            *of_route == key && now.since(**last_at_ms) < lifetime_ms
        });
        let past = past.map(|((_, service), _)| service.clone());
        let mut services: Vec<String> = route.services().map(str::to_owned).chain(past).collect();
        services.sort_unstable();
        services.dedup();
        services
    }
}

fn key_of(route: &Route) -> RouteKey {
    (route.host.clone(), route.prefix.clone())
}
