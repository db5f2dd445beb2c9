//! Whose knowledge of the store a VM of a large fleet relies on.
//!
//! Three VMs read operators' records and servers' entries for all and tell the others of both in one message. The
//! store loses their questions for records and answers those for entries. If the others took each message for a
//! sign that the records are read, no VM would ask for them, and callers would be served by an old
//! configuration for as long as the questions stay open.

use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_decision::coverage::ToldSpan;
use coltsfoothook_decision::id::{ConfigVersion, TimePoint, VmName};
use coltsfoothook_decision::routing::{CallerLimits, RouteTable};

use crate::clock;
use crate::follow::{has_entry_readers, has_record_readers};
use crate::large_fleet::roster;
use crate::message::RecordUpdate;
use crate::news;
use crate::peer::PeerSocket;
use crate::settings::GatewaySettings;
use crate::state::Gateway;

/// Older than anything that a VM relies on.
const OLD_MS: u32 = 5_000;

/// A VM of a large fleet that does not read the store for others.
async fn fed_vm() -> Arc<Gateway> {
    let peers = PeerSocket::bind(([127, 0, 0, 1], 0).into()).await.unwrap();
    let now = clock::now();
    let fleet = |own: usize| roster(40, own, now, |_| (1, None));
    let name = |own: usize| VmName::from(format!("vm-{own}").as_str());
    let own = (0..40).find(|own| fleet(*own).readers_ahead(&name(*own), now) > 10).unwrap();
    let settings = GatewaySettings { vm: name(own), ..GatewaySettings::default() };
    let gateway = Arc::new(Gateway::new(settings, peers));
    let limits = CallerLimits {
        head_bytes: 8_192,
        body_bytes: 65_536,
        head_time: Duration::from_secs(1),
        idle_time: Duration::from_secs(5),
    };
    let table = RouteTable::new(ConfigVersion(1), limits, vec![], vec![]);
    gateway.beliefs().table = Some(Arc::new(table));
    gateway.beliefs().roster = fleet(own);
    gateway.beliefs().coverage.looked(0);
    gateway
}

fn receive(gateway: &Arc<Gateway>, operators_age_ms: u32, servers_age_ms: u32) {
    let update = RecordUpdate {
        vm: VmName::from("vm-3"),
        config: 1,
        operators_age_ms,
        servers_age_ms,
        span: ToldSpan { since: 0, up_to: 9 },
        versions: Vec::new(),
        entries: Vec::new(),
        gone: Vec::new(),
    };
    news::apply(gateway, update);
}

fn relies_on_readers(gateway: &Gateway) -> bool {
    has_record_readers(&gateway.beliefs(), gateway, clock::now())
}

#[tokio::test]
async fn records_unread() {
    let gateway = fed_vm().await;
    receive(&gateway, OLD_MS, 0);
    assert!(!relies_on_readers(&gateway), "the readers' questions are lost");
    receive(&gateway, 700, 0);
    assert!(relies_on_readers(&gateway));
}

/// The reverse: many configurations come while the readers' calls for entries are not answered. A VM that took
/// the news of configurations for news of servers would go on sending to servers that leave.
#[tokio::test]
async fn entries_unread() {
    let gateway = fed_vm().await;
    let read_at: TimePoint = clock::now();
    receive(&gateway, 0, OLD_MS);
    assert!(!has_entry_readers(&gateway, read_at), "the readers do not see the entries");
    receive(&gateway, 0, 600);
    assert!(has_entry_readers(&gateway, read_at));
}

/// News that come late or out of order make nothing older.
#[tokio::test]
async fn late_news() {
    let gateway = fed_vm().await;
    receive(&gateway, 100, 100);
    receive(&gateway, OLD_MS, OLD_MS);
    assert!(relies_on_readers(&gateway));
}
