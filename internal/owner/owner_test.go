package owner

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"chicoryline/internal/access"
	"chicoryline/internal/boottime"
	"chicoryline/internal/dispatch"
	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
	"chicoryline/internal/statement"
)

// fakeOwner answers every call with the reply or the error.
type fakeOwner struct {
	reply RunReply
	err   error
	calls []*RunArgs
}

func (f *fakeOwner) Call(_ context.Context, _, _ string, args, reply any) error {
	f.calls = append(f.calls, args.(*RunArgs))
	*reply.(*RunReply) = f.reply
	return f.err
}

func owners(f *fakeOwner, remote bool) *Owners {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(f, func(string) (string, bool) { return "owner", remote }, logrus.NewEntry(log))
}

func call() *dispatch.Call {
	now := boottime.Now()
	return &dispatch.Call{
		Customer: "c", Arrived: now, Deadline: now.Add(time.Second), LatencyDeadline: now.Add(200 * time.Millisecond),
		Command: statement.Command{ID: "id", Text: "READ x"},
	}
}

// What is not known to have run must not run here as well if it writes; a refusal
// keeps its kind, since it tells the caller whether anything ran.
func TestOutcomesOfCallsToTheOwner(t *testing.T) {
	served := RunReply{Known: true, Rows: []string{"r"}, Signature: "s", Position: position.Position{Term: 1, Offset: 2}}
	refused := RunReply{Known: true, Failed: true, Kind: errkind.QueueFull, Detail: "retry after 20 ms"}
	for _, c := range []struct {
		name  string
		mode  dispatch.Mode
		reply RunReply
		err   error
		taken bool
		kind  errkind.Kind // if an error is wanted
		fails bool
	}{
		{name: "served", mode: dispatch.ModeWrite, reply: served, taken: true},
		{name: "refused", mode: dispatch.ModeWrite, reply: refused, taken: true, fails: true, kind: errkind.QueueFull},
		{name: "write that surely did not arrive", mode: dispatch.ModeWrite, err: errkind.New(errkind.Unreachable, "fake")},
		{name: "write without an answer", mode: dispatch.ModeWrite, err: errkind.New(errkind.OutcomeUnknown, "fake"), taken: true, fails: true, kind: errkind.OutcomeUnknown},
		{name: "write whose owner ended", mode: dispatch.ModeWrite, err: errkind.New(errkind.Internal, "fake"), taken: true, fails: true, kind: errkind.OutcomeUnknown},
		{name: "read without an answer", mode: dispatch.ModeStale, err: errkind.New(errkind.OutcomeUnknown, "fake")},
		{name: "current read without an answer", mode: dispatch.ModeCurrent, err: errkind.New(errkind.OutcomeUnknown, "fake")},
		{name: "owner does not know the customer", mode: dispatch.ModeWrite, reply: RunReply{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fakeOwner{reply: c.reply, err: c.err}
			r, err, taken := owners(f, true).Run(access.Customer{Name: "c"}, "g", c.mode, call(), time.Second, position.Position{})
			if taken != c.taken || (err != nil) != c.fails || c.fails && errkind.KindOf(err) != c.kind {
				t.Errorf("taken %v, error %v", taken, err)
			}
			if taken && err == nil {
				want := statement.Result{Rows: c.reply.Rows, Signature: "s", Position: c.reply.Position, Status: statement.Idle}
				if d := cmp.Diff(want, r); d != "" {
					t.Error(d)
				}
			}
		})
	}
}

func TestOwnStatementsRunHere(t *testing.T) {
	f := &fakeOwner{reply: RunReply{Known: true}}
	if _, _, taken := owners(f, false).Run(access.Customer{Name: "c"}, "g", dispatch.ModeStale, call(), 0, position.Position{}); taken || len(f.calls) != 0 {
		t.Errorf("taken %v after %d calls", taken, len(f.calls))
	}
}

// The owner gets times that remain, not moments of another VM's clock.
func TestTimesAreFromNowOn(t *testing.T) {
	f := &fakeOwner{reply: RunReply{Known: true}}
	owners(f, true).Run(access.Customer{Name: "c"}, "g", dispatch.ModeStale, call(), 1500*time.Millisecond, position.Position{Term: 3, Offset: 4})
	a := f.calls[0]
	if a.Deadline <= 0 || a.Deadline > time.Second || a.Useful <= 0 || a.Useful > 200*time.Millisecond || a.MaxAge != 1500*time.Millisecond || a.Own.Term != 3 {
		t.Errorf("%+v", a)
	}
}

// An owner that has gone dark leaves its calls open. Others are not sent after them.
func TestSilentOwnerIsPassedOver(t *testing.T) {
	o := owners(&fakeOwner{}, true)
	for range 2 {
		if !o.begin("owner") {
			t.Fatal("a new owner is passed over")
		}
	}
	o.links["owner"].waiting = boottime.Now().Add(-silentTime - time.Millisecond)
	if o.begin("owner") {
		t.Error("an owner that answers nothing is asked on")
	}
	if o.end("owner", nil); !o.begin("owner") {
		t.Error("an owner that has answered is passed over")
	}
	if o.end("owner", errkind.New(errkind.Unreachable, "fake")); o.begin("owner") {
		t.Error("an owner that cannot be reached is asked at once again")
	}
}

// limiter admits by name.
type limiter map[string]bool

func (l limiter) AdmitName(name string) (time.Duration, bool, bool) {
	admitted, known := l[name]
	return 30 * time.Millisecond, admitted, known
}

func TestOwnerAdmitsBeforeItRuns(t *testing.T) {
	s := NewService(limiter{"over": false}, dispatch.NewRouter(dispatch.Config{}))
	var unknown, over RunReply
	if err := s.Run(&RunArgs{Customer: "nobody", Group: "g"}, &unknown); err != nil || unknown.Known {
		t.Errorf("%+v, %v", unknown, err)
	}
	if err := s.Run(&RunArgs{Customer: "over", Group: "g"}, &over); err != nil || !over.Failed || over.Kind != errkind.OverRate || over.Detail != "retry after 30 ms" {
		t.Errorf("%+v, %v", over, err)
	}
}
