package harness

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"chicoryline/internal/standin/linegroup"
)

// Taps are proxies in front of the backend servers that record which requests reach them. The
// mutex guards the fields below it.
type Taps struct {
	record *Record

	mu        sync.Mutex
	addresses map[string]string
	// targets holds the server behind each address.
	targets   map[string]*linegroup.Server
	listeners []net.Listener
	passed    map[string]bool
	// cutOff reports whether a server is out of reach for the connections of a customer; control
	// connections have the customer "-". It is nil while no server is.
	cutOff func(server, customer string) bool
}

// NewTaps returns taps that write to the record.
func NewTaps(record *Record) *Taps {
	return &Taps{record: record, addresses: map[string]string{}, targets: map[string]*linegroup.Server{}, passed: map[string]bool{}}
}

// Address returns the address of the tap in front of the server, which it starts if necessary.
// It is an implementation of world.Options.ServerAddress.
func (t *Taps) Address(s *linegroup.Server) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a, ok := t.addresses[s.ID]; ok {
		return a
	}
	l, err := Listen()
	if err != nil {
		panic(err) // no free port on loopback
	}
	address := l.Addr().String()
	t.addresses[s.ID], t.targets[address] = address, s
	t.listeners = append(t.listeners, l)
	go t.accept(l, address)
	return address
}

// Reuse gives the address of a server that is gone to another one.
func (t *Taps) Reuse(gone, s *linegroup.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	address := t.addresses[gone.ID]
	t.addresses[s.ID], t.targets[address] = address, s
	t.record.Addf("address of %s is used by %s", gone.ID, s.ID)
}

// Passed reports whether a request with the ID reached a server.
func (t *Taps) Passed(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.passed[id]
}

// CutOff puts servers out of reach for the connections for which the function is true: they stay
// open without delivering anything. nil ends that; what was held up is then dropped with its
// connection.
func (t *Taps) CutOff(f func(server, customer string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cutOff = f
}

// awaitReach waits while the server is out of reach, and reports whether it was.
func (t *Taps) awaitReach(server, customer string) (was bool) {
	for ; ; was = true {
		t.mu.Lock()
		cut := t.cutOff != nil && t.cutOff(server, customer)
		t.mu.Unlock()
		if !cut {
			return was
		}
		time.Sleep(reachInterval)
	}
}

// reachInterval is the time between two checks whether a server is within reach again.
const reachInterval = 5 * time.Millisecond

// Close stops accepting connections.
func (t *Taps) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.listeners {
		l.Close()
	}
}

func (t *Taps) accept(l net.Listener, address string) {
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		s := t.targets[address]
		t.mu.Unlock()
		server, err := net.Dial("tcp4", s.Address)
		if err != nil {
			client.Close()
			continue
		}
		go t.forward(client, server, s.ID)
	}
}

// forward copies the requests of a connection line by line and, once the customer is known, the
// answers.
func (t *Taps) forward(client, server net.Conn, id string) {
	defer client.Close()
	defer server.Close()
	r := bufio.NewReader(client)
	customer := ""
	for first := true; ; first = false {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		f := strings.Fields(line)
		if first && len(f) > 2 {
			customer = f[2]
			go t.answer(client, server, id, customer)
		}
		if t.awaitReach(id, customer) {
			return
		}
		if len(f) > 2 && f[0] == "QUERY" && f[1] != "-" {
			t.record.Addf("%s: runs %s", id, strings.Join(f[1:], " "))
			t.mu.Lock()
			t.passed[f[1]] = true
			t.mu.Unlock()
		}
		if _, err := io.WriteString(server, line); err != nil {
			return
		}
	}
}

// answer copies the answers of a connection.
func (t *Taps) answer(client, server net.Conn, id, customer string) {
	defer client.Close()
	defer server.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := server.Read(buffer)
		if err != nil || t.awaitReach(id, customer) {
			return
		}
		if _, err := client.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// Listen listens on a free port of loopback.
func Listen() (net.Listener, error) { return net.Listen("tcp4", "127.0.0.1:0") }
