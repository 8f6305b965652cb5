package linegroup

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chicoryline/internal/standin/lineclient"
)

const exchangeTimeout = 10 * time.Second

func start(t *testing.T, servers int) *Group {
	t.Helper()
	g, err := New(Options{Name: "g", Servers: servers, Domains: []string{"d"}, MaxConnections: 20, Slots: 2})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return g
}

// ask runs a control statement on a new connection and returns the first fields of the
// status row: role, term, position received, term of the pause.
func ask(t *testing.T, s *Server, text string) string {
	t.Helper()
	c, err := lineclient.Dial(s.Address, "g", "-", exchangeTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	a, err := c.Query("-", text)
	if err != nil || a.Code != "" || len(a.Rows) != 1 {
		t.Fatalf("%s: %+v, %v", text, a, err)
	}
	return strings.Join(strings.Fields(a.Rows[0])[:4], " ")
}

func check(t *testing.T, what, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("%s: %q, want %q", what, got, want)
	}
}

// write commits one write at the primary and reports whether it was acknowledged.
func write(t *testing.T, g *Group, id string) bool {
	t.Helper()
	_, led, acked := g.commit(g.Primary(), []Write{{ID: id, Item: id, Data: id}})
	if !led {
		t.Fatal("the primary does not act as primary")
	}
	return acked
}

func TestStepDownLeavesTheGroupWithoutPrimary(t *testing.T) {
	g := start(t, 3)
	a, b := g.Servers()[0], g.Servers()[1]
	var notified []string
	g.OnRoleChange(func(s *Server) { notified = append(notified, s.ID) })
	write(t, g, "w1")
	check(t, "lower term", ask(t, a, "STEPDOWN 1"), "primary 1 1.1 0")
	check(t, "at a replica", ask(t, b, "STEPDOWN 2"), "replica 1 1.1 0")
	check(t, "higher term", ask(t, a, "STEPDOWN 2"), "replica 1 1.1 0")
	if g.Primary() != nil || len(notified) != 1 || notified[0] != a.ID {
		t.Fatalf("primary %v, notified %v", g.Primary(), notified)
	}
	if _, led, _ := g.commit(a, []Write{{ID: "w2"}}); led {
		t.Error("a server that stepped down accepted a commit")
	}
	if list := g.Committed(); len(list) != 1 {
		t.Errorf("committed %v", list)
	}
	a.Crash()
	if err := a.Restart(); err != nil {
		t.Fatal(err)
	}
	check(t, "after a restart", ask(t, a, "STATUS"), "replica 1 1.1 0")
	g.makePrimary(b)
	check(t, "promoted", ask(t, b, "STATUS"), "primary 2 1.1 0")
	if !write(t, g, "w3") || len(g.Committed()) != 2 || len(g.Violations()) != 0 {
		t.Errorf("committed %v, problems %v", g.Committed(), g.Violations())
	}
}

// Every commit around a STEPDOWN is either acknowledged before it or refused, never lost.
func TestCommitsAroundStepDown(t *testing.T) {
	g := start(t, 2)
	a := g.Primary()
	end := make(chan error)
	acked := 0
	go func() {
		defer close(end)
		c, err := lineclient.Dial(a.Address, "g", "x", exchangeTimeout)
		if err != nil {
			end <- err
			return
		}
		defer c.Close()
		for i := 0; ; i++ {
			answer, err := c.Query(fmt.Sprint("w", i), fmt.Sprintf("WRITE i%d d", i))
			if err != nil {
				end <- err
			}
			if err != nil || answer.Code == "READONLY" {
				return
			}
			acked++
		}
	}()
	time.Sleep(20 * time.Millisecond)
	ask(t, a, "STEPDOWN 2")
	if err := <-end; err != nil {
		t.Fatal(err)
	}
	if n := len(g.Acknowledged()); n != acked || n != len(g.Committed()) {
		t.Errorf("commits: the caller received %d acknowledgements, the group recorded %d, the log holds %d", acked, n, len(g.Committed()))
	}
}

func TestPauseEndsWithResumeRestartOrPromotion(t *testing.T) {
	g := start(t, 3)
	b, c := g.Servers()[1], g.Servers()[2]
	check(t, "own term", ask(t, b, "PAUSE 1"), "replica 1 1.0 0")
	check(t, "primary", ask(t, g.Primary(), "PAUSE 2"), "primary 1 1.0 0")
	check(t, "higher term", ask(t, b, "PAUSE 2"), "replica 1 1.0 2")
	write(t, g, "w1")
	check(t, "while paused", ask(t, b, "STATUS"), "replica 1 1.0 2")
	check(t, "resumed", ask(t, b, "RESUME"), "replica 1 1.1 0")

	ask(t, b, "PAUSE 2")
	write(t, g, "w2")
	b.Crash()
	if err := b.Restart(); err != nil {
		t.Fatal(err)
	}
	check(t, "restarted", ask(t, b, "STATUS"), "replica 1 1.2 0")

	ask(t, b, "PAUSE 2")
	write(t, g, "w3")
	g.makePrimary(c)
	check(t, "another was promoted", ask(t, b, "STATUS"), "replica 2 1.3 0")

	ask(t, b, "PAUSE 3")
	g.makePrimary(b)
	check(t, "promoted itself", ask(t, b, "STATUS"), "primary 3 1.3 0")
}

