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

// maxNesting is the largest depth of collections on one line or in brackets; the format needs 3.
const maxNesting = 16

// decodeFile decodes a file of one YAML document in strict mode and returns the document's root.
func decodeFile(file File, into any) (root locatedNode, err error) {
	if len(file.Data) > MaxFileBytes {
		return root, ErrTooLarge.New("%s: the file has %d bytes, at most %d are allowed; split the deployment", file.Name, len(file.Data), MaxFileBytes)
	}
	// The parser is third-party code that reads operators' input; a panic in it is reported as a fault of the file.
	defer func() {
		if cause := recover(); cause != nil {
			err = syntaxFault(file.Name, nil, "", fmt.Sprintf("cannot be parsed (%v)", cause), "correct the file's YAML")
		}
	}()
	tokens := lexer.Tokenize(string(file.Data))
	if err := checkNesting(file.Name, tokens); err != nil {
		return root, err
	}
	parsed, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return root, decodeFault(file.Name, nil, err)
	}
	if len(parsed.Docs) > 1 {
		return root, syntaxFault(file.Name, parsed.Docs[1].GetToken(), "", "there is a second document", `remove the lines from "---" on`)
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
		return root, decodeFault(file.Name, root.node, err)
	}
	return root, nil
}

// checkNesting refuses collections that are nested deeply on one line or in brackets. The time of the parser grows with
// the square of that depth: 100,000 brackets took 4.6 s.
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
			return syntaxFault(file, at, "", "collections are nested too deeply", "use the structure that docs/CONFIGURATION.md describes")
		}
	}
	return nil
}

// checkNodes refuses duplicate fields, aliases, which could expand to any size, and malformed durations, which the decoder reports without a
// line.
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

// Visit implements ast.Visitor. It ends the walk at the first fault.
func (n *nodeChecker) Visit(node ast.Node) ast.Visitor {
	switch typed := node.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.MergeKeyNode:
		n.err = syntaxFault(n.file, node.GetToken(), "", "anchors, aliases and merge keys are not allowed", "write the value out")
	case *ast.TagNode:
		n.err = syntaxFault(n.file, node.GetToken(), "", "tags are not allowed", "remove the tag")
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
			n.err = syntaxFault(n.file, at, field, fmt.Sprintf("the field is already set in line %d", line), "remove one of the two")
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
	n.err = syntaxFault(n.file, value.Value.GetToken(), field, fmt.Sprintf("%q is not a duration", value.Value.String()), `write it with its unit, as in "2s" or "500ms"`)
}

// decodeFault turns an error of the YAML library into ErrSyntax.
func decodeFault(file string, root ast.Node, err error) error {
	var located yaml.Error
	if !errors.As(err, &located) {
		return syntaxFault(file, nil, "", err.Error(), "correct the file's YAML")
	}
	at := located.GetToken()
	problem := located.GetMessage()
	cure := "correct the file's YAML"
	var unknown *yaml.UnknownFieldError
	var mismatch *yaml.TypeError
	switch {
	case errors.As(err, &unknown):
		cure = "remove the field or correct its name; docs/CONFIGURATION.md lists all fields"
	case errors.As(err, &mismatch):
		problem = "the value has the wrong type"
		if at != nil {
			problem = fmt.Sprintf("the value %q has the wrong type", at.Value)
		}
		cure = "write a value of the type that docs/CONFIGURATION.md states for the field"
	}
	return syntaxFault(file, at, fieldAt(root, at), problem, cure)
}

// fieldAt returns the name of the field whose key or value is at a token, or "".
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

// Visit implements ast.Visitor. The last, innermost match is kept.
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

func syntaxFault(file string, at *token.Token, field, problem, cure string) error {
	position := Position{File: file}
	if at != nil && at.Position != nil {
		position.Line = at.Position.Line
		position.Column = at.Position.Column
	}
	problem = strings.TrimSpace(strings.SplitN(problem, "\n", 2)[0])
	return Problems{{Position: position, Field: field, Message: problem, Hint: cure}}.asError(ErrSyntax)
}
