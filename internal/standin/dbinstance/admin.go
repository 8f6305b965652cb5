package dbinstance

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// adminHeaderTimeout bounds the reading of a request's header.
const adminHeaderTimeout = 5 * time.Second

// faultHandler carries out one call of POST /fault; get returns a form value.
type faultHandler func(s *Server, get func(string) string) error

// faultHandlers maps the form value "name" to its call; "kill" is not in it.
var faultHandlers = map[string]faultHandler{
	"cut": func(s *Server, get func(string) string) error {
		d := Direction(get("direction"))
		if d != CutBoth && d != CutInbound && d != CutOutbound {
			return errors.NotValidf("direction")
		}
		if get("parties") == "" {
			return errors.NotValidf("empty parties")
		}
		s.Cut(d, strings.Split(get("parties"), ",")...)
		return nil
	},
	"heal": func(s *Server, get func(string) string) error {
		if get("parties") == "" {
			s.Heal()
			return nil
		}
		s.Heal(strings.Split(get("parties"), ",")...)
		return nil
	},
	"freeze":          func(s *Server, _ func(string) string) error { s.Freeze(); return nil },
	"thaw":            func(s *Server, _ func(string) string) error { s.Thaw(); return nil },
	"replication_lag": durationHandler((*Server).SetReplicationLag),
	"statement_delay": durationHandler((*Server).SetStatementDelay),
	"connect_delay":   durationHandler((*Server).SetConnectDelay),
	"late_answer":     durationHandler((*Server).DelayNextResponse),
	"cut_answer": func(s *Server, get func(string) string) error {
		rows, err := strconv.Atoi(get("rows"))
		if err != nil || rows < 0 {
			return errors.NotValidf("rows")
		}
		s.TruncateNextResponse(rows)
		return nil
	},
	"break_commit": func(s *Server, get func(string) string) error {
		b := CommitBreak(get("when"))
		if b != BreakBeforeCommit && b != BreakAfterCommit && b != NoCommitBreak {
			return errors.NotValidf("when")
		}
		s.BreakNextCommit(b)
		return nil
	},
}

// durationHandler returns a call that passes the form value "value" to the setter.
func durationHandler(set func(*Server, time.Duration)) faultHandler {
	return func(s *Server, get func(string) string) error {
		d, err := time.ParseDuration(get("value"))
		if err != nil || d < 0 {
			return errors.NotValidf("value")
		}
		set(s, d)
		return nil
	}
}

// startAdmin opens the admin listener.
func (s *Server) startAdmin(listen string) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Annotate(err, "admin listener")
	}
	s.adminAddr = listener.Addr().String()
	s.adminServer = &http.Server{Handler: s.AdminHandler(), ReadHeaderTimeout: adminHeaderTimeout}
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		_ = s.adminServer.Serve(listener)
	}()
	return nil
}

// AdminAddr returns the address of the admin listener, or "".
func (s *Server) AdminAddr() string { return s.adminAddr }

// AdminHandler serves GET /fault, POST /fault and GET /status.
func (s *Server) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /fault", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Faults()) })
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.store.Status()) })
	mux.HandleFunc("POST /fault", s.postFault)
	return mux
}

func (s *Server) postFault(w http.ResponseWriter, r *http.Request) {
	if r.FormValue("name") == "kill" {
		// The answer has to leave before the admin listener closes.
		writeJSON(w, s.Faults())
		_ = http.NewResponseController(w).Flush()
		s.Kill()
		return
	}
	call, ok := faultHandlers[r.FormValue("name")]
	if !ok {
		http.Error(w, "unknown fault", http.StatusNotFound)
		return
	}
	if err := call(s, r.FormValue); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, s.Faults())
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
