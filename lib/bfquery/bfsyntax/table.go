package bfsyntax

import (
	"bilberryflow.org/lib/bfquery/bfresult"
)

// TableName is the name of a table that show lists.
type TableName string

// The tables.
const (
	TableEvents   TableName = "events"
	TableServices TableName = "services"
	TableRoutes   TableName = "routes"
	TablePolicies TableName = "policies"
	TableMembers  TableName = "members"
	TableTargets  TableName = "targets"
	TableVersions TableName = "versions"
	TableNodes    TableName = "nodes"
	TableStaged   TableName = "staged"
	// TableQuarantine lists the requests during which targets crashed.
	TableQuarantine TableName = "quarantine"
	// TableWorkspaces lists the workspaces of the version in force on the node.
	TableWorkspaces TableName = "workspaces"
)

// TableNames lists the tables in the order of docs/LANGUAGE.md.
func TableNames() []TableName {
	return []TableName{
		TableEvents, TableServices, TableRoutes, TablePolicies,
		TableMembers, TableTargets, TableVersions, TableNodes, TableStaged, TableQuarantine, TableWorkspaces,
	}
}

// columns defines the schema of each table. Conditions are validated against it
// before a command runs, and rows when a table is built.
var columns = map[TableName][]bfresult.Column{
	TableEvents: {
		{Name: "name", Type: bfresult.TypeText},
		{Name: "phase", Type: bfresult.TypeText},
		{Name: "start", Type: bfresult.TypeTime},
		{Name: "end", Type: bfresult.TypeTime},
		{Name: "warmup", Type: bfresult.TypeDuration},
		{Name: "override", Type: bfresult.TypeList},
		{Name: "revision", Type: bfresult.TypeNumber},
	},
	TableServices: {
		{Name: "name", Type: bfresult.TypeText},
		{Name: "slots", Type: bfresult.TypeNumber},
		{Name: "coldstart", Type: bfresult.TypeDuration},
		{Name: "routes", Type: bfresult.TypeNumber},
		{Name: "revision", Type: bfresult.TypeNumber},
	},
	TableRoutes: {
		{Name: "name", Type: bfresult.TypeText},
		{Name: "prefix", Type: bfresult.TypeText},
		{Name: "methods", Type: bfresult.TypeList},
		{Name: "service", Type: bfresult.TypeText},
		{Name: "policy", Type: bfresult.TypeText},
		{Name: "revision", Type: bfresult.TypeNumber},
	},
	TablePolicies: {
		{Name: "name", Type: bfresult.TypeText},
		{Name: "class", Type: bfresult.TypeText},
		{Name: "idempotent", Type: bfresult.TypeFlag},
		{Name: "deadline", Type: bfresult.TypeDuration},
		{Name: "priority", Type: bfresult.TypeNumber},
		{Name: "queue", Type: bfresult.TypeNumber},
		{Name: "concurrency", Type: bfresult.TypeNumber},
		{Name: "retry", Type: bfresult.TypePercent},
		{Name: "tenantlimit", Type: bfresult.TypeNumber},
		{Name: "durablekeys", Type: bfresult.TypeFlag},
		{Name: "revision", Type: bfresult.TypeNumber},
	},
	TableQuarantine: {
		{Name: "content", Type: bfresult.TypeText},
		{Name: "state", Type: bfresult.TypeText},
		{Name: "ends", Type: bfresult.TypeNumber},
		{Name: "callers", Type: bfresult.TypeNumber},
		{Name: "age", Type: bfresult.TypeDuration},
		{Name: "left", Type: bfresult.TypeDuration},
	},
	TableWorkspaces: {
		{Name: "name", Type: bfresult.TypeText},
		{Name: "rank", Type: bfresult.TypeNumber},
		{Name: "ownrank", Type: bfresult.TypeFlag},
		{Name: "rate", Type: bfresult.TypeNumber},
		{Name: "burst", Type: bfresult.TypeNumber},
		{Name: "keys", Type: bfresult.TypeNumber},
	},
	TableMembers: {
		{Name: "instance", Type: bfresult.TypeText},
		{Name: "service", Type: bfresult.TypeText},
		{Name: "region", Type: bfresult.TypeText},
		{Name: "domain", Type: bfresult.TypeText},
		{Name: "address", Type: bfresult.TypeText},
		{Name: "state", Type: bfresult.TypeText},
		{Name: "incarnation", Type: bfresult.TypeNumber},
	},
	TableTargets: {
		{Name: "instance", Type: bfresult.TypeText},
		{Name: "service", Type: bfresult.TypeText},
		{Name: "domain", Type: bfresult.TypeText},
		{Name: "state", Type: bfresult.TypeText},
		{Name: "slots", Type: bfresult.TypeNumber},
		{Name: "inuse", Type: bfresult.TypeNumber},
		{Name: "queued", Type: bfresult.TypeNumber},
	},
	TableVersions: {
		{Name: "version", Type: bfresult.TypeNumber},
		{Name: "at", Type: bfresult.TypeTime},
		{Name: "author", Type: bfresult.TypeText},
		{Name: "change", Type: bfresult.TypeText},
		{Name: "objects", Type: bfresult.TypeList},
	},
	TableNodes: {
		{Name: "instance", Type: bfresult.TypeText},
		{Name: "region", Type: bfresult.TypeText},
		{Name: "domain", Type: bfresult.TypeText},
		{Name: "version", Type: bfresult.TypeNumber},
		{Name: "reachable", Type: bfresult.TypeFlag},
		{Name: "age", Type: bfresult.TypeDuration},
	},
	TableStaged: {
		{Name: "name", Type: bfresult.TypeText},
		{Name: "author", Type: bfresult.TypeText},
		{Name: "at", Type: bfresult.TypeTime},
		{Name: "base", Type: bfresult.TypeNumber},
		{Name: "objects", Type: bfresult.TypeList},
	},
}

// Columns lists the columns of a table.
func Columns(table TableName) []bfresult.Column { return columns[table] }

// ColumnOf returns a column of the table with its index, and whether it exists.
func ColumnOf(table TableName, name string) (bfresult.Column, int, bool) {
	for i, column := range columns[table] {
		if column.Name == name {
			return column, i, true
		}
	}
	return bfresult.Column{}, 0, false
}

// ColumnNames lists the names of a table's columns.
func ColumnNames(table TableName) []string {
	names := make([]string, 0, len(columns[table]))
	for _, column := range columns[table] {
		names = append(names, column.Name)
	}
	return names
}
