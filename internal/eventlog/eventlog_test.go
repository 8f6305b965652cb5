package eventlog

import (
	"errors"
	"strings"
	"sync"
	"testing"

	"github.com/sirupsen/logrus"
)

// blockingOutput is an output that blocks until unblocked is closed.
type blockingOutput struct {
	unblocked chan struct{}
	mu        sync.Mutex
	text      strings.Builder
}

func (g *blockingOutput) Write(b []byte) (int, error) {
	<-g.unblocked
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(b)
}

// While the output blocks, a flood of lines must neither block the caller nor use unbounded
// memory: the queue is bounded, and the number of dropped lines is written.
func TestFloodIsDroppedAndCounted(t *testing.T) {
	g := &blockingOutput{unblocked: make(chan struct{})}
	w := NewWriter(g)
	log := New(w, logrus.InfoLevel)
	const lines = 20 * maxQueuedLines
	for range lines {
		log.WithField("event", "flood").Info("line")
	}
	if n := w.Dropped(); n < lines-2*maxQueuedLines-bufferBytes/20 {
		t.Errorf("%d of %d lines were dropped; more lines were kept than the queue and the buffer hold", n, lines)
	}
	close(g.unblocked)
	w.Close()
	text := g.text.String()
	if !strings.Contains(text, "event=log_lines_dropped count=") {
		t.Error("the count of dropped lines is not written")
	}
	if n := strings.Count(text, "event=flood"); int64(n)+w.Dropped() != lines {
		t.Errorf("%d lines written and %d dropped of %d", n, w.Dropped(), lines)
	}
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	g := &blockingOutput{unblocked: make(chan struct{})}
	close(g.unblocked)
	w := NewWriter(g)
	log := New(w, logrus.InfoLevel)
	for _, m := range []string{"one", "two", "three"} {
		log.Info(m)
	}
	w.Close()
	text := g.text.String()
	if !(strings.Index(text, "one") < strings.Index(text, "two") && strings.Index(text, "two") < strings.Index(text, "three")) {
		t.Errorf("lines %q", text)
	}
}

// Guards against a queue that fills the memory with lines as long as a caller's message.
func TestLongLineIsCut(t *testing.T) {
	g := &blockingOutput{unblocked: make(chan struct{})}
	close(g.unblocked)
	w := NewWriter(g)
	if n, err := w.Write([]byte(strings.Repeat("x", 1<<20) + "\n")); err != nil || n != 1<<20+1 {
		t.Errorf("%d bytes written, %v", n, err)
	}
	New(w, logrus.InfoLevel).Info("next")
	w.Close()
	if lines := strings.Split(g.text.String(), "\n"); len(lines) != 3 || len(lines[0]) != maxLineBytes-1 || !strings.Contains(lines[1], "next") {
		t.Errorf("%d lines, the first of %d bytes", len(lines), len(lines[0]))
	}
}

// Guards against a value that callers or backend servers choose and that takes the room of those
// which tell what the line is about.
func TestLongValuesLeaveRoomForTheOthers(t *testing.T) {
	for _, long := range []string{strings.Repeat("x", 1<<20), strings.Repeat("\x00", 1<<20), strings.Repeat("ő\n", 1<<18), strings.Repeat("\U0010ffff", 1<<16)} {
		g := &blockingOutput{unblocked: make(chan struct{})}
		close(g.unblocked)
		w := NewWriter(g)
		fields := logrus.Fields{"event": "statement", "cause": long, "database": long, "id": long, "kind": "internal", "vm": "vm1"}
		New(w, logrus.InfoLevel).WithFields(fields).WithError(errors.New(strings.Repeat("e", 1<<8))).Warn("not served")
		w.Close()
		text := g.text.String()
		for _, part := range []string{"event=statement", "kind=internal", "vm=vm1\n", strings.Repeat("e", 1<<8)} {
			if !strings.Contains(text, part) {
				t.Errorf("%.10q: line of %d bytes without %q", long, len(text), part)
			}
		}
	}
}
