package cli

import (
	"context"
	"flag"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/tarragonpoint/tarragonpoint/internal/result"
	"github.com/tarragonpoint/tarragonpoint/internal/settings"
)

func (p *Program) flags(name string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(&p.help)
	return flags
}

// group returns a command that consists of subcommands.
func (p *Program) group(name, help string) *ffcli.Command {
	return &ffcli.Command{
		Name:       name,
		ShortUsage: name + " <subcommand>",
		ShortHelp:  help,
		FlagSet:    p.flags(name),
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return failure(result.UsageError, "%s needs a subcommand", name)
			}
			return failure(result.UsageError, "%s has no subcommand %q", name, args[0])
		},
	}
}

// command returns a command whose flags may precede, follow or be mixed with its arguments. arguments lists the names
// of the arguments for the help text; run gets exactly as many.
func (p *Program) command(name, arguments, help string, flags *flag.FlagSet, run func(context.Context, []string) error) *ffcli.Command {
	expected := len(strings.Fields(arguments))
	return &ffcli.Command{
		Name:       name,
		ShortUsage: strings.TrimSpace(name + " " + arguments + " [flags]"),
		ShortHelp:  help,
		FlagSet:    flags,
		Options:    settings.Options(),
		Exec: func(ctx context.Context, args []string) error {
			positional, err := parseInterspersed(flags, args)
			if err != nil {
				return err
			}
			if len(positional) != expected {
				return failure(result.UsageError, "%s takes %s, got %d", name, describeArguments(arguments), len(positional))
			}
			return markInternal(run(ctx, positional))
		},
	}
}

func describeArguments(arguments string) string {
	if arguments == "" {
		return "no arguments"
	}
	return "the arguments " + arguments
}

// parseInterspersed parses the flags among args and returns the positional arguments. All arguments after "--" are
// positional.
func parseInterspersed(flags *flag.FlagSet, args []string) ([]string, error) {
	var positional []string
	for len(args) > 0 {
		first := args[0]
		switch {
		case first == "--":
			return append(positional, args[1:]...), nil
		case strings.HasPrefix(first, "-") && first != "-":
			if err := flags.Parse(args); err != nil {
				return nil, err
			}
			args = flags.Args()
		default:
			positional = append(positional, first)
			args = args[1:]
		}
	}
	return positional, nil
}
