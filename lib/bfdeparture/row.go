package bfdeparture

import (
	"time"

	"bilberryflow.org/lib/bfcodec"
	"bilberryflow.org/lib/bflifecycle"
)

// maxStored is the number of departures in a row, the newest ones. Heartbeats are late by seconds, in
// which few starts follow each other.
const maxStored = 16

// row is the value of a node's row.
type row struct {
	Departures []stored `cbor:"1,keyasint"`
	// Era is the era of the store in which the row was written.
	Era uint64 `cbor:"2,keyasint"`
}

// stored is one departure.
type stored struct {
	Incarnation string `cbor:"1,keyasint"`
	// StartedMilli is the start time of the target in Unix milliseconds, 0 if it reported none.
	StartedMilli int64 `cbor:"2,keyasint,omitempty"`
}

func encode(departures []bflifecycle.Departure, era uint64) ([]byte, error) {
	r := row{Departures: make([]stored, 0, len(departures)), Era: era}
	for _, d := range departures {
		s := stored{Incarnation: d.Incarnation}
		if !d.Started.IsZero() {
			s.StartedMilli = d.Started.UnixMilli()
		}
		r.Departures = append(r.Departures, s)
	}
	return bfcodec.Marshal(r)
}

func decode(value []byte) (departures []bflifecycle.Departure, era uint64, err error) {
	var r row
	if err := bfcodec.Unmarshal(value, "row of departures", &r); err != nil {
		return nil, 0, err
	}
	for _, s := range r.Departures {
		d := bflifecycle.Departure{Incarnation: s.Incarnation}
		if s.StartedMilli != 0 {
			d.Started = time.UnixMilli(s.StartedMilli)
		}
		departures = append(departures, d)
	}
	return departures, r.Era, nil
}

// merge returns the newest departures of two lists, both oldest first, without duplicates.
func merge(earlier, later []bflifecycle.Departure) []bflifecycle.Departure {
	var merged []bflifecycle.Departure
	known := make(map[bflifecycle.Departure]bool, len(earlier)+len(later))
	for _, list := range [][]bflifecycle.Departure{earlier, later} {
		for _, d := range list {
			if !known[d] {
				known[d] = true
				merged = append(merged, d)
			}
		}
	}
	return merged[max(0, len(merged)-maxStored):]
}
