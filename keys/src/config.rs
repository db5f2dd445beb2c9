//! TLS configurations whose keys and certificate authorities (CAs) can be replaced while in use.

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

/// ALPN name of the protocol that the HTTP listeners serve over TLS.
const HTTP_PROTOCOL: &[u8] = b"http/1.1";

/// A VM's certificate and key, and the CAs it trusts, reloadable from their files.
///
/// Every configuration made from it uses the values of the last successful load at each handshake.
pub struct TlsKeys {
    files: KeyFiles,
    /// [`LoadedKeys::digest`] of the keys in use.
    digest: RwLock<[u8; 32]>,
    identity: Arc<CurrentIdentity>,
    /// `None` if the settings name no CA file; mutual TLS is then unavailable.
    verifier: Option<Arc<PeerVerifier>>,
}

/// The certificate and key that new handshakes use.
#[derive(Debug)]
struct CurrentIdentity {
    certified: RwLock<Arc<CertifiedKey>>,
}

impl TlsKeys {
    /// Loads the keys from `files`, which [`TlsKeys::reload`] reads again.
    ///
    /// # Errors
    ///
    /// A file cannot be read or parsed, or the private key does not match the certificate.
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

    /// Returns the configuration for serving callers and operators. It requests no client
    /// certificate; clients authenticate with credentials in their requests.
    ///
    /// # Errors
    ///
    /// The TLS library rejects the configuration.
    pub fn server(&self) -> Result<ServerConfig, KeyError> {
        let builder = ServerConfig::builder_with_provider(provider())
            .with_safe_default_protocol_versions()
            .context(ConfigureSnafu)?;
        let mut config = builder.with_no_client_auth().with_cert_resolver(self.identity.clone());
        config.alpn_protocols = vec![HTTP_PROTOCOL.to_vec()];
        Ok(config)
    }

    /// Returns the server side of connections between VMs. It accepts only clients whose
    /// certificate was issued by a configured CA.
    ///
    /// # Errors
    ///
    /// No CA file is configured, or the TLS library rejects the configuration.
    pub fn mutual_server(&self) -> Result<Arc<ServerConfig>, KeyError> {
        let verifier = self.verifier.clone().context(NoAuthoritySnafu)?;
        let builder = ServerConfig::builder_with_provider(provider())
            .with_safe_default_protocol_versions()
            .context(ConfigureSnafu)?;
        let mut config =
            builder.with_client_cert_verifier(verifier).with_cert_resolver(self.identity.clone());
        // A resumed session skips certificate verification, so a VM whose CA was removed from the
        // files could still connect.
        config.session_storage = Arc::new(NoServerSessionStorage {});
        config.send_tls13_tickets = 0;
        Ok(Arc::new(config))
    }

    /// Returns the client side of connections between VMs, also without session resumption.
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

    /// Reads the files again and returns whether they changed. If so, new handshakes use the new
    /// keys and CAs; established connections are not affected.
    ///
    /// # Errors
    ///
    /// As for [`TlsKeys::load`]; the keys in use are then kept. This also happens if the files are
    /// read after a certificate was replaced but before its key was; a later reload succeeds.
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

    /// Calls [`TlsKeys::reload`] once per `period` and logs replacements and errors. Never returns.
    pub async fn watch(self: Arc<Self>, period: Duration) {
        let mut ticks = tokio::time::interval(period);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let keys = self.clone();
            let outcome = tokio::task::spawn_blocking(move || keys.reload()).await;
            match outcome {
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

/// Returns a client configuration without a client certificate that trusts the CAs in the given PEM
/// file. For clients of the HTTP listeners, such as `coltsfoothook-ctl`.
///
/// # Errors
///
/// The file cannot be read or parsed, or the TLS library rejects the configuration.
pub fn client_config(authority: &Path) -> Result<ClientConfig, KeyError> {
    let roots = read_roots(authority)?;
    let builder = ClientConfig::builder_with_provider(provider())
        .with_safe_default_protocol_versions()
        .context(ConfigureSnafu)?;
    let mut config = builder.with_root_certificates(roots).with_no_client_auth();
    config.alpn_protocols = vec![HTTP_PROTOCOL.to_vec()];
    Ok(config)
}

/// Builds the verifiers for both sides from the CAs in `roots`.
fn verifiers(files: &KeyFiles, roots: &Arc<RootCertStore>) -> Result<CurrentVerifiers, KeyError> {
    let path = files.authority.as_deref().context(NoAuthoritySnafu)?;
    let rejected = |reason: String| AuthoritySnafu { path, reason }.build();
    let client = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider());
    let server = WebPkiServerVerifier::builder_with_provider(roots.clone(), provider());
    Ok(CurrentVerifiers {
        client: client.build().map_err(|error| rejected(error.to_string()))?,
        server: server.build().map_err(|error| rejected(error.to_string()))?,
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
