package bfgrammar

import (
	"time"

	"github.com/alecthomas/participle/v2/lexer"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfquery/bfsyntax"
)

func (r *resolver) stage(node *stageNode) bfsyntax.Command {
	stage := bfsyntax.Stage{Name: r.stagedName(node.Name)}
	for _, edit := range node.Edits {
		stage.Edits = append(stage.Edits, r.edit(edit))
	}
	if len(stage.Edits) == 0 {
		r.fail(node.Name.Pos, node.Name.Text, "a staged change with at least one create, change or remove", "")
	}
	return stage
}

func (r *resolver) edit(node *editNode) bfsyntax.Edit {
	switch {
	case node.Create != nil:
		name, fields := r.object(node.Create)
		return bfsyntax.Create{Name: name, Fields: fields}
	case node.Change != nil:
		name, fields := r.object(node.Change)
		if len(fields.Settings()) == 0 {
			r.fail(node.Pos, "change", "at least one field to alter", "")
		}
		return bfsyntax.Change{Name: name, Fields: fields}
	}
	return bfsyntax.Remove{Object: r.ref(node.Remove)}
}

func (r *resolver) object(node *objectNode) (string, bfsyntax.Fields) {
	switch {
	case node.Service != nil:
		return r.requiredText(node.Service.Name), r.serviceFields(node.Service.Fields)
	case node.Route != nil:
		return r.requiredText(node.Route.Name), r.routeFields(node.Route.Fields)
	case node.Policy != nil:
		return r.requiredText(node.Policy.Name), r.policyFields(node.Policy.Fields)
	}
	return r.requiredText(node.Event.Name), r.eventFields(node.Event.Fields)
}

// assign sets a field and fails if the command already set it, since either
// value could be the intended one.
func assign[T any](r *resolver, pos lexer.Position, field **T, name string, value T) {
	if *field != nil {
		r.fail(pos, name, "each field once", "")
	}
	*field = &value
}

func (r *resolver) serviceFields(nodes []*serviceField) bfsyntax.Fields {
	var fields bfsyntax.ServiceFields
	for _, node := range nodes {
		switch {
		case node.Slots != nil:
			assign(r, node.Pos, &fields.Slots, "slots", r.number(node.Slots))
		case node.ColdStart != nil:
			assign(r, node.Pos, &fields.ColdStart, "coldstart", r.duration(node.ColdStart))
		}
	}
	return fields
}

func (r *resolver) routeFields(nodes []*routeField) bfsyntax.Fields {
	var fields bfsyntax.RouteFields
	for _, node := range nodes {
		switch {
		case node.Prefix != nil:
			assign(r, node.Pos, &fields.Prefix, "prefix", r.requiredText(node.Prefix))
		case node.Service != nil:
			assign(r, node.Pos, &fields.Service, "service", r.requiredText(node.Service))
		case node.Policy != nil:
			assign(r, node.Pos, &fields.Policy, "policy", r.requiredText(node.Policy))
		case node.Methods != nil:
			if fields.Methods != nil {
				r.fail(node.Pos, "methods", "each field once", "")
			}
			fields.Methods = r.methods(node.Methods)
		}
	}
	return fields
}

func (r *resolver) methods(nodes []*valueNode) []string {
	methods := []string{}
	if len(nodes) == 1 && nodes[0].Text == "any" {
		return methods
	}
	for _, node := range nodes {
		methods = append(methods, r.requiredText(node))
	}
	return methods
}

func (r *resolver) policyFields(nodes []*policyField) bfsyntax.Fields {
	var fields bfsyntax.PolicyFields
	for _, node := range nodes {
		switch {
		case node.Class != nil:
			assign(r, node.Pos, &fields.Class, "class", r.requiredText(node.Class))
		case node.Flag != nil && node.Flag.Name == "idempotent":
			assign(r, node.Pos, &fields.Idempotent, "idempotent", node.Flag.Value != "no")
		case node.Flag != nil:
			assign(r, node.Pos, &fields.DurableKeys, "durablekeys", node.Flag.Value != "no")
		case node.Deadline != nil:
			assign(r, node.Pos, &fields.Deadline, "deadline", r.duration(node.Deadline))
		case node.Priority != nil:
			assign(r, node.Pos, &fields.Priority, "priority", r.number(node.Priority))
		case node.Queue != nil:
			assign(r, node.Pos, &fields.Queue, "queue", r.number(node.Queue))
		case node.Concurrency != nil:
			assign(r, node.Pos, &fields.Concurrency, "concurrency", r.number(node.Concurrency))
		case node.Retry != nil:
			assign(r, node.Pos, &fields.Retry, "retry", r.percent(node.Retry))
		case node.TenantLimit != nil:
			assign(r, node.Pos, &fields.TenantLimit, "tenantlimit", r.number(node.TenantLimit))
		}
	}
	return fields
}

func (r *resolver) eventFields(nodes []*eventField) bfsyntax.Fields {
	var fields bfsyntax.EventFields
	for _, node := range nodes {
		switch {
		case node.Start != nil:
			assign(r, node.Pos, &fields.Start, "start", r.time(node.Start))
		case node.End != nil:
			assign(r, node.Pos, &fields.End, "end", r.time(node.End))
		case node.WarmUp != nil:
			assign[time.Duration](r, node.Pos, &fields.WarmUp, "warmup", r.duration(node.WarmUp))
		case node.Override != nil:
			if fields.Overrides != nil {
				r.fail(node.Pos, "override", "each field once", "")
			}
			fields.Overrides = r.overrides(node.Override)
		}
	}
	return fields
}

func (r *resolver) overrides(node *overrideNode) []bfconfig.Override {
	overrides := []bfconfig.Override{}
	for _, pair := range node.Pairs {
		override := bfconfig.Override{Route: r.requiredText(pair.Route), Policy: r.requiredText(pair.Policy)}
		overrides = append(overrides, override)
	}
	return overrides
}
