package dispatch

import (
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"chicoryline/internal/answers"
	"chicoryline/internal/boottime"
	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
	"chicoryline/internal/statement"
)

// fullServer is a connection to a server that refuses all statements while its log does not move.
type fullServer struct {
	answeringConn
	pending []statement.Command
}

func (s *fullServer) Send(commands ...statement.Command) error {
	s.pending = append(s.pending, commands...)
	return nil
}

func (s *fullServer) Receive(time.Duration) (statement.Result, error) {
	r := statement.Result{Status: statement.Idle, Position: position.Position{Term: 1, Offset: 1}}
	if s.pending[0].ID != "" {
		r.Err = errkind.New(errkind.QueueFull, "full")
	}
	s.pending = s.pending[1:]
	return r, nil
}

// Guards against a full server that counts as failing, and whose refusals of reads reach callers as
// broken answers, because two refusals on a connection look alike.
func TestRefusalsOfReadsByAQuietServer(t *testing.T) {
	g := newGroup()
	dials := 0
	g.cfg.Texts = scriptedTexts{}
	g.cfg.Dialer = dialFunc(func() (statement.Conn, error) {
		dials++
		return answers.New(&fullServer{}, scriptedTexts{}, answers.Report{Log: logrus.NewEntry(logrus.New()), Registry: gometrics.NewRegistry()}), nil
	})
	g.update(entryOf("a", false, 1))
	now := boottime.Now()
	g.History.Add(now, position.Position{Term: 1, Offset: 1})
	for i := range 12 {
		call := callFor(200 * time.Millisecond)
		call.Command = statement.Command{ID: "1", Text: "read"}
		if _, err := g.RunSingle(ModeStale, call, now.Add(-time.Second), position.Position{}); !errkind.Is(err, errkind.QueueFull) {
			t.Errorf("read %d: %v, want queue_full", i, err)
		}
	}
	if s := g.Servers()[0]; s.failures != 0 || dials > 5 {
		t.Errorf("%d failures, %d connections opened", s.failures, dials)
	}
}
