//! Settings as a process would declare them.

use std::net::SocketAddr;

use coltsfoothook_decision::id::VmName;
use coltsfoothook_settings::{FaultList, SecretFile, settings_choice, settings_struct};

settings_choice! {
    /// How callers reach a process.
    pub enum ListenMode {
        /// With TLS.
        Tls = "tls",
        /// Without.
        Loopback = "loopback",
    }
}

settings_struct! {
    /// A door to the process.
    pub struct DoorSettings {
        /// Where it listens.
        pub address: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 8080));
        /// How callers reach it.
        pub mode: ListenMode = ListenMode::Tls;
        /// The most bytes in a body.
        pub body_bytes: usize = 4096, in 1..=65_536;
    }
}

settings_struct! {
    /// A peer.
    pub struct PeerSettings {
        /// Its name.
        pub vm: VmName = VmName::default(), required;
        /// Its share of the load.
        pub weight: f64 = 1.0, in 0.0..=10.0;
    }
}

settings_struct! {
    /// Settings of a process.
    pub struct SampleSettings {
        /// The name of the VM,
        /// as peers know it.
        pub vm: VmName = VmName::default(), required;
        /// Where callers come in.
        pub door: DoorSettings = DoorSettings::default();
        /// Whom to ask first.
        pub peers: Vec<PeerSettings> = Vec::new(), in 0..=4;
        /// The key between VMs.
        pub key: Option<SecretFile> = None;
        /// The shortest wait in milliseconds.
        pub least_ms: u64 = 10, in 1..=1_000;
        /// The longest wait in milliseconds.
        pub most_ms: u64 = 100, in 1..=1_000;
    }
    check check_waits
}

fn check_waits(settings: &SampleSettings, faults: &mut FaultList) {
    if settings.least_ms > settings.most_ms {
        faults.add("least_ms", "it is above most_ms", "at most most_ms");
    }
}
