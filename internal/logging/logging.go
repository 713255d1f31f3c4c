// Package logging writes short log lines that are prefixed with the part of the router that they come from.
//
// Lines carry only fields of a closed set, so that bodies, keys and other caller data cannot reach the log. Lines that
// repeat are rate-limited.
package logging

import (
	"io"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"
)

var (
	errNamespace = errorx.NewNamespace("logging")
	// ErrLevel reports an unknown log level.
	ErrLevel = errNamespace.NewType("level")
)

// Part is the part of the router that writes a line. It is the prefix of the line.
type Part string

// Parts of the router.
const (
	Entry    Part = "entry"
	Control  Part = "control"
	Cell     Part = "cell"
	Lease    Part = "lease"
	Assign   Part = "assign"
	Config   Part = "config"
	Dispatch Part = "dispatch"
	Front    Part = "front"
	Peer     Part = "peer"
	Platform Part = "platform"
	Target   Part = "target"
	Kernel   Part = "kernel"
	Request  Part = "request"
	Keyspace Part = "keyspace"
	Registry Part = "registry"
)

// Settings configure the log of a process.
type Settings struct {
	// Level is a logrus level name, for instance "info" or "debug".
	Level string
	// Output receives the lines.
	Output io.Writer
	// Now is the clock of the rate limits; nil means time.Now.
	Now func() time.Time
	// JSON selects one JSON object per line instead of key=value text.
	JSON bool
}

// Log is the log of one process. It is safe for concurrent use.
type Log struct {
	base      *logrus.Logger
	limiter   *limiter
	requests  *lineBudget
	events    *lineBudget
	targets   *lineBudget
	decisions *lineBudget
	refusals  *lineBudget
}

func formatter(asJSON bool) logrus.Formatter {
	if asJSON {
		return &logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}
	}
	return &logrus.TextFormatter{DisableColors: true, FullTimestamp: true}
}

// New returns a log. It returns ErrLevel if the level is unknown.
func New(settings Settings) (*Log, error) {
	level, err := logrus.ParseLevel(settings.Level)
	if err != nil {
		return nil, ErrLevel.New("unknown log level %q", settings.Level)
	}
	now := settings.Now
	if now == nil {
		now = time.Now
	}
	base := logrus.New()
	base.SetOutput(settings.Output)
	base.SetLevel(level)
	base.SetFormatter(formatter(settings.JSON))
	return newLog(base, now), nil
}

// Discard returns a log that writes nothing.
func Discard() *Log {
	base := logrus.New()
	base.SetOutput(io.Discard)
	base.SetLevel(logrus.PanicLevel)
	return newLog(base, time.Now)
}

func newLog(base *logrus.Logger, now func() time.Time) *Log {
	return &Log{
		base: base, limiter: newLimiter(now),
		requests: newLineBudget(now), events: newLineBudget(now), targets: newLineBudget(now),
		decisions: newLineBudget(now), refusals: newLineBudget(now),
	}
}

// Part returns the logger of one part.
func (l *Log) Part(part Part) *Logger {
	return &Logger{log: l, part: part}
}

// Logger writes the lines of one part.
type Logger struct {
	log  *Log
	part Part
}

// Debug writes a line at level debug, for developers.
func (l *Logger) Debug(text string, fields ...Field) { l.write(logrus.DebugLevel, text, fields) }

// Info writes a line at level info, about normal operation.
func (l *Logger) Info(text string, fields ...Field) { l.write(logrus.InfoLevel, text, fields) }

// Warn writes a line at level warning, about a fault that the router handles by itself.
func (l *Logger) Warn(text string, fields ...Field) { l.write(logrus.WarnLevel, text, fields) }

// Error writes a line at level error, about a fault that needs an operator.
func (l *Logger) Error(text string, fields ...Field) { l.write(logrus.ErrorLevel, text, fields) }

// Event writes a line at level info about a change of cluster state that the process observed. Such changes are
// normally rare, so each is logged even if its text repeats. Bursts are limited by a budget of the size of that of Request. The
// lines about targets have another one: hundreds of targets may change at a time, and must displace no line about a leader.
func (l *Logger) Event(text string, fields ...Field) {
	budget := l.log.events
	if l.part == Registry {
		budget = l.log.targets
	}
	l.writeBudgeted(budget, logrus.InfoLevel, text, fields)
}

// Decision writes a line at level info about a decision on a request that is served as planned. These lines have a budget
// of the same size as that of Request, but of their own, so that they displace no line about a failure.
func (l *Logger) Decision(text string, fields ...Field) {
	l.writeBudgeted(l.log.decisions, logrus.InfoLevel, text, fields)
}

// Request writes a line at level warning about one request that was not served in time. The rate of these lines is
// limited; a line that follows suppressed ones reports their number.
func (l *Logger) Request(text string, fields ...Field) {
	l.writeBudgeted(l.log.requests, logrus.WarnLevel, text, fields)
}

// Refusal writes a line at level info about a request that was refused because of its caller, such as one without a known API
// key. These lines have a budget of the same size as that of Request, but of their own: callers outside of the operators' control
// determine their number, and they must displace no line about a failure.
func (l *Logger) Refusal(text string, fields ...Field) {
	l.writeBudgeted(l.log.refusals, logrus.InfoLevel, text, fields)
}

func (l *Logger) writeBudgeted(budget *lineBudget, level logrus.Level, text string, fields []Field) {
	if !l.log.base.IsLevelEnabled(level) {
		return
	}
	suppressed, allowed := budget.take()
	if !allowed {
		return
	}
	l.emit(level, text, fields, suppressed)
}

// write applies the rate limit of repeated lines. Lines are identified by their part and text, so the text must be a
// constant.
func (l *Logger) write(level logrus.Level, text string, fields []Field) {
	if !l.log.base.IsLevelEnabled(level) {
		return
	}
	suppressed, allowed := l.log.limiter.allow(lineKey{part: l.part, text: text})
	if !allowed {
		return
	}
	l.emit(level, text, fields, suppressed)
}

func (l *Logger) emit(level logrus.Level, text string, fields []Field, suppressed int) {
	values := make(logrus.Fields, len(fields)+1)
	for _, field := range fields {
		values[field.name] = field.value
	}
	if suppressed > 0 {
		values["suppressed"] = suppressed
	}
	l.log.base.WithFields(values).Log(level, string(l.part)+": "+text)
}
