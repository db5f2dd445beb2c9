//! Keys and CAs are replaced while TLS configurations made from them are in use.

use std::sync::Arc;

use coltsfoothook_keys::testing::{TestCa, TestDirectory};
use coltsfoothook_keys::{KeyFiles, TlsKeys, client_config};
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use tokio::io::{AsyncReadExt, AsyncWriteExt, duplex};
use tokio_rustls::{TlsAcceptor, TlsConnector};

/// Performs a TLS handshake over an in-memory stream and returns the server's certificate as the
/// client received it, or `None` if either side rejects the other.
async fn handshake(
    server: &Arc<ServerConfig>,
    client: &Arc<ClientConfig>,
    name: &str,
) -> Option<CertificateDer<'static>> {
    let (near, far) = duplex(64 * 1024);
    let name = ServerName::try_from(name.to_owned()).expect("a name");
    let acceptor = TlsAcceptor::from(server.clone());
    let serving = tokio::spawn(async move {
        let mut stream = acceptor.accept(far).await.ok()?;
        stream.write_all(b"ok").await.ok()?;
        stream.flush().await.ok()
    });
    let mut stream = TlsConnector::from(client.clone()).connect(name, near).await.ok()?;
    let mut answer = [0; 2];
    stream.read_exact(&mut answer).await.ok()?;
    serving.await.ok()??;
    stream.get_ref().1.peer_certificates()?.first().cloned()
}

/// An existing configuration presents a renewed certificate in new handshakes, and keeps the old
/// one while the new certificate's key is not yet written. Each handshake uses a new client,
/// because a resumed session does not present a certificate.
#[tokio::test]
async fn renewed_certificate() {
    let directory = TestDirectory::new("renewed_certificate");
    let authority = TestCa::new();
    let files = authority.write(directory.path(), "nbo-1");
    let keys = TlsKeys::load(files.clone()).expect("keys");
    let server = Arc::new(keys.server().expect("a configuration"));
    let trusted = files.authority.clone().expect("a file");
    let client = || Arc::new(client_config(&trusted).expect("a configuration"));
    let before = handshake(&server, &client(), "127.0.0.1").await.expect("a handshake");
    assert!(!keys.reload().expect("read"), "nothing has changed");

    let old_key = std::fs::read(&files.key).expect("a key");
    let _ = authority.write(directory.path(), "nbo-1");
    let new_key = std::fs::read(&files.key).expect("a key");
    std::fs::write(&files.key, old_key).expect("written");
    assert!(keys.reload().is_err(), "the new certificate with the old key");
    assert_eq!(handshake(&server, &client(), "nbo-1").await.as_ref(), Some(&before));

    std::fs::write(&files.key, new_key).expect("written");
    assert!(keys.reload().expect("read"));
    let after = handshake(&server, &client(), "nbo-1").await.expect("a handshake");
    assert_ne!(before, after);
}

/// The CA is replaced in two steps: all VMs trust both CAs, then the old one is removed. VMs can
/// connect after each complete step; a certificate of the old CA is rejected after the second, even
/// by a client that connected before.
#[tokio::test]
async fn replaced_authority() {
    let directory = TestDirectory::new("replaced_authority");
    let (old, new) = (TestCa::new(), TestCa::new());
    let one = old.write(directory.path(), "nbo-1");
    let two = old.write(directory.path(), "nbo-2");
    let load = |files: &KeyFiles| TlsKeys::load(files.clone()).expect("keys");
    let (first, second) = (load(&one), load(&two));
    let server = first.mutual_server().expect("a configuration");
    let client = second.mutual_client().expect("a configuration");
    assert!(handshake(&server, &client, "nbo-1").await.is_some());
    assert!(
        handshake(&server, &client, "nbo-2").await.is_none(),
        "the certificate of another VM was accepted"
    );

    let both = format!("{}{}", old.pem(), new.pem());
    for files in [&one, &two] {
        std::fs::write(files.authority.as_ref().expect("a file"), &both).expect("written");
    }
    assert!(first.reload().expect("read") && second.reload().expect("read"));
    assert!(handshake(&server, &client, "nbo-1").await.is_some());

    let _ = new.write(directory.path(), "nbo-1");
    assert!(first.reload().expect("read"));
    assert!(
        handshake(&server, &client, "nbo-1").await.is_none(),
        "the certificate of the old CA is rejected"
    );
    let _ = new.write(directory.path(), "nbo-2");
    assert!(second.reload().expect("read"));
    assert!(handshake(&server, &client, "nbo-1").await.is_some());
}

