// Package rowstore is a test double for the users' platform: its store of versioned rows
// with a change feed and its promotion endpoint, over HTTP on loopback. It can inject the
// faults that the platform documents.
package rowstore

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Fault is how calls to the store fail.
type Fault uint8

// The faults.
const (
	NoFault Fault = iota
	// Busy refuses calls without executing them.
	Busy
	// Unresponsive accepts calls but neither executes nor answers them.
	Unresponsive
	// LoseAnswers executes calls but does not answer them.
	LoseAnswers
	// TooMany refuses calls with 429.
	TooMany
	// Reset closes the connection of each call without an answer.
	Reset
)

// unansweredTimeout is how long an unanswered call is kept open; clients time out sooner.
const unansweredTimeout = 5 * time.Second

type key struct{ table, key string }

type order struct {
	group string
	token uint64
}

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"tombstone,omitempty"`
}

// Promote executes a promotion request. It returns false if the server is not running.
type Promote func(group, server string) bool

// Store is a running test double. The mutex guards the fields below it.
type Store struct {
	server   *http.Server
	listener net.Listener
	promote  Promote

	mu          sync.Mutex
	rows        map[key]row
	version     uint64
	clock       int64  // milliseconds, in the newest answer
	compactedTo uint64 // versions up to and including this one are no longer in the feed
	changed     chan struct{}
	fault       Fault
	era         uint64
	// unansweredPromotions is the number of further promotion requests that get no answer
	// and are executed after promotionDelay.
	unansweredPromotions int
	promotionDelay       time.Duration
	highestTokens        map[string]uint64
	// orders counts the promotion requests with each token, by group and token.
	orders       map[order]int
	tokenHolders map[uint64]string
	violations   []string
	calls        int
	callers
}

// New starts a store.
func New(promote Promote) (*Store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{
		listener: l, promote: promote, rows: map[key]row{}, changed: make(chan struct{}),
		highestTokens: map[string]uint64{}, tokenHolders: map[uint64]string{}, orders: map[order]int{}, era: 1,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.withFault(s.handleTx))
	mux.HandleFunc("GET /v1/rows-get", s.withFault(s.handleGet))
	mux.HandleFunc("GET /v1/rows-feed", s.withFault(s.handleFeed))
	mux.HandleFunc("POST /promote", s.handlePromotion)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: unansweredTimeout}
	s.callers = newCallers(s.server)
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Address returns the address that the store listens on, as host:port.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Close stops the store.
func (s *Store) Close() {
	_ = s.server.Close()
	s.closeCallers()
}

// SetFault sets how all calls to the store fail; NoFault ends the fault.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// LosePromotionAnswers leaves the next n promotion requests unanswered; they are executed
// after the delay.
func (s *Store) LosePromotionAnswers(n int, after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unansweredPromotions, s.promotionDelay = n, after
}

// Compact discards the history of the feed.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedTo = s.version
}

// Backup is the content of a store at some time.
type Backup struct {
	rows    map[key]row
	version uint64
}

// Backup returns a backup of the store.
func (s *Store) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Backup{maps.Clone(s.rows), s.version}
}

// Restore replaces the content of the store with that of the backup and begins a new era. Versions
// after the backup are assigned again, and a watch from one that does not exist gets 410 Gone.
func (s *Store) Restore(b Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.version = maps.Clone(b.rows), b.version
	s.compactedTo = min(s.compactedTo, s.version)
	s.era++
	s.notifyWatchers()
}

// Put writes a row on the platform's behalf and returns its version.
func (s *Store) Put(table, k string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(row{Table: table, Key: k, Value: value})
	s.notifyWatchers()
	return s.version
}

// Delete removes a row on the platform's behalf.
func (s *Store) Delete(table, k string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(row{Table: table, Key: k, Deleted: true})
	s.notifyWatchers()
}

// Rows returns the values of a table by key.
func (s *Store) Rows(table string) map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string][]byte{}
	for k, r := range s.rows {
		if k.table == table && !r.Deleted {
			out[k.key] = r.Value
		}
	}
	return out
}

// Violations returns the protocol violations that the store detected.
func (s *Store) Violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.violations...)
}

// ReusedTokens returns the tokens that several promotion requests of a group carried.
func (s *Store) ReusedTokens() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var tokens []uint64
	for o, n := range s.orders {
		if n > 1 {
			tokens = append(tokens, o.token)
		}
	}
	return tokens
}

// Calls returns the number of calls that the store received.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) put(r row) {
	r.Version = s.version
	s.rows[key{r.Table, r.Key}] = r
}

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// withFault wraps a call with the current fault.
func (s *Store) withFault(call http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		fault := s.recordCall(r)
		s.calls++
		s.mu.Unlock()
		switch fault {
		case Busy:
			s.mu.Lock()
			s.writeStatus(w, http.StatusServiceUnavailable)
			s.mu.Unlock()
		case TooMany:
			s.mu.Lock()
			s.writeStatus(w, http.StatusTooManyRequests)
			s.mu.Unlock()
		case Reset:
			panic(http.ErrAbortHandler)
		case Unresponsive:
			holdUnanswered(r)
		case LoseAnswers:
			call(discardWriter{http.Header{}}, r)
			holdUnanswered(r)
		default:
			call(w, r)
		}
	}
}

// holdUnanswered keeps the call open and then drops its connection without an answer.
func holdUnanswered(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(unansweredTimeout):
	}
	panic(http.ErrAbortHandler)
}

// discardWriter is a response writer that discards everything.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) WriteHeader(int)             {}

type txBody struct {
	Precondition []row `json:"precondition"`
	Puts         []row `json:"puts"`
	Deletes      []row `json:"deletes"`
}

// handleTx executes puts and deletes atomically if all rows of the precondition still have
// the given versions; version 0 stands for a missing row.
func (s *Store) handleTx(w http.ResponseWriter, r *http.Request) {
	var body txBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range body.Precondition {
		have := s.rows[key{p.Table, p.Key}]
		if have.Deleted {
			have.Version = 0
		}
		if have.Version != p.Version {
			s.writePreconditionFailed(w, body.Precondition)
			return
		}
	}
	s.version++
	for _, p := range body.Puts {
		s.put(p)
	}
	for _, p := range body.Deletes {
		p.Deleted = true
		s.put(p)
	}
	s.notifyWatchers()
	s.writeRows(w, nil)
}

// writePreconditionFailed answers with the present rows of the precondition. The mutex is held.
func (s *Store) writePreconditionFailed(w http.ResponseWriter, precondition []row) {
	var present []row
	for _, p := range precondition {
		if r, ok := s.rows[key{p.Table, p.Key}]; ok && !r.Deleted {
			present = append(present, r)
		}
	}
	s.setEra(w)
	w.WriteHeader(http.StatusPreconditionFailed)
	s.writeRows(w, present)
}

// writeStatus answers with a status only. The mutex is held.
func (s *Store) writeStatus(w http.ResponseWriter, status int) {
	s.setEra(w)
	w.WriteHeader(status)
}

func (s *Store) setEra(w http.ResponseWriter) {
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
}

func (s *Store) writeRows(w http.ResponseWriter, rows []row) {
	s.setEra(w)
	if rows == nil {
		rows = []row{}
	}
	// Answers of the platform's store take milliseconds, so that those on one connection differ.
	s.clock = max(s.clock+1, time.Now().UnixMilli())
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "has_more": false, "ver": s.version, "now_ms": s.clock})
}

func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeRows(w, s.rowsSince(r.FormValue("table"), 0, false))
}

// rowsSince returns the rows of a table that changed after the version, in version order.
func (s *Store) rowsSince(table string, after uint64, includeDeleted bool) []row {
	var rows []row
	for k, r := range s.rows {
		if k.table == table && r.Version > after && (includeDeleted || !r.Deleted) {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
	return rows
}

// handleFeed long-polls for rows that changed after a version. It answers 410 Gone if that
// version has been compacted.
func (s *Store) handleFeed(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.compactedTo || after > s.version {
			s.writeStatus(w, http.StatusGone)
			s.mu.Unlock()
			return
		}
		rows, changed := s.rowsSince(r.FormValue("table"), after, true), s.changed
		if len(rows) > 0 {
			s.writeRows(w, rows)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-r.Context().Done():
			return
		case <-deadline:
			s.mu.Lock()
			s.writeRows(w, nil)
			s.mu.Unlock()
			return
		case <-changed:
		}
	}
}

// handlePromotion executes a promotion request, or, under the fault of
// LosePromotionAnswers, leaves it unanswered and executes it later.
func (s *Store) handlePromotion(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, ID string }
	token, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if json.NewDecoder(r.Body).Decode(&body) != nil || err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	holder := r.Header.Get("Lease-Holder")
	s.mu.Lock()
	s.orders[order{body.Service, token}]++
	lose, delay := s.unansweredPromotions > 0, s.promotionDelay
	if lose {
		s.unansweredPromotions--
	}
	s.mu.Unlock()
	if lose {
		time.AfterFunc(delay, func() { s.executePromotion(body.Service, body.ID, holder, token) })
		holdUnanswered(r)
	}
	if !s.executePromotion(body.Service, body.ID, holder, token) {
		w.WriteHeader(http.StatusConflict)
	}
}

// executePromotion checks the fencing token and promotes. It returns false for a token lower
// than the group's highest; two holders with the same token are recorded as a violation.
func (s *Store) executePromotion(group, server, holder string, token uint64) bool {
	s.mu.Lock()
	if token < s.highestTokens[group] {
		s.mu.Unlock()
		return false
	}
	if other, used := s.tokenHolders[token]; used && token == s.highestTokens[group] && other != holder {
		s.violations = append(s.violations, "two holders used token "+strconv.FormatUint(token, 10))
	}
	s.highestTokens[group], s.tokenHolders[token] = token, holder
	s.mu.Unlock()
	return s.promote(group, server)
}
