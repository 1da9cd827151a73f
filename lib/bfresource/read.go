package bfresource

import (
	"errors"
	"io"
)

// firstBytes is the size of the first buffer of ReadAll; most bodies are smaller.
const firstBytes = 4 << 10

// ReadAll reads a body to its end. Its buffer grows with the bytes that arrive and is charged to held. length is
// that of the body, or less than zero if unknown. Besides the errors of the body it returns an *ExhaustedError.
func ReadAll(body io.Reader, length int64, held *Request) ([]byte, error) {
	size := int64(firstBytes)
	if length >= 0 {
		size = min(size, length)
	}
	if err := held.Charge(size); err != nil {
		return nil, err
	}
	read := make([]byte, 0, size)
	for {
		if len(read) == cap(read) {
			grown, err := grow(read, length, held)
			if err != nil {
				return nil, err
			}
			read = grown
		}
		n, err := body.Read(read[len(read):cap(read)])
		read = read[:len(read)+n]
		if errors.Is(err, io.EOF) {
			return read, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// endBytes is the room left behind a body of a known length, in which its end is read.
const endBytes = 64

// grow doubles a full buffer, at most to the length.
func grow(read []byte, length int64, held *Request) ([]byte, error) {
	size := 2*int64(cap(read)) + endBytes
	if length >= int64(len(read)) {
		size = min(size, length+endBytes)
	}
	if err := held.Charge(size - int64(cap(read))); err != nil {
		return nil, err
	}
	grown := make([]byte, len(read), size)
	copy(grown, read)
	return grown, nil
}
