//! smoke
use coltsfoothook_demo::*;
#[tokio::main]
async fn main() {
    coltsfoothook_telemetry::start_logs(&Default::default()).unwrap();
    let t = std::time::Instant::now();
    let site = LocalSite::start(SiteSettings::default()).await.unwrap();
    println!("up {:?}", t.elapsed());
    for i in 0..6 {
        let client = SiteClient::new(site.callers()[i % 3], &credential(0));
        let ask = CompletionAsk {
            model: "adapter-00000@1".into(),
            prompt: "hello".into(),
            ..Default::default()
        };
        println!("{:?}", client.complete(&ask).await);
    }
    println!("{}", site.stop().await);
}
