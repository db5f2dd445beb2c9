//! Settings of an entry process; docs/SETTINGS.md is generated from them.

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
    /// Settings of the caller interface.
    pub struct CallerInterfaceSettings {
        /// Address to listen at for callers.
        pub listen: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 8080));
        /// Maximum size of a request body in bytes.
        pub body_bytes: usize = 1 << 20, in 1_024..=64 << 20;
        /// Milliseconds within which a request body must have arrived completely.
        pub body_timeout_ms: u64 = 10_000, in 100..=600_000;
        /// Maximum length in bytes of request ids, idempotency keys and job ids.
        pub id_bytes: usize = 128, in 16..=1_024;
        /// Maximum number of tokens to generate per request.
        pub max_tokens: u32 = 131_072, in 1..=10_000_000;
        /// Maximum number of concurrent requests on this VM; more are refused as overloaded.
        pub requests: usize = 4_096, in 1..=100_000;
    }
}

settings_struct! {
    /// Settings of the interface to other entry VMs.
    pub struct PeerInterfaceSettings {
        /// Address to listen at for other VMs.
        pub listen: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 8082));
        /// Maximum size of a message in bytes; a snapshot of the configuration must fit.
        pub frame_bytes: usize = 32 << 20, in 65_536..=256 << 20;
    }
}

settings_struct! {
    /// Keys and certificates in PEM files, which are reloaded when they change.
    pub struct KeySettings {
        /// Whether callers, operators and other VMs are served without TLS; allowed only on
        /// loopback addresses.
        pub loopback_without_tls: bool = false;
        /// Certificate chain of the caller and operator interfaces.
        pub face_certificate: Option<PathBuf> = None;
        /// Private key of `face_certificate`.
        pub face_key: Option<SecretFile> = None;
        /// Certificate chain of this VM for other VMs; it is issued for the VM's name.
        pub peer_certificate: Option<PathBuf> = None;
        /// Private key of `peer_certificate`.
        pub peer_key: Option<SecretFile> = None;
        /// Certificate of the authority that issues all VMs' certificates.
        pub peer_authority: Option<PathBuf> = None;
        /// Files with the operators' tokens, one token per file.
        pub operator_tokens: Vec<SecretFile> = Vec::new(), required;
    }
    check check_keys
}

settings_struct! {
    /// Settings of an entry process.
    pub struct EntrySettings {
        /// Unique name of the VM.
        pub vm: VmName = VmName::default(), required;
        /// Failure domain of the VM.
        pub domain: DomainName = DomainName::default(), required;
        /// Region of the VM.
        pub region: RegionName = RegionName::default(), required;
        /// Weight of the VM in the list of entry VMs that callers receive: its share of new
        /// requests relative to other VMs.
        pub weight: u32 = 100, in 1..=10_000;
        /// Address of the platform's log.
        pub log: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 7100));
        /// Address of the platform's list of VMs.
        pub directory: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 7100));
        /// Caller interface.
        pub caller: CallerInterfaceSettings = CallerInterfaceSettings::default();
        /// Operator interface.
        pub operator: OperatorSettings = OperatorSettings::default();
        /// Interface to other VMs.
        pub peer: PeerInterfaceSettings = PeerInterfaceSettings::default();
        /// Keys and certificates.
        pub keys: KeySettings = KeySettings::default();
        /// Milliseconds between two reports that a group owner requests from an engine.
        pub report_ms: u64 = 250, in 20..=10_000;
        /// Timeout in milliseconds of a probe of another VM; an indirect probe has twice as long.
        pub probe_ms: u64 = 250, in 20..=5_000;
        /// Milliseconds for which callers may cache the list of entry VMs.
        pub entries_ttl_ms: u64 = 3_000, in 100..=600_000;
        /// Milliseconds without an answer from the log or another VM after which no work is taken.
        pub stale_ms: u64 = 8_000, in 1_000..=600_000;
        /// Maximum size in bytes of an answer that is not streamed.
        pub answer_bytes: usize = 16 << 20, in 1_024..=1 << 30;
        /// Milliseconds that a shutdown waits for running requests before it is logged as overdue
        /// and continues.
        pub shutdown_ms: u64 = 600_000, in 1_000..=86_400_000;
        /// Milliseconds after which the effect of an unanswered order to an engine counts as
        /// unknown.
        pub order_timeout_ms: u64 = 20_000, in 1_000..=600_000;
        /// Milliseconds for which an unreachable VM is assumed to still be able to use its grants.
        pub zombie_window_ms: u64 = 120_000, in 1_000..=3_600_000;
        /// Log output.
        pub logs: LogSettings = LogSettings::default();
        /// Labels of the metrics.
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
    let listeners = [
        ("caller.listen", settings.caller.listen),
        ("operator.listen", settings.operator.listen),
        ("peer.listen", settings.peer.listen),
    ];
    for (key, address) in listeners.iter().filter(|(_, address)| !address.ip().is_loopback()) {
        let wrong = format!("{address} is not a loopback address and there is no TLS");
        faults.add(key, wrong, "a loopback address, or keys.loopback_without_tls set to false");
    }
}

impl EntrySettings {
    /// Returns the settings of the caller interface.
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

    /// Returns the settings of the interface to other VMs.
    pub(crate) fn peer_settings(&self) -> PeerSettings {
        PeerSettings {
            listen: self.peer.listen,
            plaintext: self.keys.loopback_without_tls,
            frame_bytes: self.peer.frame_bytes,
            ..Default::default()
        }
    }

    /// Returns the settings of the groups that this VM owns.
    pub(crate) fn owner_settings(&self) -> OwnerSettings {
        OwnerSettings {
            order_timeout_ms: self.order_timeout_ms,
            zombie_window_ms: self.zombie_window_ms,
            ..Default::default()
        }
    }
}

/// Returns settings of the operator interface that listens at `listen`, for processes that host
/// several entry VMs.
#[must_use]
pub fn operator_settings(listen: SocketAddr) -> OperatorSettings {
    OperatorSettings { listen, ..Default::default() }
}
