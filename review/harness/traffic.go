package harness

import (
	"fmt"
	"sync"
	"time"

	"chicoryline/internal/standin/lineclient"
)

// Traffic is a set of clients that send requests to all routes of the installation. The mutex
// guards requests.
type Traffic struct {
	// VMs lists the VMs that clients connect to; a client without an answer tries the next one.
	VMs []int
	// Key is the API key of the clients, Interval the time between two requests of a client.
	Key      string
	Interval time.Duration

	fleet *Fleet
	stop  chan struct{}
	wg    sync.WaitGroup

	mu       sync.Mutex
	requests []request
}

// request is the outcome of one request.
type request struct {
	sent   time.Time
	served bool
}

// routeKinds are the prefixes of the databases that world.New configures for each group.
var routeKinds = []string{"current", "bounded", "own"}

// writeEvery is the number of requests of a client for each write. Clients of the route for
// stale reads only read.
const writeEvery = 4

// StartTraffic starts the given number of clients for each route.
func (f *Fleet) StartTraffic(t *Traffic, clientsPerRoute int) {
	t.fleet, t.stop = f, make(chan struct{})
	n := 0
	for g := range f.World.Groups {
		for _, kind := range routeKinds {
			for range clientsPerRoute {
				database, number := fmt.Sprintf("%s-%d", kind, g), n
				n++
				t.wg.Go(func() { t.client(number, database) })
			}
		}
	}
}

// Stop ends all clients.
func (t *Traffic) Stop() {
	close(t.stop)
	t.wg.Wait()
}

// Served returns how many of the requests sent in the span were served, and their number.
func (t *Traffic) Served(from, to time.Time) (served, all int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.requests {
		if r.sent.Before(from) || r.sent.After(to) {
			continue
		}
		all++
		if r.served {
			served++
		}
	}
	return served, all
}

// client sends requests until the traffic stops. After a failure it goes on at another VM.
func (t *Traffic) client(number int, database string) {
	var session *lineclient.Client
	vm := number % len(t.VMs)
	for n := 0; ; n++ {
		select {
		case <-t.stop:
			if session != nil {
				session.Close()
			}
			return
		case <-time.After(t.Interval):
		}
		id := fmt.Sprintf("c%dr%d", number, n)
		text := fmt.Sprintf("READ item%d", number)
		if n%writeEvery == 0 && database[0] != 'b' {
			text = fmt.Sprintf("WRITE item%d %s", number, id)
		}
		r := request{sent: time.Now()}
		outcome := "served"
		if session == nil {
			s, err := lineclient.Dial(t.fleet.World.FrontAddress(t.VMs[vm]), database, t.Key, exchangeLimit)
			if err != nil {
				outcome = err.Error()
			} else {
				session = s
			}
		}
		if session != nil {
			a, err := session.Query(id, text)
			switch {
			case err != nil:
				outcome = err.Error()
				session.Close()
				session = nil
			case a.Code != "":
				outcome = a.Code + " " + a.Text
			default:
				r.served = true
			}
		}
		t.fleet.Record.Addf("%s to %s via vm%d %q: %s", id, database, t.VMs[vm], text, outcome)
		if session == nil {
			vm = (vm + 1) % len(t.VMs)
		}
		t.mu.Lock()
		t.requests = append(t.requests, r)
		t.mu.Unlock()
	}
}
