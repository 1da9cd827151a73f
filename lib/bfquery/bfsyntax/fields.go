package bfsyntax

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfquery/bfresult"
)

// Fields is the sealed set of an edit's fields by kind: ServiceFields,
// RouteFields, PolicyFields and EventFields. A nil field is not set.
type Fields interface {
	// Kind returns the kind of object.
	Kind() bfconfig.Kind
	// Settings lists the fields that are set, in the order of docs/LANGUAGE.md.
	Settings() []Setting
}

// Setting is one field with its value formatted as in a command.
type Setting struct {
	Field string
	Value string
}

// ServiceFields are the fields of a service.
type ServiceFields struct {
	Slots     *int
	ColdStart *time.Duration
}

// RouteFields are the fields of a route.
type RouteFields struct {
	Prefix *string
	// Methods is empty, not nil, for "any".
	Methods []string
	Service *string
	Policy  *string
}

// PolicyFields are the fields of a policy.
type PolicyFields struct {
	Class       *string
	Idempotent  *bool
	Deadline    *time.Duration
	Priority    *int
	Queue       *int
	Concurrency *int
	Retry       *int
	TenantLimit *int
	DurableKeys *bool
}

// EventFields are the fields of an event.
type EventFields struct {
	Start  *time.Time
	End    *time.Time
	WarmUp *time.Duration
	// Overrides is empty, not nil, for "none".
	Overrides []bfconfig.Override
}

// Kind returns KindService.
func (ServiceFields) Kind() bfconfig.Kind { return bfconfig.KindService }

// Kind returns KindRoute.
func (RouteFields) Kind() bfconfig.Kind { return bfconfig.KindRoute }

// Kind returns KindPolicy.
func (PolicyFields) Kind() bfconfig.Kind { return bfconfig.KindPolicy }

// Kind returns KindEvent.
func (EventFields) Kind() bfconfig.Kind { return bfconfig.KindEvent }

// Apply returns the service with the fields set.
func (f ServiceFields) Apply(s bfconfig.ServiceSpec) bfconfig.ServiceSpec {
	setIfPresent(&s.Slots, f.Slots)
	setIfPresent(&s.ColdStart, f.ColdStart)
	return s
}

// Apply returns the route with the fields set.
func (f RouteFields) Apply(s bfconfig.RouteSpec) bfconfig.RouteSpec {
	setIfPresent(&s.Prefix, f.Prefix)
	setIfPresent(&s.Service, f.Service)
	setIfPresent(&s.Policy, f.Policy)
	if f.Methods != nil {
		s.Methods = slices.Clone(f.Methods)
	}
	return s
}

// Apply returns the policy with the fields set.
func (f PolicyFields) Apply(s bfconfig.PolicySpec) bfconfig.PolicySpec {
	setIfPresent(&s.Class, f.Class)
	setIfPresent(&s.Idempotent, f.Idempotent)
	setIfPresent(&s.Deadline, f.Deadline)
	setIfPresent(&s.Priority, f.Priority)
	setIfPresent(&s.Queue, f.Queue)
	setIfPresent(&s.Concurrency, f.Concurrency)
	setIfPresent(&s.RetryPercent, f.Retry)
	setIfPresent(&s.TenantLimit, f.TenantLimit)
	setIfPresent(&s.DurableKeys, f.DurableKeys)
	return s
}

// Apply returns the event with the fields set.
func (f EventFields) Apply(s bfconfig.EventSpec) bfconfig.EventSpec {
	setIfPresent(&s.Start, f.Start)
	setIfPresent(&s.End, f.End)
	setIfPresent(&s.WarmUp, f.WarmUp)
	if f.Overrides != nil {
		s.Overrides = slices.Clone(f.Overrides)
	}
	return s
}

func setIfPresent[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}

