package bfquota

import "hash/fnv"

// MaxBrokers is the number of brokers to which a node delegates. Each costs a node three small
// messages a lease; the loss of one leaves the other workspaces alone.
const MaxBrokers = 4

// Owner returns the broker of a workspace by rendezvous hashing, "" if there are no brokers. Removing
// a broker from the list moves only the workspaces of that broker.
func Owner(workspace string, brokers []string) string {
	best, bestScore := "", uint64(0)
	for _, b := range brokers {
		if score := rendezvous(workspace, b); best == "" || score > bestScore || score == bestScore && b < best {
			best, bestScore = b, score
		}
	}
	return best
}

func rendezvous(workspace, broker string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(workspace)) // never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(broker))
	// FNV barely changes the high bits for inputs that differ in the last byte.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
