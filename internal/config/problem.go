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
	// ErrInvalid reports an inconsistent state, or a change that is not allowed.
	ErrInvalid = errNamespace.NewType("invalid")
	// ErrConflict reports a patch whose base is not the current version. ConflictOf returns the details.
	ErrConflict = errNamespace.NewType("conflict")
	// ErrTooLarge reports a file or patch that exceeds its size limit.
	ErrTooLarge = errNamespace.NewType("too_large")
	// ErrGap reports that records between the fold's offset and an entry are missing.
	ErrGap = errNamespace.NewType("gap")
	// ErrSnapshot reports a snapshot that cannot be encoded or decoded, or that is inconsistent.
	ErrSnapshot = errNamespace.NewType("snapshot")

	problemsProperty = errorx.RegisterProperty("config_faults")
)

// Position is a location in a file. Line and Column count from 1; Line 0 means that the position is unknown.
type Position struct {
	File   string
	Line   int
	Column int
}

// Problem is one error in a configuration file or state.
type Problem struct {
	Position Position
	// Entity is the invalid entity; zero if the problem concerns the whole file.
	Entity record.EntityKey
	// Field is the YAML name of the invalid field; empty if the problem concerns the whole entity or file.
	Field string
	// Message describes what is wrong.
	Message string
	// Hint describes how to correct it.
	Hint string
}

// String formats the problem on one line.
func (p Problem) String() string {
	var parts []string
	if p.Position.Line > 0 {
		parts = append(parts, fmt.Sprintf("%s:%d:%d", p.Position.File, p.Position.Line, p.Position.Column))
	} else if p.Position.File != "" {
		parts = append(parts, p.Position.File)
	}
	if p.Entity.Kind != "" {
		parts = append(parts, fmt.Sprintf("%s %q", p.Entity.Kind, p.Entity.Name))
	}
	if p.Field != "" {
		parts = append(parts, p.Field)
	}
	parts = append(parts, p.Message+"; "+p.Hint)
	return strings.Join(parts, ": ")
}

// Problems is a list of problems.
type Problems []Problem

// String formats the problems, one per line.
func (p Problems) String() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// sorted sorts the problems in place by entity and field, and returns them.
func (p Problems) sorted() Problems {
	sort.SliceStable(p, func(i, j int) bool {
		if p[i].Entity != p[j].Entity {
			return lessKey(p[i].Entity, p[j].Entity)
		}
		return p[i].Field < p[j].Field
	})
	return p
}

// asError returns an error of the given type that carries the problems, or nil if there are none.
func (p Problems) asError(kind *errorx.Type) error {
	if len(p) == 0 {
		return nil
	}
	return kind.New("%s", p.String()).WithProperty(problemsProperty, p)
}

// ProblemsOf returns the problems that an error of this package carries, or nil if it carries none.
func ProblemsOf(err error) Problems {
	value, found := errorx.ExtractProperty(err, problemsProperty)
	if !found {
		return nil
	}
	problems, _ := value.(Problems)
	return problems
}

// collector collects the problems of a state. The current entity is attached to each problem that is added.
type collector struct {
	entity   record.EntityKey
	problems Problems
}

func (c *collector) add(field, hint, message string, args ...any) {
	c.problems = append(c.problems, Problem{Entity: c.entity, Field: field, Message: fmt.Sprintf(message, args...), Hint: hint})
}
