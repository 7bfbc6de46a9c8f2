//! Heads and bodies: ambiguous framing, and data that arrives in arbitrary parts.

use bytes::BytesMut;
use grebedeck_http::{
    BodyDecoder, Decoded, Framing, RequestHead, ResponseHead, request_framing, response_framing,
    write_chunk,
};
use proptest::prelude::*;

fn request(text: &str) -> RequestHead {
    RequestHead::parse(&mut BytesMut::from(text))
        .expect("a well-formed head")
        .expect("a complete head")
}

fn response(text: &str) -> ResponseHead {
    ResponseHead::parse(&mut BytesMut::from(text))
        .expect("a well-formed head")
        .expect("a complete head")
}

#[test]
fn ambiguous_request_framing_is_an_error() {
    for headers in [
        "content-length: 3\r\ntransfer-encoding: chunked\r\n",
        "content-length: 3\r\ncontent-length: 4\r\n",
        "content-length: +3\r\n",
        "content-length: \r\n",
        "transfer-encoding: gzip, chunked\r\n",
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n",
    ] {
        let head = request(&format!("POST / HTTP/1.1\r\nhost: a\r\n{headers}\r\n"));
        assert!(request_framing(&head).is_err(), "{headers}");
    }

    assert!(RequestHead::parse(&mut BytesMut::from("GET / HTTP/1.1\r\n a: b\r\n\r\n")).is_err());
}

#[test]
fn a_request_with_a_length_keeps_its_path() {
    let head = request("POST /a%2Fb/../c?d HTTP/1.1\r\nHost: x\r\nContent-Length: 12\r\n\r\n");

    assert_eq!(head.target, "/a%2Fb/../c?d", "the path is not normalised");
    assert_eq!(request_framing(&head).expect("a length"), Framing::Length(12));
}

#[test]
fn a_response_without_a_length_ends_with_its_connection() {
    let plain = response("HTTP/1.1 200 OK\r\n\r\n");
    assert_eq!(response_framing(&plain, "GET").expect("unambiguous framing"), Framing::UntilClose);
    assert_eq!(response_framing(&plain, "HEAD").expect("unambiguous framing"), Framing::Empty);

    let empty = response("HTTP/1.1 204 No Content\r\n\r\n");
    assert_eq!(response_framing(&empty, "GET").expect("unambiguous framing"), Framing::Empty);
}

#[test]
fn a_parsed_head_is_written_unchanged() {
    let text = "GET /x HTTP/1.1\r\nHost: a\r\nX-One: 1\r\nX-One: 2\r\n\r\n";
    let mut written = Vec::new();
    request(text).write(&mut written);

    assert_eq!(String::from_utf8(written).expect("text"), text);
}

#[test]
fn hop_by_hop_headers_are_not_forwarded() {
    let head = request(
        "GET / HTTP/1.1\r\nHost: a\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\n\
         Keep-Alive: timeout=5\r\nX-End: 2\r\n\r\n",
    );
    let forwarded: Vec<String> =
        head.headers.end_to_end().iter().map(|(name, _)| name.to_string()).collect();

    assert_eq!(forwarded, ["Host", "X-End"]);
    assert!(!head.keeps_alive());
}

/// Decodes a body from data that arrives in parts of the given lengths, used in a cycle. Returns
/// the body and the data after it, or `None` for an incomplete or malformed body.
fn decode(framing: Framing, bytes: &[u8], part_lengths: &[usize]) -> Option<(Vec<u8>, Vec<u8>)> {
    let mut decoder = BodyDecoder::new(framing);
    let mut buffer = BytesMut::new();
    let mut body = Vec::new();
    let mut rest = bytes;

    for length in part_lengths.iter().cycle() {
        let (part, left) = rest.split_at((*length).min(rest.len()));
        buffer.extend_from_slice(part);
        rest = left;

        loop {
            match decoder.decode(&mut buffer).ok()? {
                Decoded::Data(data) => body.extend_from_slice(&data),
                Decoded::NeedMore => break,
                Decoded::End => {
                    buffer.extend_from_slice(rest);
                    return Some((body, buffer.to_vec()));
                }
            }
        }

        if rest.is_empty() {
            return None;
        }
    }

    None
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn a_body_is_decoded_from_any_partition_of_its_data(
        chunks in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 1..40), 0..8),
        part_lengths in proptest::collection::vec(1usize..17, 1..20),
    ) {
        let whole: Vec<u8> = chunks.concat();
        let mut chunked = Vec::new();
        chunks.iter().for_each(|chunk| write_chunk(chunk, &mut chunked));
        chunked.extend_from_slice(b"0\r\nX-Trailer: 1\r\n\r\nnext");
        let mut plain = whole.clone();
        plain.extend_from_slice(b"next");

        let after_chunks = decode(Framing::Chunked, &chunked, &part_lengths);
        prop_assert_eq!(after_chunks, Some((whole.clone(), b"next".to_vec())));
        let after_length = decode(Framing::Length(whole.len() as u64), &plain, &part_lengths);
        prop_assert_eq!(after_length, Some((whole, b"next".to_vec())));
    }

    #[test]
    fn a_truncated_body_is_never_complete(
        chunk in proptest::collection::vec(any::<u8>(), 1..60),
        cut in any::<proptest::sample::Index>(),
    ) {
        let mut chunked = Vec::new();
        write_chunk(&chunk, &mut chunked);
        chunked.extend_from_slice(b"0\r\n\r\n");
        let cut = cut.index(chunked.len());

        prop_assert_eq!(decode(Framing::Chunked, &chunked[..cut], &[7]), None);
    }
}

#[test]
fn malformed_chunks_are_errors() {
    for bytes in ["x\r\n", "5\r\nabcdeX\r\n", "-1\r\n", "\r\n", "3\nabc\r\n0\r\n\r\n"] {
        assert_eq!(decode(Framing::Chunked, bytes.as_bytes(), &[100]), None, "{bytes:?}");
    }
}

/// Feeds lines without end after a beginning; returns how many bytes were taken until an error.
fn taken_until_error(begin: &str, line: &str) -> usize {
    let mut decoder = BodyDecoder::new(Framing::Chunked);
    let mut buffer = BytesMut::from(begin.as_bytes());
    let mut taken_bytes = 0;

    while taken_bytes < 1 << 20 {
        match decoder.decode(&mut buffer) {
            Err(_) => return taken_bytes,
            Ok(Decoded::End) => panic!("the body has no end"),
            Ok(_) => {}
        }

        buffer.extend_from_slice(line.as_bytes());
        taken_bytes += line.len();
    }

    taken_bytes
}

/// Failure: trailers without end were read until the deadline, hundreds of megabytes of one response.
#[test]
fn lines_without_end_are_errors() {
    let extension = format!("1;x={}\r\nd\r\n", "y".repeat(1000));

    assert!(taken_until_error("0\r\n", "X-More: 1\r\n") < 20 << 10);
    assert!(taken_until_error("", &extension) < 40 << 10);
    // Chunks of a single byte are no error.
    assert!(taken_until_error("", "1\r\nd\r\n") >= 1 << 20);
}