// Two failover coordinators pause a replica with increasing terms; a late request then
// promotes another server into a term below that of the newer pause, which must stay in
// force (handover-into-freeze 36).
func TestPauseOutlivesAPromotionInALowerTerm(t *testing.T) {
	g := start(t, 3)
	b, c := g.Servers()[1], g.Servers()[2]
	ask(t, b, "PAUSE 2")
	check(t, "paused twice", ask(t, b, "PAUSE 3"), "replica 1 1.0 3")
	g.makePrimary(c)
	write(t, g, "w1")
	check(t, "after the promotion", ask(t, b, "STATUS"), "replica 1 1.0 3")
	check(t, "resumed", ask(t, b, "RESUME"), "replica 2 2.1 0")
}

func TestReceiveBlockedReplicaGetsNothingAtAPromotion(t *testing.T) {
	g := start(t, 3)
	b, c := g.Servers()[1], g.Servers()[2]
	b.SetReceiveBlocked(true)
	if !write(t, g, "w1") {
		t.Fatal("write was not acknowledged although the other replica receives")
	}
	g.makePrimary(c)
	check(t, "receive blocked", ask(t, b, "STATUS"), "replica 1 1.0 0")
	b.SetReceiveBlocked(false)
	check(t, "receives again", ask(t, b, "STATUS"), "replica 2 1.1 0")
}

func TestLostAcknowledgementNamesTheReceiver(t *testing.T) {
	g := start(t, 3)
	b, c := g.Servers()[1], g.Servers()[2]
	b.SetReceiveBlocked(true)
	write(t, g, "w1")
	g.makePrimary(b)
	want := []string{"acknowledged write w1, received by " + c.ID + ", is not in the log of " + b.ID + ", promoted in term 2"}
	if diff := cmp.Diff(want, g.Violations()); diff != "" {
		t.Error(diff)
	}
}

func TestAddedServerReceivesAndAcknowledges(t *testing.T) {
	g := start(t, 2)
	write(t, g, "w1")
	added, err := g.Add("d")
	if err != nil {
		t.Fatal(err)
	}
	check(t, "log", ask(t, added, "STATUS"), "replica 1 1.1 0")
	g.Servers()[1].SetReceiveBlocked(true)
	if !write(t, g, "w2") {
		t.Error("write was not acknowledged although the added server receives")
	}
}

func TestPromotionOfThePrimaryOrAStoppedServerChangesNothing(t *testing.T) {
	g := start(t, 2)
	a, b := g.Servers()[0], g.Servers()[1]
	if !g.Promote(a.ID) {
		t.Error("promotion of the current primary was refused")
	}
	b.Crash()
	if g.Promote(b.ID) || g.Promote("nobody") {
		t.Error("promotion of a server that is not running was accepted")
	}
	g.makePrimary(a)
	g.makePrimary(b) // crashed between the promotion request and the primary change
	check(t, "primary", ask(t, a, "STATUS"), "primary 1 1.0 0")
}

func TestStartupWithoutTheExpectedServer(t *testing.T) {
	g := start(t, 1)
	s := g.Primary()
	for text, ok := range map[string]bool{"g x": true, "g x " + s.ID: true, "g x other": false, "h x": false} {
		c, err := net.Dial("tcp4", s.Address)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "STARTUP %s\r\n", text)
		answer := make([]byte, 64)
		n, err := c.Read(answer)
		if err != nil || strings.HasPrefix(string(answer[:n]), "READY") != ok {
			t.Errorf("%s: %q, %v", text, answer[:n], err)
		}
		c.Close()
	}
}

// A crashed server refuses connections. An unresponsive one accepts them without answering
// and still takes part in replication.
func TestCrashedRefusesAndUnresponsiveHangs(t *testing.T) {
	g := start(t, 3)
	b, c := g.Servers()[1], g.Servers()[2]
	b.Crash()
	if _, err := lineclient.Dial(b.Address, "g", "x", exchangeTimeout); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("crashed: %v", err)
	}
	c.SetUnresponsive(true)
	if _, err := lineclient.Dial(c.Address, "g", "x", 200*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("unresponsive: %v", err)
	}
	if !write(t, g, "w1") {
		t.Error("write was not acknowledged although an unresponsive replica receives")
	}
	c.SetUnresponsive(false)
	check(t, "responsive again", ask(t, c, "STATUS"), "replica 1 1.1 0")
}
