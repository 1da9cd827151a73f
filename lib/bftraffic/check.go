package bftraffic

import (
	"fmt"
	"slices"
	"strings"
)

// SpecError reports an invalid field of a configuration.
type SpecError struct {
	Version Version
	Field   string
	Value   string
	Allowed string
}

// Error names the version, the field, its value and the allowed values.
func (e *SpecError) Error() string {
	return fmt.Sprintf("configuration %d: %s: value %q: allowed: %s", e.Version, e.Field, e.Value, e.Allowed)
}

// check validates the configuration as a whole, so that no route refers to a
// missing service. If the services are the same as in previous, which is valid,
// routes shared with it are not checked again.
func (s *Snapshot) check(previous *Snapshot) error {
	if s.version == 0 {
		return s.specError("version", "0", "above 0")
	}
	services := make(map[string]bool, len(s.services))
	for _, service := range s.services {
		services[service.Name] = true
	}
	sameServices := slices.Equal(s.services, previous.services)
	for at, route := range s.routes {
		if at > 0 && s.routes[at-1].key == route.key {
			return s.specError("route "+route.spec.Name+" prefix", route.key.Host+route.key.Prefix, "one route for a host and prefix")
		}
		if sameServices && previous.contains(route) {
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
		return s.specError(at+" host", "", "a host name")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return s.specError(at+" prefix", r.Prefix, "a path that begins and ends with a slash")
	case r.Kind < Idempotent || r.Kind > Download:
		return s.specError(at+" kind", fmt.Sprint(int(r.Kind)), "idempotent, non-idempotent or download")
	case r.Timeout <= 0:
		return s.specError(at+" timeout", r.Timeout.String(), "above 0")
	case r.MaxAttempts < 1:
		return s.specError(at+" attempts", fmt.Sprint(r.MaxAttempts), "1 or more")
	case len(r.Destinations) == 0:
		return s.specError(at+" services", "", "one service or more")
	}
	total := 0
	for _, d := range r.Destinations {
		if !services[d.Service] {
			return s.specError(at+" service", d.Service, "a service of the same configuration")
		}
		if d.Weight < 0 {
			return s.specError(at+" weight", fmt.Sprint(d.Weight), "0 or more")
		}
		total += d.Weight
	}
	if total == 0 {
		return s.specError(at+" weight", "0", "a sum above 0")
	}
	return nil
}

func (s *Snapshot) specError(field, value, allowed string) error {
	return &SpecError{Version: s.version, Field: field, Value: value, Allowed: allowed}
}
