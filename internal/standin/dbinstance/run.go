package dbinstance

import (
	"context"

	"chicoryline/internal/position"
)

// Run executes the statements of the text in one transaction, commits it and returns
// the results and the position of the commit. It supports only statements on tables,
// and is meant for tests without a network.
func (s *Store) Run(ctx context.Context, text string) ([]*Result, position.Position, error) {
	list, err := parseSQL(text)
	if err != nil {
		return nil, position.Position{}, err
	}
	tx := s.Begin(false)
	defer tx.Rollback()
	var results []*Result
	for _, stmt := range list {
		res, err := tx.Execute(ctx, stmt, nil, nil)
		if err != nil {
			return nil, position.Position{}, err
		}
		results = append(results, res)
	}
	p, err := tx.Commit()
	return results, p, err
}
