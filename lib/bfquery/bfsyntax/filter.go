package bfsyntax

import (
	"fmt"
	"regexp"
	"slices"

	"bilberryflow.org/lib/bfquery/bfresult"
)

// Filter reports whether a row matches the condition of a show command.
type Filter func(row []bfresult.Cell) bool

// ConditionError reports a condition that is invalid for its table. The parser
// rejects such conditions.
type ConditionError struct {
	Table  TableName
	Column string
}

// Error returns the table and the column.
func (e *ConditionError) Error() string {
	return fmt.Sprintf("condition on %q does not fit table %s", e.Column, e.Table)
}

// Filter compiles the command's condition. Its error is a *ConditionError.
func (c Show) Filter() (Filter, error) { return filterOf(c.Table, c.Where) }

func filterOf(table TableName, condition Condition) (Filter, error) {
	switch c := condition.(type) {
	case nil:
		return func([]bfresult.Cell) bool { return true }, nil
	case And:
		terms, err := filtersOf(table, c.Terms)
		return func(row []bfresult.Cell) bool { return !slices.ContainsFunc(terms, rejects(row)) }, err
	case Or:
		terms, err := filtersOf(table, c.Terms)
		return func(row []bfresult.Cell) bool { return slices.ContainsFunc(terms, accepts(row)) }, err
	case Not:
		term, err := filterOf(table, c.Term)
		return func(row []bfresult.Cell) bool { return !term(row) }, err
	case Comparison:
		return comparisonFilter(table, c)
	}
	return nil, &ConditionError{Table: table}
}

func accepts(row []bfresult.Cell) func(Filter) bool {
	return func(f Filter) bool { return f(row) }
}

func rejects(row []bfresult.Cell) func(Filter) bool {
	return func(f Filter) bool { return !f(row) }
}

func filtersOf(table TableName, conditions []Condition) ([]Filter, error) {
	filters := make([]Filter, 0, len(conditions))
	for _, condition := range conditions {
		filter, err := filterOf(table, condition)
		if err != nil {
			return nil, err
		}
		filters = append(filters, filter)
	}
	return filters, nil
}

func comparisonFilter(table TableName, c Comparison) (Filter, error) {
	column, index, found := ColumnOf(table, c.Column)
	if !found || c.Value == nil || !slices.Contains(OperatorsOf(column.Type), c.Operator) {
		return nil, &ConditionError{Table: table, Column: c.Column}
	}
	if c.Operator == Matches {
		pattern, err := regexp.Compile(c.Value.String())
		if err != nil {
			return nil, &ConditionError{Table: table, Column: c.Column}
		}
		return func(row []bfresult.Cell) bool { return matches(pattern, row[index]) }, nil
	}
	return func(row []bfresult.Cell) bool { return satisfies(row[index], c.Operator, c.Value) }, nil
}

func matches(pattern *regexp.Regexp, cell bfresult.Cell) bool {
	if list, isList := cell.(bfresult.ListCell); isList {
		return slices.ContainsFunc(list, pattern.MatchString)
	}
	return pattern.MatchString(cell.String())
}

func satisfies(cell bfresult.Cell, operator Operator, value bfresult.Cell) bool {
	if list, isList := cell.(bfresult.ListCell); isList {
		return slices.Contains(list, value.String()) == (operator == Equal)
	}
	order := bfresult.Compare(cell, value)
	switch operator {
	case Equal:
		return order == 0
	case NotEqual:
		return order != 0
	case Less:
		return order < 0
	case LessOrEqual:
		return order <= 0
	case Greater:
		return order > 0
	case GreaterOrEqual:
		return order >= 0
	case Matches:
	}
	return false
}

// Compare orders two rows by the command's Order; without one all rows are equal.
func (c Show) Compare(a, b []bfresult.Cell) int {
	if c.Order == nil {
		return 0
	}
	_, index, found := ColumnOf(c.Table, c.Order.Column)
	if !found {
		return 0
	}
	order := bfresult.Compare(a[index], b[index])
	if c.Order.Descending {
		return -order
	}
	return order
}

// OperatorsOf lists the operators valid for a column type. A list equals each name
// that it contains, and matches if one of its names does.
func OperatorsOf(t bfresult.ColumnType) []Operator {
	switch t {
	case bfresult.TypeText:
		return []Operator{Equal, NotEqual, Less, LessOrEqual, Greater, GreaterOrEqual, Matches}
	case bfresult.TypeList:
		return []Operator{Equal, NotEqual, Matches}
	case bfresult.TypeFlag:
		return []Operator{Equal, NotEqual}
	case bfresult.TypeNumber, bfresult.TypePercent, bfresult.TypeDuration, bfresult.TypeTime:
	}
	return []Operator{Equal, NotEqual, Less, LessOrEqual, Greater, GreaterOrEqual}
}
