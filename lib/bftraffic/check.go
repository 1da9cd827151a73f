package bftraffic

import (
	"fmt"
	"slices"
	"strings"
)

// SpecError reports one wrong field of a configuration.
type SpecError struct {
	Version Version
	Field   string
	Value   string
	Allowed string
}

// Error names the version, the field, its value and what is allowed.
func (e *SpecError) Error() string {
	return fmt.Sprintf("configuration %d: %s: value %q: allowed: %s", e.Version, e.Field, e.Value, e.Allowed)
}

// check refuses a configuration that does not hold together. One that passed in
// part would leave routes that point at nothing. Routes of before, which was
// checked, are passed over where it has the same services.
func (s *Snapshot) check(before *Snapshot) error {
	if s.version == 0 {
		return s.wrong("version", "0", "above 0")
	}
	services := make(map[string]bool, len(s.services))
	for _, service := range s.services {
		services[service.Name] = true
	}
	sameServices := slices.Equal(s.services, before.services)
	for at, route := range s.routes {
		if at > 0 && s.routes[at-1].place == route.place {
			return s.wrong("route "+route.spec.Name+" prefix", route.place.Host+route.place.Prefix, "one route for a host and prefix")
		}
		if sameServices && before.holds(route) {
			continue
		}
		if err := s.checkRoute(route.spec, services); err != nil {
			return err
		}
	}
	return nil
}

func (s *Snapshot) checkRoute(r RouteSpec, services map[string]bool) error {
	at := "route " + r.Name
	switch {
	case r.Host == "":
		return s.wrong(at+" host", "", "a host name")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return s.wrong(at+" prefix", r.Prefix, "a path that begins and ends with a slash")
	case r.Kind < Idempotent || r.Kind > Download:
		return s.wrong(at+" kind", fmt.Sprint(int(r.Kind)), "idempotent, non-idempotent or download")
	case r.Timeout <= 0:
		return s.wrong(at+" timeout", r.Timeout.String(), "above 0")
	case r.MaxAttempts < 1:
		return s.wrong(at+" attempts", fmt.Sprint(r.MaxAttempts), "1 or more")
	case len(r.Destinations) == 0:
		return s.wrong(at+" services", "", "one service or more")
	}
	total := 0
	for _, d := range r.Destinations {
		if !services[d.Service] {
			return s.wrong(at+" service", d.Service, "a service of the same configuration")
		}
		if d.Weight < 0 {
			return s.wrong(at+" weight", fmt.Sprint(d.Weight), "0 or more")
		}
		total += d.Weight
	}
	if total == 0 {
		return s.wrong(at+" weight", "0", "a sum above 0")
	}
	return nil
}

func (s *Snapshot) wrong(field, value, allowed string) error {
	return &SpecError{Version: s.version, Field: field, Value: value, Allowed: allowed}
}
