//! Numbered log events; [docs/EVENTS.md](../../../docs/EVENTS.md) is their catalogue.

use std::fmt;

/// Severity of a log event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// Needs the attention of an operator now.
    Error,
    /// Was handled by the system and may need attention.
    Warn,
    /// A normal change of state.
    Info,
}

/// A numbered log event. A number never changes its meaning, and a retired number is not reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogEvent {
    /// Number of the event.
    pub number: u16,
    /// Short, stable name.
    pub name: &'static str,
    /// Severity of the event.
    pub severity: Severity,
}

impl fmt::Display for LogEvent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "event=TR{:04} name={}", self.number, self.name)
    }
}

macro_rules! log_events {
    ($($(#[$doc:meta])* $ident:ident = ($number:literal, $name:literal, $severity:ident);)*) => {
        $($(#[$doc])* pub const $ident: LogEvent =
            LogEvent { number: $number, name: $name, severity: Severity::$severity };)*

        /// All events that the daemon can write.
        pub const ALL_EVENTS: &[LogEvent] = &[$($ident),*];
    };
}

log_events! {
    /// The daemon listens and serves requests.
    NODE_STARTED = (1001, "node-started", Info);
    /// A graceful shutdown began.
    STOP_BEGUN = (1002, "stop-begun", Info);
    /// A graceful shutdown ended with every request answered.
    STOP_ENDED = (1003, "stop-ended", Info);
    /// A graceful shutdown reached its time limit with requests still in progress.
    STOP_OVERRUN = (1004, "stop-overrun", Error);
    /// The VM resumed after a suspension; the time counts towards leases, deadlines and waits.
    VM_RESUMED = (1005, "vm-resumed", Warn);
    /// A peer's liveness changed.
    PEER_CHANGED = (1101, "peer-changed", Info);
    /// A link frame or handshake was refused.
    LINK_REFUSED = (1102, "link-refused", Warn);
    /// A link to a peer broke.
    LINK_BROKEN = (1103, "link-broken", Warn);
    /// The platform's membership list could not be read.
    LIST_UNAVAILABLE = (1104, "list-unavailable", Warn);
    /// A configuration generation took effect on this node.
    GENERATION_APPLIED = (1201, "generation-applied", Info);
    /// A plan was confirmed and committed by this node.
    PLAN_CONFIRMED = (1202, "plan-confirmed", Info);
    /// A plan was refused because the configuration had changed since the plan was made.
    PLAN_REFUSED = (1203, "plan-refused", Warn);
    /// A call to the table service failed.
    TABLE_FAILED = (1301, "table-failed", Warn);
    /// A call to the object store failed.
    OBJECT_FAILED = (1302, "object-failed", Warn);
    /// This node acquired a lease.
    LEASE_TAKEN = (1401, "lease-taken", Info);
    /// This node lost or released a lease.
    LEASE_LOST = (1402, "lease-lost", Warn);
    /// A new weight version became the target of a model.
    WEIGHTS_TARGETED = (1403, "weights-targeted", Info);
    /// An engine reported that it has loaded the target version.
    WEIGHTS_HELD = (1404, "weights-held", Info);
    /// An order to an engine failed and will be retried.
    ORDER_FAILED = (1405, "order-failed", Warn);
    /// An engine failed too many orders in a row and receives none for a while.
    ENGINE_SET_ASIDE = (1406, "engine-set-aside", Error);
    /// Outlier ejection took an engine out of service after bad answers.
    ENGINE_EJECTED = (1501, "engine-ejected", Warn);
    /// An engine became reachable or unreachable.
    ENGINE_REACHABLE = (1503, "engine-reachable", Warn);
    /// A call to an engine broke off and was resumed or given up.
    CALL_BROKEN = (1502, "call-broken", Warn);
    /// A step was accepted from a trainer.
    STEP_ACCEPTED = (1601, "step-accepted", Info);
    /// A group was recorded by this node.
    GROUP_RECORDED = (1602, "group-recorded", Info);
    /// Another node recorded the group first.
    GROUP_SUPERSEDED = (1603, "group-superseded", Info);
    /// A group could not be generated and will be retried.
    GROUP_FAILED = (1604, "group-failed", Warn);
    /// A sample was too old for its step and is generated again.
    SAMPLE_TOO_OLD = (1605, "sample-too-old", Warn);
    /// A step was sealed by this node.
    STEP_SEALED = (1606, "step-sealed", Info);
    /// A trainer acknowledged a step.
    STEP_ACKNOWLEDGED = (1607, "step-acknowledged", Info);
    /// A generated group waits in the spool because the store is unavailable.
    GROUP_SPOOLED = (1608, "group-spooled", Warn);
    /// A request was refused.
    REQUEST_REFUSED = (1701, "request-refused", Warn);
    /// A call to a plain service ended without a complete answer.
    PLAIN_BROKEN = (1702, "plain-broken", Warn);
    /// The first configuration, or a newer one, took effect on this node.
    ROUTING_APPLIED = (2001, "routing-applied", Info);
    /// A row of the store could not be decoded or written.
    ROW_REFUSED = (2002, "row-refused", Error);
    /// The store no longer has the changes that a watch requested; the whole table is read.
    HISTORY_LOST = (2003, "history-lost", Warn);
    /// The store does not answer this node directly.
    STORE_LOST = (2004, "store-lost", Warn);
    /// The store answers this node directly again.
    STORE_REGAINED = (2005, "store-regained", Info);
    /// The complete service discovery table was read.
    SERVERS_READ = (2006, "servers-read", Info);
    /// Backend servers registered, started to drain or were removed.
    SERVER_CHANGED = (2007, "server-changed", Info);
    /// The settings file was reloaded.
    SETTINGS_RELOADED = (2008, "settings-reloaded", Info);
    /// The settings file has errors; the current settings remain in force.
    SETTINGS_REFUSED = (2009, "settings-refused", Error);
    /// The number of nodes that follow the store changed.
    LEVELS_CHANGED = (2010, "levels-changed", Info);
    /// This node changed its source of updates: the store or a follower.
    LEVEL_TAKEN = (2011, "level-taken", Info);
    /// This node switched from one follower to another one.
    FOLLOWER_LEFT = (2012, "follower-left", Warn);
    /// A client's request was answered.
    REQUEST_ANSWERED = (2101, "request-answered", Info);
    /// An attempt at a backend server ended without an answer.
    ATTEMPT_FAILED = (2102, "attempt-failed", Warn);
    /// A backend server was chosen for a request; the line has this node's estimates for the server.
    SERVER_CHOSEN = (2103, "server-chosen", Info);
    /// A client disconnected before its request was answered.
    REQUEST_LEFT = (2104, "request-left", Info);
    /// A connection broke during a request; the line says whether the server still accepts connections.
    CONNECTION_BROKEN = (2105, "connection-broken", Warn);
    /// A request or an item was not sent, because servers crashed while they ran the same content.
    REQUEST_HELD = (2106, "request-held", Warn);
    /// A server crashed while it ran a request of this node.
    SERVER_ENDED = (2107, "server-ended", Warn);
    /// A complete answer, or a run that got further than others, showed that a suspected content did not cause crashes.
    SUSPECT_CLEARED = (2108, "suspect-cleared", Info);
    /// This node blocks a content: it is not sent to servers for a while.
    CONTENT_HELD = (2109, "content-held", Warn);
    /// Crash reports could not be stored and are queued; peers are notified directly.
    STRIKES_WAIT = (2110, "strikes-wait", Warn);
    /// A blocked content may run once, to find out whether other crashes were taken for its own.
    RECOVERY_TRIAL = (2111, "recovery-trial", Info);
    /// A server sent a response without end, or bytes that belong to no response.
    ANSWER_ENDLESS = (2112, "answer-endless", Warn);
    /// A call waits for a free slot of its service.
    CALL_WAITS = (2121, "call-waits", Info);
    /// A call was refused, because its service has no free slot for it in time.
    CALL_REFUSED = (2122, "call-refused", Warn);
    /// A call was not retried or hedged on another server.
    RETRY_REFUSED = (2123, "retry-refused", Warn);
    /// A service became overloaded, as observed by this node or reported to it.
    SERVICE_SHORT = (2131, "service-short", Warn);
    /// A service is no longer overloaded.
    SERVICE_EASED = (2132, "service-eased", Info);
    /// The set of customers over their fair share of a service changed; written at most once a second.
    SHARES_CHANGED = (2133, "shares-changed", Info);
    /// A call was refused because its customer is over its fair share.
    SHARE_REFUSED = (2134, "share-refused", Info);
    /// The aggregator of a service's usage does not answer; the next node takes its role.
    ADDER_SILENT = (2135, "adder-silent", Info);
    /// A server's answers changed relative to those of its peers; other nodes are notified.
    SERVER_JUDGED = (2141, "server-judged", Warn);
    /// A peer reported an observation of a server that was new to this node.
    SERVER_TOLD = (2142, "server-told", Info);
    /// A request was hedged: it was sent to a second server concurrently.
    SECOND_ASKED = (2143, "second-asked", Info);
    /// A request body was not read, because the memory limit leaves no room for it.
    BODY_REFUSED = (2151, "body-refused", Warn);
    /// An upload that was too slow was aborted.
    SENDER_CUT = (2152, "sender-cut", Warn);
    /// A download that was too slow was aborted.
    READER_CUT = (2153, "reader-cut", Warn);
    /// A connection was closed or refused because the limit for its kind was reached.
    CONNECTIONS_FULL = (2154, "connections-full", Warn);
    /// Fewer runs of items are started, because memory use is near its limit.
    RUNS_LIMITED = (2155, "runs-limited", Warn);
    /// A server's answer is not read until the memory limit leaves room for it.
    ANSWER_WAITS = (2156, "answer-waits", Warn);
    /// A batch job was submitted; the line has the answer.
    JOB_SUBMITTED = (2201, "job-submitted", Info);
    /// A request for a batch job could not be served.
    JOB_READ_FAILED = (2202, "job-read-failed", Warn);
    /// A client ended a batch job.
    JOB_ENDED = (2203, "job-ended", Info);
    /// This node started to drive a job.
    JOB_DRIVEN = (2204, "job-driven", Info);
    /// This node stopped driving a job.
    JOB_LEFT = (2205, "job-left", Info);
    /// A job is overdue: its items without a result were given up.
    JOB_OVERDUE = (2206, "job-overdue", Warn);
    /// The owner of a job does not answer.
    OWNER_SILENT = (2207, "owner-silent", Warn);
    /// The row of a node that does not answer was removed; a node that is alive writes its row again.
    NODE_UNLISTED = (2212, "node-unlisted", Warn);
    /// The owner of an ended job could not be notified; it learns of the end from its watch.
    END_UNTOLD = (2213, "end-untold", Info);
    /// This node took over a job.
    JOB_TAKEN = (2208, "job-taken", Info);
    /// A job could not be taken over.
    JOB_NOT_TAKEN = (2209, "job-not-taken", Info);
    /// The configuration of this node is older than the one by which a job was accepted, so that the job waits.
    JOB_WAITS_FOR_CONFIG = (2214, "job-waits-for-config", Info);
    /// The store could not be asked whether this node still drives a job.
    DRIVER_UNCONFIRMED = (2215, "driver-unconfirmed", Warn);
    /// Progress of a job that this node drives; written once a second.
    JOB_PROGRESS = (2210, "job-progress", Info);
    /// The rows of an old job were removed.
    JOB_REMOVED = (2211, "job-removed", Info);
    /// A run of an item ended before its text was complete.
    RUN_ENDED = (2301, "run-ended", Info);
    /// A run was moved away from a slow engine.
    RUN_MOVED = (2302, "run-moved", Info);
    /// An item was given up.
    ITEM_GIVEN_UP = (2303, "item-given-up", Warn);
    /// Texts of an earlier job were found for items of this one.
    TEXTS_FOUND = (2304, "texts-found", Info);
    /// Unfinished texts were stored for a later job.
    TEXTS_KEPT = (2305, "texts-kept", Info);
    /// Unfinished texts could not be stored; their items start from the beginning.
    TEXTS_LOST = (2306, "texts-lost", Warn);
    /// A run of an item was started; the line has this node's estimates for the engine.
    RUN_STARTED = (2307, "run-started", Info);
    /// Speculative runs were cancelled, because items wait for a slot.
    SPARES_YIELDED = (2309, "spares-yielded", Info);
    /// The score call of an item ended; the line lists the servers that it was sent to.
    SCORE_ENDED = (2308, "score-ended", Info);
    /// An engine was not chosen for a run, because this node's runs are expected to use its memory.
    ENGINE_FULL = (2311, "engine-full", Info);
    /// An item is expected to exceed the memory of every engine.
    ITEM_OVERSIZE = (2312, "item-oversize", Warn);
    /// A request was refused because its prompt alone exceeds the memory of every engine.
    REQUEST_OVERSIZE = (2313, "request-oversize", Warn);
    /// An engine was ordered to load a version; the line has the outcome.
    ENGINE_ORDERED = (2401, "engine-ordered", Info);
    /// The status of an engine was requested.
    ENGINE_ASKED = (2402, "engine-asked", Info);
    /// The order for an engine could not be stored for the other nodes.
    ASSIGNMENT_LOST = (2403, "assignment-lost", Warn);
    /// This node acquired the lease for usage reports.
    USAGE_OPENED = (2501, "usage-opened", Info);
    /// The usage of a window was summed and stored; the stored value is what is reported.
    USAGE_STORED = (2502, "usage-stored", Info);
    /// The usage of a window was sent to the platform; the line has the answer.
    USAGE_REPORTED = (2503, "usage-reported", Info);
    /// The usage of a window will not be reported.
    USAGE_MISSED = (2504, "usage-missed", Error);
    /// Engines were ordered from the platform; the line has the answer.
    ENGINES_ORDERED = (2511, "engines-ordered", Info);
    /// A list of allowed regions cannot be read; no region is allowed for its route or customer.
    REGIONS_UNREADABLE = (2601, "regions-unreadable", Warn);
    /// No known zone belongs to an allowed region.
    REGION_UNKNOWN = (2602, "region-unknown", Warn);
    /// A request was refused, not run, because no zone is allowed for it.
    REQUEST_UNPLACED = (2603, "request-unplaced", Warn);
    /// A request was refused, not run, because no server in its allowed zones accepts work.
    REGION_UNSERVED = (2604, "region-unserved", Warn);
    /// An attempt was not sent because the zone of its server is not allowed any more.
    SEND_PREVENTED = (2605, "send-prevented", Info);
    /// The owner of an accepted job does not respond, and this node may not take the job over.
    TAKEOVER_NOT_PERMITTED = (2606, "takeover-not-permitted", Info);
    /// The peers that may relay this node's store calls were limited to its region, or the limit ended.
    RELAYS_LIMITED = (2607, "relays-limited", Info);
    /// A job without a driver waits, because no node takes it over that may.
    JOB_WAITS_FOR_NODE = (2608, "job-waits-for-node", Warn);
    /// The evacuation of an availability zone took effect on this node.
    ZONE_EVACUATED = (2621, "zone-evacuated", Info);
    /// The evacuation of an availability zone ended on this node.
    EVACUATION_ENDED = (2622, "evacuation-ended", Info);
    /// Evacuations leave a service without a server; its requests are refused.
    SERVICE_EVACUATED = (2623, "service-evacuated", Warn);
    /// The evacuated zone has no server and no VM, so its evacuation has no effect.
    EVACUATION_EMPTY = (2624, "evacuation-empty", Warn);
    /// No request of this node is in progress in an evacuated zone any more.
    ZONE_VACATED = (2625, "zone-vacated", Info);
    /// Several servers of a zone in another region failed and none has responded since; it gets only probes.
    REMOTE_ZONE_LOST = (2631, "remote-zone-lost", Warn);
    /// A server of that zone responded again.
    REMOTE_ZONE_REGAINED = (2632, "remote-zone-regained", Info);
    /// Engines became cold; a limit of requests applies to each.
    ENGINES_COLD = (2611, "engines-cold", Info);
    /// Engines are warm again.
    ENGINES_WARM = (2612, "engines-warm", Info);
    /// The limit of requests to an engine that is or may be cold refused requests.
    COLD_LIMIT_REACHED = (2613, "cold-limit-reached", Warn);
    /// A field about cold engines has an invalid value, which is replaced; the rest of its row applies.
    COLD_FIELD_INVALID = (2614, "cold-field-invalid", Warn);
}
