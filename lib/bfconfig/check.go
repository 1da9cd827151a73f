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

// Limits of a single object. Every node keeps the whole state in memory, so
// they bound the memory that one bad command can consume on each node.
const (
	maxNameLength    = 64
	maxSlots         = 100_000
	maxQueue         = 100_000
	maxPriority      = 9
	maxDeadline      = time.Hour
	maxColdStart     = time.Hour
	maxWarmUp        = 24 * time.Hour
	maxEventDuration = 31 * 24 * time.Hour
	maxOverrides     = 1_000
	maxAuthorBytes   = 128
	minYear          = 1970
	maxYear          = 9999 // the largest year that a JSON time can represent
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)
	prefixPattern = regexp.MustCompile(`^(/|(/[A-Za-z0-9._~-]+)+)$`)
	idPattern     = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	methods       = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
)

// FieldError reports an invalid field of an object.
type FieldError struct {
	Object  Ref
	Field   string
	Value   string
	Allowed string
}

// Error names the object, the field, its value and the allowed values.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s is %q, allowed: %s", e.Object, e.Field, e.Value, e.Allowed)
}

// ChangeError reports a change with an invalid ID or author.
type ChangeError struct {
	Field   string
	Value   string
	Allowed string
}

// Error names the field, its value and the allowed values.
func (e *ChangeError) Error() string {
	return fmt.Sprintf("change: %s is %q, allowed: %s", e.Field, e.Value, e.Allowed)
}

// check validates the ID and the author of the change.
//
// The CBOR encoder accepts text that is not UTF-8, but the decoder rejects it.
// Without this check such a change could be committed but not decoded by any
// node, and the whole fleet would stay at the preceding version.
func (c Change) check() error {
	if !idPattern.MatchString(c.id) {
		return &ChangeError{Field: "id", Value: c.id, Allowed: "1 to 64 of letters, digits, and inner . _ -"}
	}
	unprintable := func(r rune) bool { return !unicode.IsPrint(r) }
	if len(c.author) > maxAuthorBytes || !utf8.ValidString(c.author) || strings.ContainsFunc(c.author, unprintable) {
		return &ChangeError{Field: "author", Value: c.author, Allowed: "up to 128 bytes of printable text"}
	}
	return nil
}

// checker records the first invalid field of an object.
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
	ok := len(value) <= maxNameLength && namePattern.MatchString(value)
	c.require(ok, field, value, "1 to 64 of a-z, 0-9 and inner hyphens")
}

func (c *checker) intUpTo(field string, value, high int) {
	c.require(0 <= value && value <= high, field, value, fmt.Sprintf("0 to %d", high))
}

func (c *checker) durationBetween(field string, value, low, high time.Duration) {
	c.require(low <= value && value <= high, field, value, fmt.Sprintf("%v to %v", low, high))
}

func (s ServiceSpec) check() error {
	c := checker{object: s.Ref()}
	c.name("name", s.Name)
	c.intUpTo("slots", s.Slots, maxSlots)
	c.durationBetween("coldStart", s.ColdStart, 0, maxColdStart)
	return c.err
}

func (s RouteSpec) check() error {
	c := checker{object: s.Ref()}
	c.name("name", s.Name)
	c.require(prefixPattern.MatchString(s.Prefix), "prefix", s.Prefix, "a path of whole segments such as /assets/logos")
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
	c.durationBetween("deadline", s.Deadline, time.Millisecond, maxDeadline)
	c.intUpTo("priority", s.Priority, maxPriority)
	c.intUpTo("queue", s.Queue, maxQueue)
	c.intUpTo("concurrency", s.Concurrency, maxSlots)
	c.intUpTo("retryPercent", s.RetryPercent, 100)
	c.intUpTo("tenantLimit", s.TenantLimit, maxSlots)
	c.require(!s.Idempotent || !s.DurableKeys, "durableKeys", s.DurableKeys, "only for a policy that is not idempotent")
	return c.err
}

func (s EventSpec) check() error {
	c := checker{object: s.Ref()}
	c.name("name", s.Name)
	c.require(encodable(s.Start), "start", s.Start, "a time in whole seconds from 1970 to 9999")
	c.require(encodable(s.End), "end", s.End, "a time in whole seconds from 1970 to 9999")
	c.require(s.End.After(s.Start), "end", s.End, "a time after the start")
	c.require(s.End.Sub(s.Start) <= maxEventDuration, "end", s.End, "at most 31 days after the start")
	c.durationBetween("warmUp", s.WarmUp, 0, maxWarmUp)
	c.require(len(s.Overrides) <= maxOverrides, "overrides", len(s.Overrides), "at most 1000")
	for i, o := range s.Overrides {
		c.name("route", o.Route)
		c.name("policy", o.Policy)
		unique := !slices.ContainsFunc(s.Overrides[:i], func(e Override) bool { return e.Route == o.Route })
		c.require(unique, "route", o.Route, "each route once in an event")
	}
	return c.err
}

// encodable reports whether both the CBOR and the JSON encoding preserve t.
// Otherwise nodes could decode different times.
func encodable(t time.Time) bool {
	year := t.UTC().Year()
	return t.Nanosecond() == 0 && minYear <= year && year <= maxYear
}