// FieldsOf returns all fields of an object; a Create with them produces an equal object.
func FieldsOf(object bfconfig.Object) (Fields, error) {
	switch o := object.(type) {
	case bfconfig.ServiceSpec:
		return ServiceFields{Slots: &o.Slots, ColdStart: &o.ColdStart}, nil
	case bfconfig.RouteSpec:
		methods := append([]string{}, o.Methods...)
		return RouteFields{Prefix: &o.Prefix, Methods: methods, Service: &o.Service, Policy: &o.Policy}, nil
	case bfconfig.PolicySpec:
		return PolicyFields{
			Class: &o.Class, Idempotent: &o.Idempotent, Deadline: &o.Deadline, Priority: &o.Priority,
			Queue: &o.Queue, Concurrency: &o.Concurrency, Retry: &o.RetryPercent,
			TenantLimit: &o.TenantLimit, DurableKeys: &o.DurableKeys,
		}, nil
	case bfconfig.EventSpec:
		overrides := append([]bfconfig.Override{}, o.Overrides...)
		return EventFields{Start: &o.Start, End: &o.End, WarmUp: &o.WarmUp, Overrides: overrides}, nil
	}
	return nil, fmt.Errorf("object of unknown type %T", object)
}

// settingList collects the fields that are set.
type settingList []Setting

func (l *settingList) add(field, value string) { *l = append(*l, Setting{Field: field, Value: value}) }

func (l *settingList) number(field string, value *int) {
	if value != nil {
		l.add(field, strconv.Itoa(*value))
	}
}

func (l *settingList) word(field string, value *string) {
	if value != nil {
		l.add(field, quote(*value))
	}
}

func (l *settingList) duration(field string, value *time.Duration) {
	if value != nil {
		l.add(field, bfresult.FormatDuration(*value))
	}
}

func (l *settingList) time(field string, value *time.Time) {
	if value != nil {
		l.add(field, formatTime(*value))
	}
}

func (l *settingList) flag(field string, value *bool) {
	if value != nil {
		l.add(field, bfresult.FlagCell(*value).String())
	}
}

// Settings lists the fields that are set.
func (f ServiceFields) Settings() []Setting {
	var list settingList
	list.number("slots", f.Slots)
	list.duration("coldstart", f.ColdStart)
	return list
}

// Settings lists the fields that are set.
func (f RouteFields) Settings() []Setting {
	var list settingList
	list.word("prefix", f.Prefix)
	if f.Methods != nil {
		list.add("methods", joinOr(f.Methods, "any"))
	}
	list.word("service", f.Service)
	list.word("policy", f.Policy)
	return list
}

// Settings lists the fields that are set.
func (f PolicyFields) Settings() []Setting {
	var list settingList
	list.word("class", f.Class)
	list.flag("idempotent", f.Idempotent)
	list.duration("deadline", f.Deadline)
	list.number("priority", f.Priority)
	list.number("queue", f.Queue)
	list.number("concurrency", f.Concurrency)
	if f.Retry != nil {
		list.add("retry", bfresult.PercentCell(*f.Retry).String())
	}
	list.number("tenantlimit", f.TenantLimit)
	list.flag("durablekeys", f.DurableKeys)
	return list
}

// Settings lists the fields that are set.
func (f EventFields) Settings() []Setting {
	var list settingList
	list.time("start", f.Start)
	list.time("end", f.End)
	list.duration("warmup", f.WarmUp)
	if f.Overrides != nil {
		list.add("override", joinOr(OverrideTexts(f.Overrides), "none"))
	}
	return list
}

// OverrideTexts formats overrides as in a command, "ROUTE by POLICY".
func OverrideTexts(overrides []bfconfig.Override) []string {
	texts := make([]string, 0, len(overrides))
	for _, o := range overrides {
		texts = append(texts, quote(o.Route)+" by "+quote(o.Policy))
	}
	return texts
}

func joinOr(texts []string, none string) string {
	if len(texts) == 0 {
		return none
	}
	return strings.Join(texts, ", ")
}
