package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// asyncLines is the number of lines that wait for a slow reader, at most about 1 MB.
const asyncLines = 2048

// AsyncWriter passes lines on to a writer without ever blocking. Lines that do not fit into its queue are left out, and
// their number is written once there is room.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
	once    sync.Once
}

// NewAsyncWriter returns a writer in front of output.
func NewAsyncWriter(output io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, asyncLines), done: make(chan struct{})}
	go w.run(output)
	return w
}

// Write queues one line. It always takes the whole line and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close returns a channel that is closed when all queued lines are written. No line may be written after it.
func (w *AsyncWriter) Close() <-chan struct{} {
	w.once.Do(func() { close(w.lines) })
	return w.done
}

func (w *AsyncWriter) run(output io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		if count := w.dropped.Swap(0); count > 0 {
			// A log that cannot be written has nowhere to be reported.
			_, _ = fmt.Fprintf(output, "{\"level\":\"warning\",\"msg\":\"logging: lines were left out\",\"suppressed\":%d}\n", count)
		}
		_, _ = output.Write(line)
	}
}
