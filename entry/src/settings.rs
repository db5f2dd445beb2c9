//! Settings of an entry process; docs/SETTINGS.md is made from them.

use std::net::SocketAddr;
use std::path::PathBuf;

use coltsfoothook_caller::CallerSettings;
use coltsfoothook_decision::id::{DomainName, RegionName, VmName};
use coltsfoothook_decision::owner::OwnerSettings;
use coltsfoothook_operator::OperatorSettings;
use coltsfoothook_peer::PeerSettings;
use coltsfoothook_settings::{FaultList, SecretFile, settings_struct};
use coltsfoothook_telemetry::{LogSettings, MetricSettings};

settings_struct! {
    /// The face towards callers.
    pub struct CallerFaceSettings {
        /// Where to listen for callers.
        pub listen: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 8080));
        /// The largest body in bytes.
        pub body_bytes: usize = 1 << 20, in 1_024..=64 << 20;
        /// Milliseconds in which a body must have arrived whole.
        pub body_timeout_ms: u64 = 10_000, in 100..=600_000;
        /// The longest id in bytes: request ids, idempotency keys, job ids.
        pub id_bytes: usize = 128, in 16..=1_024;
        /// The most tokens that a request may ask for.
        pub max_tokens: u32 = 131_072, in 1..=10_000_000;
        /// The most requests that are in progress at once on this VM; more are refused as overloaded.
        pub requests: usize = 4_096, in 1..=100_000;
    }
}

settings_struct! {
    /// The face towards other entry VMs.
    pub struct PeerFaceSettings {
        /// Where to listen for other VMs.
        pub listen: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 8082));
        /// The largest message in bytes; a snapshot of the configuration must fit.
        pub frame_bytes: usize = 32 << 20, in 65_536..=256 << 20;
    }
}

settings_struct! {
    /// Keys and certificates, in PEM files. They are read again when they change.
    pub struct KeySettings {
        /// Whether callers, operators and VMs are spoken to without TLS. Allowed on loopback
        /// addresses alone, and only if asked for.
        pub loopback_without_tls: bool = false;
        /// The certificate chain towards callers and operators.
        pub face_certificate: Option<PathBuf> = None;
        /// Its key.
        pub face_key: Option<SecretFile> = None;
        /// The certificate chain of this VM towards other VMs; its name is the VM's name.
        pub peer_certificate: Option<PathBuf> = None;
        /// Its key.
        pub peer_key: Option<SecretFile> = None;
        /// The certificate of the authority that all VMs' certificates come from.
        pub peer_authority: Option<PathBuf> = None;
        /// Files with the operators' tokens, one token a file.
        pub operator_tokens: Vec<SecretFile> = Vec::new(), required;
    }
    check check_keys
}

settings_struct! {
    /// Settings of an entry process.
    pub struct EntrySettings {
        /// The VM's name, unlike that of any other VM.
        pub vm: VmName = VmName::default(), required;
        /// Its failure domain.
        pub domain: DomainName = DomainName::default(), required;
        /// Its region.
        pub region: RegionName = RegionName::default(), required;
        /// Its share of new requests in the answer to callers, relative to other VMs.
        pub weight: u32 = 100, in 1..=10_000;
        /// Where the platform's log listens.
        pub log: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 7100));
        /// Where the platform's list of VMs listens.
        pub directory: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 7100));
        /// The face towards callers.
        pub caller: CallerFaceSettings = CallerFaceSettings::default();
        /// The face towards operators.
        pub operator: OperatorSettings = OperatorSettings::default();
        /// The face towards other VMs.
        pub peer: PeerFaceSettings = PeerFaceSettings::default();
        /// Keys and certificates.
        pub keys: KeySettings = KeySettings::default();
        /// Milliseconds between two reports that an owner asks of an engine.
        pub report_ms: u64 = 250, in 20..=10_000;
        /// Milliseconds that a probe of another VM may take.
        pub probe_ms: u64 = 250, in 20..=5_000;
        /// Milliseconds for which callers may keep the list of entry VMs.
        pub entries_ttl_ms: u64 = 3_000, in 100..=600_000;
        /// Milliseconds without the log and without any other VM after which no work is taken.
        pub stale_ms: u64 = 8_000, in 1_000..=600_000;
        /// The longest unstreamed answer in bytes.
        pub answer_bytes: usize = 16 << 20, in 1_024..=1 << 30;
        /// Milliseconds that a shutdown waits for running requests before it says that it is overdue.
        pub shutdown_ms: u64 = 600_000, in 1_000..=86_400_000;
        /// Milliseconds after which an order to an engine without an answer has an unknown effect.
        pub order_timeout_ms: u64 = 20_000, in 1_000..=600_000;
        /// Milliseconds for which a VM that vanished is thought able to use its grants.
        pub zombie_window_ms: u64 = 120_000, in 1_000..=3_600_000;
        /// What is logged.
        pub logs: LogSettings = LogSettings::default();
        /// What metrics tell apart.
        pub metrics: MetricSettings = MetricSettings::default();
    }
    check check_addresses
}

fn check_keys(keys: &KeySettings, faults: &mut FaultList) {
    if keys.loopback_without_tls {
        return;
    }
    let given = [
        ("face_certificate", keys.face_certificate.is_some()),
        ("face_key", keys.face_key.is_some()),
        ("peer_certificate", keys.peer_certificate.is_some()),
        ("peer_key", keys.peer_key.is_some()),
        ("peer_authority", keys.peer_authority.is_some()),
    ];
    for (key, _) in given.iter().filter(|(_, given)| !given) {
        faults.add(
            key,
            "it is missing",
            "a PEM file, or loopback_without_tls on loopback addresses",
        );
    }
}

fn check_addresses(settings: &EntrySettings, faults: &mut FaultList) {
    if !settings.keys.loopback_without_tls {
        return;
    }
    let faces = [
        ("caller.listen", settings.caller.listen),
        ("operator.listen", settings.operator.listen),
        ("peer.listen", settings.peer.listen),
    ];
    for (key, address) in faces.iter().filter(|(_, address)| !address.ip().is_loopback()) {
        let wrong = format!("{address} is not a loopback address and there is no TLS");
        faults.add(key, wrong, "a loopback address, or keys.loopback_without_tls set to false");
    }
}

impl EntrySettings {
    /// The settings of the callers' face.
    pub(crate) fn caller_settings(&self) -> CallerSettings {
        CallerSettings {
            listen: self.caller.listen,
            body_bytes: self.caller.body_bytes,
            body_timeout_ms: self.caller.body_timeout_ms,
            id_bytes: self.caller.id_bytes,
            max_tokens: self.caller.max_tokens,
            ..Default::default()
        }
    }

    /// The settings of the face towards other VMs.
    pub(crate) fn peer_settings(&self) -> PeerSettings {
        PeerSettings {
            listen: self.peer.listen,
            plaintext: self.keys.loopback_without_tls,
            frame_bytes: self.peer.frame_bytes,
            ..Default::default()
        }
    }

    /// The settings of the groups that this VM owns.
    pub(crate) fn owner_settings(&self) -> OwnerSettings {
        OwnerSettings {
            order_timeout_ms: self.order_timeout_ms,
            zombie_window_ms: self.zombie_window_ms,
            ..Default::default()
        }
    }
}

/// Settings of the operators' face that listens at `listen`, for processes that host entry VMs.
#[must_use]
pub fn operator_settings(listen: SocketAddr) -> OperatorSettings {
    OperatorSettings { listen, ..Default::default() }
}
