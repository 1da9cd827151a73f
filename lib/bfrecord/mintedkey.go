package bfrecord

import (
	"encoding/base32"
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// MintedKey is an idempotency key that a node made on request: it names the one
// incarnation whose memory may run it.
//
// It needs no store. If that incarnation is gone the only truthful answer is
// Unknown, since nothing else knows whether the key was used.
type MintedKey struct{ id ID }

// ID is the request ID that every sending of the key has.
func (k MintedKey) ID() ID { return k.id }

// Home is the one incarnation that may run the key.
func (k MintedKey) Home() Home { return k.id.Entry }

const (
	keyPrefix         = "bfk1"
	maxInstanceLength = 64
	keyFields         = 5
)

var keyDigits = base32.NewEncoding("0123456789abcdefghjkmnpqrstvwxyz").WithPadding(base32.NoPadding)

// String is the key as callers send it: bfk1.instance.incarnation.counter.checksum.
func (k MintedKey) String() string {
	body := strings.Join([]string{
		keyPrefix, keyDigits.EncodeToString([]byte(k.id.Entry.Instance)),
		encodeNumber(k.id.Entry.Incarnation), encodeNumber(k.id.Counter),
	}, ".")
	return body + "." + checksum(body)
}

// KeyError reports a text that is not a minted key.
type KeyError struct {
	Key    string
	Reason string
}

// Error gives the key and the reason.
func (e *KeyError) Error() string { return fmt.Sprintf("minted key %q: %s", e.Key, e.Reason) }

// IsMintedKey reports whether text claims to be a minted key.
func IsMintedKey(text string) bool { return strings.HasPrefix(text, keyPrefix+".") }

// ParseMintedKey reads what String wrote.
//
// The checksum guards against slips: a key with one wrong character would name
// another home, whose answer about it would be true of nothing.
func ParseMintedKey(text string) (MintedKey, error) {
	fields := strings.Split(text, ".")
	if len(fields) != keyFields || fields[0] != keyPrefix {
		return MintedKey{}, &KeyError{Key: text, Reason: "not of the form bfk1.instance.incarnation.counter.checksum"}
	}
	body := text[:strings.LastIndexByte(text, '.')]
	if checksum(body) != fields[keyFields-1] {
		return MintedKey{}, &KeyError{Key: text, Reason: "wrong checksum"}
	}
	instance, err := keyDigits.DecodeString(fields[1])
	if err != nil || len(instance) == 0 || len(instance) > maxInstanceLength {
		return MintedKey{}, &KeyError{Key: text, Reason: "wrong instance"}
	}
	incarnation, okIncarnation := decodeNumber(fields[2])
	counter, okCounter := decodeNumber(fields[3])
	if !okIncarnation || !okCounter {
		return MintedKey{}, &KeyError{Key: text, Reason: "wrong number"}
	}
	home := Home{Instance: string(instance), Incarnation: incarnation}
	return MintedKey{id: ID{Entry: home, Counter: counter, Minted: true}}, nil
}

func checksum(body string) string { return encodeNumber(xxhash.Sum64String(body)) }

func encodeNumber(n uint64) string {
	return keyDigits.EncodeToString(binary.BigEndian.AppendUint64(nil, n))
}

func decodeNumber(text string) (uint64, bool) {
	b, err := keyDigits.DecodeString(text)
	if err != nil || len(b) != 8 {
		return 0, false
	}
	return binary.BigEndian.Uint64(b), true
}
