//! Invalid key files are reported as errors, without a panic.

use coltsfoothook_keys::testing::{TestCa, TestDirectory};
use coltsfoothook_keys::{KeyError, KeyFiles, TlsKeys, client_config};

/// Returns the message of the error that loading gives, or "none".
fn load_error(files: &KeyFiles) -> String {
    match TlsKeys::load(files.clone()) {
        Ok(_) => "none".to_owned(),
        Err(error) => error.to_string(),
    }
}

#[test]
fn broken_files() {
    let directory = TestDirectory::new("broken_files");
    let authority = TestCa::new();
    let good = authority.write(directory.path(), "nbo-1");
    let other = authority.write(directory.path(), "nbo-2");
    assert_eq!(load_error(&good), "none");
    let invalid_pem = directory.path().join("invalid_pem");
    std::fs::write(&invalid_pem, "-----BEGIN CERTIFICATE-----\n!!\n-----END CERTIFICATE-----\n")
        .expect("a written file");
    let missing = directory.path().join("missing");
    let huge = directory.path().join("huge");
    std::fs::write(&huge, vec![b'x'; 2 * 1024 * 1024]).expect("a written file");
    let cases = [
        (KeyFiles { chain: invalid_pem.clone(), ..good.clone() }, "contains no certificate"),
        (KeyFiles { key: invalid_pem.clone(), ..good.clone() }, "contains no private key"),
        (KeyFiles { chain: missing, ..good.clone() }, "cannot read"),
        (KeyFiles { key: huge, ..good.clone() }, "more than"),
        (KeyFiles { key: other.key, ..good.clone() }, "cannot be used"),
        (
            KeyFiles { authority: Some(invalid_pem.clone()), ..good.clone() },
            "contains no certificate",
        ),
    ];
    for (files, expected) in cases {
        let message = load_error(&files);
        assert!(message.contains(expected), "{message}");
    }
    assert!(client_config(&invalid_pem).is_err());
}

#[test]
fn no_authority() {
    let directory = TestDirectory::new("no_authority");
    let files = TestCa::new().write(directory.path(), "nbo-1");
    let keys = TlsKeys::load(KeyFiles { authority: None, ..files }).expect("keys");
    assert!(keys.server().is_ok());
    assert!(matches!(keys.mutual_server(), Err(KeyError::NoAuthority)));
    assert!(matches!(keys.mutual_client(), Err(KeyError::NoAuthority)));
}
