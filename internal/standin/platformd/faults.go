package platformd

import (
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"

	"chicoryline/internal/services"
)

// Paths of the control endpoints, which faults do not affect.
const (
	PathFault  = "/fault"
	PathCounts = "/counts"
)

// Mode is how calls fail that a fault keeps from reaching the platform.
type Mode string

// The modes. For a partitioned VM, ModeRefuse acts as ModeDrop, because an error response
// could not cross the partition either.
const (
	// ModeRefuse responds with platform_unavailable.
	ModeRefuse Mode = "refuse"
	// ModeDrop closes the connection without a response.
	ModeDrop Mode = "drop"
	// ModeHang keeps the connection open until the caller gives up.
	ModeHang Mode = "hang"
)

// State is the response body of GET /fault.
type State struct {
	Faults      services.Faults
	Mode        Mode
	ListLag     time.Duration
	ForgetAfter time.Duration
}

// State returns the current fault settings.
func (s *Server) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return State{Faults: s.memory.Faults(), Mode: s.mode, ListLag: s.listLag, ForgetAfter: s.forgetAfter}
}

// Mode returns how calls fail that cannot reach the platform.
func (s *Server) Mode() Mode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode
}

// SetMode sets how calls fail that cannot reach the platform.
func (s *Server) SetMode(mode Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
}

// SetListLag sets the lag of the VM list, as Memory.SetListLag does.
func (s *Server) SetListLag(lag, forgetAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listLag, s.forgetAfter = lag, forgetAfter
	s.memory.SetListLag(lag, forgetAfter)
}

// SetFault changes one fault setting as described by the form of POST /fault.
func (s *Server) SetFault(form url.Values) error {
	on := form.Get("on") != "false"
	switch kind := form.Get("kind"); kind {
	case "down":
		return s.setDown(on, form)
	case "slow":
		return s.setSlow(form)
	case "lose_answer":
		return s.setLoseAnswer(form)
	case "cut_domain":
		return s.setPartition(on, form, "domain", func(f *services.Faults) *[]string { return &f.CutDomains })
	case "cut_vm":
		return s.setPartition(on, form, "vm", func(f *services.Faults) *[]string { return &f.CutVMs })
	case "lag":
		return s.setLag(form)
	case "clear":
		s.memory.ChangeFaults(func(f *services.Faults) { *f = services.Faults{} })
		s.SetMode(ModeRefuse)
		return nil
	default:
		return errors.NotValidf("fault kind %q", kind)
	}
}

func (s *Server) setDown(on bool, form url.Values) error {
	if err := s.setMode(form); err != nil {
		return err
	}
	s.memory.ChangeFaults(func(f *services.Faults) { f.Down = on })
	return nil
}

// setMode sets the mode given in the form; without one the mode stays unchanged.
func (s *Server) setMode(form url.Values) error {
	if !form.Has("mode") {
		return nil
	}
	mode := Mode(form.Get("mode"))
	if !slices.Contains([]Mode{ModeRefuse, ModeDrop, ModeHang}, mode) {
		return errors.NotValidf("mode %q", mode)
	}
	s.SetMode(mode)
	return nil
}

func (s *Server) setSlow(form url.Values) error {
	delay, err := milliseconds(form, "ms")
	if err != nil {
		return err
	}
	s.memory.ChangeFaults(func(f *services.Faults) { f.Delay = delay })
	return nil
}

func (s *Server) setLoseAnswer(form url.Values) error {
	n, err := strconv.Atoi(form.Get("n"))
	if err != nil || n < 0 {
		return errors.NotValidf("n %q", form.Get("n"))
	}
	s.memory.ChangeFaults(func(f *services.Faults) { f.LoseAnswers, f.LosePrefix = n, form.Get("prefix") })
	return nil
}

func (s *Server) setPartition(on bool, form url.Values, key string, list func(*services.Faults) *[]string) error {
	name := form.Get(key)
	if name == "" {
		return errors.NotValidf("cut without %s", key)
	}
	if err := s.setMode(form); err != nil {
		return err
	}
	s.memory.ChangeFaults(func(f *services.Faults) {
		names := list(f)
		*names = slices.DeleteFunc(*names, func(n string) bool { return n == name })
		if on {
			*names = append(*names, name)
		}
	})
	return nil
}

func (s *Server) setLag(form url.Values) error {
	lag, err := milliseconds(form, "ms")
	if err != nil {
		return err
	}
	forget := s.State().ForgetAfter
	if form.Has("forget_ms") {
		if forget, err = milliseconds(form, "forget_ms"); err != nil {
			return err
		}
	}
	s.SetListLag(lag, forget)
	return nil
}

func milliseconds(form url.Values, name string) (time.Duration, error) {
	n, err := strconv.Atoi(form.Get(name))
	if err != nil || n < 0 {
		return 0, errors.NotValidf("%s %q", name, form.Get(name))
	}
	return time.Duration(n) * time.Millisecond, nil
}

func (s *Server) postFault(w http.ResponseWriter, r *http.Request) {
	if err := r.ParseForm(); err != nil {
		writeError(w, err)
		return
	}
	if err := s.SetFault(r.Form); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, s.State())
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.State())
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.memory.Counts())
}

func (s *Server) putGroups(w http.ResponseWriter, r *http.Request) {
	groups, err := decode[[]services.Group](r)
	if err != nil {
		writeError(w, err)
		return
	}
	s.memory.SetGroups(groups)
	writeJSON(w, http.StatusOK, struct{}{})
}
