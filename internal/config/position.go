package config

import (
	"fmt"

	"github.com/goccy/go-yaml/ast"

	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// locatedNode is a node of a parsed file.
type locatedNode struct {
	file string
	node ast.Node
}

// entityPlaces holds where the fields of an entity are. The place under "" is the entity's own.
type entityPlaces struct {
	fields map[string]Position
	// repeated holds the places of further entities with the same name.
	repeated []Position
}

// positionIndex maps entities to their places in the files.
type positionIndex map[record.EntityKey]*entityPlaces

// addList indexes the entities of a list of the root mapping. nameField is the field that names an entity.
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
	if places, found := p[key]; found {
		places.repeated = append(places.repeated, own)
		return
	}
	places := &entityPlaces{fields: map[string]Position{"": own}}
	for _, value := range mappingValues(entity.node) {
		places.fields[value.Key.String()] = entity.position(value.Key)
	}
	p[key] = places
}

// find returns the place of a field, or of its entity if the file does not have the field.
func (p positionIndex) find(key record.EntityKey, field string) Position {
	places, found := p[key]
	if !found {
		return Position{}
	}
	if position, written := places.fields[field]; written {
		return position
	}
	return places.fields[""]
}

func (p positionIndex) duplicates() Problems {
	var faults Problems
	for key, places := range p {
		for _, again := range places.repeated {
			problem := fmt.Sprintf("the name is taken by line %d", places.fields[""].Line)
			faults = append(faults, Problem{Position: again, Entity: key, Message: problem, Hint: "rename or remove one of the two"})
		}
	}
	return faults.sorted()
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
