package bfcodec

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Decoding limits: an invalid message must not cause unbounded allocation.
const (
	maxElements = 1 << 16
	maxPairs    = 1 << 10
)

var (
	encMode = Must(cbor.EncOptions{}.EncMode())
	decMode = Must(cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxPairs}.DecMode())
)

// Must returns value and panics on an error. It is meant for values built from constants.
func Must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// Error reports a value that can't be encoded or decoded.
type Error struct {
	What   string
	Reason error
}

// Error names the value and the reason.
func (e *Error) Error() string { return fmt.Sprintf("unreadable %s: %v", e.What, e.Reason) }

// Unwrap is the reason.
func (e *Error) Unwrap() error { return e.Reason }

// UnknownKind returns the error for a message with an unknown kind byte.
func UnknownKind(kind byte) error {
	return &Error{What: "message", Reason: fmt.Errorf("unknown message kind %d", kind)}
}

// Marshal encodes a value; its error is an Error.
func Marshal(v any) ([]byte, error) {
	data, err := encMode.Marshal(v)
	if err != nil {
		return nil, &Error{What: fmt.Sprintf("%T", v), Reason: err}
	}
	return data, nil
}

// Unmarshal decodes what Marshal encoded; what names the value in the error, an Error.
func Unmarshal(data []byte, what string, into any) error {
	if err := decMode.Unmarshal(data, into); err != nil {
		return &Error{What: what, Reason: err}
	}
	return nil
}

// EncodeMessage encodes a message, preceded by its kind byte.
func EncodeMessage(kind byte, message any) ([]byte, error) {
	body, err := Marshal(message)
	if err != nil {
		return nil, err
	}
	return append([]byte{kind}, body...), nil
}

// DecodeMessage decodes the message that follows the kind byte.
func DecodeMessage[M any](data []byte) (M, error) {
	var m M
	if len(data) == 0 {
		return m, &Error{What: fmt.Sprintf("%T", m), Reason: fmt.Errorf("no bytes")}
	}
	return m, Unmarshal(data[1:], fmt.Sprintf("%T", m), &m)
}
