//! Encoding of token counts in single bytes.
//!
//! A count need not be more accurate than its own sampling noise. It is sent as its rounded
//! logarithm: one byte, accurate to within 3 %.

/// Ratio between the counts of two successive codes.
const CODE_RATIO: f64 = 1.06;

/// Encodes a count in a byte; counts above about 2.8 million are encoded as that number.
pub fn encode_count(count: u64) -> u8 {
    let code = ((count as f64 + 1.0).ln() / CODE_RATIO.ln()).round();

    code.min(f64::from(u8::MAX)) as u8
}

/// Returns the count for a byte of [`encode_count`].
pub fn decode_count(code: u8) -> f32 {
    (CODE_RATIO.powi(i32::from(code)) - 1.0) as f32
}
