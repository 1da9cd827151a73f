package bfrollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

// The comparison is a cumulative sum test (Page, 1954): Wald's sequential probability ratio test of
// "as good as the old version" against "bad", restarted whenever the evidence favours "good", so
// that a version which turns bad later is found as fast as one that always was.
const (
	// maxLogRatio is the log likelihood ratio at which a version is bad. A good one reaches it with
	// a probability of about e^-9 for each restart of the test.
	maxLogRatio = 9
	// suspectLogRatio is the ratio at which a version is suspect. It doesn't end the test, but the
	// traffic isn't moved to a suspect version.
	suspectLogRatio = 6
	// A finding needs evidence of at least minSupport from some targets, or all there are, and from
	// minSupportShare of those that ran minTargetRequests: a target may fail or be slow whatever its
	// version is. Slow ones are more frequent, since machines differ.
	minSupport           = 1
	minFailureSupporters = 2
	minRunTimeSupporters = 3
	minSupportShare      = 0.6
	minTargetRequests    = 4
	// minFailureRate is the least failure rate assumed of the old version, and failureFactor the
	// factor by which a good version may exceed the old one's rate.
	minFailureRate, failureFactor = 0.02, 1.5
	// badFailures is the share of requests that a bad version fails beside the old one's failures.
	badFailures = 0.15
	// goodSlowdown and badSlowdown are the logarithms of the run times of a good and of a bad
	// version relative to the old one's. A good one may have slower machines or fuller targets.
	goodSlowdown, badSlowdown = 0.35, 0.95
	// minDeviation is the least deviation of the logarithms of run times that is assumed.
	minDeviation = 0.6
	// minReference is the number of the old version's requests from which the comparison counts.
	minReference = 5
	// maxReferenceAge is how many time slices back the old version's requests are counted if there
	// are fewer than minReference.
	maxReferenceAge = 4
)

// Finding is a reason why a version is bad.
type Finding struct {
	Route string
	// What is "failures" or "run time".
	What string
	// New and Old hold the outcomes of both versions in the time slices that led to the finding.
	New, Old Sums
}

// String describes the finding to operators.
func (f Finding) String() string {
	if f.What == failures {
		return fmt.Sprintf("route %s: %d of %d requests failed, beside %d of %d on the old version", f.Route, f.New.Bad, f.New.Requests, f.Old.Bad, f.Old.Requests)
	}
	return fmt.Sprintf("route %s: requests run %.1f times as long as on the old version", f.Route, math.Exp(f.New.meanLog()-f.Old.meanLog()))
}

// The tests.
const (
	failures = "failures"
	runTime  = "run time"
)

func (s Sums) meanLog() float64 { return s.Log / float64(max(s.Timed, 1)) }

// deviation returns the standard deviation of the logarithms of run times.
func (s Sums) deviation() float64 {
	mean := s.meanLog()
	variance := s.LogSquared/float64(max(s.Timed, 1)) - mean*mean
	return max(math.Sqrt(max(variance, 0)), minDeviation)
}

// failureLogRatio returns the evidence of the new version's failures in a time slice.
func failureLogRatio(old, renewed Sums) float64 {
	oldRate := float64(old.Bad) / float64(max(old.Requests, 1))
	good := min(max(failureFactor*oldRate, minFailureRate), 0.95)
	bad := good + badFailures*(1-good)
	succeeded := renewed.Requests - renewed.Bad
	return float64(renewed.Bad)*math.Log(bad/good) + float64(succeeded)*math.Log((1-bad)/(1-good))
}

// runTimeLogRatio returns the evidence of the new version's run times in a time slice.
func runTimeLogRatio(old, renewed Sums) float64 {
	deviation := old.deviation()
	shift := renewed.Log - float64(renewed.Timed)*(old.meanLog()+(goodSlowdown+badSlowdown)/2)
	return (badSlowdown - goodSlowdown) / (deviation * deviation) * shift
}

// cusum is the state of one test.
type cusum struct {
	value float64
	// parts and requests are the shares of the value and the requests by target of the new version.
	parts    map[string]float64
	requests map[string]int
	old, new Sums
}

