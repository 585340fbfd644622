//! Tests of the list of instances: response format, changes and lag.

use serde_json::{Value, json};
use sg_fake::list::{Control, Member, Options, PATH, Server};
use sg_types::time::Span;

use crate::any_port;

fn member(name: &str) -> Member {
    serde_json::from_value(json!({
        "instance": name, "domain": "n1", "region": "north", "serve": "127.0.0.1:8101",
        "peer": "127.0.0.1:8201", "admin": "127.0.0.1:8301"
    }))
    .expect("a member")
}

async fn start_list(lag: Span) -> Server {
    let options = Options {
        listen: any_port(),
        members: vec![member("entry-1")],
        lag,
    };
    Server::start(options).await.expect("a list")
}

async fn read_list(list: &Server) -> Value {
    let url = format!("http://{}{PATH}", list.address());
    let response = reqwest::get(url).await.expect("a response");
    response.json().await.expect("JSON")
}

#[tokio::test]
async fn list_has_the_consul_format() {
    let items = read_list(&start_list(Span::ZERO).await).await;
    let service = &items[0]["Service"];
    assert_eq!(service["ID"], "entry-1");
    assert_eq!(service["Address"], "127.0.0.1");
    assert_eq!(service["Port"], 8101);
    assert_eq!(service["Meta"]["peer"], "127.0.0.1:8201");
    assert!(service["Meta"]["leaving"].is_null());
}

#[tokio::test]
async fn changes_are_invisible_until_the_lag_has_passed() {
    let list = start_list(Span::from_secs(3_600)).await;
    list.control(Control {
        remove: Some("entry-1".parse().expect("a name")),
        ..Control::default()
    });
    assert_eq!(read_list(&list).await.as_array().map(Vec::len), Some(1));
    list.control(Control {
        lag: Some(Span::ZERO),
        double: Some("entry-1".parse().expect("a name")),
        ..Control::default()
    });
    assert_eq!(read_list(&list).await.as_array().map(Vec::len), Some(1));
}

#[tokio::test]
async fn instance_can_be_listed_twice_and_marked_as_leaving() {
    let list = start_list(Span::ZERO).await;
    list.control(Control {
        double: Some("entry-1".parse().expect("a name")),
        leaving: Some("entry-1".parse().expect("a name")),
        ..Control::default()
    });
    let items = read_list(&list).await;
    assert_eq!(items.as_array().map(Vec::len), Some(2));
    assert_eq!(items[0]["Service"]["Meta"]["leaving"], "true");
}
