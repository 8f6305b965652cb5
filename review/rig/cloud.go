package rig

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Cloud is the platform's promotion endpoint, where fences are checked. The mutex guards the fields
// below it.
type Cloud struct {
	in      *Installation
	address string
	server  *http.Server

	mu      sync.Mutex
	highest map[string]uint64
	holder  map[string]string
	down    bool
	// asked holds the instances named by the calls that were refused while the platform was down.
	asked []string
	// broken holds what breaks a rule about the duty.
	broken []string
}

func newCloud(i *Installation) (*Cloud, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &Cloud{in: i, address: l.Addr().String(), highest: map[string]uint64{}, holder: map[string]string{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", c.promote)
	c.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = c.server.Serve(l) }()
	return c, nil
}

// SetDown makes the platform answer 503 to each call, or ends that.
func (c *Cloud) SetDown(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down, c.asked = on, nil
	c.in.Logf("promotion endpoint down: %t", on)
}

// Asked returns the instance that the last refused call named, and how many calls were refused.
func (c *Cloud) Asked() (id string, calls int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.asked); n > 0 {
		return c.asked[n-1], n
	}
	return "", 0
}

// Broken returns what breaks a rule about the duty.
func (c *Cloud) Broken() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.broken...)
}

func (c *Cloud) promote(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, ID string }
	holder := r.Header.Get("Lease-Holder")
	token, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.WriteHeader(c.execute(body.Service, body.ID, holder, token))
}

func (c *Cloud) execute(service, id, holder string, token uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		c.asked = append(c.asked, id)
		if len(c.asked) == 1 {
			c.in.Logf("POST /promote %s %s by %s with %d: 503, and so are further ones", service, id, holder, token)
		}
		return http.StatusServiceUnavailable
	}
	if token == c.highest[service] && c.holder[service] != holder {
		c.broken = append(c.broken, "two holders used generation number "+strconv.FormatUint(token, 10))
	}
	status := http.StatusConflict
	if token >= c.highest[service] {
		c.highest[service], c.holder[service] = token, holder
		for _, g := range c.in.Groups {
			if g.Name == service && g.Promote(id) {
				status = http.StatusOK
			}
		}
	}
	c.in.Logf("POST /promote %s %s by %s with %d: %d", service, id, holder, token, status)
	return status
}
