// Package platformd is a test double of the platform for tests and demonstrations: an HTTP
// server over services.Memory with fault injection. docs/PLATFORM.md describes its protocol.
package platformd

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"chicoryline/internal/errkind"
	"chicoryline/internal/services"
)

const (
	// closeTimeout limits how long Close waits for running calls.
	closeTimeout = time.Second
	// maxBody is the largest request body, in bytes.
	maxBody = 64 << 20
)

// Options are the settings of a Server.
type Options struct {
	// Groups are the database groups at the start.
	Groups []services.Group
	// ListLag is the delay until a registration appears in the VM list.
	ListLag time.Duration
	// ForgetAfter is the time after its last registration at which a VM leaves
	// the list; services.DefaultForgetAfter when 0.
	ForgetAfter time.Duration
	// Now is the clock of the VM list; time.Now when nil.
	Now func() time.Time
}

// Server is a running test double of the platform.
type Server struct {
	memory   *services.Memory
	listener net.Listener
	http     *http.Server
	done     chan struct{}

	mu          sync.Mutex
	mode        Mode
	listLag     time.Duration
	forgetAfter time.Duration
}

// Start listens on the address (host:port) and serves until Close.
func Start(listen string, options Options) (*Server, error) {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.ForgetAfter == 0 {
		options.ForgetAfter = services.DefaultForgetAfter
	}
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, errors.Annotate(err, "stand-in platform")
	}
	s := &Server{
		memory:   services.NewMemory(options.Now),
		listener: listener,
		done:     make(chan struct{}),
		mode:     ModeRefuse,
	}
	s.memory.SetGroups(options.Groups)
	s.SetListLag(options.ListLag, options.ForgetAfter)
	s.http = &http.Server{Handler: s.handler(), ReadHeaderTimeout: closeTimeout}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

// Addr returns the address that the server listens on, as host:port.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// URL returns the base URL for services.NewClient.
func (s *Server) URL() string { return "http://" + s.Addr() }

// Memory returns the in-memory platform behind the server, for use in the same process.
func (s *Server) Memory() *services.Memory { return s.memory }

// Close stops the server and closes its connections.
func (s *Server) Close() {
	close(s.done)
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		_ = s.http.Close()
	}
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+services.PathRow, s.serve(getRow))
	mux.HandleFunc("GET "+services.PathRows, s.serve(listRows))
	mux.HandleFunc("POST "+services.PathCompareAndSet, s.serve(compareAndSet))
	mux.HandleFunc("POST "+services.PathDelete, s.serve(deleteRow))
	mux.HandleFunc("GET "+services.PathObject, s.serve(getObject))
	mux.HandleFunc("POST "+services.PathObject, s.serve(putObject))
	mux.HandleFunc("GET "+services.PathGroups, s.serve(getGroups))
	mux.HandleFunc("GET "+services.PathVMs, s.serve(getVMs))
	mux.HandleFunc("POST "+services.PathVMs, s.serve(register))
	mux.HandleFunc("PUT "+services.PathGroups, s.putGroups)
	mux.HandleFunc("GET "+PathFault, s.getFaults)
	mux.HandleFunc("POST "+PathFault, s.postFault)
	mux.HandleFunc("GET "+PathCounts, s.getCounts)
	return mux
}

// endpoint executes one call of the protocol and returns the response body.
type endpoint func(ctx context.Context, services services.Services, r *http.Request) (any, error)

// serve runs the endpoint subject to the injected faults. A call that has been accepted
// continues after its caller gives up, as in the real service.
func (s *Server) serve(run endpoint) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		vm := services.VM{ID: r.Header.Get(services.HeaderVM), Domain: r.Header.Get(services.HeaderDomain)}
		s.applyConnectionFault(vm, r)
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		answer, err := run(context.WithoutCancel(r.Context()), s.memory.ForVM(vm), r)
		if errkind.Is(err, errkind.PlatformUnknown) {
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, answer)
	}
}

// applyConnectionFault closes the connection without a response if a fault keeps the VM from
// reaching the platform.
func (s *Server) applyConnectionFault(vm services.VM, r *http.Request) {
	faults, mode := s.memory.Faults(), s.Mode()
	if !faults.IsPartitioned(vm) && (!faults.Down || mode == ModeRefuse) {
		return
	}
	if mode == ModeHang {
		select {
		case <-r.Context().Done():
		case <-s.done:
		}
	}
	panic(http.ErrAbortHandler)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", services.ContentJSON)
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func writeError(w http.ResponseWriter, err error) {
	body := services.ErrorBody{Kind: errkind.KindOf(err).String(), Detail: err.Error()}
	if e, ok := errkind.As(err); ok {
		body.Detail = e.Detail
	}
	writeJSON(w, statusOf(errkind.KindOf(err)), body)
}

func statusOf(kind errkind.Kind) int {
	switch kind {
	case errkind.NotFound:
		return http.StatusNotFound
	case errkind.Conflict:
		return http.StatusConflict
	case errkind.PlatformUnavailable:
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadRequest
	}
}
