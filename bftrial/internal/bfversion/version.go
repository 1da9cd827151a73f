package bfversion

import (
	"fmt"
	"time"

	"bilberryflow.org/bftrial/internal/bfsimtarget"
	"bilberryflow.org/lib/bftraffic"
)

const (
	// Host is the host of all routes.
	Host = "mesh.example"
	// Timeout is that of all routes.
	Timeout = time.Second

	objective   = 300 * time.Millisecond
	maxConns    = 100
	maxAttempts = 2
)

// Spec returns a version. Each version has the routes of the one before and one that identifies it; these
// need no API key where the others do.
func Spec(version bftraffic.Version, keysRequired bool) bftraffic.Spec {
	spec := bftraffic.Spec{
		Version: version, Services: []bftraffic.ServiceSpec{{Name: bfsimtarget.Service, MaxConns: maxConns, HealthPath: bfsimtarget.HealthPath}},
	}
	add := func(prefix string, kind bftraffic.Kind, public bool) {
		spec.Routes = append(spec.Routes, bftraffic.RouteSpec{
			Name: prefix, Host: Host, Prefix: prefix, Kind: kind, Timeout: Timeout, Objective: objective,
			MaxAttempts: maxAttempts, Public: public, Destinations: []bftraffic.Destination{{Service: bfsimtarget.Service, Weight: 1}},
		})
	}
	add("/look-vault/", bftraffic.Idempotent, false)
	add("/approve-vault/", bftraffic.NonIdempotent, false)
	for v := bftraffic.Version(1); v <= version; v++ {
		add(fmt.Sprintf("/look-v%d/", v), bftraffic.Idempotent, keysRequired)
	}
	return spec
}
