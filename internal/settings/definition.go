package settings

import (
	"flag"
	"fmt"
	"strings"

	"github.com/joomcode/errorx"
	"github.com/peterbourgon/ff/v3"
)

var (
	errNamespace = errorx.NewNamespace("settings")
	// ErrInvalid reports missing or invalid settings.
	ErrInvalid = errNamespace.NewType("invalid")
)

// EnvironmentPrefix is the prefix of all environment variables; "_" follows it.
const EnvironmentPrefix = "TARRAGONPOINT"

// Definition describes one setting.
type Definition struct {
	// Flag is the name of the flag without the leading dash.
	Flag string
	// Unit is the unit or format of the value.
	Unit string
	// Default is the default value; "" means that there is none.
	Default string
	// Usage is the description for operators.
	Usage string

	bind func(*Entry) flag.Value
}

// Variable returns the name of the environment variable.
func (d Definition) Variable() string {
	return EnvironmentPrefix + "_" + strings.ToUpper(strings.ReplaceAll(d.Flag, "-", "_"))
}

func (d Definition) help() string {
	return fmt.Sprintf("%s Unit: %s. Variable: %s.", d.Usage, d.Unit, d.Variable())
}

// Bind defines the flags of the entry role and sets the defaults. It returns ErrInvalid for a malformed default.
// Malformed values of flags and variables are reported by Check.
func Bind(flags *flag.FlagSet, entry *Entry) error {
	for _, definition := range definitions {
		value := definition.bind(entry)
		if err := value.Set(definition.Default); err != nil && definition.Default != "" {
			return ErrInvalid.Wrap(err, "the default of -%s is malformed", definition.Flag)
		}
		flags.Var(deferredValue{Value: value, name: definition.Flag, into: entry}, definition.Flag, definition.help())
	}
	return nil
}

// Options returns the options with which ff reads environment variables.
func Options() []ff.Option {
	return []ff.Option{ff.WithEnvVarPrefix(EnvironmentPrefix)}
}

// Definitions returns all settings of the entry role in the order of the documentation.
func Definitions() []Definition {
	return append([]Definition(nil), definitions...)
}
