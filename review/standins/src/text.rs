//! The little of JSON and base64 that the stand-ins need.

/// Encodes bytes in base64.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();

    for part in bytes.chunks(3) {
        let at = |i: usize| u32::from(part.get(i).copied().unwrap_or(0));
        let word = at(0) << 16 | at(1) << 8 | at(2);

        for digit in 0..4 {
            let index = (word >> (18 - 6 * digit)) & 63;
            let is_used = digit <= part.len();
            text.push(if is_used { DIGITS[index as usize] as char } else { '=' });
        }
    }

    text
}

/// Number of a field of a JSON object.
pub fn number(json: &str, field: &str) -> Option<u64> {
    let rest = json.split_once(&format!("\"{field}\":"))?.1;
    let digits: String = rest.trim_start().chars().take_while(char::is_ascii_digit).collect();

    digits.parse().ok()
}

/// Text of a field of a JSON object.
pub fn word<'a>(json: &'a str, field: &str) -> Option<&'a str> {
    let rest = json.split_once(&format!("\"{field}\":\""))?.1;

    rest.split('"').next()
}

/// Array of a field of a JSON object, as written.
pub fn array<'a>(json: &'a str, field: &str) -> Option<&'a str> {
    let rest = json.split_once(&format!("\"{field}\":"))?.1;
    let mut depth = 0;

    for (at, sign) in rest.char_indices() {
        match sign {
            '[' => depth += 1,
            ']' => depth -= 1,
            _ => {}
        }

        if depth == 0 {
            return Some(&rest[..=at]);
        }
    }

    None
}

/// Parts of an array, as written.
pub fn parts(array: &str) -> Vec<&str> {
    let inner = array.trim().strip_prefix('[').and_then(|a| a.strip_suffix(']')).unwrap_or("");
    let (mut depth, mut from) = (0, 0);
    let mut found = Vec::new();

    for (at, sign) in inner.char_indices() {
        match sign {
            '[' | '{' => depth += 1,
            ']' | '}' => depth -= 1,
            ',' if depth == 0 => {
                found.push(&inner[from..at]);
                from = at + 1;
            }
            _ => {}
        }
    }

    if !inner.is_empty() {
        found.push(&inner[from..]);
    }

    found
}
