//! Properties of the compact encoding of texts.

use proptest::prelude::*;
use wire::column;

/// Texts with numbers and words as in objects, and any others.
fn text() -> impl Strategy<Value = String> {
    prop_oneof![
        "[a-z]{1,5}-[0-9a-f]{0,18}-[0-9]{0,20}\\{\"x\":[0-9]{1,3}, \"y\":\"[A-Z]{0,4}\"\\}",
        "[ -~äß€]{0,40}",
    ]
}

fn sorted(mut texts: Vec<String>) -> Vec<String> {
    texts.sort();
    texts
}

proptest! {
    /// Guards against a text that is not restored exactly: a server would have another address.
    #[test]
    fn texts_are_restored(texts in prop::collection::vec(text(), 0..30)) {
        // Equal texts without values are no objects, and are refused.
        let texts: Vec<String> = texts.into_iter().enumerate()
            .map(|(index, text)| format!("{index} {text}"))
            .collect();
        let encoded = column::encode(texts.iter().map(String::as_str)).expect("no control characters");
        let decoded = column::decode(&encoded).expect("it was just encoded");
        prop_assert_eq!(sorted(decoded), sorted(texts));
    }

    /// Guards against panics and unbounded memory from damaged or forged bytes.
    #[test]
    fn damaged_bytes_do_not_panic(
        texts in prop::collection::vec(text(), 0..10),
        changes in prop::collection::vec((any::<u16>(), any::<u8>()), 1..6),
    ) {
        let mut encoded = column::encode(texts.iter().map(String::as_str)).expect("no control characters");
        for (at, byte) in changes {
            let at = usize::from(at) % encoded.len();
            encoded[at] = byte;
        }
        let _ = column::decode(&encoded);
    }
}

/// Guards against a snapshot that a host of 10 Mbit/s cannot pass on to a whole domain in time.
#[test]
fn three_thousand_servers_take_less_than_100_fragments() {
    let texts: Vec<String> = (0..3_000_u64)
        .map(|index| {
            let identity = (index + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let (pool, domain) = (index % 68, index % 8);
            let host = 10 + index / 200;
            format!(
                "Server\u{1f}pool-{pool}-{identity:x}\u{1f}{}\u{1f}{}\u{1f}0\u{1f}0\u{1f}\
                 {{\"address\":\"10.0.{host}.{}:{}\",\"slots\":4,\"connections\":2000,\
                 \"identity\":{identity},\"cold_ms\":0}}\u{1f}domain\u{1f}zone-{domain}\
                 \u{1f}pool\u{1f}pool-{pool}\u{1f}state\u{1f}in",
                index * 3,
                index * 7 + 5,
                index % 200,
                20_000 + index % 977,
            )
        })
        .collect();
    let bytes = column::encode(texts.iter().map(String::as_str)).expect("no control characters");
    assert!(bytes.len() < 100 * 1_150, "{} bytes", bytes.len());
    println!("{} bytes", bytes.len());
}
