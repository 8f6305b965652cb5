package steward_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"chicoryline/internal/standin/linegroup"
	"chicoryline/internal/steward"
	"chicoryline/platform"
)

func isStatus(_, text string) bool { return text == "STATUS" }

// isCommand reports whether the text is a control statement other than STATUS.
func isCommand(_, text string) bool {
	return strings.HasPrefix(text, "PAUSE") || strings.HasPrefix(text, "STEPDOWN") || text == "RESUME"
}

// A second answer to the survey's STATUS was taken for the answer to PAUSE or STEPDOWN, which then
// counted as refused.
func TestRepeatedStatusIsNotTakenForARefusedCommand(t *testing.T) {
	for _, reason := range []steward.Reason{steward.Silent, steward.Leaving} {
		t.Run(string(reason), func(t *testing.T) {
			s := newTestbed(t, "1.249")
			s.oldPrimary.SetUnresponsive(reason == steward.Silent)
			for _, server := range s.group.Servers() {
				server.HoldRepeats(isStatus, isCommand)
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			promoted := make(chan string, 1)
			task := s.task("")
			task.Reason = reason
			task.OnPromoted = func(id string) { promoted <- id }
			s.newSteward("vm1", &hooks{}).Start(ctx, task)
			select {
			case id := <-promoted:
				s.awaitPromotion(id)
			case <-time.After(waitLimit):
				t.Error("the attempt did not replace the primary")
			}
		})
	}
}

// A server that is resumed behind the steward's back receives commits. A second answer to PAUSE was
// taken for its present status, and another server was promoted without the commits.
func TestRepeatedPauseDoesNotProveThatAReplicaIsStillPaused(t *testing.T) {
	s := newTestbed(t, "1.248")
	for _, server := range s.group.Servers() {
		server.HoldRepeats(func(_, text string) bool { return strings.HasPrefix(text, "PAUSE") }, isStatus)
	}
	var resumed sync.Once
	h := &hooks{leaderLease: 300 * time.Millisecond}
	first := ""
	h.paused = func(server string) {
		if first == "" {
			first = server
			return
		}
		resumed.Do(func() {
			resumeDirectly(t, s.servers[first])
			if !s.commit() {
				t.Error("not acknowledged")
			}
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ordered := make(chan string, 10)
	h.promote = func(target string) { ordered <- target }
	st := s.newSteward("vm1", h)
	go func() {
		for len(ordered) == 0 && ctx.Err() == nil {
			st.Start(ctx, s.task(""))
			time.Sleep(100 * time.Millisecond)
		}
	}()
	s.checkPromotion(ordered)
}

// resumeDirectly lets a paused server receive again.
func resumeDirectly(t *testing.T, server *linegroup.Server) {
	t.Helper()
	conn, err := platform.BackendDialer{}.Dial(context.Background(), server.Address, "group0", server.ID, "")
	if err != nil {
		t.Error(err)
		return
	}
	defer conn.Close()
	if _, err := (platform.BackendTexts{}).Resume(conn, waitLimit); err != nil {
		t.Error(err)
	}
}

// An earlier order is executed before that for the present primary, which takes effect later. A
// second answer to the survey's STATUS was taken for the present one: replicas were resumed while
// the earlier order's server was primary.
func TestRepeatedStatusDoesNotProveThatThePrimaryStillLeads(t *testing.T) {
	s := newTestbedWithDelay(t, "1.247", 1500*time.Millisecond)
	s.oldPrimary.SetUnresponsive(false)
	s.oldPrimary.HoldRepeats(isStatus, isStatus)
	const token = 4
	late := s.group.Servers()[1]
	s.Store.Put(steward.Table, s.group.Name(), []byte(fmt.Sprintf(`{"holder":"vm1","token":%d,"active":true,"target":%q}`, token, late.ID)))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var carried sync.Once
	h := &hooks{resumed: func() {
		if s.group.Primary() == late {
			s.commit()
		}
	}}
	h.promote = func(target string) {
		carried.Do(func() {
			s.executeOrder(late.ID, "vm1", token)
			s.oldPrimary.SetReceiveBlocked(true)
			if target != s.oldPrimary.ID {
				t.Errorf("order for %s, want %s", target, s.oldPrimary.ID)
			}
		})
	}
	task := s.task("")
	task.Reason = steward.Unfinished
	s.newSteward("vm1", h).Start(ctx, task)
	for end := time.Now().Add(waitLimit); time.Now().Before(end) && len(s.group.Promoted()) < 2; {
		time.Sleep(5 * time.Millisecond)
	}
	if got := s.group.Promoted(); len(got) < 2 || got[1] != s.oldPrimary.ID {
		t.Errorf("promoted %v", got)
	}
	for _, p := range s.group.Violations() {
		t.Error(p)
	}
}
