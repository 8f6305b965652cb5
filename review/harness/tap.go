package harness

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync"

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
	l, err := net.Listen("tcp4", "127.0.0.1:0")
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
		go func() {
			defer client.Close()
			defer server.Close()
			_, _ = io.Copy(client, server)
		}()
		go t.forward(client, server, s.ID)
	}
}

// forward copies the requests of a connection, line by line.
func (t *Taps) forward(client, server net.Conn, id string) {
	defer client.Close()
	defer server.Close()
	r := bufio.NewReader(client)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		if f := strings.Fields(line); len(f) > 2 && f[0] == "QUERY" && f[1] != "-" {
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
