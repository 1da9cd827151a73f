package bfgrammar

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// tokens are matched in this order. The last rule matches any character, so that
// invalid text reaches the parser, which can report what it expected.
var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "comment", Pattern: `#[^\n]*`},
	{Name: "space", Pattern: `[ \t\r]+|\\\r?\n`},
	{Name: "Terminator", Pattern: `[;\n]`},
	{Name: "String", Pattern: `"(\\[^\n]|[^"\\\n])*"`},
	{Name: "Operator", Pattern: `!=|<=|>=|[=<>~]`},
	{Name: "Punctuation", Pattern: `[{}(),]`},
	{Name: "Word", Pattern: `[^\s[:cntrl:]\p{Z};{}(),"#=!<>~\\]+`},
	{Name: "Unknown", Pattern: `(?s:.)`},
})

// tokenTypes maps rule names to token types.
var tokenTypes = tokens.Symbols()

// parser does not backtrack: the first token selects each alternative of the
// grammar, so errors are reported at the offending token and parsing takes
// linear time.
var parser = participle.MustBuild[scriptNode](participle.Lexer(tokens), participle.UseLookahead(0))

// withTerminators inserts a terminator before each closing brace and at the end,
// so that the grammar can require one after every command and edit.
func withTerminators(list []lexer.Token) []lexer.Token {
	ended := make([]lexer.Token, 0, len(list)+1)
	for _, token := range list {
		if token.Value == "}" || token.EOF() {
			ended = append(ended, lexer.Token{Type: tokenTypes["Terminator"], Pos: token.Pos})
		}
		ended = append(ended, token)
	}
	return ended
}

// tokenStream implements lexer.Lexer over tokens that were already read.
type tokenStream struct{ rest []lexer.Token }

// Next returns the next token, and the EOF token once all others were returned.
func (s *tokenStream) Next() (lexer.Token, error) {
	token := s.rest[0]
	if len(s.rest) > 1 {
		s.rest = s.rest[1:]
	}
	return token, nil
}

// The node types below define the grammar, which docs/LANGUAGE.md documents for
// operators. Strings keep their quotes until a value is read, so that a quoted
// "where" is not parsed as the keyword.

type scriptNode struct {
	Commands []*commandNode `parser:"( @@ Terminator | Terminator )*"`
}

type valueNode struct {
	Pos  lexer.Position
	Text string `parser:"@( Word | String )"`
}

type commandNode struct {
	Stage   *stageNode   `parser:"'stage' @@"`
	Show    *showNode    `parser:"| 'show' @@"`
	Diff    *valueNode   `parser:"| 'diff' @@"`
	Confirm *confirmNode `parser:"| 'confirm' @@"`
	Discard *valueNode   `parser:"| 'discard' @@"`
	InForce *inForceNode `parser:"| @@"`
	Explain *explainNode `parser:"| 'explain' @@"`
	History *historyNode `parser:"| 'history' 'of' @@"`
	Undo    *undoNode    `parser:"| 'undo' @@"`
	Drain   *valueNode   `parser:"| 'drain' @@"`
	Release *valueNode   `parser:"| 'release' @@"`
	Watch   *watchNode   `parser:"| 'watch' 'version' @@"`
	Help    *helpNode    `parser:"| @@"`
}

type stageNode struct {
	Name  *valueNode  `parser:"@@"`
	Edits []*editNode `parser:"( '{' ( @@ Terminator | Terminator )* '}' | @@ )"`
}

type editNode struct {
	Pos    lexer.Position
	Create *objectNode `parser:"'create' @@"`
	Change *objectNode `parser:"| 'change' @@"`
	Remove *refNode    `parser:"| 'remove' @@"`
}

type refNode struct {
	Kind string     `parser:"@( 'event' | 'service' | 'route' | 'policy' )"`
	Name *valueNode `parser:"@@"`
}

type objectNode struct {
	Service *serviceNode `parser:"'service' @@"`
	Route   *routeNode   `parser:"| 'route' @@"`
	Policy  *policyNode  `parser:"| 'policy' @@"`
	Event   *eventNode   `parser:"| 'event' @@"`
}

type serviceNode struct {
	Name   *valueNode      `parser:"@@"`
	Fields []*serviceField `parser:"@@*"`
}

type serviceField struct {
	Pos       lexer.Position
	Slots     *valueNode `parser:"'slots' @@"`
	ColdStart *valueNode `parser:"| 'coldstart' @@"`
}

type routeNode struct {
	Name   *valueNode    `parser:"@@"`
	Fields []*routeField `parser:"@@*"`
}

