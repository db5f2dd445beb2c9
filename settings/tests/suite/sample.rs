//! Settings struct for the tests, with one field per kind of setting.

use std::net::SocketAddr;

use coltsfoothook_decision::id::VmName;
use coltsfoothook_settings::{FaultList, SecretFile, settings_choice, settings_struct};

settings_choice! {
    /// Transport for callers.
    pub enum ListenMode {
        /// TLS on any interface.
        Tls = "tls",
        /// No TLS, loopback interface only.
        Loopback = "loopback",
    }
}

settings_struct! {
    /// Settings of a listener.
    pub struct ListenerSettings {
        /// Address to listen on.
        pub address: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 8080));
        /// Transport for callers.
        pub mode: ListenMode = ListenMode::Tls;
        /// Maximum size of a body in bytes.
        pub body_bytes: usize = 4096, in 1..=65_536;
    }
}

settings_struct! {
    /// Settings of a peer.
    pub struct PeerSettings {
        /// Name of the peer's VM.
        pub vm: VmName = VmName::default(), required;
        /// Relative share of the load.
        pub weight: f64 = 1.0, in 0.0..=10.0;
    }
}

settings_struct! {
    /// Settings of a process.
    pub struct SampleSettings {
        /// Name of the VM,
        /// as peers know it.
        pub vm: VmName = VmName::default(), required;
        /// Listener for callers.
        pub door: ListenerSettings = ListenerSettings::default();
        /// Peers to query first.
        pub peers: Vec<PeerSettings> = Vec::new(), in 0..=4;
        /// Key for connections between VMs.
        pub key: Option<SecretFile> = None;
        /// Minimum wait in milliseconds.
        pub least_ms: u64 = 10, in 1..=1_000;
        /// Maximum wait in milliseconds.
        pub most_ms: u64 = 100, in 1..=1_000;
    }
    check check_waits
}

fn check_waits(settings: &SampleSettings, faults: &mut FaultList) {
    if settings.least_ms > settings.most_ms {
        faults.add("least_ms", "it is above most_ms", "at most most_ms");
    }
}
