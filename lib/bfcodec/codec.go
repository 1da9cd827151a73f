package bfcodec

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// A broken or hostile message must not make a node allocate without bound.
const (
	maxElements = 1 << 16
	maxPairs    = 1 << 10
)

var (
	encMode = Must(cbor.EncOptions{}.EncMode())
	decMode = Must(cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxPairs}.DecMode())
)

// Must is for values made from constants: their failure is a fault of the source.
func Must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// Error reports bytes that are not what they should be.
type Error struct {
	What   string
	Reason error
}

// Error names what was read and why it failed.
func (e *Error) Error() string { return fmt.Sprintf("unreadable %s: %v", e.What, e.Reason) }

// Unwrap is the reason.
func (e *Error) Unwrap() error { return e.Reason }

// UnknownForm reports a message whose first byte names no form of its receiver.
func UnknownForm(form byte) error {
	return &Error{What: "message", Reason: fmt.Errorf("form %d unknown", form)}
}

// Marshal writes a value.
func Marshal(v any) ([]byte, error) {
	data, err := encMode.Marshal(v)
	if err != nil {
		return nil, &Error{What: fmt.Sprintf("%T", v), Reason: err}
	}
	return data, nil
}

// Unmarshal reads what Marshal wrote; what names it in errors.
func Unmarshal(data []byte, what string, into any) error {
	if err := decMode.Unmarshal(data, into); err != nil {
		return &Error{What: what, Reason: err}
	}
	return nil
}

// EncodeForm writes a message behind the byte that names its form.
func EncodeForm(form byte, message any) ([]byte, error) {
	body, err := Marshal(message)
	if err != nil {
		return nil, err
	}
	return append([]byte{form}, body...), nil
}

// DecodeForm reads the message behind its form byte.
func DecodeForm[M any](data []byte) (M, error) {
	var m M
	if len(data) == 0 {
		return m, &Error{What: fmt.Sprintf("%T", m), Reason: fmt.Errorf("no bytes")}
	}
	return m, Unmarshal(data[1:], fmt.Sprintf("%T", m), &m)
}
