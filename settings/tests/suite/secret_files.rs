//! Secrets are read from files and do not appear in debug output or errors.

use coltsfoothook_settings::SecretFile;

#[test]
fn never_printed() {
    let path = std::env::temp_dir().join(format!("coltsfoothook-secret-{}", std::process::id()));
    std::fs::write(&path, "hunter2\n").expect("the file is written");
    let secret = SecretFile::new(&path).read();
    std::fs::write(&path, "\n").expect("the file is written");
    let empty = SecretFile::new(&path).read().expect_err("the file is empty");
    std::fs::remove_file(&path).expect("the file exists");
    let missing = SecretFile::new(&path).read().expect_err("the file is missing");
    let secret = secret.expect("the file holds a secret");
    assert_eq!(secret.expose(), "hunter2");
    assert_eq!(format!("{secret:?}"), "***");
    assert!(empty.to_string().ends_with("is empty"), "{empty}");
    assert!(missing.to_string().contains("No such file"), "{missing}");
}
