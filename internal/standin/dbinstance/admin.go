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

// adminHeaderTimeout limits the time to read the header of an HTTP request.
const adminHeaderTimeout = 5 * time.Second

// faultHandler applies the fault of one POST /fault request; formValue returns a form
// value of the request.
type faultHandler func(s *Server, formValue func(string) string) error

// faultHandlers maps the form value "name" to its handler. "kill" is handled by
// postFault itself.
var faultHandlers = map[string]faultHandler{
	"cut": func(s *Server, formValue func(string) string) error {
		d := Direction(formValue("direction"))
		if d != CutBoth && d != CutInbound && d != CutOutbound {
			return errors.NotValidf("direction")
		}
		if formValue("parties") == "" {
			return errors.NotValidf("empty parties")
		}
		s.Cut(d, strings.Split(formValue("parties"), ",")...)
		return nil
	},
	"heal": func(s *Server, formValue func(string) string) error {
		if formValue("parties") == "" {
			s.Heal()
			return nil
		}
		s.Heal(strings.Split(formValue("parties"), ",")...)
		return nil
	},
	"freeze":          func(s *Server, _ func(string) string) error { s.Freeze(); return nil },
	"thaw":            func(s *Server, _ func(string) string) error { s.Thaw(); return nil },
	"replication_lag": durationHandler((*Server).SetReplicationLag),
	"statement_delay": durationHandler((*Server).SetStatementDelay),
	"connect_delay":   durationHandler((*Server).SetConnectDelay),
	"late_answer":     durationHandler((*Server).DelayNextResponse),
	"cut_answer": func(s *Server, formValue func(string) string) error {
		rows, err := strconv.Atoi(formValue("rows"))
		if err != nil || rows < 0 {
			return errors.NotValidf("rows")
		}
		s.TruncateNextResponse(rows)
		return nil
	},
	"break_commit": func(s *Server, formValue func(string) string) error {
		b := CommitBreak(formValue("when"))
		if b != BreakBeforeCommit && b != BreakAfterCommit && b != NoCommitBreak {
			return errors.NotValidf("when")
		}
		s.BreakNextCommit(b)
		return nil
	},
}

// durationHandler returns a handler that parses the form value "value" as a
// duration and passes it to the setter.
func durationHandler(set func(*Server, time.Duration)) faultHandler {
	return func(s *Server, formValue func(string) string) error {
		d, err := time.ParseDuration(formValue("value"))
		if err != nil || d < 0 {
			return errors.NotValidf("value")
		}
		set(s, d)
		return nil
	}
}

// startAdmin starts the HTTP server of the fault API.
func (s *Server) startAdmin(listen string) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Annotate(err, "open admin listener")
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

// AdminAddr returns the address of the admin listener, or "" if there is none.
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
		// Send the response before Kill closes the admin server.
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
