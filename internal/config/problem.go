package config

import (
	"fmt"
	"sort"
	"strings"

	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/record"
)

var (
	errNamespace = errorx.NewNamespace("config")
	// ErrSyntax reports a file that cannot be decoded.
	ErrSyntax = errNamespace.NewType("syntax")
	// ErrInvalid reports a state that contradicts itself, or a change that is not allowed.
	ErrInvalid = errNamespace.NewType("invalid")
	// ErrConflict reports a patch whose base is not the version in force. ConflictOf returns the details.
	ErrConflict = errNamespace.NewType("conflict")
	// ErrTooLarge reports a file or patch that exceeds its limit.
	ErrTooLarge = errNamespace.NewType("too_large")
	// ErrGap reports that records between the fold's offset and an entry are missing.
	ErrGap = errNamespace.NewType("gap")
	// ErrSnapshot reports a snapshot that cannot be decoded or contradicts itself.
	ErrSnapshot = errNamespace.NewType("snapshot")

	faultsProperty = errorx.RegisterProperty("config_faults")
)

// Position is a place in a file. Line and Column count from 1; Line 0 means that the place is unknown.
type Position struct {
	File   string
	Line   int
	Column int
}

// Problem is one error of a configuration.
type Problem struct {
	Position Position
	// Entity is the entity at fault; zero for faults of a whole file.
	Entity record.EntityKey
	// Field is the name of the field in the file.
	Field string
	// Message says what is wrong.
	Message string
	// Hint says how to correct it.
	Hint string
}

// String formats the fault on one line.
func (f Problem) String() string {
	var parts []string
	if f.Position.Line > 0 {
		parts = append(parts, fmt.Sprintf("%s:%d:%d", f.Position.File, f.Position.Line, f.Position.Column))
	} else if f.Position.File != "" {
		parts = append(parts, f.Position.File)
	}
	if f.Entity.Kind != "" {
		parts = append(parts, fmt.Sprintf("%s %q", f.Entity.Kind, f.Entity.Name))
	}
	if f.Field != "" {
		parts = append(parts, f.Field)
	}
	parts = append(parts, f.Message+"; "+f.Hint)
	return strings.Join(parts, ": ")
}

// Problems are all faults of a configuration, in order of entity and field.
type Problems []Problem

// String formats the faults, one a line.
func (f Problems) String() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

func (f Problems) sorted() Problems {
	sort.SliceStable(f, func(i, j int) bool {
		if f[i].Entity != f[j].Entity {
			return lessKey(f[i].Entity, f[j].Entity)
		}
		return f[i].Field < f[j].Field
	})
	return f
}

// asError returns nil if there are no faults.
func (f Problems) asError(kind *errorx.Type) error {
	if len(f) == 0 {
		return nil
	}
	return kind.New("%s", f.String()).WithProperty(faultsProperty, f)
}

// ProblemsOf returns the faults that an error of this package carries, or nil.
func ProblemsOf(err error) Problems {
	value, found := errorx.ExtractProperty(err, faultsProperty)
	if !found {
		return nil
	}
	faults, _ := value.(Problems)
	return faults
}

// collector gathers the faults of one entity after another.
type collector struct {
	entity record.EntityKey
	faults Problems
}

func (c *collector) add(field, cure, problem string, args ...any) {
	c.faults = append(c.faults, Problem{Entity: c.entity, Field: field, Message: fmt.Sprintf(problem, args...), Hint: cure})
}
