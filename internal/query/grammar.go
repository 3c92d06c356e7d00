package query

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// tokens defines the token classes. Word covers names, numbers, durations and
// times, which are distinguished where they are used, so that no word is reserved.
// The classes cover all characters, so that every error is a grammar error and
// never a lexer error.
var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Option", Pattern: `--(?i:wait|within)\b`},
	{Name: "Word", Pattern: `[^\s{};"#]+`},
	{Name: "Text", Pattern: `"(?:\\.|[^"\\\n])*"`},
	{Name: "OpenText", Pattern: `"[^\n]*`},
	{Name: "Mark", Pattern: `[{};]`},
	{Name: "space", Pattern: `\s+`},
	{Name: "comment", Pattern: `#[^\n]*`},
})

var parser = participle.MustBuild[commandNode](
	participle.Lexer(tokens),
	participle.CaseInsensitive("Word", "Option"),
	// The first token selects the alternative. Without lookahead, the parser doesn't
	// backtrack and reports the position of the error within that alternative.
	participle.UseLookahead(0),
)

// word is an unquoted word with its position.
type word struct {
	Pos   lexer.Position
	Value string `parser:"@Word"`
}

// name is a name, which may be quoted.
type name struct {
	Pos   lexer.Position
	Value string `parser:"@(Word | Text)"`
}

// text is a quoted text.
type text struct {
	Pos   lexer.Position
	Value string `parser:"@Text"`
}

type commandNode struct {
	Show   *showNode   `parser:"  'show' @@"`
	Change *changeNode `parser:"| @@"`
}

type showNode struct {
	InForce  *inForceNode `parser:"  'in' 'force' @@"`
	Services bool         `parser:"| @'services'"`
	Routes   bool         `parser:"| @'routes'"`
	Moves    bool         `parser:"| @'moves'"`
	Move     *lookupNode  `parser:"| 'move' @@"`
	Nodes    bool         `parser:"| @'nodes'"`
	Zones    bool         `parser:"| @'zones'"`
	Waiting  bool         `parser:"| @'waiting'"`
	Change   *lookupNode  `parser:"| 'change' @@"`
	Price    *changeNode  `parser:"| 'price' 'of' @@"`
}

type inForceNode struct {
	Service *name `parser:"( 'service' @@ )?"`
	Zone    *name `parser:"( 'zone' @@ )?"`
}

type lookupNode struct {
	ID     *name `parser:"@@"`
	Within *word `parser:"( ( 'within' | '--within' ) @@ )?"`
}

type changeNode struct {
	Batch   *batchNode     `parser:"( 'batch' @@"`
	Single  *statementNode `parser:"| @@ )"`
	Options []*optionNode  `parser:"@@*"`
}

type batchNode struct {
	Statements []*statementNode `parser:"'{' @@ ( ';' @@? )* '}'"`
}

type optionNode struct {
	Pos    lexer.Position
	Wait   *word `parser:"  ( 'wait' | '--wait' ) @@"`
	Within *word `parser:"| ( 'within' | '--within' ) @@"`
}

type statementNode struct {
	Pos      lexer.Position
	Put      *putNode      `parser:"  'put' @@"`
	Delete   *deleteNode   `parser:"| 'delete' @@"`
	Start    *startNode    `parser:"| 'start' 'move' @@"`
	Hold     *word         `parser:"| 'hold' 'move' @@"`
	Resume   *word         `parser:"| 'resume' 'move' @@"`
	TakeBack *takeBackNode `parser:"| 'take' 'back' 'move' @@"`
}

type putNode struct {
	Service *putServiceNode `parser:"( 'service' @@"`
	Version *versionNode    `parser:"| 'version' @@"`
	Route   *putRouteNode   `parser:"| 'route' @@ )"`
	At      *word           `parser:"( 'at' 'revision' @@ )?"`
}

type putServiceNode struct {
	Service *name `parser:"@@"`
	Version *name `parser:"'version' @@"`
}

type versionNode struct {
	Version *name `parser:"@@"`
	Service *name `parser:"'of' @@"`
}

type putRouteNode struct {
	Route   *name `parser:"@@"`
	Prefix  *text `parser:"'prefix' @@"`
	Service *name `parser:"'to' @@"`
}

type deleteNode struct {
	Service *name        `parser:"( 'service' @@"`
	Version *versionNode `parser:"| 'version' @@"`
	Route   *name        `parser:"| 'route' @@ )"`
	At      *word        `parser:"( 'at' 'revision' @@ )?"`
}

type startNode struct {
	Service *name `parser:"@@"`
	From    *name `parser:"'from' @@"`
	To      *name `parser:"'to' @@"`
	By      *word `parser:"'by' @@"`
}

type takeBackNode struct {
	ID      *word `parser:"@@"`
	Because *text `parser:"( 'because' @@ )?"`
}
