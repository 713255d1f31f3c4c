package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/tarragonpoint/tarragonpoint/internal/config"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

// fileFlags are the flags of commands that read configuration files.
type fileFlags struct {
	inventory string
	rules     string
}

func (f *fileFlags) bind(flags *flag.FlagSet) {
	flags.StringVar(&f.inventory, "inventory", "inventory.yaml", "Inventory file. Unit: path.")
	flags.StringVar(&f.rules, "rules", "rules.yaml", "Rules file. Unit: path.")
}

func (f *fileFlags) load() (config.Loaded, error) {
	inventory, err := readFile(f.inventory)
	if err != nil {
		return config.Loaded{}, err
	}
	rules, err := readFile(f.rules)
	if err != nil {
		return config.Loaded{}, err
	}
	loaded, err := config.Load(inventory, rules)
	if err != nil {
		return config.Loaded{}, err
	}
	return loaded, loaded.Validate()
}

func readFile(path string) (config.File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return config.File{}, failure(result.UsageError, "%v", err)
	}
	if info.Size() > config.MaxFileBytes {
		return config.File{}, failure(result.ConfigTooLarge, "%s has %d bytes, at most %d are allowed", path, info.Size(), config.MaxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return config.File{}, failure(result.UsageError, "%v", err)
	}
	return config.File{Name: path, Data: data}, nil
}

func (p *Program) configCommand() *ffcli.Command {
	group := p.group("config", "check, compare and publish the configuration")
	group.Subcommands = []*ffcli.Command{p.validateCommand(), p.showCommand(), p.diffCommand(), p.publishCommand()}
	return group
}

func (p *Program) validateCommand() *ffcli.Command {
	flags := p.flags("validate")
	var files fileFlags
	files.bind(flags)
	return p.command("validate", "", "check the files without connecting to the log", flags, func(context.Context, []string) error {
		loaded, err := files.load()
		if err != nil {
			return err
		}
		s := loaded.State
		fmt.Fprintf(p.Stdout, "valid: %d regions, %d zones, %d services, %d targets, %d tenants\n",
			len(s.Regions), len(s.Zones), len(s.Services), len(s.Targets), len(s.Tenants))
		return nil
	})
}

func (p *Program) showCommand() *ffcli.Command {
	flags := p.flags("show")
	var log logFlags
	log.bind(flags)
	return p.command("show", "", "print the current configuration and its version", flags, func(ctx context.Context, _ []string) error {
		_, cancel, sess, err := p.open(ctx, &log)
		if err != nil {
			return err
		}
		defer cancel()
		return p.show(sess.state())
	})
}

func (p *Program) show(state config.State) error {
	inventory, err := config.FormatInventory(state)
	if err != nil {
		return err
	}
	rules, err := config.FormatRules(state)
	if err != nil {
		return err
	}
	fmt.Fprintf(p.Stdout, "# version: %d\n# author: %q\n# inventory:\n%s# rules:\n---\n%s", state.Version, state.Author, inventory, rules)
	return nil
}

func (p *Program) diffCommand() *ffcli.Command {
	flags := p.flags("diff")
	var log logFlags
	log.bind(flags)
	var files fileFlags
	files.bind(flags)
	return p.command("diff", "", "print what publishing the files would change", flags, func(ctx context.Context, _ []string) error {
		loaded, err := files.load()
		if err != nil {
			return err
		}
		_, cancel, sess, err := p.open(ctx, &log)
		if err != nil {
			return err
		}
		defer cancel()
		return p.diff(sess, loaded)
	})
}

func (p *Program) diff(sess *session, loaded config.Loaded) error {
	state := sess.state()
	if state.Version == 0 {
		fmt.Fprintln(p.Stdout, "base: 0 (nothing is published yet)")
	} else {
		fmt.Fprintf(p.Stdout, "base: %d (by %q)\n", state.Version, state.Author)
	}
	changes := config.Preview(state, loaded.State)
	for _, change := range changes {
		fmt.Fprintln(p.Stdout, change)
	}
	if len(changes) == 0 {
		fmt.Fprintln(p.Stdout, "no changes")
	}
	patch, err := config.Diff(state, loaded.State, state.Author)
	if err != nil || len(patch.Set)+len(patch.Delete) == 0 {
		return err
	}
	_, err = config.Apply(state, sess.follower.fold.Next(), patch)
	return loaded.AddPositions(err)
}

func (p *Program) publishCommand() *ffcli.Command {
	flags := p.flags("publish")
	var log logFlags
	log.bind(flags)
	log.bindAuthor(flags)
	var files fileFlags
	files.bind(flags)
	base := flags.String("base", "", "Version that the files were compared with, as config diff prints it; required. Unit: version.")
	return p.command("publish", "", "publish the files as the new configuration", flags, func(ctx context.Context, _ []string) error {
		version, err := strconv.ParseUint(*base, 10, 64)
		if err != nil {
			return failure(result.UsageError, "-base (TARRAGONPOINT_BASE): must be the number that config diff printed after \"base:\", not %q", *base)
		}
		loaded, err := files.load()
		if err != nil {
			return err
		}
		ctx, cancel, sess, err := p.open(ctx, &log)
		if err != nil {
			return err
		}
		defer cancel()
		published, err := sess.publish(ctx, model.Offset(version), loaded.State)
		return p.printResult(published, loaded.AddPositions(err))
	})
}

func (p *Program) printResult(published publishResult, err error) error {
	switch {
	case err != nil:
		return err
	case published.isChanged:
		fmt.Fprintf(p.Stdout, "accepted: version %d\n", published.version)
	default:
		fmt.Fprintf(p.Stdout, "unchanged: version %d\n", published.version)
	}
	return nil
}
