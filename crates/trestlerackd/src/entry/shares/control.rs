//! Usage of customers at this node, and the usage that this node aggregates for others.

use crate::process::clock::SystemClock;
use crate::process::logs;
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;
use tokio::sync::Notify;
use trestlerack::process::{
    AggregatorSelector, CountedCall, CustomerUsage, GossipSettings, ServiceShares, ShareAggregator, ShareDecision,
    ShareLimiter, ShareSettings, ShareStatus,
};
use trestlerack::{Name, Timestamp, event};

/// Shortest time between two log events about changed shares of a service.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Counts the usage of customers at this node, and aggregates the usage that other nodes report.
///
/// Each lock is held for one operation only, and never while another is acquired.
pub struct ShareControl {
    settings: ShareSettings,
    node: Name,
    limiter: Mutex<ShareLimiter>,
    aggregator: Mutex<ShareAggregator>,
    aggregator_selector: Mutex<AggregatorSelector>,
    last_logged: Mutex<HashMap<Name, Timestamp>>,
    updates: Notify,
}

impl ShareControl {
    /// Creates the state of a node without any usage.
    pub fn new(now: Timestamp, node: Name) -> Self {
        let settings = ShareSettings::default();
        Self {
            settings,
            limiter: Mutex::new(ShareLimiter::new(settings, node.clone(), SystemClock::unix_millis())),
            aggregator: Mutex::new(ShareAggregator::new(settings)),
            aggregator_selector: Mutex::new(AggregatorSelector::at_startup(now, node.clone())),
            last_logged: Mutex::default(),
            updates: Notify::new(),
            node,
        }
    }

    /// Counts a call and decides whether it is admitted.
    pub fn admit(&self, now: Timestamp, service: &Name, customer: &Name, weight: u32) -> ShareDecision {
        let (decision, is_overloaded) = {
            let mut limiter = self.limiter.lock().unwrap();
            (limiter.admit(now, service, customer, weight), limiter.is_overloaded(now, service))
        };
        self.wake_if(is_overloaded);
        decision
    }

    /// Counts a call that was accepted before and cannot be refused.
    pub fn count(&self, now: Timestamp, service: &Name, customer: &Name, weight: u32) -> CountedCall {
        let (call, is_overloaded) = {
            let mut limiter = self.limiter.lock().unwrap();
            (limiter.count(now, service, customer, weight), limiter.is_overloaded(now, service))
        };
        self.wake_if(is_overloaded);
        call
    }

    /// Counts a call as served.
    pub fn record_served(&self, now: Timestamp, call: &CountedCall, took: Option<Duration>) {
        let is_overloaded = {
            let mut limiter = self.limiter.lock().unwrap();
            limiter.record_served(call, took);
            limiter.is_overloaded(now, &call.service)
        };
        self.wake_if(is_overloaded);
    }

    /// Records that a service has no free slot for a call.
    pub fn record_overload(&self, now: Timestamp, service: &Name) {
        self.limiter.lock().unwrap().record_overload(now, service);
        self.updates.notify_one();
    }

    fn wake_if(&self, is_overloaded: bool) {
        if is_overloaded {
            self.updates.notify_one();
        }
    }

    /// Returns whether a customer is over its share of a service, as far as this node knows.
    pub fn is_over_share(&self, now: Timestamp, service: &Name, customer: &str) -> bool {
        self.limiter.lock().unwrap().is_over_share(now, service, customer)
    }

    /// Waits until a service is overloaded and there may be usage of it to report.
    pub async fn wait_for_updates(&self) {
        self.updates.notified().await;
    }

    /// Returns the interval at which usage is reported to aggregators.
    pub fn period(&self) -> Duration {
        self.settings.period
    }

    /// Returns the settings by which shares are gossiped to peers.
    pub fn gossip_settings(&self) -> GossipSettings {
        self.settings.gossip()
    }

    /// Returns the services that are overloaded here, or were recently.
    pub fn overloaded_services(&self, now: Timestamp) -> Vec<Name> {
        self.limiter.lock().unwrap().overloaded_services(now)
    }

    /// Returns the usage that was not yet reported to the aggregator of a service.
    pub fn unreported_usage(&self, now: Timestamp, service: &Name, aggregator: &Name) -> Vec<CustomerUsage> {
        self.limiter.lock().unwrap().unreported_usage(now, service, aggregator)
    }

    /// Records that an aggregator received this usage.
    pub fn acknowledge_usage(&self, now: Timestamp, aggregator: &Name, usage: &[CustomerUsage]) {
        self.aggregator_selector.lock().unwrap().record_answer(aggregator);
        self.limiter.lock().unwrap().acknowledge(now, usage);
    }

    /// Selects the aggregator of a service among the nodes that did not fail to respond recently.
    pub fn select_aggregator(&self, now: Timestamp, service: &Name, mut nodes: Vec<Name>) -> Option<Name> {
        if !nodes.contains(&self.node) {
            nodes.push(self.node.clone());
        }
        self.aggregator_selector.lock().unwrap().select(now, service, nodes)
    }

    /// Records that an aggregator did not respond.
    pub fn record_aggregator_timeout(&self, now: Timestamp, service: &Name, aggregator: &Name) {
        let is_silent = self.aggregator_selector.lock().unwrap().record_timeout(now, aggregator);
        if is_silent {
            logs::write(event::ADDER_SILENT, &[("service", service), ("adder", aggregator)]);
        }
    }

    /// Adds the usage that a node reports, and returns the shares of its overloaded services.
    pub fn aggregate_usage(&self, now: Timestamp, sender: &Name, usage: &[CustomerUsage]) -> Vec<ServiceShares> {
        self.aggregator.lock().unwrap().add_usage(now, sender, usage)
    }

    /// Applies the shares from an aggregator, and returns those to forward to peers.
    pub fn apply_shares(&self, now: Timestamp, shares: Vec<ServiceShares>) -> Vec<ServiceShares> {
        for shares in shares {
            let service = shares.service.clone();
            let (is_changed, count) = {
                let mut limiter = self.limiter.lock().unwrap();
                (limiter.apply_shares(now, shares), limiter.customers_over_share(now, &service))
            };
            if is_changed && self.may_log(now, &service) {
                logs::write(event::SHARES_CHANGED, &[("service", &service), ("over_share", &count)]);
            }
            // The overloaded service has to be noticed even if there is no usage to report.
            self.updates.notify_one();
        }
        self.limiter.lock().unwrap().take_shares_to_forward(now)
    }

    fn may_log(&self, now: Timestamp, service: &Name) -> bool {
        let mut last_logged = self.last_logged.lock().unwrap();
        let is_due = last_logged.get(service).is_none_or(|at| now.since(*at) >= LOG_INTERVAL);
        if is_due {
            last_logged.insert(service.clone(), now);
        }
        is_due
    }

    /// Returns the status of the customers that requested most, at most `limit`.
    pub fn statuses(&self, now: Timestamp, limit: usize) -> Vec<ShareStatus> {
        self.limiter.lock().unwrap().statuses(now, limit)
    }
}
