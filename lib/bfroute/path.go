package bfroute

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

// PathError reports a malformed path, or one that servers may parse differently.
type PathError struct {
	Path   string
	Reason string
}

// Error includes the path and the reason for its rejection.
func (e *PathError) Error() string { return fmt.Sprintf("path %q: %s", e.Path, e.Reason) }

const (
	upperHex = "0123456789ABCDEF"
	// escapeLength is the length in bytes of %XX.
	escapeLength = 3
)

// CleanPath returns the canonical form of raw, the path of a request line
// without its query, or a *PathError.
//
// Escapes of unreserved characters are decoded, other escapes are written in
// upper case. An ambiguous path is rejected, not repaired: an encoded slash or
// dot segment that this node treats as part of a name and the target as a
// separator would reach another route under this route's policy.
func CleanPath(raw string) (string, error) {
	if !strings.HasPrefix(raw, "/") {
		return "", &PathError{Path: raw, Reason: "does not start with a slash"}
	}
	clean, reason := canonicalizeEscapes(raw)
	if reason == "" {
		reason = rejectSegment(clean)
	}
	if reason != "" {
		return "", &PathError{Path: raw, Reason: reason}
	}
	return clean, nil
}

// canonicalizeEscapes returns raw with canonical escapes, or the reason to reject it.
func canonicalizeEscapes(raw string) (clean, reason string) {
	if reason := rejectBytes(raw); reason != "" {
		return "", reason
	}
	if !strings.Contains(raw, "%") {
		return raw, ""
	}
	var out strings.Builder
	decoded := make([]byte, 0, len(raw))
	for i := 0; i < len(raw); i++ {
		if raw[i] != '%' {
			out.WriteByte(raw[i])
			decoded = append(decoded, raw[i])
			continue
		}
		if len(raw)-i < escapeLength {
			return "", "cut escape"
		}
		b, ok := decodeHexByte(raw[i+1], raw[i+2])
		if !ok {
			return "", "escape that is not two hexadecimal digits"
		}
		if reason := rejectEscape(b, raw[i+escapeLength:]); reason != "" {
			return "", reason
		}
		writeEscaped(&out, b)
		decoded = append(decoded, b)
		i += escapeLength - 1
	}
	// Overlong encodings of a slash or a dot are invalid UTF-8 that lenient servers decode.
	if !utf8.Valid(decoded) {
		return "", "escapes that are not UTF-8"
	}
	return out.String(), ""
}

func rejectBytes(raw string) string {
	for i := range len(raw) {
		switch b := raw[i]; {
		case b <= ' ' || b >= 0x7f:
			return "byte that must be escaped"
		case b == '\\':
			return "backslash"
		case b == '?' || b == '#':
			return "query or fragment"
		}
	}
	return ""
}

func rejectEscape(b byte, rest string) string {
	switch {
	case b == '/' || b == '\\':
		return "encoded slash"
	case b < ' ' || b == 0x7f:
		return "encoded control character"
	case b == '%' && len(rest) >= 2:
		// A server that decodes twice would decode %252F to a slash.
		if nested, ok := decodeHexByte(rest[0], rest[1]); ok && strings.IndexByte(`/\.;%`, nested) >= 0 {
			return "escape encoded twice"
		}
	}
	return ""
}

func writeEscaped(out *strings.Builder, b byte) {
	if isUnreserved(b) {
		out.WriteByte(b)
		return
	}
	out.WriteByte('%')
	out.WriteByte(upperHex[b>>4])
	out.WriteByte(upperHex[b&0xf])
}

// isUnreserved reports whether b is unreserved in RFC 3986: equivalent whether escaped or not.
func isUnreserved(b byte) bool {
	return 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || '0' <= b && b <= '9' || strings.IndexByte("-._~", b) >= 0
}

func decodeHexByte(high, low byte) (byte, bool) {
	h, l := hexDigit(high), hexDigit(low)
	return byte(h<<4 | l), h >= 0 && l >= 0
}

func hexDigit(b byte) int {
	if 'a' <= b && b <= 'f' {
		b -= 'a' - 'A'
	}
	return strings.IndexByte(upperHex, b)
}

// rejectSegment returns the reason to reject a dot segment or an empty segment; only the last may be empty.
func rejectSegment(clean string) string {
	rest, more := clean[1:], true
	for more {
		var segment string
		segment, rest, more = strings.Cut(rest, "/")
		switch name := stripParameters(segment); {
		case name == "." || name == "..":
			return "dot segment"
		case name == "" && (more || segment != ""):
			return "empty segment"
		}
	}
	return ""
}
