package bfconfig

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// Digest identifies the content of a version.
//
// It is the sum, modulo 2^128, of the 128-bit hashes of the version number and
// of each object, so applying a delta only rehashes the changed objects. It
// detects corruption and software faults, but not deliberate forgery.
type Digest [16]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText encodes the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText decodes a digest in hexadecimal; it fails on another length or an invalid digit.
func (d *Digest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(d) {
		return fmt.Errorf("digest %q has the wrong length", text)
	}
	_, err := hex.Decode(d[:], text)
	return err
}

func (d Digest) add(o Digest) Digest {
	low := binary.LittleEndian.Uint64(d[:8]) + binary.LittleEndian.Uint64(o[:8])
	var carry uint64
	if low < binary.LittleEndian.Uint64(o[:8]) {
		carry = 1
	}
	high := binary.LittleEndian.Uint64(d[8:]) + binary.LittleEndian.Uint64(o[8:]) + carry
	return digestOf(low, high)
}

func (d Digest) subtract(o Digest) Digest {
	lowD, lowO := binary.LittleEndian.Uint64(d[:8]), binary.LittleEndian.Uint64(o[:8])
	var borrow uint64
	if lowD < lowO {
		borrow = 1
	}
	high := binary.LittleEndian.Uint64(d[8:]) - binary.LittleEndian.Uint64(o[8:]) - borrow
	return digestOf(lowD-lowO, high)
}

func digestOf(low, high uint64) Digest {
	var d Digest
	binary.LittleEndian.PutUint64(d[:8], low)
	binary.LittleEndian.PutUint64(d[8:], high)
	return d
}

func hashBytes(b []byte) Digest {
	sum := sha256.Sum256(b)
	return Digest(sum[:16])
}

func hashVersion(v Version) Digest {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(v))
	return hashBytes(b[:])
}
