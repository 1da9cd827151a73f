package bfemulator

import (
	"fmt"
	"time"

	"bilberryflow.org/lib/bfbudget"
	"bilberryflow.org/lib/bfsettings"
)

// Load is what is played, as it is written in a JSON file.
type Load struct {
	Seed     uint64              `json:"seed" jsonschema:"description=Seed of all that is drawn."`
	Length   bfsettings.Duration `json:"length" jsonschema:"description=How long callers come."`
	Domains  int                 `json:"domains" jsonschema:"minimum=1,maximum=30,description=Failure domains; each has the targets below."`
	Repeats  Repeats             `json:"repeats" jsonschema:"description=Bound of the repeats that all nodes together send to a service."`
	Services []Service           `json:"services" jsonschema:"minItems=1"`
	Classes  []Class             `json:"classes" jsonschema:"minItems=1"`
	Faults   []Fault             `json:"faults,omitempty"`
	// Restart is how long a target is away that a request has ended.
	Restart bfsettings.Duration `json:"restart,omitempty" jsonschema:"description=How long a target is away that a request has ended."`
}

// Repeats bound what all nodes together send again to one service.
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
	// Targets is their number in each domain.
	Targets int       `json:"targets" jsonschema:"minimum=1,maximum=200,description=Targets in each domain."`
	Slots   int       `json:"slots" jsonschema:"minimum=1,maximum=1000,description=Requests that a target runs at once."`
	Speeds  []float64 `json:"speeds" jsonschema:"minItems=1,description=How long the targets take in turn in parts of the mean."`
}

// Class is one kind of request.
type Class struct {
	Name    string `json:"name" jsonschema:"minLength=1"`
	Service string `json:"service" jsonschema:"minLength=1"`
	// PerSecond is 0 for a class that only runs call.
	PerSecond float64             `json:"perSecond,omitempty" jsonschema:"minimum=0,maximum=1000000,description=Callers in a second."`
	Rank      int                 `json:"rank,omitempty" jsonschema:"minimum=0,maximum=9,description=Rank at a full target; 0 goes first."`
	Once      bool                `json:"once,omitempty" jsonschema:"description=Whether it may run once only."`
	Running   bfsettings.Duration `json:"running" jsonschema:"description=Mean time at a target of mean speed."`
	Spread    float64             `json:"spread" jsonschema:"minimum=0,maximum=3,description=Deviation of the logarithm of that time."`
	Objective bfsettings.Duration `json:"objective"`
	Deadline  bfsettings.Duration `json:"deadline"`
	Retries   int                 `json:"retries,omitempty" jsonschema:"minimum=0,maximum=9,description=How often a caller comes back."`
	Calls     []Call              `json:"calls,omitempty" jsonschema:"description=What its runs call; all at once."`
	// Contents is how many different requests there are, 0 where each is another one.
	Contents int `json:"contents,omitempty" jsonschema:"minimum=0,maximum=1000000,description=How many different requests there are; 0 for as many as callers."`
	// EndsTargets says that each target ends that has worked on it for Running.
	EndsTargets bool `json:"endsTargets,omitempty" jsonschema:"description=Whether each target ends that runs it."`
}

// Call is what the runs of a class call.
type Call struct {
	Class string  `json:"class" jsonschema:"minLength=1"`
	Times int     `json:"times" jsonschema:"minimum=1,maximum=20"`
	Share float64 `json:"share" jsonschema:"minimum=0,maximum=1,description=Part of the runs that make the calls."`
}

// Fault is something that befalls a part of a service's targets, or all callers, for a time.
type Fault struct {
	Kind    string              `json:"kind" jsonschema:"enum=shed,enum=slow,enum=crash,enum=burst,description=shed: x of what arrives is turned away; slow: runs take x times as long; crash: nothing is taken and what runs is lost; burst: x times as many callers."`
	Service string              `json:"service,omitempty"`
	Share   float64             `json:"share,omitempty" jsonschema:"minimum=0,maximum=1,description=Part of the service's targets."`
	X       float64             `json:"x,omitempty" jsonschema:"minimum=0,maximum=1000"`
	From    bfsettings.Duration `json:"from"`
	For     bfsettings.Duration `json:"for"`
}

// FieldError reports a field whose value does not fit the rest of the load.
type FieldError struct {
	Field, Value, Allowed string
}

// Error names the field, its value and what is allowed.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %q is none of %s", e.Field, e.Value, e.Allowed)
}

// Read reads a load from a JSON file's text; its errors name each wrong field.
func Read(data []byte) (Load, error) {
	var load Load
	if err := bfsettings.Decode(data, &load); err != nil {
		return Load{}, err
	}
	return load, load.check()
}

// check holds the names against each other; the schema holds the rest.
func (l Load) check() error {
	for i, c := range l.Classes {
		if l.service(c.Service) < 0 {
			return &FieldError{fmt.Sprintf("classes.%d.service", i), c.Service, "the services"}
		}
		for n, call := range c.Calls {
			if l.class(call.Class) < 0 {
				return &FieldError{fmt.Sprintf("classes.%d.calls.%d.class", i, n), call.Class, "the classes"}
			}
		}
		if l.calls(i, len(l.Classes)) {
			return &FieldError{fmt.Sprintf("classes.%d.calls", i), c.Name, "those that don't call themselves in the end"}
		}
	}
	for i, f := range l.Faults {
		if f.Kind != burst && l.service(f.Service) < 0 {
			return &FieldError{fmt.Sprintf("faults.%d.service", i), f.Service, "the services"}
		}
	}
	return nil
}

// calls reports whether the runs of a class lead to more calls in a row than there are classes.
func (l Load) calls(class, depth int) bool {
	if depth < 0 {
		return true
	}
	for _, call := range l.Classes[class].Calls {
		if l.calls(l.class(call.Class), depth-1) {
			return true
		}
	}
	return false
}

func (l Load) service(name string) int {
	for i, s := range l.Services {
		if s.Name == name {
			return i
		}
	}
	return -1
}

func (l Load) class(name string) int {
	for i, c := range l.Classes {
		if c.Name == name {
			return i
		}
	}
	return -1
}

// Kinds of faults.
const (
	shed  = "shed"
	slow  = "slow"
	crash = "crash"
	burst = "burst"
)

// holds reports whether the fault is there at a time after the start.
func (f Fault) holds(at time.Duration) bool {
	return at >= f.From.Std() && at < f.From.Std()+f.For.Std()
}
