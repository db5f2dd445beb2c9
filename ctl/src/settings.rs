//! Settings of the operators' program.

use std::net::SocketAddr;
use std::path::PathBuf;

use coltsfoothook_settings::{FaultList, SecretFile, settings_struct};

settings_struct! {
    /// Settings of the operators' program; the command line overrides some of them.
    pub struct CtlSettings {
        /// Operators' addresses of entry VMs; the next is tried when one cannot be reached.
        pub entries: Vec<SocketAddr> = Vec::new(), in 0..=64;
        /// The file with the operator's token.
        pub token_file: Option<SecretFile> = None;
        /// The file with the certificates (PEM) of the authorities to trust.
        pub ca_file: Option<PathBuf> = None;
        /// The name in the entry VMs' certificates; without it, their IP numbers.
        pub server_name: Option<String> = None;
        /// Whether to connect without TLS to non-loopback addresses, sending the token unencrypted.
        pub plain: bool = false;
        /// The timeout of a call, in milliseconds.
        pub timeout_ms: u64 = 20_000, in 100..=600_000;
        /// How often a change is tried in total while its outcome is unknown or the log is down.
        pub attempts: u32 = 3, in 1..=100;
        /// The maximum size of an answer, in bytes.
        pub answer_bytes: usize = 64 << 20, in 1_024..=1 << 30;
    }
    check check_tls
}

fn check_tls(settings: &CtlSettings, faults: &mut FaultList) {
    if settings.plain && settings.ca_file.is_some() {
        faults.add("plain", "it conflicts with ca_file", "one of the two");
    }
}
