package config

import (
	"fmt"

	"github.com/goccy/go-yaml/ast"

	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// locatedNode is a YAML node with the name of its file.
type locatedNode struct {
	file string
	node ast.Node
}

// entityPositions holds the positions of the fields of an entity. The key "" holds the position of the entity itself.
type entityPositions struct {
	fields map[string]Position
	// repeated holds the positions of other entities with the same name.
	repeated []Position
}

// positionIndex maps entities to their positions in the files.
type positionIndex map[record.EntityKey]*entityPositions

// addList indexes the entities in the named list of the root mapping. nameField is the field with the name of an
// entity.
func (p positionIndex) addList(root locatedNode, list string, kind record.EntityKind, nameField string) {
	for _, value := range mappingValues(root.node) {
		items, isList := value.Value.(*ast.SequenceNode)
		if value.Key.String() != list || !isList {
			continue
		}
		for _, item := range items.Values {
			p.addMapping(locatedNode{file: root.file, node: item}, record.EntityKey{Kind: kind, Name: nameIn(item, nameField)})
		}
	}
}

func (p positionIndex) addMapping(entity locatedNode, key record.EntityKey) {
	if entity.node == nil {
		return
	}
	own := entity.position(entity.node)
	if values := mappingValues(entity.node); len(values) > 0 {
		own = entity.position(values[0].Key)
	}
	if positions, found := p[key]; found {
		positions.repeated = append(positions.repeated, own)
		return
	}
	positions := &entityPositions{fields: map[string]Position{"": own}}
	for _, value := range mappingValues(entity.node) {
		positions.fields[value.Key.String()] = entity.position(value.Key)
	}
	p[key] = positions
}

// find returns the position of a field, or of its entity if the field is not in the file.
func (p positionIndex) find(key record.EntityKey, field string) Position {
	positions, found := p[key]
	if !found {
		return Position{}
	}
	if position, written := positions.fields[field]; written {
		return position
	}
	return positions.fields[""]
}

func (p positionIndex) duplicates() Problems {
	var problems Problems
	for key, positions := range p {
		for _, duplicate := range positions.repeated {
			message := fmt.Sprintf("the name is already used in line %d", positions.fields[""].Line)
			problems = append(problems, Problem{Position: duplicate, Entity: key, Message: message, Hint: "rename or remove one of the two"})
		}
	}
	return problems.sorted()
}

func (n locatedNode) position(node ast.Node) Position {
	at := node.GetToken().Position
	return Position{File: n.file, Line: at.Line, Column: at.Column}
}

func mappingValues(node ast.Node) []*ast.MappingValueNode {
	switch typed := node.(type) {
	case *ast.MappingNode:
		return typed.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{typed}
	default:
		return nil
	}
}

func nameIn(item ast.Node, nameField string) string {
	for _, value := range mappingValues(item) {
		if value.Key.String() != nameField {
			continue
		}
		if text, ok := value.Value.(*ast.StringNode); ok {
			return text.Value
		}
		return value.Value.GetToken().Value
	}
	return ""
}
