//! TLS configurations whose keys can be replaced while they are in use.

use std::path::Path;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use coltsfoothook_telemetry::event;
use rustls::client::{ResolvesClientCert, Resumption, WebPkiServerVerifier};
use rustls::server::{
    ClientHello, NoServerSessionStorage, ResolvesServerCert, WebPkiClientVerifier,
};
use rustls::sign::CertifiedKey;
use rustls::{ClientConfig, RootCertStore, ServerConfig, SignatureScheme};
use snafu::{OptionExt, ResultExt};

use crate::error::{AuthoritySnafu, ConfigureSnafu, KeyError, NoAuthoritySnafu};
use crate::files::{KeyFiles, LoadedKeys, provider, read_roots};
use crate::verify::{CurrentVerifiers, PeerVerifier};

/// The protocol that the HTTP faces speak over TLS.
const HTTP_PROTOCOL: &[u8] = b"http/1.1";

/// A VM's key and the authorities it trusts, as they are now.
pub struct TlsKeys {
    files: KeyFiles,
    digest: RwLock<[u8; 32]>,
    identity: Arc<CurrentIdentity>,
    verifier: Option<Arc<PeerVerifier>>,
}

/// The certificate and key that handshakes use from now on.
#[derive(Debug)]
struct CurrentIdentity {
    certified: RwLock<Arc<CertifiedKey>>,
}

impl TlsKeys {
    /// Reads the files.
    ///
    /// # Errors
    ///
    /// A file is missing or broken, or the key is not the certificate's.
    pub fn load(files: KeyFiles) -> Result<Arc<Self>, KeyError> {
        let loaded = LoadedKeys::read(&files)?;
        let verifier = match &loaded.roots {
            Some(roots) => Some(Arc::new(PeerVerifier::new(verifiers(&files, roots)?))),
            None => None,
        };
        let identity = CurrentIdentity { certified: RwLock::new(loaded.certified) };
        let digest = RwLock::new(loaded.digest);
        Ok(Arc::new(Self { files, digest, identity: Arc::new(identity), verifier }))
    }

    /// TLS towards callers and operators, who prove themselves by their credentials.
    ///
    /// # Errors
    ///
    /// The TLS library refuses the configuration.
    pub fn server(&self) -> Result<ServerConfig, KeyError> {
        let builder = ServerConfig::builder_with_provider(provider())
            .with_safe_default_protocol_versions()
            .context(ConfigureSnafu)?;
        let mut config = builder.with_no_client_auth().with_cert_resolver(self.identity.clone());
        config.alpn_protocols = vec![HTTP_PROTOCOL.to_vec()];
        Ok(config)
    }

    /// The answering side between VMs: only certificates of our authorities get through.
    ///
    /// # Errors
    ///
    /// The files name no authorities, or the TLS library refuses the configuration.
    pub fn mutual_server(&self) -> Result<Arc<ServerConfig>, KeyError> {
        let verifier = self.verifier.clone().context(NoAuthoritySnafu)?;
        let builder = ServerConfig::builder_with_provider(provider())
            .with_safe_default_protocol_versions()
            .context(ConfigureSnafu)?;
        let mut config =
            builder.with_client_cert_verifier(verifier).with_cert_resolver(self.identity.clone());
        // A resumed session skips the check of the certificate, so a VM whose authority was taken
        // out of the files could go on joining.
        config.session_storage = Arc::new(NoServerSessionStorage {});
        config.send_tls13_tickets = 0;
        Ok(Arc::new(config))
    }

    /// The calling side between VMs.
    ///
    /// # Errors
    ///
    /// As for [`TlsKeys::mutual_server`].
    pub fn mutual_client(&self) -> Result<Arc<ClientConfig>, KeyError> {
        let verifier = self.verifier.clone().context(NoAuthoritySnafu)?;
        let builder = ClientConfig::builder_with_provider(provider())
            .with_safe_default_protocol_versions()
            .context(ConfigureSnafu)?;
        let mut config = builder
            .dangerous()
            .with_custom_certificate_verifier(verifier)
            .with_client_cert_resolver(self.identity.clone());
        config.resumption = Resumption::disabled();
        Ok(Arc::new(config))
    }

    /// Reads the files again and tells whether they changed. New handshakes use what was read.
    ///
    /// # Errors
    ///
    /// As for [`TlsKeys::load`]; the keys in use then stay. That is also what happens between the
    /// replacement of a certificate and that of its key, and the next reading mends it.
    pub fn reload(&self) -> Result<bool, KeyError> {
        let loaded = LoadedKeys::read(&self.files)?;
        if loaded.digest == *self.digest.read().unwrap_or_else(PoisonError::into_inner) {
            return Ok(false);
        }
        if let (Some(verifier), Some(roots)) = (&self.verifier, &loaded.roots) {
            verifier.replace(verifiers(&self.files, roots)?);
        }
        let mut certified = self.identity.certified.write().unwrap_or_else(PoisonError::into_inner);
        *certified = loaded.certified;
        *self.digest.write().unwrap_or_else(PoisonError::into_inner) = loaded.digest;
        Ok(true)
    }

    /// Reads the files again at every period, for as long as the future is polled.
    pub async fn watch(self: Arc<Self>, period: Duration) {
        let mut ticks = tokio::time::interval(period);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let keys = self.clone();
            let read = tokio::task::spawn_blocking(move || keys.reload()).await;
            match read {
                Ok(Ok(false)) => {}
                Ok(Ok(true)) => {
                    event!(KeysReplaced, file = self.files.chain.display());
                }
                Ok(Err(error)) => {
                    event!(KeysRefused, reason = error);
                }
                Err(error) => event!(KeysRefused, reason = error),
            }
        }
    }
}

/// The configuration of a client, such as the operators' program, that trusts the given authorities.
///
/// # Errors
///
/// The file is missing or broken.
pub fn trusting_client(authority: &Path) -> Result<ClientConfig, KeyError> {
    let roots = read_roots(authority)?;
    let builder = ClientConfig::builder_with_provider(provider())
        .with_safe_default_protocol_versions()
        .context(ConfigureSnafu)?;
    let mut config = builder.with_root_certificates(roots).with_no_client_auth();
    config.alpn_protocols = vec![HTTP_PROTOCOL.to_vec()];
    Ok(config)
}

fn verifiers(files: &KeyFiles, roots: &Arc<RootCertStore>) -> Result<CurrentVerifiers, KeyError> {
    let path = files.authority.as_deref().context(NoAuthoritySnafu)?;
    let refused = |reason: String| AuthoritySnafu { path, reason }.build();
    let client = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider());
    let server = WebPkiServerVerifier::builder_with_provider(roots.clone(), provider());
    Ok(CurrentVerifiers {
        client: client.build().map_err(|error| refused(error.to_string()))?,
        server: server.build().map_err(|error| refused(error.to_string()))?,
    })
}

impl CurrentIdentity {
    fn current(&self) -> Arc<CertifiedKey> {
        self.certified.read().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl ResolvesServerCert for CurrentIdentity {
    fn resolve(&self, _: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(self.current())
    }
}

impl ResolvesClientCert for CurrentIdentity {
    fn resolve(&self, _: &[&[u8]], _: &[SignatureScheme]) -> Option<Arc<CertifiedKey>> {
        Some(self.current())
    }

    fn has_certs(&self) -> bool {
        true
    }
}
