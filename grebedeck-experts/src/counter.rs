//! Token counts as single bytes.
//!
//! A count only has to be as good as its own sampling noise, so it travels as its logarithm: one
//! byte, right to within three parts in a hundred.

/// Ratio of one code's count to the one before it.
const GROWTH: f64 = 1.06;

/// Gets the byte that stands for a count; counts over about 2.8 million are taken for that.
pub fn encode_count(count: u64) -> u8 {
    let code = ((count as f64 + 1.0).ln() / GROWTH.ln()).round();

    code.min(f64::from(u8::MAX)) as u8
}

/// Gets the count that a byte stands for.
pub fn decode_count(code: u8) -> f32 {
    (GROWTH.powi(i32::from(code)) - 1.0) as f32
}
