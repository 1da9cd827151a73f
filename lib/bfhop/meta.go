package bfhop

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bilberryflow.org/lib/bfevent"
	"bilberryflow.org/lib/bfheader"
	"bilberryflow.org/lib/bfrecord"
)

// Meta is the metadata that an entry node adds to a request.
type Meta struct {
	ID   bfrecord.ID
	Home bfrecord.NodeIncarnation
	// Route is the route's name, by which the target's node looks up its limits.
	Route string
	// Stamp is the policy that the entry node applied; it is valid until the request ends.
	Stamp  bfevent.Stamp
	Tenant string
	// Key is the caller's idempotency key.
	Key string
	// TimeLeft is the time until the deadline; a duration needs no synchronized clocks.
	TimeLeft time.Duration
	Depth    int
	// Resent is set if an earlier node sent this copy as a retry, so that later nodes do not retry.
	Resent bool
}

// MaxHeaders is the maximum number of headers that Write sets.
const MaxHeaders = 9

// Write sets the headers of the metadata in h.
func (m Meta) Write(h http.Header) error {
	stamp, err := json.Marshal(m.Stamp)
	if err != nil {
		return fmt.Errorf("stamp of request %s: %w", m.ID, err)
	}
	h.Set(bfheader.RequestID, m.ID.String())
	h.Set(bfheader.Home, m.Home.String())
	h.Set(bfheader.Route, m.Route)
	h.Set(bfheader.Policy, string(stamp))
	if m.Tenant != "" {
		h.Set(bfheader.Tenant, m.Tenant)
	}
	h.Set(bfheader.Depth, strconv.Itoa(m.Depth))
	bfheader.WriteDeadline(h, m.TimeLeft)
	if m.Key != "" {
		h.Set(bfheader.IdempotencyKey, m.Key)
	}
	if m.Resent {
		h.Set(bfheader.Resent, bfheader.ResentMark)
	}
	return nil
}

// Read parses the metadata in h; its errors are bfheader.ValueError and those of bfheader.
func Read(h http.Header) (Meta, error) {
	var m Meta
	var err error
	if m.ID, err = ParseID(h.Get(bfheader.RequestID)); err != nil {
		return Meta{}, err
	}
	if m.Home, err = parseHome(h.Get(bfheader.Home)); err != nil {
		return Meta{}, err
	}
	if err := json.Unmarshal([]byte(h.Get(bfheader.Policy)), &m.Stamp); err != nil {
		return Meta{}, &bfheader.ValueError{Header: bfheader.Policy, Value: h.Get(bfheader.Policy), Allowed: "a stamp"}
	}
	if m.TimeLeft, err = bfheader.ReadDeadline(h); err != nil {
		return Meta{}, err
	}
	if m.TimeLeft == 0 {
		return Meta{}, &bfheader.ValueError{Header: bfheader.Deadline, Allowed: "the time left"}
	}
	if m.Depth, err = bfheader.ReadDepth(h); err != nil {
		return Meta{}, err
	}
	if m.Resent, err = bfheader.ReadResent(h); err != nil {
		return Meta{}, err
	}
	m.Route = h.Get(bfheader.Route)
	m.Tenant = h.Get(bfheader.Tenant)
	m.Key = h.Get(bfheader.IdempotencyKey)
	return m, nil
}

const idFormat = "instance/incarnation/counter in hexadecimal, the counter after m for a minted key"

// ParseID parses what bfrecord.ID.String writes.
func ParseID(text string) (bfrecord.ID, error) {
	invalid := &bfheader.ValueError{Header: bfheader.RequestID, Value: text, Allowed: idFormat}
	slash := strings.LastIndexByte(text, '/')
	if slash < 0 {
		return bfrecord.ID{}, invalid
	}
	entry, err := parseHome(text[:slash])
	if err != nil {
		return bfrecord.ID{}, invalid
	}
	digits, minted := strings.CutPrefix(text[slash+1:], "m")
	counter, err := strconv.ParseUint(digits, 16, 64)
	if err != nil {
		return bfrecord.ID{}, invalid
	}
	return bfrecord.ID{Entry: entry, Counter: counter, Minted: minted}, nil
}

func parseHome(text string) (bfrecord.NodeIncarnation, error) {
	invalid := &bfheader.ValueError{Header: bfheader.Home, Value: text, Allowed: "instance/incarnation in hexadecimal"}
	instance, digits, found := strings.Cut(text, "/")
	if !found || instance == "" {
		return bfrecord.NodeIncarnation{}, invalid
	}
	incarnation, err := strconv.ParseUint(digits, 16, 64)
	if err != nil {
		return bfrecord.NodeIncarnation{}, invalid
	}
	return bfrecord.NodeIncarnation{Instance: instance, Incarnation: incarnation}, nil
}
