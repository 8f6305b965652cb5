package dbinstance

import (
	"context"
	"fmt"
	"slices"

	"pgregory.net/rapid"

	"chicoryline/internal/backend"
	"chicoryline/internal/position"
)

// model simulates stewards (failover coordinators), pool owners and replication on a
// group of stores, one step at a time and in random order. It offers only steps that
// can have an effect, so that a run of a few hundred steps includes many failovers.
type model struct {
	ids    []string
	stores map[string]*Store
	// stewards holds the steward of each term from 2 on, in order.
	stewards []*modelSteward
	// primaries maps each term to the instance that was promoted in it.
	primaries map[uint64]string
	openTxs   []*openTx
	writes    []*committedWrite
	// inFlight holds log batches sent by primaries and not yet received.
	inFlight []inFlightBatch
	lastKey  int
}

// modelSteward is the steward of one term, with the statuses returned by the instances
// that it has fenced and the primary that it selected.
type modelSteward struct {
	term    uint64
	fenced  map[string]backend.Status
	primary string
}

// openTx is a transaction that has written a row and is not committed yet.
type openTx struct {
	key string
	tx  *Tx
}

// committedWrite is a committed write and the instances that have confirmed it.
type committedWrite struct {
	key       string
	position  position.Position
	confirmed map[string]bool
}

// inFlightBatch is a log batch on its way to a replica.
type inFlightBatch struct {
	to     string
	stream Stream
	after  position.Position
	batch  Batch
}

func newModel(n int) *model {
	m := &model{stores: map[string]*Store{}, primaries: map[uint64]string{1: "a"}}
	for i := range n {
		id := string(rune('a' + i))
		cfg := StoreConfig{ID: id, InitialPrimary: i == 0}
		if i > 0 {
			cfg.InitialSource = "a"
		}
		m.ids = append(m.ids, id)
		m.stores[id] = NewStore(cfg)
	}
	tx := m.stores["a"].Begin(false)
	mustExecute(tx, "CREATE TABLE kv (k text PRIMARY KEY, v bigint)")
	if _, err := tx.Commit(); err != nil {
		panic(err)
	}
	return m
}

func mustExecute(tx *Tx, text string) {
	list, err := parseSQL(text)
	if err != nil {
		panic(err)
	}
	for _, stmt := range list {
		if _, err := tx.Execute(context.Background(), stmt, nil, nil); err != nil {
			panic(err)
		}
	}
}

// step is a step that the model can take in its current state.
type step func(t *rapid.T)

// takeStep takes one random step; data steps are more likely than failover steps.
func (m *model) takeStep(t *rapid.T) {
	list := m.failoverSteps()
	if data := m.dataSteps(); len(data) > 0 && rapid.IntRange(0, 3).Draw(t, "failover") > 0 {
		list = data
	}
	rapid.SampledFrom(list).Draw(t, "step")(t)
}

// dataSteps returns the possible steps of writers, replication and pool owners.
func (m *model) dataSteps() []step {
	var list []step
	for _, id := range m.ids {
		s := m.stores[id]
		if s.isWritable() && len(m.openTxs) < 2 && s.tables["kv"] != nil {
			list = append(list, func(*rapid.T) { m.begin(s) })
		}
		st, _ := s.Stream()
		if st.Source != "" && len(m.inFlight) < 2*len(m.ids) && s.Status().Log != m.stores[st.Source].Status().Log {
			list = append(list, func(*rapid.T) { m.request(id, st) })
		}
	}
	for _, tx := range m.openTxs {
		list = append(list, func(*rapid.T) { m.commit(tx) })
	}
	for i := range m.inFlight {
		list = append(list, func(*rapid.T) { m.deliver(i) })
	}
	for _, w := range m.writes[max(0, len(m.writes)-8):] {
		for _, id := range m.ids {
			if !w.confirmed[id] && m.stores[id].Status().Confirms(w.position) {
				confirm := func(*rapid.T) { m.recordConfirmation(w, id) }
				list = append(list, confirm, confirm, confirm)
			}
		}
	}
	return list
}

