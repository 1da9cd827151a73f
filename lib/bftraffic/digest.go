package bftraffic

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// hashInput accumulates fields to hash; strings are prefixed with their length.
type hashInput []byte

func (m hashInput) addString(s string) hashInput {
	return append(binary.AppendUvarint(m, uint64(len(s))), s...)
}

func (m hashInput) addInt(n int64) hashInput { return binary.AppendVarint(m, n) }

func (m hashInput) addDuration(d time.Duration) hashInput { return m.addInt(int64(d)) }

func (m hashInput) addBool(b bool) hashInput {
	if b {
		return append(m, 1)
	}
	return append(m, 0)
}

func (m hashInput) sum() uint64 { return xxhash.Sum64(m) }

// hash returns a 64-bit hash of all fields of the route.
func (r RouteSpec) hash() uint64 {
	const typicalBytes = 256
	m := make(hashInput, 0, typicalBytes).
		addString(r.Name).addString(r.Host).addString(r.Prefix).addInt(int64(r.Kind)).
		addDuration(r.Timeout).addDuration(r.Objective).
		addInt(int64(r.MaxAttempts)).addInt(int64(r.Rank))
	for _, d := range r.Destinations {
		m = m.addString(d.Service).addInt(int64(d.Weight))
	}
	if r.Public {
		// Added only if set, so that nodes of releases without the field compute the same hash.
		m = m.addBool(r.Public)
	}
	return xxhash.Sum64(m)
}

// digest returns a 64-bit digest of the configuration.
//
// It includes the sum of the route hashes, so that a new version only hashes the
// changed routes and the digest does not depend on the order of the routes.
func (s *Snapshot) digest() uint64 {
	m := hashInput{}.addInt(int64(s.version)).addInt(int64(len(s.routes))).
		addInt(int64(s.limits.MaxHeaderBytes)).addInt(s.limits.MaxBodyBytes).
		addDuration(s.limits.HeaderTimeout).addDuration(s.limits.IdleTimeout)
	m = binary.LittleEndian.AppendUint64(m, s.routeHashSum)
	services := slices.Clone(s.services)
	slices.SortFunc(services, func(a, b ServiceSpec) int { return cmp.Compare(a.Name, b.Name) })
	for _, service := range services {
		m = m.addString(service.Name).addInt(int64(service.MaxConns))
	}
	if s.keysRequired || len(s.workspaces.byName) > 0 {
		m = m.addBool(s.keysRequired).addInt(int64(len(s.workspaces.byName)))
		m = binary.LittleEndian.AppendUint64(m, s.workspaces.hashSum)
	}
	return xxhash.Sum64(m)
}
