package mesh

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/boottime"
	"chicoryline/internal/position"
)

// vm is a running mesh that reports the highest acknowledged position that it knows.
type vm struct {
	*Mesh
	domain       string
	acknowledged atomic.Uint64
	urgent       atomic.Bool
}

func (v *vm) observe(n StateUpdate) {
	for p := n.Groups["g"].Acknowledged.Offset; ; {
		old := v.acknowledged.Load()
		if old >= p || v.acknowledged.CompareAndSwap(old, p) {
			return
		}
	}
}

// runFleet runs VMs on loopback and waits until they know each other.
func runFleet(t *testing.T, count, domains int) []*vm {
	log := logrus.New()
	log.SetOutput(io.Discard)
	var fleet []*vm
	var list []Peer
	for i := range count {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		v := &vm{domain: fmt.Sprintf("d%d", i%domains)}
		p := Peer{VM: fmt.Sprintf("vm%04d", i), Address: conn.LocalAddr().String(), Domain: v.domain}
		v.Mesh = New(Config{
			VM: p.VM, Conn: conn, Log: logrus.NewEntry(log), IsUrgent: v.urgent.Load, OnLost: func(string) {},
			Compose: func() StateUpdate {
				g := newGroupState("i")
				g.Acknowledged = position.Position{Term: 1, Offset: v.acknowledged.Load()}
				return StateUpdate{Settled: true, Groups: map[string]GroupState{"g": g}}
			},
			OnUpdate: func(_ string, n StateUpdate, _ boottime.Time) { v.observe(n) },
			OnDigest: func(_ string, n StateUpdate, _ boottime.Time) { v.observe(n) },
		})
		fleet, list = append(fleet, v), append(list, p)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, v := range fleet {
		v.SetPeers(list)
		go v.Run(ctx)
		time.Sleep(13 * time.Millisecond) // other phases
	}
	time.Sleep(6 * GossipInterval)
	return fleet
}

// Guards against confirming a commit before VMs in a majority of the failure domains know of it.
func TestReachedMajorityKnowsWhatWasAcknowledged(t *testing.T) {
	for _, count := range []int{8, 40} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			t.Parallel()
			fleet := runFleet(t, count, 4)
			early, longest, total := 0, time.Duration(0), time.Duration(0)
			const commits = 40
			for n := range uint64(commits) {
				v := fleet[int(n)%count]
				v.observe(StateUpdate{Groups: map[string]GroupState{"g": {Acknowledged: position.Position{Offset: n + 1}}}})
				at := boottime.Now()
				v.urgent.Store(true)
				for !v.HasReachedMajoritySince(at) && boottime.Since(at) < 5*time.Second {
					time.Sleep(time.Millisecond)
				}
				known := map[string]bool{}
				for _, o := range fleet {
					if o.acknowledged.Load() > n {
						known[o.domain] = true
					}
				}
				took := boottime.Since(at)
				v.urgent.Store(false)
				total, longest = total+took, max(longest, took)
				if 2*len(known) <= 4 {
					early++
				}
				time.Sleep(137 * time.Millisecond)
			}
			t.Logf("confirmed after %v on average, %v at most", total/commits, longest)
			if early > 0 {
				t.Errorf("%d of %d commits were confirmed before a majority knew of them", early, commits)
			}
		})
	}
}

// TestCalmFleetIsInTouch guards against a calm fleet that counts as out of touch. It runs only if
// CHICORYLINE_CONTACT_REPORT is set, since its result depends on the load of the machine.
func TestCalmFleetIsInTouch(t *testing.T) {
	if os.Getenv("CHICORYLINE_CONTACT_REPORT") == "" {
		t.Skip("a measurement: set CHICORYLINE_CONTACT_REPORT to run it")
	}
	for _, c := range []struct{ count, domains int }{{2, 2}, {3, 3}, {8, 4}, {40, 4}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			t.Parallel()
			fleet := runFleet(t, c.count, c.domains)
			samples, out := 0, 0
			for start := boottime.Now(); boottime.Since(start) < 10*time.Second; time.Sleep(5 * time.Millisecond) {
				for _, v := range fleet {
					if samples++; !v.IsInTouch() {
						out++
					}
				}
			}
			if out > 0 {
				t.Errorf("out of touch in %d of %d samples", out, samples)
			}
		})
	}
}