// failoverSteps returns the possible steps of the latest stewards and of a new one.
func (m *model) failoverSteps() []step {
	list := []step{m.claim}
	for _, st := range m.stewards[max(0, len(m.stewards)-3):] {
		switch {
		case st.primary != "":
			list = append(list, m.followSteps(st)...)
		case len(st.fenced) >= backend.Majority(len(m.ids)):
			list = append(list, func(*rapid.T) { m.promote(st) }, func(t *rapid.T) { m.fence(t, st) })
		default:
			list = append(list, func(t *rapid.T) { m.fence(t, st) }, func(t *rapid.T) { m.fence(t, st) })
		}
	}
	return list
}

// followSteps returns a step for each instance that does not follow the steward's
// primary; the step makes it follow.
func (m *model) followSteps(st *modelSteward) []step {
	primary, ok := m.primaries[st.term]
	if !ok {
		return nil
	}
	var list []step
	for _, id := range m.ids {
		if current, _ := m.stores[id].Stream(); id != primary && current != (Stream{st.term, primary}) {
			list = append(list, func(*rapid.T) { _, _ = m.stores[id].Follow(st.term, primary) })
		}
	}
	return list
}

func (m *model) instance(t *rapid.T) string { return rapid.SampledFrom(m.ids).Draw(t, "instance") }

// begin opens a transaction and writes a row on an instance that accepts writes, even
// if a newer primary exists.
func (m *model) begin(s *Store) {
	m.lastKey++
	w := &openTx{key: fmt.Sprintf("k%d", m.lastKey), tx: s.Begin(false)}
	mustExecute(w.tx, fmt.Sprintf("INSERT INTO kv VALUES ('%s', 1)", w.key))
	m.openTxs = append(m.openTxs, w)
}

func (m *model) commit(w *openTx) {
	m.openTxs = slices.DeleteFunc(m.openTxs, func(o *openTx) bool { return o == w })
	if p, err := w.tx.Commit(); err == nil {
		m.writes = append(m.writes, &committedWrite{key: w.key, position: p, confirmed: map[string]bool{}})
	}
}

// recordConfirmation records that the instance has confirmed the write.
func (m *model) recordConfirmation(w *committedWrite, id string) { w.confirmed[id] = true }

// request makes a replica read its source's log; the batch is in flight afterwards.
func (m *model) request(id string, st Stream) {
	s := m.stores[id]
	c := newCursor(s)
	for {
		b, err := m.stores[st.Source].ReadLog(context.Background(), st.Term, c.at, 0)
		if err != nil {
			return
		}
		if b.Match {
			b.Entries = b.Entries[:min(len(b.Entries), 4)]
			m.inFlight = append(m.inFlight, inFlightBatch{id, st, c.at, b})
			return
		}
		c.rewind(s, b.Floor)
	}
}

// deliver delivers one in-flight batch to its replica. Batches can be reordered.
func (m *model) deliver(i int) {
	b := m.inFlight[i]
	m.inFlight = slices.Delete(m.inFlight, i, i+1)
	_ = m.stores[b.to].Accept(b.stream, b.after, b.batch.Entries)
}

// claim adds a steward with the next term.
func (m *model) claim(*rapid.T) {
	term := uint64(len(m.stewards)) + 2
	m.stewards = append(m.stewards, &modelSteward{term: term, fenced: map[string]backend.Status{}})
}

func (m *model) fence(t *rapid.T, st *modelSteward) {
	id := m.instance(t)
	if status, err := m.stores[id].Fence(st.term); err == nil {
		st.fenced[id] = status
	}
}

// promote promotes the instance with the highest log position among the fenced
// majority.
func (m *model) promote(st *modelSteward) {
	best := ""
	for _, id := range m.ids {
		s, ok := st.fenced[id]
		if ok && (best == "" || s.Log.Compare(st.fenced[best].Log) > 0) {
			best = id
		}
	}
	st.primary = best
	if _, err := m.stores[best].Promote(st.term); err == nil {
		m.primaries[st.term] = best
	}
}
