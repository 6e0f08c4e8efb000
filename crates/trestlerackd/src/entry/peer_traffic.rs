//! Counts the calls to peers and the bytes of their connections by where the peer is, since each byte between
//! regions is charged for.

use super::region_traffic::{TrafficCounter, TrafficMetrics};
use std::sync::Arc;
use trestlerack::version::{OwnRegion, ZoneRelation};

/// Names of the metrics of calls to peers.
const PEER_METRICS: TrafficMetrics = TrafficMetrics {
    requests: "trestlerack_entry_peer_requests",
    sent_bytes: "trestlerack_entry_peer_sent_bytes",
    received_bytes: "trestlerack_entry_peer_received_bytes",
};

/// Calls and bytes between this node and its peers since the start, on the connections that this node opened.
pub struct PeerTraffic {
    own_region: OwnRegion,
    own_zone_peers: Arc<TrafficCounter>,
    own_region_peers: Arc<TrafficCounter>,
    other_region_peers: Arc<TrafficCounter>,
    /// Peers whose zone is not known: seeds that are not registered yet.
    unknown_peers: Arc<TrafficCounter>,
}

impl PeerTraffic {
    /// Creates the counters of a node in a deployment that spans regions.
    pub fn new(own_region: OwnRegion) -> Self {
        Self {
            own_region,
            own_zone_peers: Arc::default(),
            own_region_peers: Arc::default(),
            other_region_peers: Arc::default(),
            unknown_peers: Arc::default(),
        }
    }

    /// Counts a call to a peer in a zone; `None` if the zone is not known. Returns the counter for its bytes.
    pub fn record_call(&self, zone: Option<&str>) -> &Arc<TrafficCounter> {
        let counter = match zone.map(|zone| self.own_region.relation(zone)) {
            Some(ZoneRelation::OwnZone) => &self.own_zone_peers,
            Some(ZoneRelation::OwnRegion) => &self.own_region_peers,
            Some(ZoneRelation::OtherRegion) => &self.other_region_peers,
            None => &self.unknown_peers,
        };
        counter.record_request();
        counter
    }

    /// Adds the counters to a metrics page.
    pub fn write_metrics(&self, page: &mut String) {
        let counters = [
            ("own_zone", &self.own_zone_peers),
            ("own_region", &self.own_region_peers),
            ("other_region", &self.other_region_peers),
            ("unknown", &self.unknown_peers),
        ];
        for (location, counter) in counters {
            counter.write_metrics(&PEER_METRICS, &format!("{{location=\"{location}\"}}"), page);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::super::region_traffic::CountedStream;
    use super::PeerTraffic;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::{TcpListener, TcpStream};
    use trestlerack::Name;
    use trestlerack::version::{OwnRegion, Zone, ZoneMap};

    fn traffic() -> PeerTraffic {
        let zone = |name: &str, region: &str| Zone { name: name.into(), region: region.into() };
        let zones = ZoneMap::new(&[zone("a1", "a"), zone("a2", "a"), zone("b1", "b")]);
        PeerTraffic::new(OwnRegion::new(&zones, &Name::from("a1")).unwrap())
    }

    /// Guards against bytes to a peer that are counted for another location than that of its zone, so that traffic
    /// between regions is not seen.
    #[tokio::test]
    async fn bytes_count_for_the_location_of_the_peer() {
        let traffic = traffic();
        let locations = [
            (Some("a1"), "own_zone", 2),
            (Some("a2"), "own_region", 3),
            (Some("b1"), "other_region", 5),
            (None, "unknown", 7),
        ];
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        for (zone, _, length) in locations {
            let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
            let (mut peer, _) = listener.accept().await.unwrap();
            let mut stream = CountedStream::new(stream, Some(traffic.record_call(zone).clone()));
            stream.write_all(&vec![0; length]).await.unwrap();
            peer.read_exact(&mut vec![0; length]).await.unwrap();
            peer.write_all(&vec![0; 10 * length]).await.unwrap();
            stream.read_exact(&mut vec![0; 10 * length]).await.unwrap();
        }
        let mut page = String::new();
        traffic.write_metrics(&mut page);
        for (_, location, length) in locations {
            for (name, count) in [("requests", 1), ("sent_bytes", length), ("received_bytes", 10 * length)] {
                let line = format!("trestlerack_entry_peer_{name}{{location=\"{location}\"}} {count}\n");
                assert!(page.contains(&line), "{line} is not in {page}");
            }
        }
    }
}
