package bfquarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
	"strconv"
)

// Content is a hash of what a request asks for.
type Content [16]byte

// String returns the content in hexadecimal, as in logs.
func (c Content) String() string { return hex.EncodeToString(c[:]) }

// Caller is a hash of the service or workspace on whose behalf a request is made.
type Caller uint64

// Key identifies a request across all its attempts.
type Key struct {
	Content Content
	Caller  Caller
}

// Request holds the parts of a request that its Key is computed from.
type Request struct {
	Method, Host string
	// Target is the path and query as in the request line.
	Target string
	// Caller is the service or workspace on whose behalf the request is made.
	Caller string
	// Body is the body, or the beginning of a long one. Length is the length of the body
	// in bytes, or LongBody if Body is only the beginning.
	Body   []byte
	Length int64
}

// LongBody is the Length of a body of which only the beginning is known.
const LongBody = -1

// KeyOf returns the key of a request.
func KeyOf(r Request) Key {
	h := sha256.New()
	for _, part := range []string{r.Method, r.Host, r.Target, strconv.FormatInt(r.Length, 10)} {
		// A hash never returns an error. The length prefix delimits the parts.
		_, _ = io.WriteString(h, strconv.Itoa(len(part))+":"+part)
	}
	_, _ = h.Write(r.Body)
	sum := h.Sum(nil)
	return Key{Content: Content(sum[:len(Content{})]), Caller: Caller(hashOf(r.Caller))}
}

// Crash identifies the crash of one target incarnation.
type Crash uint64

// CrashOf returns the crash of the target incarnation with a unique name.
func CrashOf(incarnation string) Crash { return Crash(hashOf(incarnation)) }

func hashOf(text string) uint64 {
	sum := sha256.Sum256([]byte(text))
	return binary.BigEndian.Uint64(sum[:])
}
