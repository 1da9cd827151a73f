package bfrollout

import (
	"time"

	"bilberryflow.org/lib/bfstore"
)

// Order is an operator's order to move a service to the targets of a version.
type Order struct {
	Service string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint"`
	// Duration is the time in which the roll-out must end.
	Duration time.Duration `cbor:"3,keyasint"`
	// Revision is the revision of the order's row in the store.
	Revision bfstore.Revision `cbor:"4,keyasint"`
}

// Restates reports whether the order is the earlier one, read again: the same row, or a row with
// the same content in another era of the store. A restored store holds the row with the number
// of its copy, and the operator writes it again under a new one.
func (o Order) Restates(earlier Order) bool {
	if o.Service != earlier.Service || o.Version != earlier.Version || o.Duration != earlier.Duration {
		return false
	}
	return o.Revision == earlier.Revision || o.Revision.Era() != earlier.Revision.Era()
}

// Terms limit what a version receives in any roll-out before it is found good.
type Terms struct {
	// Share is the largest share of the service's requests, and Slack a number of requests beside it.
	Share, Slack float64
}
