package bfplan

import (
	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfquery/bfsyntax"
)

// planner applies edits in sequence to a state.
type planner struct {
	base *bfconfig.State
	// edited holds the objects changed by earlier edits; nil marks a removed one.
	edited map[bfconfig.Ref]bfconfig.Object
}

func (p *planner) object(ref bfconfig.Ref) (bfconfig.Object, bool) {
	if object, found := p.edited[ref]; found {
		return object, object != nil
	}
	return p.base.Object(ref)
}

// Plan converts edits of base into operations on complete objects. It returns an
// *ExistsError or a *bfconfig.MissingError for an edit that does not apply.
func Plan(base *bfconfig.State, edits []bfsyntax.Edit) ([]bfconfig.Op, error) {
	p := &planner{base: base, edited: map[bfconfig.Ref]bfconfig.Object{}}
	ops := make([]bfconfig.Op, 0, len(edits))
	for _, edit := range edits {
		op, err := p.op(edit)
		if err != nil {
			return nil, err
		}
		ops = append(ops, op)
	}
	return ops, nil
}

func (p *planner) op(edit bfsyntax.Edit) (bfconfig.Op, error) {
	ref := edit.Ref()
	current, exists := p.object(ref)
	switch edit := edit.(type) {
	case bfsyntax.Create:
		if exists {
			return nil, &ExistsError{Ref: ref}
		}
		return p.put(emptyObject(ref), edit.Fields)
	case bfsyntax.Change:
		if !exists {
			return nil, &bfconfig.MissingError{Ref: ref}
		}
		return p.put(current, edit.Fields)
	case bfsyntax.Remove:
		if !exists {
			return nil, &bfconfig.MissingError{Ref: ref}
		}
		p.edited[ref] = nil
		return bfconfig.Remove{Ref: ref}, nil
	}
	return nil, &EditError{Reason: "edit " + edit.String() + " of unknown type"}
}

func (p *planner) put(object bfconfig.Object, fields bfsyntax.Fields) (bfconfig.Op, error) {
	next, err := apply(object, fields)
	if err != nil {
		return nil, err
	}
	p.edited[next.Ref()] = next
	return bfconfig.Put{Object: next}, nil
}

func emptyObject(ref bfconfig.Ref) bfconfig.Object {
	switch ref.Kind {
	case bfconfig.KindService:
		return bfconfig.ServiceSpec{Name: ref.Name}
	case bfconfig.KindRoute:
		return bfconfig.RouteSpec{Name: ref.Name}
	case bfconfig.KindPolicy:
		return bfconfig.PolicySpec{Name: ref.Name}
	case bfconfig.KindEvent:
		return bfconfig.EventSpec{Name: ref.Name}
	}
	return nil
}

// apply returns the object with the given fields set; both must be of the same kind.
func apply(object bfconfig.Object, fields bfsyntax.Fields) (bfconfig.Object, error) {
	switch f := fields.(type) {
	case bfsyntax.ServiceFields:
		if o, same := object.(bfconfig.ServiceSpec); same {
			return f.Apply(o), nil
		}
	case bfsyntax.RouteFields:
		if o, same := object.(bfconfig.RouteSpec); same {
			return f.Apply(o), nil
		}
	case bfsyntax.PolicyFields:
		if o, same := object.(bfconfig.PolicySpec); same {
			return f.Apply(o), nil
		}
	case bfsyntax.EventFields:
		if o, same := object.(bfconfig.EventSpec); same {
			return f.Apply(o), nil
		}
	}
	return nil, &EditError{Reason: "fields of another kind than the object"}
}
