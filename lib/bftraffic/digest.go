package bftraffic

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// message is what a hash is taken of: fields one after another, each text behind its length.
type message []byte

func (m message) text(s string) message {
	return append(binary.AppendUvarint(m, uint64(len(s))), s...)
}

func (m message) number(n int64) message { return binary.AppendVarint(m, n) }

func (m message) duration(d time.Duration) message { return m.number(int64(d)) }

// hash is 64 bits over every field of the route.
func (r RouteSpec) hash() uint64 {
	const usual = 256 // bytes
	m := make(message, 0, usual).
		text(r.Name).text(r.Host).text(r.Prefix).number(int64(r.Kind)).
		duration(r.Timeout).duration(r.Objective).
		number(int64(r.MaxAttempts)).number(int64(r.Rank))
	for _, d := range r.Destinations {
		m = m.text(d.Service).number(int64(d.Weight))
	}
	return xxhash.Sum64(m)
}

// digest is 64 bits over the whole configuration.
//
// The routes count by the sum of their hashes, so that a version which changes one
// of thousands of routes costs the hash of one, and equal configurations have equal
// digests in whatever order their routes stand.
func (s *Snapshot) digest() uint64 {
	m := message{}.number(int64(s.version)).number(int64(len(s.routes))).
		number(int64(s.limits.MaxHeaderBytes)).number(s.limits.MaxBodyBytes).
		duration(s.limits.HeaderTimeout).duration(s.limits.IdleTimeout)
	m = binary.LittleEndian.AppendUint64(m, s.sum)
	services := slices.Clone(s.services)
	slices.SortFunc(services, func(a, b ServiceSpec) int { return cmp.Compare(a.Name, b.Name) })
	for _, service := range services {
		m = m.text(service.Name).number(int64(service.MaxConns))
	}
	return xxhash.Sum64(m)
}
