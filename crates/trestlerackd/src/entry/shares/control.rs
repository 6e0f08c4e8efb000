//! What customers take at this node, and what this node adds up for others.

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

/// Least time between two log lines about changed shares of a service.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What customers take at this node, and what this node adds up for others.
///
/// Each lock is held for one step only, and none while another is taken.
pub struct ShareDesk {
    settings: ShareSettings,
    node: Name,
    book: Mutex<ShareLimiter>,
    adder: Mutex<ShareAggregator>,
    adders: Mutex<AggregatorSelector>,
    logged: Mutex<HashMap<Name, Timestamp>>,
    news: Notify,
}

impl ShareDesk {
    /// Builds the desk of a node that knows of no use.
    pub fn new(now: Timestamp, node: Name) -> Self {
        let settings = ShareSettings::default();
        Self {
            settings,
            book: Mutex::new(ShareLimiter::new(settings, node.clone(), SystemClock::unix_millis())),
            adder: Mutex::new(ShareAggregator::new(settings)),
            adders: Mutex::new(AggregatorSelector::at_startup(now, node.clone())),
            logged: Mutex::default(),
            news: Notify::new(),
            node,
        }
    }

    /// Counts a call and judges it.
    pub fn ask(&self, now: Timestamp, service: &Name, customer: &Name, weight: u32) -> ShareDecision {
        let (verdict, is_short) = {
            let mut book = self.book.lock().unwrap();
            (book.admit(now, service, customer, weight), book.is_overloaded(now, service))
        };
        self.wake_if(is_short);
        verdict
    }

    /// Counts a call that is not refused any more.
    pub fn count(&self, now: Timestamp, service: &Name, customer: &Name, weight: u32) -> CountedCall {
        let (call, is_short) = {
            let mut book = self.book.lock().unwrap();
            (book.count(now, service, customer, weight), book.is_overloaded(now, service))
        };
        self.wake_if(is_short);
        call
    }

    /// Counts a call that a server did.
    pub fn give(&self, now: Timestamp, call: &CountedCall, took: Option<Duration>) {
        let is_short = {
            let mut book = self.book.lock().unwrap();
            book.record_served(call, took);
            book.is_overloaded(now, &call.service)
        };
        self.wake_if(is_short);
    }

    /// Records that a service has no room for a call.
    pub fn note_short(&self, now: Timestamp, service: &Name) {
        self.book.lock().unwrap().record_overload(now, service);
        self.news.notify_one();
    }

    fn wake_if(&self, is_short: bool) {
        if is_short {
            self.news.notify_one();
        }
    }

    /// Returns whether a customer has more than its share of a service, as far as that is known here.
    pub fn is_over_share(&self, now: Timestamp, service: &Name, customer: &str) -> bool {
        self.book.lock().unwrap().is_over_share(now, service, customer)
    }

    /// Waits until a service is short and there may be something to tell of it.
    pub async fn wait_news(&self) {
        self.news.notified().await;
    }

    /// Returns the interval at which adders are told.
    pub fn period(&self) -> Duration {
        self.settings.period
    }

    /// Returns how answers of adders are passed on.
    pub fn gossip(&self) -> GossipSettings {
        self.settings.gossip()
    }

    /// Returns the services that are short here, or were lately.
    pub fn short_services(&self, now: Timestamp) -> Vec<Name> {
        self.book.lock().unwrap().overloaded_services(now)
    }

    /// Returns what the adder of a service does not know yet.
    pub fn untold(&self, now: Timestamp, service: &Name, adder: &Name) -> Vec<CustomerUsage> {
        self.book.lock().unwrap().unreported_usage(now, service, adder)
    }

    /// Records that an adder took these counts.
    pub fn told(&self, now: Timestamp, adder: &Name, uses: &[CustomerUsage]) {
        self.adders.lock().unwrap().record_answer(adder);
        self.book.lock().unwrap().acknowledge(now, uses);
    }

    /// Returns the node that adds up the use of a service, of those that did not fail to answer lately.
    pub fn choose_adder(&self, now: Timestamp, service: &Name, mut nodes: Vec<Name>) -> Option<Name> {
        if !nodes.contains(&self.node) {
            nodes.push(self.node.clone());
        }
        self.adders.lock().unwrap().select(now, service, nodes)
    }

    /// Records that an adder did not answer.
    pub fn adder_missed(&self, now: Timestamp, service: &Name, adder: &Name) {
        let is_silent = self.adders.lock().unwrap().record_timeout(now, adder);
        if is_silent {
            logs::write(event::ADDER_SILENT, &[("service", service), ("adder", adder)]);
        }
    }

    /// Adds up what a node tells, and returns the shares of its services that are short.
    pub fn add_up(&self, now: Timestamp, sender: &Name, uses: &[CustomerUsage]) -> Vec<ServiceShares> {
        self.adder.lock().unwrap().add_usage(now, sender, uses)
    }

    /// Takes over what an adder answered, and returns what of it peers are to be told.
    pub fn learn(&self, now: Timestamp, shares: Vec<ServiceShares>) -> Vec<ServiceShares> {
        for shares in shares {
            let service = shares.service.clone();
            let (is_changed, count) = {
                let mut book = self.book.lock().unwrap();
                (book.apply_shares(now, shares), book.customers_over_share(now, &service))
            };
            if is_changed && self.may_log(now, &service) {
                logs::write(event::SHARES_CHANGED, &[("service", &service), ("over_share", &count)]);
            }
            // The short service is to be noticed, whether there is use to tell or not.
            self.news.notify_one();
        }
        self.book.lock().unwrap().take_shares_to_forward(now)
    }

    fn may_log(&self, now: Timestamp, service: &Name) -> bool {
        let mut logged = self.logged.lock().unwrap();
        let is_due = logged.get(service).is_none_or(|at| now.since(*at) >= LOG_INTERVAL);
        if is_due {
            logged.insert(service.clone(), now);
        }
        is_due
    }

    /// Returns the customers that asked for most.
    pub fn lines(&self, now: Timestamp, most: usize) -> Vec<ShareStatus> {
        self.book.lock().unwrap().statuses(now, most)
    }
}
