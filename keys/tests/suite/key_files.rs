//! Broken key files give an error that names the file, and no panic.

use coltsfoothook_keys::testing::{TestAuthority, TestDirectory};
use coltsfoothook_keys::{KeyError, KeyFiles, TlsKeys, trusting_client};

fn fault(files: &KeyFiles) -> String {
    match TlsKeys::load(files.clone()) {
        Ok(_) => "none".to_owned(),
        Err(error) => error.to_string(),
    }
}

#[test]
fn broken_files() {
    let directory = TestDirectory::new("broken_files");
    let authority = TestAuthority::new();
    let good = authority.write(directory.path(), "nbo-1");
    let other = authority.write(directory.path(), "nbo-2");
    assert_eq!(fault(&good), "none");
    let garbage = directory.path().join("garbage");
    std::fs::write(&garbage, "-----BEGIN CERTIFICATE-----\n!!\n-----END CERTIFICATE-----\n")
        .expect("a written file");
    let missing = directory.path().join("missing");
    let huge = directory.path().join("huge");
    std::fs::write(&huge, vec![b'x'; 2 * 1024 * 1024]).expect("a written file");
    let cases = [
        (KeyFiles { chain: garbage.clone(), ..good.clone() }, "holds no certificate"),
        (KeyFiles { key: garbage.clone(), ..good.clone() }, "holds no private key"),
        (KeyFiles { chain: missing, ..good.clone() }, "cannot read"),
        (KeyFiles { key: huge, ..good.clone() }, "more than"),
        (KeyFiles { key: other.key, ..good.clone() }, "cannot be used"),
        (KeyFiles { authority: Some(garbage.clone()), ..good.clone() }, "holds no certificate"),
    ];
    for (files, want) in cases {
        let fault = fault(&files);
        assert!(fault.contains(want), "{fault}");
    }
    assert!(trusting_client(&garbage).is_err());
}

#[test]
fn no_authority() {
    let directory = TestDirectory::new("no_authority");
    let files = TestAuthority::new().write(directory.path(), "nbo-1");
    let keys = TlsKeys::load(KeyFiles { authority: None, ..files }).expect("keys");
    assert!(keys.server().is_ok());
    assert!(matches!(keys.mutual_server(), Err(KeyError::NoAuthority)));
    assert!(matches!(keys.mutual_client(), Err(KeyError::NoAuthority)));
}