// step adds the evidence of a time slice, by target.
func (c *cusum) step(ratios map[string]float64, p Pair) {
	total := 0.0
	for _, ratio := range ratios {
		total += ratio
	}
	if c.value+total <= 0 {
		*c = cusum{}
		return
	}
	c.value += total
	if c.parts == nil {
		c.parts, c.requests = map[string]float64{}, map[string]int{}
	}
	for target, ratio := range ratios {
		c.parts[target] += ratio
		c.requests[target] += p.New[target].Requests
	}
	c.old.add(p.Old, 1)
	c.new.add(p.allNew(), 1)
}

// finds reports whether the value has reached a limit, and enough targets contribute to it.
func (c *cusum) finds(limit float64, minSupporters int) bool {
	if c.value < limit {
		return false
	}
	tried, supporters := 0, 0
	for target, part := range c.parts {
		if c.requests[target] >= minTargetRequests {
			tried++
		}
		if part >= minSupport {
			supporters++
		}
	}
	return supporters >= minSupporters && float64(supporters) >= minSupportShare*float64(tried)
}

func (c *cusum) finding(key testKey) Finding {
	return Finding{Route: key.route, What: key.what, New: c.new, Old: c.old}
}

// Judge compares the versions and returns a finding against the new one; ok is false if there is
// none. targets is the number of targets of the new version.
func (l *Ledger) Judge(targets int) (finding Finding, ok bool) {
	return l.find(maxLogRatio, targets)
}

// Suspects returns a finding with less evidence, if there is one at present.
func (l *Ledger) Suspects(targets int) (finding Finding, ok bool) {
	return l.find(suspectLogRatio, targets)
}

func (l *Ledger) find(limit float64, targets int) (finding Finding, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, test := range l.tests() {
		minSupporters := minFailureSupporters
		if key.what == runTime {
			minSupporters = minRunTimeSupporters
		}
		if test.finds(limit, min(minSupporters, targets)) {
			return test.finding(key), true
		}
	}
	return Finding{}, false
}

// testKey identifies a test: a property on a route, or on all routes together.
type testKey struct{ route, what string }

// allRoutes is the route of the tests of all routes together, which find a version that is bad on
// each of them with fewer requests.
const allRoutes = "all"

// tests runs the tests over the time slices.
func (l *Ledger) tests() map[testKey]*cusum {
	tests := map[testKey]*cusum{}
	step := func(key testKey, ratios map[string]float64, p Pair) {
		if tests[key] == nil {
			tests[key] = &cusum{}
		}
		tests[key].step(ratios, p)
	}
	for bucket, routes := range l.sums {
		total := map[string]map[string]float64{failures: {}, runTime: {}}
		var all Pair
		for _, route := range slices.Sorted(maps.Keys(routes)) {
			p := routes[route]
			if p.allNew().Requests == 0 {
				continue
			}
			p.Old = l.reference(bucket, route)
			for what, ratios := range logRatios(p) {
				step(testKey{route, what}, ratios, p)
				for target, ratio := range ratios {
					total[what][target] += ratio
				}
			}
			all = all.plus(p, 1)
		}
		for what, ratios := range total {
			if len(ratios) > 0 {
				step(testKey{allRoutes, what}, ratios, all)
			}
		}
	}
	return tests
}

// logRatios returns the evidence of a time slice on a route by property and target, for the
// properties that have enough requests of the old version.
func logRatios(p Pair) map[string]map[string]float64 {
	ratios := map[string]map[string]float64{}
	for target, s := range p.New {
		if p.Old.Requests >= minReference {
			set(ratios, failures, target, failureLogRatio(p.Old, s))
		}
		if p.Old.Timed >= minReference && s.Timed > 0 {
			set(ratios, runTime, target, runTimeLogRatio(p.Old, s))
		}
	}
	return ratios
}

func set(ratios map[string]map[string]float64, what, target string, ratio float64) {
	if ratios[what] == nil {
		ratios[what] = map[string]float64{}
	}
	ratios[what][target] = ratio
}

// reference returns the outcomes of the old version in a time slice, and of the slices before it
// if there are too few.
func (l *Ledger) reference(bucket int, route string) (sums Sums) {
	for at := bucket; at >= 0 && at > bucket-maxReferenceAge; at-- {
		sums.add(l.sums[at][route].Old, 1)
		if sums.Timed >= minReference {
			break
		}
	}
	return sums
}
