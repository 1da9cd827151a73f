package bfspike

import (
	"fmt"
	"strings"
	"time"
)

// service is one service of a shape.
type service struct {
	name    string
	targets int
}

// shape describes the fleet of one site.
type shape struct {
	name     string
	domains  []string
	services []service
	// slots is the number of slots of each target.
	slots int
	// write is the name of the non-idempotent request class.
	write string
}

var shapes = []shape{
	{
		name: "vienna", domains: []string{"wien-nord", "wien-sued", "wien-west"}, slots: 12, write: "approval",
		services: []service{{"portal-core", 7}, {"asset-vault", 5}},
	},
	{
		name: "hobart", domains: []string{"macquarie", "selfs-point", "bellerive", "princes"}, slots: 9, write: "nomination",
		services: []service{{"order-desk", 6}, {"docs", 4}},
	},
}

// ShapeError reports an unknown shape or fault.
type ShapeError struct{ Field, Value, Allowed string }

// Error returns the field, its value and the allowed values.
func (e *ShapeError) Error() string {
	return fmt.Sprintf("unknown %s %q; allowed: %s", e.Field, e.Value, e.Allowed)
}

func findShape(name string) (shape, error) {
	for _, s := range shapes {
		if s.name == name {
			return s, nil
		}
	}
	return shape{}, &ShapeError{"shape", name, "vienna, hobart"}
}

func (s shape) targets() int {
	n := 0
	for _, service := range s.services {
		n += service.targets
	}
	return n
}

// Deadlines of the two classes.
const (
	readDeadline  = time.Second
	writeDeadline = 3 * time.Second
)

func deadlineOf(c class) time.Duration {
	if c == write {
		return writeDeadline
	}
	return readDeadline
}

// readClass is the name of the idempotent request class.
const readClass = "lookup"

func (s shape) className(c class) string {
	if c == write {
		return s.write
	}
	return readClass
}

// eventWarmUp is how long before the event's start nodes open connections in advance.
const eventWarmUp = 3 * time.Second

// configuration returns the stage command of a configuration with an event from start to end,
// during which look-ups have a stricter policy.
func (s shape) configuration(start, end time.Time) string {
	var text, overrides strings.Builder
	fmt.Fprintf(&text, "stage spike { create policy lookup class lookup idempotent deadline %v priority 1 queue 100 retry 10%%; ", readDeadline)
	fmt.Fprintf(&text, "create policy rush class lookup idempotent deadline %v priority 1 queue 24 retry 2%%; ", readDeadline)
	fmt.Fprintf(&text, "create policy write class %s deadline %v priority 5 queue 100 retry 10%%; ", s.write, writeDeadline)
	for i, service := range s.services {
		fmt.Fprintf(&text, "create service %s slots %d; ", service.name, s.slots)
		fmt.Fprintf(&text, "create route %s-read prefix %q methods GET service %s policy lookup; ", service.name, s.path(i, read), service.name)
		fmt.Fprintf(&text, "create route %s-write prefix %q methods POST service %s policy write; ", service.name, s.path(i, write), service.name)
		if i > 0 {
			overrides.WriteString(", ")
		}
		fmt.Fprintf(&overrides, "%s-read by rush", service.name)
	}
	fmt.Fprintf(&text, "create event opening start %s end %s warmup %v override %s }",
		start.UTC().Format(time.RFC3339Nano), end.UTC().Format(time.RFC3339Nano), eventWarmUp, overrides.String())
	return text.String()
}

func (s shape) path(service int, c class) string {
	return "/" + s.services[service].name + "/" + s.className(c) + "s"
}
