package testbed

import (
	"context"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/config"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

// operatorTimeout bounds one operators' command. It exceeds the command's own timeout.
const operatorTimeout = 40 * time.Second

var acceptedVersion = regexp.MustCompile(`(?:accepted|unchanged): version (\d+)`)

// CommandResult is the result of an operators' command.
type CommandResult struct {
	ExitCode int
	Output   string
}

// Version returns the configuration version that a publish command reported, or 0 if it reported none.
func (r CommandResult) Version() model.Offset {
	match := acceptedVersion.FindStringSubmatch(r.Output)
	if match == nil {
		return 0
	}
	version, err := strconv.ParseUint(match[1], 10, 64)
	if err != nil {
		return 0
	}
	return model.Offset(version)
}

// RunOperatorCommand runs an operators' command that connects to the log. It is safe for concurrent use.
func (c *Cluster) RunOperatorCommand(ctx context.Context, args ...string) (CommandResult, error) {
	c.mutex.Lock()
	c.commands++
	name := fmt.Sprintf("operator-%d", c.commands)
	c.mutex.Unlock()
	variables := []string{"TARRAGONPOINT_PLATFORM_LOG_URL=" + c.StoreURL, "TARRAGONPOINT_AUTHOR=" + name}
	p, err := c.run(command{name: name, path: c.options.Programs.Router, args: args, variables: variables})
	if err != nil {
		return CommandResult{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	if err := p.wait(ctx); err != nil {
		p.Kill()
		return CommandResult{}, err
	}
	return CommandResult{ExitCode: p.ExitCode(), Output: p.Output()}, nil
}

// Publish publishes a configuration that is based on the version base. The flags are added to those of the command.
func (c *Cluster) Publish(ctx context.Context, state config.State, base model.Offset, flags ...string) (CommandResult, error) {
	inventory, err := config.FormatInventory(state)
	if err != nil {
		return CommandResult{}, err
	}
	rules, err := config.FormatRules(state)
	if err != nil {
		return CommandResult{}, err
	}
	dir, err := os.MkdirTemp(c.options.Dir, "config-")
	if err != nil {
		return CommandResult{}, err
	}
	args := []string{"config", "publish", "-base", strconv.FormatUint(uint64(base), 10)}
	for flag, data := range map[string][]byte{"inventory": inventory, "rules": rules} {
		path := dir + "/" + flag + ".yaml"
		if err := os.WriteFile(path, data, fileMode); err != nil {
			return CommandResult{}, err
		}
		args = append(args, "-"+flag, path)
	}
	return c.RunOperatorCommand(ctx, append(args, flags...)...)
}

// PublishFirst publishes the first configuration, which is c.State, and waits until all entry VMs are ready.
func (c *Cluster) PublishFirst(ctx context.Context) (CommandResult, error) {
	published, err := c.Publish(ctx, c.State, 0)
	if err != nil {
		return published, err
	}
	if published.ExitCode != result.ExitOK {
		return published, fmt.Errorf("publish ended with exit code %d: %s", published.ExitCode, published.Output)
	}
	return published, Await(ctx, startTimeout, "all entry VMs to be ready", func() bool {
		return len(c.Ready()) == len(c.Entries())
	})
}

// Ready returns the entry VMs that passed the last health check of the load balancer. It is safe for concurrent use.
func (c *Cluster) Ready() []*Entry { return c.balancer.ready() }
