package config

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// durationFields are the fields whose values are durations such as "2s".
var durationFields = map[string]bool{"cold_start": true, "timeout": true}

// maxNesting is the maximum nesting depth of collections on one line or in brackets. The file format needs 3.
const maxNesting = 16

// decodeFile decodes a file that consists of one YAML document in strict mode. It returns the document's root node, or
// a zero locatedNode for an empty document.
func decodeFile(file File, into any) (root locatedNode, err error) {
	if len(file.Data) > MaxFileBytes {
		return root, ErrTooLarge.New("%s: the file has %d bytes, at most %d are allowed; split the deployment", file.Name, len(file.Data), MaxFileBytes)
	}
	// The third-party YAML parser may panic on malformed input; a panic is reported as a syntax error of the file.
	defer func() {
		if cause := recover(); cause != nil {
			err = syntaxError(file.Name, nil, "", fmt.Sprintf("cannot be parsed (%v)", cause), "correct the file's YAML")
		}
	}()
	tokens := lexer.Tokenize(string(file.Data))
	if err := checkNesting(file.Name, tokens); err != nil {
		return root, err
	}
	parsed, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return root, decodeError(file.Name, nil, err)
	}
	if len(parsed.Docs) > 1 {
		return root, syntaxError(file.Name, parsed.Docs[1].GetToken(), "", "there is a second document", `remove the lines from "---" on`)
	}
	if len(parsed.Docs) == 1 {
		root = locatedNode{file: file.Name, node: parsed.Docs[0].Body}
	}
	if err := checkNodes(file.Name, root.node); err != nil {
		return root, err
	}
	if _, isNull := root.node.(*ast.NullNode); isNull || root.node == nil {
		return locatedNode{}, nil
	}
	decoder := yaml.NewDecoder(bytes.NewReader(file.Data), yaml.Strict())
	if err := decoder.Decode(into); err != nil && !errors.Is(err, io.EOF) {
		return root, decodeError(file.Name, root.node, err)
	}
	return root, nil
}

// checkNesting rejects collections nested too deeply on one line or in brackets. The parser's running time is quadratic
// in that depth: 100,000 brackets took 4.6 s.
func checkNesting(file string, tokens token.Tokens) error {
	brackets, entries, line := 0, 0, 0
	for _, at := range tokens {
		if at.Position.Line != line {
			line = at.Position.Line
			entries = 0
		}
		switch at.Type {
		case token.SequenceStartType, token.MappingStartType:
			brackets++
		case token.SequenceEndType, token.MappingEndType:
			brackets--
		case token.SequenceEntryType, token.MappingKeyType:
			entries++
		}
		if brackets+entries > maxNesting {
			return syntaxError(file, at, "", "collections are nested too deeply", "use the structure that docs/CONFIGURATION.md describes")
		}
	}
	return nil
}

// checkNodes rejects duplicate fields, aliases (which could expand to any size) and malformed durations (which the
// decoder reports without a line number).
func checkNodes(file string, root ast.Node) error {
	if root == nil {
		return nil
	}
	visitor := &nodeChecker{file: file}
	ast.Walk(visitor, root)
	return visitor.err
}

type nodeChecker struct {
	file string
	err  error
}

// Visit implements ast.Visitor. It stops at the first error.
func (n *nodeChecker) Visit(node ast.Node) ast.Visitor {
	switch typed := node.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.MergeKeyNode:
		n.err = syntaxError(n.file, node.GetToken(), "", "anchors, aliases and merge keys are not allowed", "write the value out")
	case *ast.TagNode:
		n.err = syntaxError(n.file, node.GetToken(), "", "tags are not allowed", "remove the tag")
	case *ast.MappingNode:
		n.checkDuplicates(typed)
	case *ast.MappingValueNode:
		n.checkDuration(typed)
	}
	if n.err != nil {
		return nil
	}
	return n
}

func (n *nodeChecker) checkDuplicates(mapping *ast.MappingNode) {
	lines := map[string]int{}
	for _, value := range mapping.Values {
		field := value.Key.String()
		at := value.Key.GetToken()
		if line, set := lines[field]; set {
			n.err = syntaxError(n.file, at, field, fmt.Sprintf("the field is already set in line %d", line), "remove one of the two")
			return
		}
		lines[field] = at.Position.Line
	}
}

func (n *nodeChecker) checkDuration(value *ast.MappingValueNode) {
	field := value.Key.String()
	if !durationFields[field] {
		return
	}
	text, isText := value.Value.(*ast.StringNode)
	if isText {
		if _, err := time.ParseDuration(text.Value); err == nil {
			return
		}
	}
	n.err = syntaxError(n.file, value.Value.GetToken(), field, fmt.Sprintf("%q is not a duration", value.Value.String()), `write it with its unit, as in "2s" or "500ms"`)
}

// decodeError converts an error of the YAML library to ErrSyntax.
func decodeError(file string, root ast.Node, err error) error {
	var located yaml.Error
	if !errors.As(err, &located) {
		return syntaxError(file, nil, "", err.Error(), "correct the file's YAML")
	}
	at := located.GetToken()
	message := located.GetMessage()
	hint := "correct the file's YAML"
	var unknown *yaml.UnknownFieldError
	var mismatch *yaml.TypeError
	switch {
	case errors.As(err, &unknown):
		hint = "remove the field or correct its name; docs/CONFIGURATION.md lists all fields"
	case errors.As(err, &mismatch):
		message = "the value has the wrong type"
		if at != nil {
			message = fmt.Sprintf("the value %q has the wrong type", at.Value)
		}
		hint = "write a value of the type that docs/CONFIGURATION.md states for the field"
	}
	return syntaxError(file, at, fieldAt(root, at), message, hint)
}

// fieldAt returns the name of the field whose key or value starts at the token, or "" if there is none.
func fieldAt(root ast.Node, at *token.Token) string {
	if root == nil || at == nil {
		return ""
	}
	finder := &fieldFinder{at: at.Position}
	ast.Walk(finder, root)
	return finder.field
}

type fieldFinder struct {
	at    *token.Position
	field string
}

// Visit implements ast.Visitor. The last match is the innermost one, so it replaces earlier matches.
func (f *fieldFinder) Visit(node ast.Node) ast.Visitor {
	if value, ok := node.(*ast.MappingValueNode); ok {
		for _, part := range []ast.Node{value.Key, value.Value} {
			position := part.GetToken().Position
			if position.Line == f.at.Line && position.Column == f.at.Column {
				f.field = value.Key.String()
			}
		}
	}
	return f
}

func syntaxError(file string, at *token.Token, field, message, hint string) error {
	position := Position{File: file}
	if at != nil && at.Position != nil {
		position.Line = at.Position.Line
		position.Column = at.Position.Column
	}
	message = strings.TrimSpace(strings.SplitN(message, "\n", 2)[0])
	return Problems{{Position: position, Field: field, Message: message, Hint: hint}}.asError(ErrSyntax)
}