type routeField struct {
	Pos     lexer.Position
	Prefix  *valueNode   `parser:"'prefix' @@"`
	Methods []*valueNode `parser:"| 'methods' @@ ( ',' @@ )*"`
	Service *valueNode   `parser:"| 'service' @@"`
	Policy  *valueNode   `parser:"| 'policy' @@"`
}

type policyNode struct {
	Name   *valueNode     `parser:"@@"`
	Fields []*policyField `parser:"@@*"`
}

type policyField struct {
	Pos         lexer.Position
	Class       *valueNode `parser:"'class' @@"`
	Flag        *flagNode  `parser:"| @@"`
	Deadline    *valueNode `parser:"| 'deadline' @@"`
	Priority    *valueNode `parser:"| 'priority' @@"`
	Queue       *valueNode `parser:"| 'queue' @@"`
	Concurrency *valueNode `parser:"| 'concurrency' @@"`
	Retry       *valueNode `parser:"| 'retry' @@"`
	TenantLimit *valueNode `parser:"| 'tenantlimit' @@"`
}

type flagNode struct {
	Name  string `parser:"@( 'idempotent' | 'durablekeys' )"`
	Value string `parser:"@( 'yes' | 'no' )?"`
}

type eventNode struct {
	Name   *valueNode    `parser:"@@"`
	Fields []*eventField `parser:"@@*"`
}

type eventField struct {
	Pos      lexer.Position
	Start    *valueNode    `parser:"'start' @@"`
	End      *valueNode    `parser:"| 'end' @@"`
	WarmUp   *valueNode    `parser:"| 'warmup' @@"`
	Override *overrideNode `parser:"| 'override' @@"`
}

type overrideNode struct {
	None  bool            `parser:"@'none'"`
	Pairs []*overridePair `parser:"| @@ ( ',' @@ )*"`
}

type overridePair struct {
	Route  *valueNode `parser:"@@ 'by'"`
	Policy *valueNode `parser:"@@"`
}

type showNode struct {
	Table *valueNode `parser:"@@"`
	Where *orNode    `parser:"( 'where' @@ )?"`
	Order *orderNode `parser:"( 'order' 'by' @@ )?"`
	Limit *valueNode `parser:"( 'limit' @@ )?"`
}

type orderNode struct {
	Column     *valueNode `parser:"@@"`
	Descending bool       `parser:"@'desc'?"`
}

type orNode struct {
	Terms []*andNode `parser:"@@ ( 'or' @@ )*"`
}

type andNode struct {
	Terms []*notNode `parser:"@@ ( 'and' @@ )*"`
}

type notNode struct {
	Nots       []string        `parser:"@'not'*"`
	Group      *orNode         `parser:"( '(' @@ ')'"`
	Comparison *comparisonNode `parser:"| @@ )"`
}

type comparisonNode struct {
	Column   *valueNode    `parser:"@@"`
	Operator *operatorNode `parser:"@@"`
	Value    *valueNode    `parser:"@@"`
}

type operatorNode struct {
	Pos  lexer.Position
	Text string `parser:"@Operator"`
}

type confirmNode struct {
	Name     *valueNode `parser:"@@"`
	ChangeID *valueNode `parser:"( 'id' @@ )?"`
}

type inForceNode struct {
	Force string     `parser:"'in' @'force'"`
	Scope *scopeNode `parser:"@@?"`
}

type scopeNode struct {
	Node       *valueNode `parser:"'at' 'node' @@"`
	Part       *partNode  `parser:"| 'in' @@"`
	Everywhere bool       `parser:"| @'everywhere'"`
}

type partNode struct {
	Kind string     `parser:"@( 'domain' | 'region' )"`
	Name *valueNode `parser:"@@"`
}

type explainNode struct {
	Method *valueNode `parser:"@@"`
	Path   *valueNode `parser:"@@"`
	Tenant *valueNode `parser:"( 'as' @@ )?"`
	At     *valueNode `parser:"( 'at' @@ )?"`
}

type historyNode struct {
	Object *refNode   `parser:"@@"`
	Limit  *valueNode `parser:"( 'limit' @@ )?"`
}

type undoNode struct {
	Version *valueNode `parser:"@@"`
	Name    *valueNode `parser:"( 'as' @@ )?"`
}

type watchNode struct {
	Version *valueNode `parser:"@@"`
	For     *valueNode `parser:"( 'for' @@ )?"`
}

type helpNode struct {
	Help  string     `parser:"@'help'"`
	Topic *valueNode `parser:"@@?"`
}
