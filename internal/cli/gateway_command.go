package cli

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/tarragonpoint/tarragonpoint/internal/gateway"
	"github.com/tarragonpoint/tarragonpoint/internal/settings"
)

// gatewayCommand runs the gateway role for the users' platform. Its settings may also come from a file.
func (p *Program) gatewayCommand() *ffcli.Command {
	flags := p.flags("gateway")
	var values gateway.Settings
	values.Bind(flags)
	command := p.command("gateway", "", "run an entry VM on the users' platform", flags, func(ctx context.Context, _ []string) error {
		if err := values.Check(); err != nil {
			return err
		}
		return p.RunGateway(ctx, values)
	})
	command.Options = gateway.Options(settings.EnvironmentPrefix)
	return command
}
