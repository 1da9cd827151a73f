package bfgrammar

import (
	"regexp"
	"slices"
	"strings"

	"bilberryflow.org/lib/bfquery/bfresult"
	"bilberryflow.org/lib/bfquery/bfsyntax"
)

func (r *resolver) show(node *showNode) bfsyntax.Command {
	table := bfsyntax.TableName(node.Table.Text)
	if !slices.Contains(bfsyntax.TableNames(), table) {
		names := make([]string, 0, len(bfsyntax.TableNames()))
		for _, name := range bfsyntax.TableNames() {
			names = append(names, string(name))
		}
		r.fail(node.Table.Pos, node.Table.Text, "one of "+strings.Join(names, ", "), didYouMean(node.Table.Text, names))
		return nil
	}
	show := bfsyntax.Show{Table: table, Limit: r.positiveNumber(node.Limit)}
	if node.Where != nil {
		show.Where = r.or(table, node.Where)
	}
	if node.Order != nil {
		column := r.column(table, node.Order.Column)
		show.Order = &bfsyntax.Order{Column: column.Name, Descending: node.Order.Descending}
	}
	return show
}

func (r *resolver) column(table bfsyntax.TableName, node *valueNode) bfresult.Column {
	column, _, found := bfsyntax.ColumnOf(table, node.Text)
	if !found {
		names := bfsyntax.ColumnNames(table)
		expected := "a field of " + string(table) + ": " + strings.Join(names, ", ")
		r.fail(node.Pos, node.Text, expected, didYouMean(node.Text, names))
	}
	return column
}

func (r *resolver) or(table bfsyntax.TableName, node *orNode) bfsyntax.Condition {
	terms := make([]bfsyntax.Condition, 0, len(node.Terms))
	for _, term := range node.Terms {
		terms = append(terms, r.and(table, term))
	}
	if len(terms) == 1 {
		return terms[0]
	}
	return bfsyntax.Or{Terms: terms}
}

func (r *resolver) and(table bfsyntax.TableName, node *andNode) bfsyntax.Condition {
	terms := make([]bfsyntax.Condition, 0, len(node.Terms))
	for _, term := range node.Terms {
		terms = append(terms, r.not(table, term))
	}
	if len(terms) == 1 {
		return terms[0]
	}
	return bfsyntax.And{Terms: terms}
}

func (r *resolver) not(table bfsyntax.TableName, node *notNode) bfsyntax.Condition {
	var term bfsyntax.Condition
	if node.Group != nil {
		term = r.or(table, node.Group)
	} else {
		term = r.comparison(table, node.Comparison)
	}
	for range node.Nots {
		term = bfsyntax.Not{Term: term}
	}
	return term
}

func (r *resolver) comparison(table bfsyntax.TableName, node *comparisonNode) bfsyntax.Condition {
	column := r.column(table, node.Column)
	operator := bfsyntax.Operator(node.Operator.Text)
	if r.err == nil && !slices.Contains(bfsyntax.OperatorsOf(column.Type), operator) {
		r.fail(node.Operator.Pos, node.Operator.Text, "one of "+operatorList(column.Type)+" for "+column.Name, "")
	}
	if r.err != nil {
		return nil
	}
	if operator == bfsyntax.Matches {
		pattern := r.text(node.Value)
		if _, err := regexp.Compile(pattern); err != nil {
			r.fail(node.Value.Pos, node.Value.Text, "a regular expression (RE2)", err.Error())
		}
		return bfsyntax.Comparison{Column: column.Name, Operator: operator, Value: bfresult.TextCell(pattern)}
	}
	return bfsyntax.Comparison{Column: column.Name, Operator: operator, Value: r.cell(column.Type, node.Value)}
}

func operatorList(t bfresult.ColumnType) string {
	var texts []string
	for _, operator := range bfsyntax.OperatorsOf(t) {
		texts = append(texts, string(operator))
	}
	return strings.Join(texts, " ")
}
