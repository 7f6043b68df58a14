//! Random arrivals of requests.

use super::event::ScheduledEvent;
use super::state::{Request, Scenario, WARM_UP_PERIOD};
use whinwall_policy::random::Random;
use whinwall_policy::time::{Moment, Span};

/// Returns the position at which the running sum of the weights exceeds `remaining`, or the first position if none
/// does.
fn weighted_position(mut remaining: f64, mut weights: impl Iterator<Item = f64>) -> usize {
    let position = weights.position(|weight| {
        remaining -= weight;
        remaining < 0.0
    });
    position.unwrap_or(0)
}

fn draw_below(random: &mut Random, limit: f64) -> f64 {
    random.draw() * limit
}

impl Scenario {
    /// Sends the first attempt of a new request, and schedules the next arrival of the Poisson process.
    pub(super) fn handle_arrival(&mut self) {
        let rate = self.config.offered_rate() * self.demand_factor;
        let interval_seconds = -(1.0 - self.random.draw()).ln() / rate;
        self.schedule_after(Span::ms(1000).times(interval_seconds), ScheduledEvent::RequestArrives);
        let request = self.draw_request();
        let priority_weight = self.config.request_classes[request.class].priority_weight;
        let id = self.next_request;
        self.next_request += 1;
        self.requests.insert(id, request);
        if Scenario::is_measured(self.now) {
            self.outcome.requests += 1;
            self.priority_weights.offered += priority_weight;
        }
        self.send_attempt(id, None);
    }

    fn draw_request(&mut self) -> Request {
        let total_demand: f64 = self.demand_weights.iter().sum();
        let slice = weighted_position(
            draw_below(&mut self.random, total_demand),
            self.demand_weights.iter().copied(),
        );
        let shares = self.config.request_classes.iter().map(|class| class.traffic_share);
        let class = weighted_position(self.random.draw(), shares);
        let keys = self.config.keys_per_slice;
        let key = slice as u32 * keys + draw_below(&mut self.random, f64::from(keys)) as u32;
        let proxy = draw_below(&mut self.random, self.proxies.len() as f64) as usize;
        Request {
            slice,
            class,
            key,
            proxy,
            arrived_at: self.now,
            attempt: 0,
            replica: None,
            proxy_retries: 0,
            client_retries: 0,
        }
    }

    /// Returns true if a request that arrived at this time counts for the outcome.
    pub(super) fn is_measured(arrived_at: Moment) -> bool {
        Scenario::since_start(arrived_at) > WARM_UP_PERIOD
    }
}
