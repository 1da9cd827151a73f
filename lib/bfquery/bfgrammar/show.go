package bfgrammar

import (
	"regexp"
	"slices"
	"strings"

	"bilberryflow.org/lib/bfquery/bfresult"
)

func (r *reader) show(node *showNode) Command {
	table := TableName(node.Table.Text)
	if !slices.Contains(TableNames(), table) {
		names := make([]string, 0, len(columns))
		for _, name := range TableNames() {
			names = append(names, string(name))
		}
		r.fail(node.Table.Pos, node.Table.Text, "one of "+strings.Join(names, ", "), didYouMean(node.Table.Text, names))
		return nil
	}
	show := Show{Table: table, Limit: r.positive(node.Limit)}
	if node.Where != nil {
		show.Where = r.or(table, node.Where)
	}
	if node.Order != nil {
		column := r.column(table, node.Order.Column)
		show.Order = &Order{Column: column.Name, Descending: node.Order.Descending}
	}
	return show
}

func (r *reader) column(table TableName, node *valueNode) bfresult.Column {
	column, _, found := columnOf(table, node.Text)
	if !found {
		names := columnNames(table)
		expected := "a field of " + string(table) + ": " + strings.Join(names, ", ")
		r.fail(node.Pos, node.Text, expected, didYouMean(node.Text, names))
	}
	return column
}

func (r *reader) or(table TableName, node *orNode) Condition {
	terms := make([]Condition, 0, len(node.Terms))
	for _, term := range node.Terms {
		terms = append(terms, r.and(table, term))
	}
	if len(terms) == 1 {
		return terms[0]
	}
	return Or{Terms: terms}
}

func (r *reader) and(table TableName, node *andNode) Condition {
	terms := make([]Condition, 0, len(node.Terms))
	for _, term := range node.Terms {
		terms = append(terms, r.not(table, term))
	}
	if len(terms) == 1 {
		return terms[0]
	}
	return And{Terms: terms}
}

func (r *reader) not(table TableName, node *notNode) Condition {
	var term Condition
	if node.Group != nil {
		term = r.or(table, node.Group)
	} else {
		term = r.comparison(table, node.Comparison)
	}
	for range node.Nots {
		term = Not{Term: term}
	}
	return term
}

func (r *reader) comparison(table TableName, node *comparisonNode) Condition {
	column := r.column(table, node.Column)
	operator := Operator(node.Operator.Text)
	if r.err == nil && !slices.Contains(operatorsOf(column.Type), operator) {
		r.fail(node.Operator.Pos, node.Operator.Text, "one of "+operatorList(column.Type)+" for "+column.Name, "")
	}
	if r.err != nil {
		return nil
	}
	if operator == Matches {
		pattern := r.text(node.Value)
		if _, err := regexp.Compile(pattern); err != nil {
			r.fail(node.Value.Pos, node.Value.Text, "a regular expression (RE2)", err.Error())
		}
		return Comparison{Column: column.Name, Operator: operator, Value: bfresult.TextCell(pattern)}
	}
	return Comparison{Column: column.Name, Operator: operator, Value: r.cell(column.Type, node.Value)}
}

// operatorsOf lists the relations that mean something for a type. A list is
// equal to a name that it holds, and matches if one of its names does.
func operatorsOf(t bfresult.ColumnType) []Operator {
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

func operatorList(t bfresult.ColumnType) string {
	var texts []string
	for _, operator := range operatorsOf(t) {
		texts = append(texts, string(operator))
	}
	return strings.Join(texts, " ")
}
