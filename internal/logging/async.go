package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// asyncLines is the capacity of the queue in lines. A full queue takes at most about 1 MB.
const asyncLines = 2048

// AsyncWriter writes lines to an output in the background, so that Write never blocks. Lines that do not fit into its
// queue are dropped, and their number is written once the output accepts lines again.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
	once    sync.Once
}

// NewAsyncWriter returns a writer that writes its lines to output in the background.
func NewAsyncWriter(output io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, asyncLines), done: make(chan struct{})}
	go w.run(output)
	return w
}

// Write queues a copy of one line, or drops the line if the queue is full. It always reports the whole line as written
// and returns no error.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close returns a channel that is closed when all queued lines are written. Write must not be called after Close.
func (w *AsyncWriter) Close() <-chan struct{} {
	w.once.Do(func() { close(w.lines) })
	return w.done
}

func (w *AsyncWriter) run(output io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		if count := w.dropped.Swap(0); count > 0 {
			// A write error of the log itself cannot be reported anywhere.
			_, _ = fmt.Fprintf(output, "{\"level\":\"warning\",\"msg\":\"logging: lines were dropped because the output was blocked\",\"suppressed\":%d}\n", count)
		}
		_, _ = output.Write(line)
	}
}
