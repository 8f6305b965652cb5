package site

import (
	"context"
	"fmt"
	"sync"

	"github.com/jackc/pgx/v5"
	"github.com/juju/errors"

	"chicoryline/internal/settings"
)

// tableStatements create the tables of the sample load in each group: bookings, without a
// primary key so that a duplicated write is visible; sessions, with one row for each session;
// and clock, with a single row.
var tableStatements = []string{
	"CREATE TABLE bookings (id text, customer text, session text, n bigint)",
	"CREATE TABLE sessions (k text PRIMARY KEY, v bigint)",
	"CREATE TABLE clock (k text PRIMARY KEY, at bigint)",
	"INSERT INTO clock (k, at) VALUES ('now', 0)",
}

// createTables creates the tables at the primary of each group.
func (s *Site) createTables(ctx context.Context) error {
	for _, g := range s.groups {
		conn, err := s.ConnectInstance(ctx, s.Primary(g.Name))
		if err != nil {
			return err
		}
		for _, sql := range tableStatements {
			if _, err := conn.Exec(ctx, sql); err != nil {
				_ = conn.Close(ctx)
				return errors.Annotate(err, sql)
			}
		}
		_ = conn.Close(ctx)
	}
	return nil
}

// ConnectInstance opens a direct connection to a backend server, bypassing the proxies and
// the simulated network.
func (s *Site) ConnectInstance(ctx context.Context, id string) (*pgx.Conn, error) {
	server, ok := s.Instances[id]
	if !ok {
		return nil, errors.NotFoundf("instance %q", id)
	}
	url := fmt.Sprintf("postgres://%s:%s@%s/postgres?sslmode=disable", settings.Default().BackendUser, BackendPassword, server.Addr())
	conn, err := pgx.Connect(ctx, url)
	return conn, errors.Trace(err)
}

// addressBook maps backend server ids to addresses. The mutex guards the map.
type addressBook struct {
	mu        sync.Mutex
	addresses map[string]string
}

func newAddressBook() *addressBook { return &addressBook{addresses: map[string]string{}} }

func (b *addressBook) set(id, address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addresses[id] = address
}

func (b *addressBook) get(id string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.addresses[id]
}
