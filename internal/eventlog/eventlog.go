// Package eventlog writes log lines without making their sender wait: lines go
// through a bounded ring to a writer of its own; what does not fit is dropped and
// counted.
package eventlog

import (
	"bufio"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// maxQueuedLines bounds the lines that wait for the writer.
	maxQueuedLines = 1024
	// bufferBytes is what is written at once when lines come fast.
	bufferBytes = 16 << 10
	// batchDelay is how long the writer waits for more lines before it writes.
	batchDelay = 20 * time.Millisecond
)

// Writer is the ring and its writer.
type Writer struct {
	out     *bufio.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewWriter returns a running writer.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: bufio.NewWriterSize(out, bufferBytes), lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line and never waits.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines found no room.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what is left.
func (w *Writer) Close() {
	close(w.lines)
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	var reported int64
	for line := range w.lines {
		w.out.Write(line)
		if len(w.lines) == 0 {
			time.Sleep(batchDelay)
		}
		if len(w.lines) > 0 {
			continue
		}
		if n := w.dropped.Load(); n > reported {
			fmt.Fprintf(w.out, "level=warning event=log_lines_dropped count=%d\n", n-reported)
			reported = n
		}
		// Standard output is the only place to report to; a failed write is lost.
		_ = w.out.Flush()
	}
	_ = w.out.Flush()
}

// New returns a logger of key=value lines on the writer.
func New(w io.Writer, level logrus.Level) *logrus.Entry {
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(level)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	return logrus.NewEntry(log)
}
