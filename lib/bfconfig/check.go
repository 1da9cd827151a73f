package bfconfig

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// Limits of single objects. They bound what one bad command can make every
// node hold: 25,000 nodes each keep the whole state in memory.
const (
	maxNameLength  = 64
	maxSlots       = 100_000
	maxQueue       = 100_000
	maxPriority    = 9
	maxDeadline    = time.Hour
	maxColdStart   = time.Hour
	maxWarmUp      = 24 * time.Hour
	maxEventLength = 31 * 24 * time.Hour
	maxOverrides   = 1_000
	maxAuthor      = 128
	firstYear      = 1970
	lastYear       = 9999 // the last that the JSON form of a time has
)

var (
	nameForm   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)
	prefixForm = regexp.MustCompile(`^(/|(/[A-Za-z0-9._~-]+)+)$`)
	idForm     = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	methods    = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
)

// FieldError reports one wrong field of an object.
type FieldError struct {
	Object  Ref
	Field   string
	Value   string
	Allowed string
}

// Error names the object, the field, its value and what is allowed.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s is %q, allowed: %s", e.Object, e.Field, e.Value, e.Allowed)
}

// ChangeError reports a change whose own name or author is wrong.
type ChangeError struct {
	Field   string
	Value   string
	Allowed string
}

// Error names the field, its value and what is allowed.
func (e *ChangeError) Error() string {
	return fmt.Sprintf("change: %s is %q, allowed: %s", e.Field, e.Value, e.Allowed)
}

// check holds the texts of a change to what its delta can carry.
//
// CBOR writes a text that is not UTF-8 but refuses to read it: such a change
// would be committed and then be unreadable on every node, and the whole fleet
// would stay at the version before it.
func (c Change) check() error {
	if !idForm.MatchString(c.id) {
		return &ChangeError{Field: "id", Value: c.id, Allowed: "1 to 64 of letters, digits, and inner . _ -"}
	}
	unprintable := func(r rune) bool { return !unicode.IsPrint(r) }
	if len(c.author) > maxAuthor || !utf8.ValidString(c.author) || strings.ContainsFunc(c.author, unprintable) {
		return &ChangeError{Field: "author", Value: c.author, Allowed: "up to 128 bytes of printable text"}
	}
	return nil
}

// checker collects the first wrong field of one object.
type checker struct {
	object Ref
	err    error
}

func (c *checker) require(ok bool, field string, value any, allowed string) {
	if !ok && c.err == nil {
		c.err = &FieldError{Object: c.object, Field: field, Value: fmt.Sprint(value), Allowed: allowed}
	}
}

func (c *checker) name(field, value string) {
	ok := len(value) <= maxNameLength && nameForm.MatchString(value)
	c.require(ok, field, value, "1 to 64 of a-z, 0-9 and inner hyphens")
}

func (c *checker) atMost(field string, value, high int) {
	c.require(0 <= value && value <= high, field, value, fmt.Sprintf("0 to %d", high))
}

func (c *checker) lasts(field string, value, low, high time.Duration) {
	c.require(low <= value && value <= high, field, value, fmt.Sprintf("%v to %v", low, high))
}

func (s ServiceSpec) check() error {
	c := checker{object: s.Ref()}
	c.name("name", s.Name)
	c.atMost("slots", s.Slots, maxSlots)
	c.lasts("coldStart", s.ColdStart, 0, maxColdStart)
	return c.err
}

func (s RouteSpec) check() error {
	c := checker{object: s.Ref()}
	c.name("name", s.Name)
	c.require(prefixForm.MatchString(s.Prefix), "prefix", s.Prefix, "a path of whole segments such as /assets/logos")
	for _, segment := range strings.Split(s.Prefix, "/") {
		c.require(segment != "." && segment != "..", "prefix", s.Prefix, "no . or .. segments")
	}
	for i, m := range s.Methods {
		c.require(slices.Contains(methods, m), "methods", m, strings.Join(methods, " "))
		c.require(!slices.Contains(s.Methods[:i], m), "methods", m, "each method once")
	}
	c.name("service", s.Service)
	c.name("policy", s.Policy)
	return c.err
}

func (s PolicySpec) check() error {
	c := checker{object: s.Ref()}
	c.name("name", s.Name)
	c.name("class", s.Class)
	c.lasts("deadline", s.Deadline, time.Millisecond, maxDeadline)
	c.atMost("priority", s.Priority, maxPriority)
	c.atMost("queue", s.Queue, maxQueue)
	c.atMost("concurrency", s.Concurrency, maxSlots)
	c.atMost("retryPercent", s.RetryPercent, 100)
	c.atMost("tenantLimit", s.TenantLimit, maxSlots)
	c.require(!s.Idempotent || !s.DurableKeys, "durableKeys", s.DurableKeys, "only for a policy that is not idempotent")
	return c.err
}

func (s EventSpec) check() error {
	c := checker{object: s.Ref()}
	c.name("name", s.Name)
	c.require(storable(s.Start), "start", s.Start, "a time in whole seconds from 1970 to 9999")
	c.require(storable(s.End), "end", s.End, "a time in whole seconds from 1970 to 9999")
	c.require(s.End.After(s.Start), "end", s.End, "a time after the start")
	c.require(s.End.Sub(s.Start) <= maxEventLength, "end", s.End, "at most 31 days after the start")
	c.lasts("warmUp", s.WarmUp, 0, maxWarmUp)
	c.require(len(s.Overrides) <= maxOverrides, "overrides", len(s.Overrides), "at most 1000")
	for i, o := range s.Overrides {
		c.name("route", o.Route)
		c.name("policy", o.Policy)
		first := !slices.ContainsFunc(s.Overrides[:i], func(e Override) bool { return e.Route == o.Route })
		c.require(first, "route", o.Route, "each route once in an event")
	}
	return c.err
}

// storable holds times to what both encodings keep, so that every node has the same one.
func storable(t time.Time) bool {
	year := t.UTC().Year()
	return t.Nanosecond() == 0 && firstYear <= year && year <= lastYear
}
