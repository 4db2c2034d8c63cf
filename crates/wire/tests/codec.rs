//! Frames to bytes and back, whole, in pieces and broken.

use arbtest::arbitrary::{Result, Unstructured};
use bytes::BytesMut;
use wire::{Body, Codec, FRAME_LIMIT, Frame};

/// Random inputs of one test.
const INPUTS: u64 = 2000;

fn each_input(mut run: impl FnMut(&mut Unstructured<'_>) -> Result<()>) {
    for seed in 0..INPUTS {
        arbtest::arbtest(&mut run).seed(seed << 32 | 512);
    }
}

fn frame(u: &mut Unstructured<'_>) -> Result<Frame> {
    let key = Some(wire::Key { customer: u.arbitrary()?, id: u.arbitrary()? });
    let body = match u.choose_index(4)? {
        0 => Body::Submit(wire::Submit { key, spec: u.arbitrary()?, ..Default::default() }),
        1 => Body::Answer(wire::Answer {
            code: u.arbitrary()?,
            text: u.arbitrary()?,
            ..Default::default()
        }),
        2 => Body::Start(wire::Start { key, attempt: u.arbitrary()?, ..Default::default() }),
        _ => Body::Changed(wire::Changed::default()),
    };
    Ok(Frame { call: u.arbitrary()?, is_reply: u.arbitrary()?, body: Some(body) })
}

#[test]
fn decode_pieces_gives_whole() {
    each_input(|u| {
        let frames = [frame(u)?, frame(u)?];
        let mut bytes = BytesMut::new();
        for frame in &frames {
            Codec::default().encode(frame, &mut bytes).expect("it is small");
        }
        let cut = u.int_in_range(0..=bytes.len())?;
        let rest = bytes.split_off(cut);
        let mut codec = Codec::default();
        let mut got = Vec::new();
        let mut inbound = BytesMut::new();
        for piece in [bytes, rest] {
            inbound.extend_from_slice(&piece);
            while let Some(frame) = codec.decode(&mut inbound).expect("it is fine") {
                got.push(frame);
            }
        }
        assert_eq!(got, frames);
        Ok(())
    });
}

#[test]
fn decode_noise_never_panics() {
    each_input(|u| {
        let mut inbound = BytesMut::from(u.bytes(u.len())?);
        let mut codec = Codec::default();
        while let Ok(Some(_)) = codec.decode(&mut inbound) {}
        Ok(())
    });
}

#[test]
fn encode_oversized_refused() {
    let spec = vec![0; FRAME_LIMIT + 1];
    let frame = Frame::notice(Body::Submit(wire::Submit { spec, ..Default::default() }));
    assert!(Codec::default().encode(&frame, &mut BytesMut::new()).is_err());
}

#[test]
fn decode_oversized_refused_early() {
    let mut inbound = BytesMut::from(&u32::MAX.to_be_bytes()[..]);
    Codec::default().decode(&mut inbound).expect_err("refused");
}

#[test]
fn decode_unknown_field_skipped() {
    // Field 900, a varint, from a version that does not exist yet.
    let payload = [0xa0, 0x38, 0x07, 0x08, 0x05];
    let mut inbound = BytesMut::from(&(payload.len() as u32).to_be_bytes()[..]);
    inbound.extend_from_slice(&payload);
    let frame = Codec::default().decode(&mut inbound).expect("it is fine").expect("it is whole");
    assert_eq!(frame.call, 5);
}
