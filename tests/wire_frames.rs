//! Frames: round trip for any split into chunks; malformed input gives an error, not a panic.

use mimosastep::name::TeamName;
use mimosastep::net::Decoder;
use mimosastep::net::FRAME_LIMIT;
use mimosastep::net::FrameError;
use mimosastep::net::encode;
use mimosastep::wire::AttemptId;
use mimosastep::wire::Evidence;
use mimosastep::wire::Message;
use mimosastep::wire::PermitGrant;
use mimosastep::wire::PermitReport;
use mimosastep::wire::Refusal;
use mimosastep::wire::RefusalCode;
use mimosastep::wire::RequestId;
use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::sample::Index;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use test_case::test_case;

fn runner() -> TestRunner {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(Config::with_cases(2_000), rng)
}

fn message() -> impl Strategy<Value = Message> {
    let attempt = (any::<u128>(), any::<u32>()).prop_map(|(request, number)| AttemptId {
        request: RequestId(request),
        number,
    });
    let code = prop_oneof![
        Just(RefusalCode::Overloaded),
        Just(RefusalCode::StateNotFresh)
    ];
    let evidence = prop_oneof![Just(Evidence::Served), Just(Evidence::Unreachable)];
    prop_oneof![
        attempt.clone().prop_map(Message::Cancel),
        (attempt.clone(), evidence)
            .prop_map(|(attempt, evidence)| Message::Finished { attempt, evidence }),
        (attempt, code, any::<u32>()).prop_map(|(attempt, code, retry_after)| {
            Message::Refuse(Refusal {
                attempt,
                code,
                retry_after,
            })
        }),
        (any::<u64>(), any::<u64>(), any::<Option<u32>>())
            .prop_map(|(nonce, offset, age)| Message::ProbeReply { nonce, offset, age }),
        vec((any::<u64>(), vec(any::<u8>(), 0..40)), 0..8).prop_map(Message::Records),
        ("[a-z0-9-]{1,64}", any::<[u32; 3]>(), any::<[u64; 2]>()).prop_map(
            |(team, [limit, added, target], [heard, number])| {
                let team = TeamName::new(&team).expect("a name");
                Message::PermitGrant(PermitGrant {
                    team,
                    heard,
                    number,
                    limit,
                    added,
                    target,
                })
            }
        ),
        (
            "[a-z0-9-]{1,64}",
            any::<[u32; 3]>(),
            any::<[u64; 4]>(),
            any::<bool>()
        )
            .prop_map(
                |(team, [held, wanted, target], [epoch, number, seen, adopted], frozen)| {
                    let team = TeamName::new(&team).expect("a name");
                    Message::PermitReport(PermitReport {
                        team,
                        epoch,
                        number,
                        seen,
                        held,
                        wanted,
                        adopted,
                        target,
                        frozen,
                    })
                }
            ),
    ]
}

fn frames(messages: &[Message]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for message in messages {
        encode(message, &mut bytes).expect("a frame");
    }
    bytes
}

/// Decodes all messages from `chunks`; stops at the first error.
fn decode<'a>(chunks: impl Iterator<Item = &'a [u8]>) -> Result<Vec<Message>, FrameError> {
    let mut decoder = Decoder::new();
    let mut messages = Vec::new();
    for chunk in chunks {
        decoder.feed(chunk);
        while let Some(message) = decoder.take()? {
            messages.push(message);
        }
    }
    Ok(messages)
}

#[test]
fn messages_come_back_however_they_are_split() {
    let input = (vec(message(), 0..6), vec(any::<Index>(), 0..6));
    runner()
        .run(&input, |(messages, cuts)| {
            let bytes = frames(&messages);
            let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut.index(bytes.len() + 1)).collect();
            cuts.extend([0, bytes.len()]);
            cuts.sort_unstable();
            let chunks = cuts.windows(2).map(|pair| &bytes[pair[0]..pair[1]]);
            assert_eq!(decode(chunks), Ok(messages.clone()));
            assert_eq!(decode(bytes.chunks(1)), Ok(messages));
            Ok(())
        })
        .expect("all cases");
}

#[test]
fn arbitrary_bytes_do_not_panic() {
    runner()
        .run(&vec(any::<u8>(), 0..400), |bytes| {
            let _ = decode(bytes.chunks(7));
            let len = u32::try_from(bytes.len() + 1).expect("a length");
            let framed = [&len.to_le_bytes()[..], &[1], &bytes].concat();
            let _ = decode(framed.chunks(64));
            Ok(())
        })
        .expect("all cases");
}

#[test]
fn a_changed_byte_does_not_panic() {
    let input = (vec(message(), 1..4), any::<Index>(), any::<u8>());
    runner()
        .run(&input, |(messages, position, byte)| {
            let mut bytes = frames(&messages);
            let position = position.index(bytes.len());
            bytes[position] = byte;
            let _ = decode(bytes.chunks(64));
            Ok(())
        })
        .expect("all cases");
}

#[test_case(&[0, 0, 0, 0], &FrameError::Empty; "no version")]
#[test_case(&[1, 0, 0, 0, 2], &FrameError::Version(2); "another version")]
#[test_case(&[1, 0, 64, 0], &FrameError::TooLarge(FRAME_LIMIT + 1); "a byte too many")]
#[test_case(&[0xff; 4], &FrameError::TooLarge(0xffff_ffff); "far too large")]
#[test_case(&[4, 0, 0, 0, 1, 10, 0, 9], &FrameError::Trailing(1); "bytes behind the message")]
#[test_case(&[2, 0, 0, 0, 1, 200], &FrameError::Codec(postcard::Error::DeserializeUnexpectedEnd); "a message cut short")]
fn bad_frames_are_errors(bytes: &[u8], expected: &FrameError) {
    assert_eq!(decode([bytes].into_iter()), Err(expected.clone()));
}

#[test]
fn a_message_beyond_the_limit_is_refused_and_leaves_nothing() {
    let mut bytes = frames(&[Message::Fetch { from: 1 }]);
    let before = bytes.clone();
    let records = |len| Message::Records(vec![(0, vec![0; len])]);
    let refused = encode(&records(FRAME_LIMIT), &mut bytes);
    assert!(matches!(refused, Err(FrameError::TooLarge(_))));
    assert_eq!(bytes, before);
    // The frame spends 8 bytes besides the record: version, variant, count and offset take one
    // each, the record's length four.
    assert_eq!(encode(&records(FRAME_LIMIT - 8), &mut bytes), Ok(()));
    assert_eq!(bytes.len(), before.len() + 4 + FRAME_LIMIT);
    let messages = decode(bytes.chunks(1 << 16)).expect("messages");
    assert_eq!(messages[1], records(FRAME_LIMIT - 8));
}