/// Parses a VM's files, to build a TLS configuration without this package.
fn parse(
    files: &KeyFiles,
) -> (RootCertStore, Vec<CertificateDer<'static>>, PrivateKeyDer<'static>) {
    let mut roots = RootCertStore::empty();
    let authority = files.authority.as_ref().expect("a file");
    roots.add(CertificateDer::from_pem_file(authority).expect("a certificate")).expect("a root");
    let chain = CertificateDer::pem_file_iter(&files.chain).expect("a file");
    let chain = chain.collect::<Result<_, _>>().expect("certificates");
    (roots, chain, PrivateKeyDer::from_pem_file(&files.key).expect("a key"))
}

/// A client with a stolen key stores its TLS session and tries to resume it after the CA was
/// replaced. Resumption would skip verification of its certificate.
#[tokio::test]
async fn stolen_key_resumes_as_client() {
    let directory = TestDirectory::new("stolen_key_resumes_as_client");
    let (old, new) = (TestCa::new(), TestCa::new());
    let keys = TlsKeys::load(old.write(directory.path(), "nbo-1")).expect("keys");
    let server = keys.mutual_server().expect("a configuration");
    let (mut roots, chain, key) = parse(&old.write(directory.path(), "nbo-2"));
    let added = CertificateDer::from_pem_slice(new.pem().as_bytes()).expect("a certificate");
    roots.add(added).expect("a root");
    let provider = Arc::new(rustls::crypto::aws_lc_rs::default_provider());
    let builder = ClientConfig::builder_with_provider(provider);
    let builder = builder.with_safe_default_protocol_versions().expect("versions");
    let attacker = builder.with_root_certificates(roots).with_client_auth_cert(chain, key);
    let attacker = Arc::new(attacker.expect("a configuration"));
    assert!(handshake(&server, &attacker, "nbo-1").await.is_some());
    let _ = new.write(directory.path(), "nbo-1");
    assert!(keys.reload().expect("read"));
    assert!(handshake(&server, &attacker, "nbo-1").await.is_none());
}

/// A server with a stolen key answers at the address of the VM that the key belongs to, and offers
/// session resumption after the CA was replaced.
#[tokio::test]
async fn stolen_key_resumes_as_server() {
    let directory = TestDirectory::new("stolen_key_resumes_as_server");
    let (old, new) = (TestCa::new(), TestCa::new());
    let keys = TlsKeys::load(old.write(directory.path(), "nbo-1")).expect("keys");
    let client = keys.mutual_client().expect("a configuration");
    let (_, chain, key) = parse(&old.write(directory.path(), "nbo-2"));
    let provider = Arc::new(rustls::crypto::aws_lc_rs::default_provider());
    let builder = ServerConfig::builder_with_provider(provider);
    let builder = builder.with_safe_default_protocol_versions().expect("versions");
    let attacker = builder.with_no_client_auth().with_single_cert(chain, key);
    let attacker = Arc::new(attacker.expect("a configuration"));
    assert!(handshake(&attacker, &client, "nbo-2").await.is_some());
    let _ = new.write(directory.path(), "nbo-1");
    assert!(keys.reload().expect("read"));
    assert!(handshake(&attacker, &client, "nbo-2").await.is_none());
}

/// A client with a certificate of an unknown CA, or with none, is rejected.
#[tokio::test]
async fn unknown_ca_refused() {
    let directory = TestDirectory::new("unknown_ca_refused");
    let ours = TestCa::new().write(directory.path(), "nbo-1");
    let unknown = TestCa::new().write(directory.path(), "nbo-9");
    let server = TlsKeys::load(ours.clone()).expect("keys").mutual_server().expect("made");
    let forged = KeyFiles { authority: ours.authority.clone(), ..unknown };
    let client = TlsKeys::load(forged).expect("keys").mutual_client().expect("made");
    assert!(handshake(&server, &client, "nbo-1").await.is_none());
    let no_certificate = client_config(ours.authority.as_deref().expect("a file")).expect("made");
    assert!(handshake(&server, &Arc::new(no_certificate), "nbo-1").await.is_none());
}
