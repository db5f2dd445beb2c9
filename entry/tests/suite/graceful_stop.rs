use coltsfoothook_demo::CompletionRequest;
use tokio::time::sleep;

use crate::bench::{
    assert_right, client, close, completion, owner, small_site, until_done, wait_until,
};

/// The VM that owns the engines shuts down while it streams. The stream ends complete and another
/// VM takes the group over.
#[tokio::test(flavor = "multi_thread")]
async fn streams_end_whole() {
    let mut site = small_site(true).await;
    let stopping = owner(&site);
    let caller = client(&site, stopping);
    until_done(&caller, &completion(0, "before")).await;
    let long = CompletionRequest { max_tokens: 600, ..completion(0, "long") };
    let streamed = tokio::spawn({
        let (caller, long) = (caller.clone(), long.clone());
        async move { caller.complete(&long).await }
    });
    wait_until("the stream runs", || site.vms[stopping].as_ref().unwrap().in_flight() == 1).await;
    sleep(std::time::Duration::from_millis(200)).await;
    assert_eq!(site.stop_vm(stopping).await, 0);
    let read = streamed.await.unwrap().unwrap();
    assert_right(&long, &read);
    wait_until("a new owner", || site.running().any(|vm| vm.owned_groups() == 1)).await;
    until_done(&client(&site, (stopping + 1) % 3), &completion(2, "after")).await;
    close(site).await;
}
