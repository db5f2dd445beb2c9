//! TLS calls verify the server's certificate before they send the token.

use std::sync::Arc;

use coltsfoothook_ctl::CtlExit;
use rcgen::{CertifiedKey, generate_simple_self_signed};
use rustls::ServerConfig;
use rustls_pki_types::PrivateKeyDer;

use crate::fake::{run_alone, start_with};

fn server_config(certified: &CertifiedKey<rcgen::KeyPair>) -> ServerConfig {
    let key = PrivateKeyDer::try_from(certified.signing_key.serialize_der()).expect("a key");
    let provider = Arc::new(rustls::crypto::aws_lc_rs::default_provider());
    ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .expect("known versions")
        .with_no_client_auth()
        .with_single_cert(vec![certified.cert.der().clone()], key)
        .expect("a certificate")
}

#[test]
fn untrusted_server() {
    // A server with an untrusted certificate listens on an entry VM's address. The program must not
    // send it the operator's token and exits with "not reached".
    let named = |name: &str| generate_simple_self_signed([name.to_owned()]).expect("a certificate");
    let (trusted, untrusted) = (named("127.0.0.1"), named("127.0.0.1"));
    let running = start_with("untrusted_server", Some(server_config(&trusted)));
    let entry = running.address().to_string();
    let token = running.path("token").display().to_string();
    let trusted = running.file("trusted.pem", &trusted.cert.pem());
    let untrusted = running.file("untrusted.pem", &untrusted.cert.pem());
    let status = |ca_file: &str| {
        run_alone(&["status", "--entry", &entry, "--token-file", &token, "--ca-file", ca_file])
    };
    let good = status(&trusted);
    assert_eq!(good.exit, CtlExit::Done, "{}", good.err);
    assert_eq!(status(&untrusted).exit, CtlExit::NotReached);
    assert_eq!(status(&token).exit, CtlExit::Usage, "a file without certificates");
    let plain = run_alone(&["status", "--entry", &entry, "--token-file", &token]);
    assert_ne!(plain.exit, CtlExit::Done);
}
