package bfcredential

import (
	"maps"
	"net/http"
	"strings"

	"bilberryflow.org/lib/bftraffic"
)

// Header is the header that carries the key.
const Header = "Authorization"

// scheme is the authentication scheme of keys (RFC 6750); schemes are compared without regard to case.
const scheme = "Bearer"

// MaxKeyBytes bounds the length of a key, so that a longer one is refused before it is hashed.
const MaxKeyBytes = 1024

// Kind is why a header contains no key.
type Kind string

// Kinds of errors.
const (
	// Missing means that there is no header.
	Missing Kind = "missing"
	// Repeated means that there are several headers, of which other software could use another one.
	Repeated Kind = "repeated"
	// OtherScheme means that the scheme isn't Bearer.
	OtherScheme Kind = "other-scheme"
	// TooLong means that the header is longer than any key.
	TooLong Kind = "too-long"
	// Malformed means that there is not exactly one token without spaces and control characters.
	Malformed Kind = "malformed"
)

// Error reports a header without a usable key.
type Error struct{ Kind Kind }

// Error names the kind only, since any part of the header may be a key.
func (e *Error) Error() string { return "header " + Header + ": " + string(e.Kind) }

// Read returns the digest of the key in a request's header. Its errors are of type *Error.
func Read(h http.Header) (bftraffic.KeyDigest, error) {
	values := h[Header]
	switch len(values) {
	case 0:
		return bftraffic.KeyDigest{}, &Error{Missing}
	case 1:
		return parse(values[0])
	}
	return bftraffic.KeyDigest{}, &Error{Repeated}
}

func parse(value string) (bftraffic.KeyDigest, error) {
	if len(value) > len(scheme)+1+MaxKeyBytes {
		return bftraffic.KeyDigest{}, &Error{TooLong}
	}
	word, token, _ := strings.Cut(value, " ")
	if !strings.EqualFold(word, scheme) {
		return bftraffic.KeyDigest{}, &Error{OtherScheme}
	}
	// RFC 7235 allows several spaces after the scheme.
	token = strings.TrimLeft(token, " ")
	if token == "" {
		return bftraffic.KeyDigest{}, &Error{Malformed}
	}
	for i := range len(token) {
		if token[i] <= ' ' || token[i] == 0x7f {
			return bftraffic.KeyDigest{}, &Error{Malformed}
		}
	}
	return bftraffic.DigestKey(token), nil
}

// Detached holds the headers with a key that were taken from a request, so that nothing else sees them.
type Detached struct{ headers http.Header }

// Detach removes the header in any spelling and returns what it removed.
func Detach(h http.Header) Detached {
	var d Detached
	for name, values := range h {
		if strings.EqualFold(name, Header) {
			if d.headers == nil {
				d.headers = http.Header{}
			}
			d.headers[name] = values
			delete(h, name)
		}
	}
	return d
}

// Read returns the digest of the detached key. Its errors are of type *Error.
func (d Detached) Read() (bftraffic.KeyDigest, error) { return Read(d.headers) }

// Restore puts the headers back, where requests carry no key of this system.
func (d Detached) Restore(h http.Header) { maps.Copy(h, d.headers) }
