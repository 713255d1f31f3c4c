package cli

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/tarragonpoint/tarragonpoint/internal/settings"
)

// entryCommand runs the entry role after checking all settings.
func (p *Program) entryCommand() *ffcli.Command {
	flags := p.flags("entry")
	var entry settings.Entry
	bindErr := settings.Bind(flags, &entry)
	return p.command("entry", "", "run an entry VM", flags, func(ctx context.Context, _ []string) error {
		if bindErr != nil {
			return bindErr
		}
		if err := settings.Check(entry); err != nil {
			return err
		}
		return p.RunEntry(ctx, entry)
	})
}
