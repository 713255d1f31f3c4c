package cli

import (
	"context"
	"flag"
	"os"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/config"
	"github.com/tarragonpoint/tarragonpoint/internal/kernel"
	"github.com/tarragonpoint/tarragonpoint/internal/platform"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

const (
	defaultLogPlugin = "platform.log.http"
	// defaultTimeout is the default timeout of a command that uses the log. It exceeds the time for a change to take
	// effect.
	defaultTimeout = 20 * time.Second
	// callsPerTimeout is the minimum number of calls to the log that fit in the timeout of a command.
	callsPerTimeout = 4
)

// LogHost is the host with which log plug-ins are provisioned.
type LogHost struct{ url string }

// LogURL returns the base URL of the log service.
func (h LogHost) LogURL() string { return h.url }

// NewPluginLog is a LogFactory. It constructs a registered plug-in, provisions it with a LogHost and starts it. The
// plug-in runs until the process ends. Errors are those of package kernel.
func NewPluginLog(ctx context.Context, id kernel.ID, url string) (platform.Log, error) {
	log, err := kernel.New[platform.Log](id)
	if err != nil {
		return nil, err
	}
	var set kernel.Set
	set.Add(id, log)
	if err := set.Provision(LogHost{url: url}); err != nil {
		return nil, err
	}
	return log, set.Start(ctx)
}

// logFlags are the flags of commands that read or write the config stream.
type logFlags struct {
	url     string
	plugin  string
	author  string
	timeout time.Duration
}

func (l *logFlags) bind(flags *flag.FlagSet) {
	flags.StringVar(&l.url, "platform-log-url", "", "Base URL of the log service. Unit: URL.")
	flags.StringVar(&l.plugin, "plugin-log", defaultLogPlugin, "Plug-in that connects to the log service. Unit: plug-in ID.")
	flags.DurationVar(&l.timeout, "timeout", defaultTimeout, "Maximum time to reach the log and to read the outcome. Unit: duration.")
}

func (l *logFlags) bindAuthor(flags *flag.FlagSet) {
	flags.StringVar(&l.author, "author", os.Getenv("USER"), "Author of the change; shown to other operators on a conflict. Unit: name.")
}

// session is a command's connection to the config stream.
type session struct {
	program  *Program
	flags    *logFlags
	log      platform.Log
	follower *follower
}

// open connects to the log and reads the stream to its end. The returned context expires after the command's timeout.
func (p *Program) open(ctx context.Context, flags *logFlags) (context.Context, context.CancelFunc, *session, error) {
	if flags.url == "" {
		return nil, nil, nil, failure(result.SettingsInvalid, "-platform-log-url (TARRAGONPOINT_PLATFORM_LOG_URL): is required")
	}
	if flags.timeout <= 0 {
		return nil, nil, nil, failure(result.SettingsInvalid, "-timeout (TARRAGONPOINT_TIMEOUT): must be positive")
	}
	log, err := p.NewLog(ctx, kernel.ID(flags.plugin), flags.url)
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, flags.timeout)
	sess := &session{program: p, flags: flags, log: log, follower: newFollower(log, flags.timeout/callsPerTimeout)}
	if err := sess.follower.catchUp(ctx); err != nil {
		cancel()
		return nil, nil, nil, failure(result.LogUnavailable, "the config stream cannot be read: %s", joinMessages(err))
	}
	return ctx, cancel, sess, nil
}

func (s *session) state() config.State { return s.follower.fold.State() }
