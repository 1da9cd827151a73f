package bfhost

import (
	"net/http"
	"strconv"
	"strings"

	"bilberryflow.org/lib/bfheader"
	"bilberryflow.org/lib/bflimit"
)

// WriteLimit writes the target's limit to a header between nodes. In an answer it is what the target's
// node keeps, in a request what the entry knows.
func WriteLimit(h http.Header, known bflimit.Known) {
	if perSecond, named := known.Limit.(bflimit.PerSecond); named {
		h[bfheader.TargetLimit] = []string{strconv.FormatFloat(float64(perSecond), 'f', -1, 64) + " " + known.Start.Encode()}
	}
}

// ReadLimit parses what WriteLimit wrote; the zero value is no limit.
func ReadLimit(h http.Header) bflimit.Known {
	before, after, _ := strings.Cut(h.Get(bfheader.TargetLimit), " ")
	start := bflimit.DecodeStart(after)
	limit, err := bflimit.Parse([]string{before})
	if err != nil || start.Incarnation == "" {
		return bflimit.Known{}
	}
	return bflimit.Known{Start: start, Limit: limit}
}

// WriteLeaving writes to the header of an answer between nodes which start of the target says in it
// that it leaves; the zero value is none. The entry may know another start at that node.
func WriteLeaving(h http.Header, leaving bflimit.Start) {
	if leaving.Incarnation != "" {
		h[bfheader.TargetLeaving] = []string{leaving.Encode()}
	}
}

// ReadLeaving parses what WriteLeaving wrote; the zero value is none.
func ReadLeaving(h http.Header) bflimit.Start {
	return bflimit.DecodeStart(h.Get(bfheader.TargetLeaving))
}
