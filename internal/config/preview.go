package config

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

// ChangeKind is the kind of a change of an entity.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Changed ChangeKind = "changed"
	Removed ChangeKind = "removed"
)

// FieldChange is the YAML name of a field and the text of its values before and after a change.
type FieldChange struct {
	Field  string
	Before string
	After  string
}

// Change is a change of one entity. Fields is set only if Kind is Changed.
type Change struct {
	Kind   ChangeKind
	Entity record.EntityKey
	Fields []FieldChange
}

// String formats the change as one line for the entity and one for each field.
func (c Change) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s %q", c.Kind, c.Entity.Kind, c.Entity.Name)
	for _, field := range c.Fields {
		fmt.Fprintf(&text, "\n  %s: %s -> %s", field.Field, field.Before, field.After)
	}
	return text.String()
}

// Preview returns the changes between from and to. Additions and changes come before removals, each sorted by kind and
// name.
func Preview(from, to State) []Change {
	before, after := from.entities(), to.entities()
	var changes []Change
	for _, key := range sortedKeys(after) {
		old, found := before[key]
		if !found {
			changes = append(changes, Change{Kind: Added, Entity: key})
			continue
		}
		if fields := changedFields(old, after[key]); len(fields) > 0 {
			changes = append(changes, Change{Kind: Changed, Entity: key, Fields: fields})
		}
	}
	for _, key := range sortedKeys(before) {
		if _, kept := after[key]; !kept {
			changes = append(changes, Change{Kind: Removed, Entity: key})
		}
	}
	return changes
}

// changedFields returns the fields in which two entities of the same type differ.
func changedFields(before, after any) []FieldChange {
	old, current := reflect.ValueOf(before), reflect.ValueOf(after)
	var changes []FieldChange
	for i := range old.NumField() {
		oldText, currentText := fieldText(old.Field(i)), fieldText(current.Field(i))
		if oldText != currentText {
			changes = append(changes, FieldChange{Field: fieldName(old.Type().Field(i)), Before: oldText, After: currentText})
		}
	}
	return changes
}

func fieldName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	return name
}

func fieldText(value reflect.Value) string {
	switch value.Kind() {
	case reflect.Slice:
		items := make([]string, 0, value.Len())
		for i := range value.Len() {
			items = append(items, fieldText(value.Index(i)))
		}
		return "[" + strings.Join(items, ", ") + "]"
	case reflect.Struct:
		var fields []string
		for i := range value.NumField() {
			if !value.Field(i).IsZero() {
				fields = append(fields, fieldName(value.Type().Field(i))+": "+fieldText(value.Field(i)))
			}
		}
		return "{" + strings.Join(fields, ", ") + "}"
	case reflect.String:
		return fmt.Sprintf("%q", value.String())
	default:
		return fmt.Sprint(value.Interface())
	}
}
