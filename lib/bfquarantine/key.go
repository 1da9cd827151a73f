package bfquarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
	"strconv"
)

// Content identifies what a request asks for.
type Content [16]byte

// String is the content as it is written in logs.
func (c Content) String() string { return hex.EncodeToString(c[:]) }

// Caller identifies on whose behalf a request is made.
type Caller uint64

// Key identifies a request over all its attempts.
type Key struct {
	Content Content
	Caller  Caller
}

// Request is what a Key is made of.
type Request struct {
	Method, Host string
	// Target is the path and query as they stand in the request line.
	Target string
	// Caller is the service or workspace on whose behalf the request is made.
	Caller string
	// Body is the body, or the beginning of a long one; Length is that of the whole in
	// bytes, LongBody where Body is the beginning.
	Body   []byte
	Length int64
}

// LongBody is the length of a body of which only the beginning is known.
const LongBody = -1

// KeyOf is the key of a request.
func KeyOf(r Request) Key {
	h := sha256.New()
	for _, part := range []string{r.Method, r.Host, r.Target, strconv.FormatInt(r.Length, 10)} {
		// A hash never fails to take bytes. The length keeps the parts apart.
		_, _ = io.WriteString(h, strconv.Itoa(len(part))+":"+part)
	}
	_, _ = h.Write(r.Body)
	sum := h.Sum(nil)
	return Key{Content: Content(sum[:len(Content{})]), Caller: Caller(hashOf(r.Caller))}
}

// Crash identifies the end of one target incarnation.
type Crash uint64

// CrashOf names the end of the target incarnation of that name, which no other has.
func CrashOf(incarnation string) Crash { return Crash(hashOf(incarnation)) }

func hashOf(text string) uint64 {
	sum := sha256.Sum256([]byte(text))
	return binary.BigEndian.Uint64(sum[:])
}
