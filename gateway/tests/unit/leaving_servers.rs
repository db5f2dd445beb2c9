//! Which VMs report a leaving server in a large fleet.
//!
//! The first reader that sees the server leave may have lost contact with a VM, and the other
//! readers may have the change from its report. If they did not report it as well, that VM would
//! rely on their messages, not read the entries itself, and send requests to the server for
//! seconds.

use std::sync::Arc;

use coltsfoothook_platform::KeyedRecord;

use crate::follow::apply_servers;
use crate::peer::PeerSocket;
use crate::settings::GatewaySettings;
use crate::state::Gateway;

fn record(state: &str, heartbeat: u64) -> KeyedRecord {
    let entry = format!(
        r#"{{"service":"plain","address":"127.0.0.1:80","zone":"d1","version":"1","slots":6,
            "state":"{state}","cold_remaining_ms":0,"seq":{heartbeat},"born":1}}"#
    );
    KeyedRecord {
        key: "s1".to_owned(),
        value: Some(entry.into_bytes().into()),
        position: heartbeat,
    }
}

#[tokio::test]
async fn reported_by_each_reader() {
    let peers = PeerSocket::bind(([127, 0, 0, 1], 0).into()).await.unwrap();
    let gateway = Arc::new(Gateway::new(GatewaySettings::default(), peers));
    assert_eq!(apply_servers(&gateway, &[record("ready", 1)], false).entries.len(), 1);
    // A heartbeat of a server that stays is not a change.
    assert!(apply_servers(&gateway, &[record("ready", 2)], false).entries.is_empty());
    // Another reader reported that it leaves before this one reads the entry.
    let leaving = apply_servers(&gateway, &[record("draining", 3)], false).entries;
    assert!(!leaving[0].ready);
    let second_read = apply_servers(&gateway, &[record("draining", 3)], false).entries;
    assert_eq!(second_read.len(), 1, "the second reader must report it too");
}
