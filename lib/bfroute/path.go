package bfroute

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

// PathError reports a path that servers read in different ways.
type PathError struct {
	Path   string
	Reason string
}

// Error gives the path and what is wrong with it.
func (e *PathError) Error() string { return fmt.Sprintf("path %q: %s", e.Path, e.Reason) }

const (
	upperHex = "0123456789ABCDEF"
	// escapeLength is the length of %XX.
	escapeLength = 3
)

// CleanPath gives the one form of a path as it came in the request line, without its query.
//
// Escapes of unreserved characters are undone, the rest are written in upper
// case. A path that could be read as another one further on is refused and not
// repaired: an encoded slash or dot segment that this node takes for a plain
// name and the target for a separator would reach another route under this
// one's policy.
func CleanPath(raw string) (string, error) {
	if !strings.HasPrefix(raw, "/") {
		return "", &PathError{Path: raw, Reason: "does not start with a slash"}
	}
	clean, reason := unescape(raw)
	if reason == "" {
		reason = badSegment(clean)
	}
	if reason != "" {
		return "", &PathError{Path: raw, Reason: reason}
	}
	return clean, nil
}

// unescape gives the canonical escaping of raw, or the reason to refuse it.
func unescape(raw string) (clean, reason string) {
	if reason := badBytes(raw); reason != "" {
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
		b, ok := escaped(raw[i+1], raw[i+2])
		if !ok {
			return "", "escape that is not two hexadecimal digits"
		}
		if reason := badEscape(b, raw[i+escapeLength:]); reason != "" {
			return "", reason
		}
		writeEscaped(&out, b)
		decoded = append(decoded, b)
		i += escapeLength - 1
	}
	// Overlong forms of a slash or a dot are invalid UTF-8 that lenient servers decode.
	if !utf8.Valid(decoded) {
		return "", "escapes that are not UTF-8"
	}
	return out.String(), ""
}

func badBytes(raw string) string {
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

func badEscape(b byte, rest string) string {
	switch {
	case b == '/' || b == '\\':
		return "encoded slash"
	case b < ' ' || b == 0x7f:
		return "encoded control character"
	case b == '%' && len(rest) >= 2:
		// A server that decodes twice would read %252F as a slash.
		if twice, ok := escaped(rest[0], rest[1]); ok && strings.IndexByte(`/\.;%`, twice) >= 0 {
			return "escape encoded twice"
		}
	}
	return ""
}

func writeEscaped(out *strings.Builder, b byte) {
	if unreserved(b) {
		out.WriteByte(b)
		return
	}
	out.WriteByte('%')
	out.WriteByte(upperHex[b>>4])
	out.WriteByte(upperHex[b&0xf])
}

// unreserved characters mean the same escaped or not, by RFC 3986.
func unreserved(b byte) bool {
	return 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || '0' <= b && b <= '9' || strings.IndexByte("-._~", b) >= 0
}

func escaped(high, low byte) (byte, bool) {
	h, l := digit(high), digit(low)
	return byte(h<<4 | l), h >= 0 && l >= 0
}

func digit(b byte) int {
	if 'a' <= b && b <= 'f' {
		b -= 'a' - 'A'
	}
	return strings.IndexByte(upperHex, b)
}

// badSegment finds dot segments and empty ones; only the last may be empty.
func badSegment(clean string) string {
	rest, more := clean[1:], true
	for more {
		var segment string
		segment, rest, more = strings.Cut(rest, "/")
		switch name := withoutParameters(segment); {
		case name == "." || name == "..":
			return "dot segment"
		case name == "" && (more || segment != ""):
			return "empty segment"
		}
	}
	return ""
}
