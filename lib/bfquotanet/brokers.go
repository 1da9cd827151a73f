package bfquotanet

import "bilberryflow.org/lib/bffleet"

// Brokers orders the relays of the fleet by preference as brokers: one of each failure domain before
// the second of any, so that a domain that fails or is cut off takes few brokers along, and within
// that the last first, since the first relays read the store for all.
func Brokers(relays []bffleet.Member) (addresses []string) {
	byDomain := map[string]int{}
	var byTurn [][]string
	for i := len(relays) - 1; i >= 0; i-- {
		m := relays[i]
		turn := byDomain[m.Domain]
		byDomain[m.Domain]++
		if turn == len(byTurn) {
			byTurn = append(byTurn, nil)
		}
		byTurn[turn] = append(byTurn[turn], m.Peer)
	}
	for _, turn := range byTurn {
		addresses = append(addresses, turn...)
	}
	return addresses
}
