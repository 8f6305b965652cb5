package history

import (
	"context"
	"sync"
	"testing"

	"github.com/anishathalye/porcupine"
)

// TestUnconfirmedValueIsNotExposed guards against dirty reads. A write reaches only a
// primary that is isolated from its replicas and is lost when the primary is replaced.
// If a read returned the value, a later read must not return the older one.
func TestUnconfirmedValueIsNotExposed(t *testing.T) {
	t.Parallel()
	s := startSite(t, 2)
	insertRows(t, s, "dirty")
	r := newRecorder()
	old := s.Primary(group)
	isolateFromGroup(s, old)
	begin := s.Instances[old].Store().Status().Log.Offset
	var writing sync.WaitGroup
	writer, reader := connect(t, s, 0, group, nil), connect(t, s, 1, group, nil)
	in := input{key: "dirty", op: write, value: naiveValue}
	writing.Go(func() {
		sent := r.now()
		_, err := perform(context.Background(), writer, in)
		r.record(0, in, output{}, sent, err)
	})
	awaitOffset(t, s, old, begin+1)
	sent := r.now()
	out, err := perform(t.Context(), reader, input{key: "dirty"})
	r.record(1, input{key: "dirty"}, out, sent, err)
	replacePrimary(t, s)
	writing.Wait()
	finalRead(t, s, r, "dirty")
	if v := checkHistory(r.all()); v.result != porcupine.Ok {
		t.Errorf("seed=%d result=%s line=%q", naiveSeed, v.result, v.violation)
	}
}
