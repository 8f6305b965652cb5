package site

import (
	"context"

	"github.com/juju/errors"
)

// Bookings returns the number of rows for each booking id, summed over the primaries of all
// groups.
func (s *Site) Bookings(ctx context.Context) (map[string]int, error) {
	counts := map[string]int{}
	for _, g := range s.groups {
		if err := s.countBookings(ctx, g.Name, counts); err != nil {
			return nil, errors.Annotatef(err, "bookings of %s", g.Name)
		}
	}
	return counts, nil
}

func (s *Site) countBookings(ctx context.Context, group string, counts map[string]int) error {
	conn, err := s.ConnectInstance(ctx, s.Primary(group))
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()
	rows, err := conn.Query(ctx, "SELECT id FROM bookings")
	if err != nil {
		return err
	}
	defer rows.Close()
	for rows.Next() {
		var id string
		if err := rows.Scan(&id); err != nil {
			return err
		}
		counts[id]++
	}
	return rows.Err()
}
