//! The list of VMs and its lag.

use coltsfoothook_decision::member::{ListedState, ListedVm, MemberPlace};
use coltsfoothook_platform::{DirectoryError, HttpDirectory, PlatformSettings, VmDirectory};
use coltsfoothook_standin::{
    OutageKind, PlatformFaults, PlatformHandle, PlatformServerSettings, VmChange, start_platform,
};

async fn quick_list(list_lag_ms: u64) -> (PlatformHandle, HttpDirectory) {
    let settings = PlatformServerSettings { list_lag_ms, ..Default::default() };
    let platform = start_platform(settings).await.unwrap();
    let directory = HttpDirectory::new(platform.address(), PlatformSettings::default());
    (platform, directory)
}

fn listed(name: &str) -> ListedVm {
    let place = MemberPlace {
        caller: "127.0.0.1:8000".parse().unwrap(),
        peer: "127.0.0.1:8001".parse().unwrap(),
        domain: "ruaraka".into(),
        region: "nbo".into(),
    };
    ListedVm { name: name.into(), place, state: ListedState::Live }
}

/// The list shows VMs that are added, leaving and removed.
#[tokio::test]
async fn changes_show() {
    let (platform, directory) = quick_list(0).await;
    platform.change_vms(VmChange::Put(listed("vm-2")));
    platform.change_vms(VmChange::Put(listed("vm-1")));
    platform.change_vms(VmChange::Leaving { name: "vm-2".to_owned() });
    let vms = directory.list().await.unwrap();
    let states: Vec<_> = vms.iter().map(|vm| (vm.name.as_str(), vm.state)).collect();
    assert_eq!(states, [("vm-1", ListedState::Live), ("vm-2", ListedState::Leaving)]);
    platform.change_vms(VmChange::Remove { name: "vm-1".to_owned() });
    assert_eq!(directory.list().await.unwrap().len(), 1);
    platform.shutdown().await;
}

/// A change appears in the list only after its lag.
#[tokio::test]
async fn list_lags() {
    let (platform, directory) = quick_list(60_000).await;
    platform.change_vms(VmChange::Put(listed("vm-1")));
    assert_eq!(directory.list().await, Ok(Vec::new()));
    platform.shutdown().await;
}

/// An outage of the list is reported as such.
#[tokio::test]
async fn list_outage() {
    let (platform, directory) = quick_list(0).await;
    platform.set_faults(PlatformFaults { list: OutageKind::Cut, ..Default::default() });
    let error = directory.list().await.unwrap_err();
    assert!(matches!(error, DirectoryError::ListUnavailable { .. }), "{error:?}");
    platform.shutdown().await;
}
