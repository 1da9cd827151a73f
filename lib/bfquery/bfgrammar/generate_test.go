package bfgrammar

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfquery/bfresult"
	"bilberryflow.org/lib/bfquery/bfsyntax"
)

var (
	words = rapid.OneOf(
		rapid.SampledFrom([]string{"assets", "where", "none", "any", "by", "yes", "desc", "a b", `"`, `\`, "#", "}", "24h", "é", "\xff", "\n"}),
		rapid.StringN(1, 8, -1),
	)
	stagedNames = rapid.StringMatching(`[a-z0-9]([a-z0-9-]{0,5}[a-z0-9])?`)
	numbers     = rapid.IntRange(-5, 1000)
	durations   = rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.Int64Range(1, int64(48*time.Hour)).Draw(t, "duration"))
	})
	times = rapid.Custom(func(t *rapid.T) time.Time {
		return time.Unix(rapid.Int64Range(0, 4e9).Draw(t, "seconds"), rapid.Int64Range(0, 999).Draw(t, "ms")*1e6).UTC()
	})
)

func optionalOf[T any](t *rapid.T, label string, generator *rapid.Generator[T]) *T {
	return rapid.Ptr(generator, true).Draw(t, label)
}

// listOf draws nil for a field that is not set, and otherwise a list that may be empty.
func listOf[T any](t *rapid.T, label string, generator *rapid.Generator[T]) []T {
	if !rapid.Bool().Draw(t, label+" named") {
		return nil
	}
	return append([]T{}, rapid.SliceOfN(generator, 0, 3).Draw(t, label)...)
}

func fieldsGenerator(t *rapid.T) bfsyntax.Fields {
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		return bfsyntax.ServiceFields{Slots: optionalOf(t, "slots", numbers), ColdStart: optionalOf(t, "coldstart", durations)}
	case 1:
		return bfsyntax.RouteFields{
			Prefix: optionalOf(t, "prefix", words), Methods: listOf(t, "methods", words),
			Service: optionalOf(t, "service", words), Policy: optionalOf(t, "policy", words),
		}
	case 2:
		return bfsyntax.PolicyFields{
			Class: optionalOf(t, "class", words), Idempotent: optionalOf(t, "idempotent", rapid.Bool()),
			Deadline: optionalOf(t, "deadline", durations), Priority: optionalOf(t, "priority", numbers),
			Queue: optionalOf(t, "queue", numbers), Concurrency: optionalOf(t, "concurrency", numbers),
			Retry: optionalOf(t, "retry", numbers), TenantLimit: optionalOf(t, "tenantlimit", numbers),
			DurableKeys: optionalOf(t, "durablekeys", rapid.Bool()),
		}
	}
	override := rapid.Custom(func(t *rapid.T) bfconfig.Override {
		return bfconfig.Override{Route: words.Draw(t, "route"), Policy: words.Draw(t, "policy")}
	})
	return bfsyntax.EventFields{
		Start: optionalOf(t, "start", times), End: optionalOf(t, "end", times),
		WarmUp: optionalOf(t, "warmup", durations), Overrides: listOf(t, "override", override),
	}
}

func refGenerator(t *rapid.T) bfconfig.Ref {
	return bfconfig.Ref{Kind: rapid.SampledFrom(bfconfig.Kinds()).Draw(t, "kind"), Name: words.Draw(t, "name")}
}

func editGenerator() *rapid.Generator[bfsyntax.Edit] {
	return rapid.Custom(func(t *rapid.T) bfsyntax.Edit {
		fields := fieldsGenerator(t)
		switch rapid.IntRange(0, 2).Draw(t, "edit") {
		case 0:
			return bfsyntax.Create{Name: words.Draw(t, "name"), Fields: fields}
		case 1:
			if len(fields.Settings()) > 0 {
				return bfsyntax.Change{Name: words.Draw(t, "name"), Fields: fields}
			}
		}
		return bfsyntax.Remove{Object: refGenerator(t)}
	})
}

func cellGenerator(t *rapid.T, kind bfresult.ColumnType) bfresult.Cell {
	switch kind {
	case bfresult.TypeNumber:
		return bfresult.NumberCell(numbers.Draw(t, "number"))
	case bfresult.TypePercent:
		return bfresult.PercentCell(numbers.Draw(t, "percent"))
	case bfresult.TypeDuration:
		return bfresult.DurationCell(durations.Draw(t, "duration"))
	case bfresult.TypeTime:
		return bfresult.TimeCell(times.Draw(t, "time"))
	case bfresult.TypeFlag:
		return bfresult.FlagCell(rapid.Bool().Draw(t, "flag"))
	case bfresult.TypeList:
		return bfresult.ListCell{words.Draw(t, "item")}
	case bfresult.TypeText:
	}
	return bfresult.TextCell(words.Draw(t, "text"))
}

func comparisonGenerator(t *rapid.T, table bfsyntax.TableName) bfsyntax.Condition {
	column := rapid.SampledFrom(bfsyntax.Columns(table)).Draw(t, "column")
	operator := rapid.SampledFrom(bfsyntax.OperatorsOf(column.Type)).Draw(t, "operator")
	if operator == bfsyntax.Matches {
		pattern := rapid.SampledFrom([]string{"a", "^a.*s$", "[wy]", "(or|by) "}).Draw(t, "pattern")
		return bfsyntax.Comparison{Column: column.Name, Operator: operator, Value: bfresult.TextCell(pattern)}
	}
	return bfsyntax.Comparison{Column: column.Name, Operator: operator, Value: cellGenerator(t, column.Type)}
}

func conditionGenerator(t *rapid.T, table bfsyntax.TableName, depth int) bfsyntax.Condition {
	kind := rapid.IntRange(0, 3).Draw(t, "condition")
	if depth == 0 || kind == 0 {
		return comparisonGenerator(t, table)
	}
	if kind == 1 {
		return bfsyntax.Not{Term: conditionGenerator(t, table, depth-1)}
	}
	var terms []bfsyntax.Condition
	for range rapid.IntRange(2, 3).Draw(t, "terms") {
		terms = append(terms, conditionGenerator(t, table, depth-1))
	}
	if kind == 2 {
		return bfsyntax.And{Terms: terms}
	}
	return bfsyntax.Or{Terms: terms}
}

func showGenerator(t *rapid.T) bfsyntax.Show {
	show := bfsyntax.Show{Table: rapid.SampledFrom(bfsyntax.TableNames()).Draw(t, "table"), Limit: rapid.IntRange(0, 9).Draw(t, "limit")}
	if rapid.Bool().Draw(t, "where") {
		show.Where = conditionGenerator(t, show.Table, 3)
	}
	if rapid.Bool().Draw(t, "ordered") {
		column := rapid.SampledFrom(bfsyntax.Columns(show.Table)).Draw(t, "order")
		show.Order = &bfsyntax.Order{Column: column.Name, Descending: rapid.Bool().Draw(t, "desc")}
	}
	return show
}

func commandGenerator() *rapid.Generator[bfsyntax.Command] {
	return rapid.Custom(func(t *rapid.T) bfsyntax.Command {
		staged, word := stagedNames.Draw(t, "staged"), words.Draw(t, "word")
		version := bfconfig.Version(rapid.IntRange(1, 99).Draw(t, "version"))
		return rapid.SampledFrom([]func() bfsyntax.Command{
			func() bfsyntax.Command {
				return bfsyntax.Stage{Name: staged, Edits: rapid.SliceOfN(editGenerator(), 1, 4).Draw(t, "edits")}
			},
			func() bfsyntax.Command { return showGenerator(t) },
			func() bfsyntax.Command { return bfsyntax.Diff{Name: staged} },
			func() bfsyntax.Command { return bfsyntax.Confirm{Name: staged} },
			func() bfsyntax.Command { return bfsyntax.Confirm{Name: staged, ChangeID: "01J-" + staged} },
			func() bfsyntax.Command { return bfsyntax.Discard{Name: staged} },
			func() bfsyntax.Command {
				scopes := []bfsyntax.Scope{
					bfsyntax.Everywhere{}, bfsyntax.AtNode{Instance: word},
					bfsyntax.InDomain{Domain: word}, bfsyntax.InRegion{Region: word},
				}
				return bfsyntax.InForce{Scope: rapid.SampledFrom(scopes).Draw(t, "scope")}
			},
			func() bfsyntax.Command {
				return bfsyntax.Explain{Method: word, Path: "/" + word, Tenant: word, At: times.Draw(t, "at")}
			},
			func() bfsyntax.Command { return bfsyntax.Explain{Method: word, Path: "/"} },
			func() bfsyntax.Command { return bfsyntax.History{Object: refGenerator(t), Limit: int(version) - 1} },
			func() bfsyntax.Command { return bfsyntax.Undo{Version: version} },
			func() bfsyntax.Command { return bfsyntax.Undo{Version: version, Name: staged} },
			func() bfsyntax.Command { return bfsyntax.Drain{Instance: word} },
			func() bfsyntax.Command { return bfsyntax.Release{Content: word} },
			func() bfsyntax.Command { return bfsyntax.Watch{Version: version - 1, For: durations.Draw(t, "for")} },
			func() bfsyntax.Command { return bfsyntax.Watch{} },
			func() bfsyntax.Command {
				return bfsyntax.Help{Topic: rapid.SampledFrom(append(topics(), "")).Draw(t, "topic")}
			},
		}).Draw(t, "command")()
	})
}

func topics() []string {
	var names []string
	for _, usage := range Usages() {
		names = append(names, usage.Name)
	}
	return names
}

// Compares the filter of show with a naive implementation on random conditions
// and rows.
func TestFilterAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := rapid.SampledFrom(bfsyntax.TableNames()).Draw(t, "table")
		condition := conditionGenerator(t, table, 3)
		filter, err := bfsyntax.Show{Table: table, Where: condition}.Filter()
		if err != nil {
			t.Fatal(err)
		}
		cells := []bfresult.Cell{}
		values := map[string]bfresult.Cell{}
		for _, column := range bfsyntax.Columns(table) {
			cell := cellGenerator(t, column.Type)
			if column.Type == bfresult.TypeList {
				cell = bfresult.ListCell(rapid.SliceOfN(words, 0, 3).Draw(t, "list"))
			}
			cells, values[column.Name] = append(cells, cell), cell
		}
		if got, want := filter(cells), naiveFilter(condition, values); got != want {
			t.Fatalf("%s on %v: %v instead of %v", bfsyntax.Show{Table: table, Where: condition}, values, got, want)
		}
	})
}
