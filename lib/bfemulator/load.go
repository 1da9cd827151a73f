package bfemulator

import (
	"fmt"
	"time"

	"bilberryflow.org/lib/bfbudget"
	"bilberryflow.org/lib/bfsettings"
)

// Load describes a simulation: services, request classes and faults. It is read from a JSON file.
type Load struct {
	Seed     uint64              `json:"seed" jsonschema:"description=Seed of all that is drawn."`
	Length   bfsettings.Duration `json:"length" jsonschema:"description=How long callers come."`
	Domains  int                 `json:"domains" jsonschema:"minimum=1,maximum=30,description=Failure domains; each has the targets below."`
	Repeats  Repeats             `json:"repeats" jsonschema:"description=Bound of the repeats that all nodes together send to a service."`
	Services []Service           `json:"services" jsonschema:"minItems=1"`
	Classes  []Class             `json:"classes" jsonschema:"minItems=1"`
	Faults   []Fault             `json:"faults,omitempty"`
	// Restart is how long a target that a request crashed is down.
	Restart bfsettings.Duration `json:"restart,omitempty" jsonschema:"description=How long a target is away that a request has ended."`
}

// Repeats is the retry budget of one service: how many requests all nodes together may resend to it.
type Repeats struct {
	Ratio  float64             `json:"ratio" jsonschema:"minimum=0,maximum=10,description=Repeats for each request."`
	Slack  float64             `json:"slack" jsonschema:"minimum=0,maximum=1000000,description=Repeats beside the ratio in a window."`
	Window bfsettings.Duration `json:"window" jsonschema:"description=Span in which both are counted."`
}

func (r Repeats) terms() bfbudget.Terms {
	return bfbudget.Terms{Ratio: r.Ratio, Slack: r.Slack, Window: r.Window.Std()}
}

// Service is one service and its targets.
type Service struct {
	Name string `json:"name" jsonschema:"minLength=1"`
	// Targets is the number of targets in each failure domain.
	Targets int       `json:"targets" jsonschema:"minimum=1,maximum=200,description=Targets in each domain."`
	Slots   int       `json:"slots" jsonschema:"minimum=1,maximum=1000,description=Requests that a target runs at once."`
	Speeds  []float64 `json:"speeds" jsonschema:"minItems=1,description=How long the targets take in turn in parts of the mean."`
}

// Class is one kind of request.
type Class struct {
	Name    string `json:"name" jsonschema:"minLength=1"`
	Service string `json:"service" jsonschema:"minLength=1"`
	// PerSecond is the arrival rate of callers; 0 for a class that is reached by nested calls only.
	PerSecond float64             `json:"perSecond,omitempty" jsonschema:"minimum=0,maximum=1000000,description=Callers in a second."`
	Rank      int                 `json:"rank,omitempty" jsonschema:"minimum=0,maximum=9,description=Rank at a full target; 0 goes first."`
	Once      bool                `json:"once,omitempty" jsonschema:"description=Whether it may run once only."`
	Running   bfsettings.Duration `json:"running" jsonschema:"description=Mean time at a target of mean speed."`
	Spread    float64             `json:"spread" jsonschema:"minimum=0,maximum=3,description=Deviation of the logarithm of that time."`
	Objective bfsettings.Duration `json:"objective"`
	Deadline  bfsettings.Duration `json:"deadline"`
	Retries   int                 `json:"retries,omitempty" jsonschema:"minimum=0,maximum=9,description=How often a caller comes back."`
	Calls     []Call              `json:"calls,omitempty" jsonschema:"description=What its runs call; all at once."`
	// Contents is the number of distinct requests; 0 makes each request distinct.
	Contents int `json:"contents,omitempty" jsonschema:"minimum=0,maximum=1000000,description=How many different requests there are; 0 for as many as callers."`
	// EndsTargets makes a request crash its target once it has run there.
	EndsTargets bool `json:"endsTargets,omitempty" jsonschema:"description=Whether each target ends that runs it."`
}

// Call describes the nested calls that a run of a class makes.
type Call struct {
	Class string  `json:"class" jsonschema:"minLength=1"`
	Times int     `json:"times" jsonschema:"minimum=1,maximum=20"`
	Share float64 `json:"share" jsonschema:"minimum=0,maximum=1,description=Part of the runs that make the calls."`
}

// Fault affects some of a service's targets for a time; a burst affects the arrival rate instead.
type Fault struct {
	Kind    string              `json:"kind" jsonschema:"enum=shed,enum=slow,enum=crash,enum=burst,enum=limit,enum=leave,description=shed: x of what arrives is turned away; slow: runs take x times as long; crash: nothing is taken and what runs is lost; burst: x times as many callers; limit: answers name x requests a second as the target's limit; leave: answers say with x above 0 that the target leaves."`
	Service string              `json:"service,omitempty"`
	Share   float64             `json:"share,omitempty" jsonschema:"minimum=0,maximum=1,description=Part of the service's targets."`
	X       float64             `json:"x,omitempty" jsonschema:"minimum=0,maximum=1000"`
	From    bfsettings.Duration `json:"from"`
	For     bfsettings.Duration `json:"for"`
}

// FieldError reports a field whose value is inconsistent with the rest of the load.
type FieldError struct {
	Field, Value, Allowed string
}

// Error names the field, its value and the allowed values.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %q is none of %s", e.Field, e.Value, e.Allowed)
}

// Read parses a load from the text of a JSON file. The error names each invalid field.
func Read(data []byte) (Load, error) {
	var load Load
	if err := bfsettings.Decode(data, &load); err != nil {
		return Load{}, err
	}
	return load, load.check()
}

// check validates references between services and classes; the schema validates the rest.
func (l Load) check() error {
	for i, c := range l.Classes {
		if l.serviceIndex(c.Service) < 0 {
			return &FieldError{fmt.Sprintf("classes.%d.service", i), c.Service, "the services"}
		}
		for n, call := range c.Calls {
			if l.classIndex(call.Class) < 0 {
				return &FieldError{fmt.Sprintf("classes.%d.calls.%d.class", i, n), call.Class, "the classes"}
			}
		}
		if l.hasCallCycle(i, len(l.Classes)) {
			return &FieldError{fmt.Sprintf("classes.%d.calls", i), c.Name, "the classes without a call cycle"}
		}
	}
	for i, f := range l.Faults {
		if f.Kind != faultBurst && l.serviceIndex(f.Service) < 0 {
			return &FieldError{fmt.Sprintf("faults.%d.service", i), f.Service, "the services"}
		}
	}
	return nil
}

// hasCallCycle reports whether the calls of a class nest deeper than depth, the number of
// classes, which only a cycle can cause.
func (l Load) hasCallCycle(class, depth int) bool {
	if depth < 0 {
		return true
	}
	for _, call := range l.Classes[class].Calls {
		if l.hasCallCycle(l.classIndex(call.Class), depth-1) {
			return true
		}
	}
	return false
}

func (l Load) serviceIndex(name string) int {
	for i, s := range l.Services {
		if s.Name == name {
			return i
		}
	}
	return -1
}

func (l Load) classIndex(name string) int {
	for i, c := range l.Classes {
		if c.Name == name {
			return i
		}
	}
	return -1
}

// Values of Fault.Kind.
const (
	faultShed  = "shed"
	faultSlow  = "slow"
	faultCrash = "crash"
	faultBurst = "burst"
	faultLimit = "limit"
	faultLeave = "leave"
)

// activeAt reports whether the fault is active at a time since the start.
func (f Fault) activeAt(at time.Duration) bool {
	return at >= f.From.Std() && at < f.From.Std()+f.For.Std()
}
