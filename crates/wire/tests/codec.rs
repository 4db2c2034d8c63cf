//! Tests for encoding and decoding of whole, split, oversized and invalid frames.

use arbtest::arbitrary::{Result, Unstructured};
use bytes::BytesMut;
use wire::{Body, Frame, FrameCodec, MAX_FRAME_BYTES};

/// Number of random inputs per test.
const INPUTS: u64 = 2000;

fn for_each_input(mut run: impl FnMut(&mut Unstructured<'_>) -> Result<()>) {
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
fn decode_split_input_returns_all_frames() {
    for_each_input(|u| {
        let frames = [frame(u)?, frame(u)?];
        let mut bytes = BytesMut::new();
        for frame in &frames {
            FrameCodec::default()
                .encode(frame, &mut bytes)
                .expect("the frame is within the size limit");
        }
        let split_at = u.int_in_range(0..=bytes.len())?;
        let rest = bytes.split_off(split_at);
        let mut codec = FrameCodec::default();
        let mut decoded = Vec::new();
        let mut inbound = BytesMut::new();
        for piece in [bytes, rest] {
            inbound.extend_from_slice(&piece);
            while let Some(frame) = codec.decode(&mut inbound).expect("the frame is valid") {
                decoded.push(frame);
            }
        }
        assert_eq!(decoded, frames);
        Ok(())
    });
}

#[test]
fn decode_random_bytes_never_panics() {
    for_each_input(|u| {
        let mut inbound = BytesMut::from(u.bytes(u.len())?);
        let mut codec = FrameCodec::default();
        while let Ok(Some(_)) = codec.decode(&mut inbound) {}
        Ok(())
    });
}

#[test]
fn encode_oversized_frame_rejected() {
    let spec = vec![0; MAX_FRAME_BYTES + 1];
    let frame = Frame::new_notice(Body::Submit(wire::Submit { spec, ..Default::default() }));
    assert!(FrameCodec::default().encode(&frame, &mut BytesMut::new()).is_err());
}

#[test]
fn decode_oversized_length_rejected() {
    let mut inbound = BytesMut::from(&u32::MAX.to_be_bytes()[..]);
    FrameCodec::default().decode(&mut inbound).expect_err("the length exceeds the limit");
}

#[test]
fn decode_unknown_field_ignored() {
    // Field 900, a varint, from a version that does not exist yet.
    let payload = [0xa0, 0x38, 0x07, 0x08, 0x05];
    let mut inbound = BytesMut::from(&(payload.len() as u32).to_be_bytes()[..]);
    inbound.extend_from_slice(&payload);
    let frame = FrameCodec::default()
        .decode(&mut inbound)
        .expect("the frame is valid")
        .expect("the frame is complete");
    assert_eq!(frame.call, 5);
}
