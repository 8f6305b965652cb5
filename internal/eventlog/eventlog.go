// Package eventlog writes log lines without blocking the caller. Lines go through a bounded
// queue to a writer goroutine; lines that do not fit into the queue are dropped and counted.
package eventlog

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// maxQueuedLines is the capacity of the queue.
	maxQueuedLines = 1024
	// maxLineBytes bounds one line, so that the queue holds at most 4 MiB. Callers choose the ids of
	// requests and the names of databases, which may be as long as a message.
	maxLineBytes = 4 << 10
	// maxValueBytes bounds one quoted value, so that a line has room for the values beside those that
	// callers and backend servers choose: the id, the database and the text of an error.
	maxValueBytes = 1 << 10
	// bufferBytes is the size of the output buffer, and so of one write under load.
	bufferBytes = 16 << 10
	// batchDelay is how long the writer waits for more lines before it flushes the buffer.
	batchDelay = 20 * time.Millisecond
)

// Writer is an asynchronous io.Writer for log lines: a bounded queue and the goroutine that
// writes it to the output.
type Writer struct {
	out     *bufio.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewWriter returns a Writer and starts its goroutine. Close stops it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: bufio.NewWriterSize(out, bufferBytes), lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line, of which it keeps the first maxLineBytes, or drops it if the queue is
// full. It never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line[:min(len(line), maxLineBytes)]...)
	if len(line) > maxLineBytes {
		kept[maxLineBytes-1] = '\n'
	}
	select {
	case w.lines <- kept:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and stops the writer. Write must not be called afterwards.
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
		// A write error cannot be reported: this output is the only one.
		_ = w.out.Flush()
	}
	_ = w.out.Flush()
}

// formatter shortens the long values of a line.
type formatter struct{ logrus.Formatter }

// Format implements logrus.Formatter.
func (f formatter) Format(e *logrus.Entry) ([]byte, error) {
	short := *e
	short.Data = make(logrus.Fields, len(e.Data))
	for key, value := range e.Data {
		if err, ok := value.(error); ok {
			value = err.Error()
		}
		if text, ok := value.(string); ok {
			value = shorten(text)
		}
		short.Data[key] = value
	}
	return f.Formatter.Format(&short)
}

// shorten returns the text, or so much of its start that the quoted value has at most maxValueBytes.
func shorten(text string) string {
	if 4*len(text) <= maxValueBytes { // no byte takes more than 4 quoted
		return text
	}
	text = text[:min(len(text), maxValueBytes)]
	for len(strconv.Quote(text)) > maxValueBytes {
		text = text[:len(text)-len(text)/8-1]
	}
	return text
}

// New returns a logger that writes key=value lines to w.
func New(w io.Writer, level logrus.Level) *logrus.Entry {
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(level)
	log.SetFormatter(formatter{&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"}})
	return logrus.NewEntry(log)
}
