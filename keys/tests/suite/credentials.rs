//! Credentials are found by their hashes, and secrets are never printed.

use coltsfoothook_keys::testing::TestDirectory;
use coltsfoothook_keys::{CredentialHash, CredentialTable, SecretText};

#[test]
fn found_by_hash() {
    let entries = (0..500).map(|n| (CredentialHash::of(&format!("secret-{n}")), n)).collect();
    let table = CredentialTable::new(entries);
    for n in 0..500 {
        assert_eq!(table.find(&format!("secret-{n}")), Some(&n));
    }
    assert_eq!(table.find("secret-500"), None);
    assert_eq!(table.find(""), None);
}

/// An operator's secret that is also a tenant's would open operator calls to that tenant.
#[test]
fn roles_apart() {
    let table = |words: &[&str]| {
        CredentialTable::new(words.iter().map(|word| (CredentialHash::of(word), ())).collect())
    };
    let operators = table(&["o1", "o2"]);
    assert!(operators.find("t1").is_none());
    assert!(!operators.overlaps(&table(&["t1", "t2"])));
    assert!(operators.overlaps(&table(&["t1", "o2"])));
}

#[test]
fn hash_text() {
    let empty = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";
    assert!(CredentialHash::parse(empty).expect("a hash").matches(&CredentialHash::of("")));
    assert_eq!(CredentialHash::of("").to_hex(), empty);
    for bad in ["", "e3", &empty.replace('e', "g"), &format!("{empty}00"), &"é".repeat(32)] {
        assert!(CredentialHash::parse(bad).is_err());
    }
}

#[test]
fn never_printed() {
    let secret = SecretText::new("hunter2");
    let printed = format!("{secret} {secret:?} {:?}", CredentialHash::of("hunter2"));
    assert!(!printed.contains("hunter2"));
    assert!(!printed.contains(&CredentialHash::of("hunter2").to_hex()[..8]));
}

#[test]
fn secret_file() {
    let directory = TestDirectory::new("secret_file");
    let path = directory.path().join("secret");
    let cases =
        [("key 7 b\n", Some("key 7 b")), ("x", Some("x")), ("", None), ("key 7\nkey 8\n", None)];
    for (text, want) in cases {
        std::fs::write(&path, text).expect("a written file");
        let read = SecretText::read(&path);
        assert_eq!(read.as_ref().ok().map(SecretText::expose), want);
        assert!(!format!("{read:?}").contains("key 7"), "neither result nor error repeats it");
    }
    assert!(SecretText::read(&directory.path().join("none")).is_err());
}
