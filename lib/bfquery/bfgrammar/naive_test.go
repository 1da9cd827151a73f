package bfgrammar

import (
	"regexp"
	"strings"
	"time"

	"bilberryflow.org/lib/bfquery/bfresult"
	"bilberryflow.org/lib/bfquery/bfsyntax"
)

// naiveFilter evaluates a condition on one row as docs/LANGUAGE.md defines it.
func naiveFilter(condition bfsyntax.Condition, row map[string]bfresult.Cell) bool {
	switch c := condition.(type) {
	case bfsyntax.And:
		result := true
		for _, term := range c.Terms {
			result = result && naiveFilter(term, row)
		}
		return result
	case bfsyntax.Or:
		result := false
		for _, term := range c.Terms {
			result = result || naiveFilter(term, row)
		}
		return result
	case bfsyntax.Not:
		return !naiveFilter(c.Term, row)
	}
	c := condition.(bfsyntax.Comparison)
	if list, isList := row[c.Column].(bfresult.ListCell); isList {
		anyMatch := false
		for _, item := range list {
			equal := c.Operator != bfsyntax.Matches && item == c.Value.String()
			matched := c.Operator == bfsyntax.Matches && regexp.MustCompile(c.Value.String()).MatchString(item)
			anyMatch = anyMatch || equal || matched
		}
		return anyMatch != (c.Operator == bfsyntax.NotEqual)
	}
	order := naiveCompare(row[c.Column], c.Value)
	return naiveOperator(order, c.Operator, row[c.Column].String(), c.Value.String())
}

func naiveCompare(a, b bfresult.Cell) int {
	switch x := a.(type) {
	case bfresult.NumberCell:
		return compareInts(int64(x), int64(b.(bfresult.NumberCell)))
	case bfresult.PercentCell:
		return compareInts(int64(x), int64(b.(bfresult.PercentCell)))
	case bfresult.DurationCell:
		return compareInts(int64(x), int64(b.(bfresult.DurationCell)))
	case bfresult.TimeCell:
		return compareInts(time.Time(x).UnixNano(), time.Time(b.(bfresult.TimeCell)).UnixNano())
	}
	return strings.Compare(a.String(), b.String())
}

func compareInts(a, b int64) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

func naiveOperator(order int, operator bfsyntax.Operator, text, pattern string) bool {
	switch operator {
	case bfsyntax.Equal:
		return order == 0
	case bfsyntax.NotEqual:
		return order != 0
	case bfsyntax.Less:
		return order < 0
	case bfsyntax.LessOrEqual:
		return order < 1
	case bfsyntax.Greater:
		return order > 0
	case bfsyntax.GreaterOrEqual:
		return order > -1
	}
	return regexp.MustCompile(pattern).MatchString(text)
}
