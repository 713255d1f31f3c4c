// Package logging writes short log lines with a fixed prefix for each part of the router.
//
// Lines carry only fields of a closed set, so that bodies, keys and other caller data cannot reach the log. Lines that
// repeat are limited.
package logging

import (
	"io"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"
)

var (
	errNamespace = errorx.NewNamespace("logging")
	// ErrLevel reports a level that logrus does not know.
	ErrLevel = errNamespace.NewType("level")
)

// Part names the part of the router that writes a line; it is the line's prefix.
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
	// Now is the clock of the repetition limit; nil means time.Now.
	Now func() time.Time
	// JSON selects one JSON object a line instead of key=value text.
	JSON bool
}

// Log is the log of one process. It is safe for concurrent use.
type Log struct {
	base     *logrus.Logger
	limiter  *limiter
	requests *lineBudget
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
	return &Log{base: base, limiter: newLimiter(now), requests: newLineBudget(now)}, nil
}

// Discard returns a log that writes nothing.
func Discard() *Log {
	base := logrus.New()
	base.SetOutput(io.Discard)
	base.SetLevel(logrus.PanicLevel)
	return &Log{base: base, limiter: newLimiter(time.Now), requests: newLineBudget(time.Now)}
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

// Debug writes a line for developers.
func (l *Logger) Debug(text string, fields ...Field) { l.write(logrus.DebugLevel, text, fields) }

// Info writes a line about normal operation.
func (l *Logger) Info(text string, fields ...Field) { l.write(logrus.InfoLevel, text, fields) }

// Warn writes a line about a fault that the router handles.
func (l *Logger) Warn(text string, fields ...Field) { l.write(logrus.WarnLevel, text, fields) }

// Error writes a line about a fault that needs an operator.
func (l *Logger) Error(text string, fields ...Field) { l.write(logrus.ErrorLevel, text, fields) }

// Event writes a line about a change of what the process believes. Such changes are rare by themselves, so that each has
// its line; they share the budget of requests, which bounds a storm of them.
func (l *Logger) Event(text string, fields ...Field) { l.writeBudgeted(logrus.InfoLevel, text, fields) }

// Request writes a line about one request that was not served in time. The number of lines is bounded; a line that
// follows others that were left out says how many.
func (l *Logger) Request(text string, fields ...Field) {
	l.writeBudgeted(logrus.WarnLevel, text, fields)
}

func (l *Logger) writeBudgeted(level logrus.Level, text string, fields []Field) {
	if !l.log.base.IsLevelEnabled(level) {
		return
	}
	suppressed, allowed := l.log.requests.take()
	if !allowed {
		return
	}
	l.emit(level, text, fields, suppressed)
}

// write applies the repetition limit. The key of a line is its part and text, so the text must be a constant.
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
