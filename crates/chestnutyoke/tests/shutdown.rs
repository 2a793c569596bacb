//! A graceful shutdown cuts off no request.

mod bench;

use bench::Ask;
use bench::Endpoint;
use bench::Fleet;
use bench::Plan;
use bench::Signal;
use bench::chat_until_answered;
use bench::open;
use bench::said;
use standin::runner::answer;

const STREAMS: usize = 8;

fn two_vms() -> Plan {
    Plan {
        shards: 1,
        runners: vec![Endpoint {
            name: "runner-1",
            centre: "east",
            options: vec!["--tokens-per-second", "50", "--crowding", "0"],
        }],
        ..Plan::default()
    }
}

// The owner of all programs gets SIGTERM while streams are open through it and through the other
// VM. Every stream goes on to its end and its marker, new requests are answered by the other VM
// meanwhile, the shard is handed over, and the process ends with success.
#[tokio::test(flavor = "multi_thread")]
async fn sigterm_lets_open_streams_finish() {
    let mut fleet = Fleet::start(&two_vms()).await;
    let owner = fleet.owner("east", 0, None).await;
    let addresses = fleet.addresses();
    let mut streams = Vec::new();
    for index in 0..STREAMS {
        let text = format!("stream {index} #tokens=60");
        let ask = Ask::turn(&format!("p{index}"), 1, &text);
        let mut stream = open(addresses[index % 2], &ask).await.unwrap();
        stream.words(1).await;
        streams.push((text, stream));
    }
    fleet.nodes[owner].signal(Signal::Term);
    let others = fleet.others(owner);
    let late = Ask::turn("late", 1, "late #tokens=2");
    let finished = async {
        for (text, stream) in &mut streams {
            stream.finish().await;
            assert!(stream.ended, "{text} was cut off: {:?}", stream.error);
            assert_eq!(stream.text, answer::whole(&[said("user", text)], 16));
        }
    };
    let (late, ()) = tokio::join!(chat_until_answered(&others, &late), finished);
    assert_eq!(
        late.content(),
        answer::whole(&[said("user", "late #tokens=2")], 16)
    );
    let status = fleet.nodes[owner].process.wait().await;
    assert!(status.success(), "{status}");
    assert_ne!(fleet.owner("east", 0, Some(owner)).await, owner);
    let again = chat_until_answered(&others, &Ask::turn("p0", 1, "stream 0 #tokens=60")).await;
    assert_eq!(again.content(), streams[0].1.text);
}
