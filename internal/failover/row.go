package failover

import (
	"encoding/json"

	"github.com/juju/errors"
)

// RowPrefix starts the key of a group's row in the platform table.
const RowPrefix = "group/"

// Row is the value of a group's row. Every term up to ReservedUntil belongs to
// some steward that wrote the row; a writer reserves the terms above it. A term
// is used by one process of one steward only, so no two promotions share one.
type Row struct {
	// Term is the highest term claimed through the row. A promotion during a
	// platform outage uses a reserved term that the row does not show.
	Term uint64 `json:"term"`
	// ReservedUntil is the last reserved term.
	ReservedUntil uint64 `json:"reserved_until"`
	// Steward is the VM that claimed Term, Incarnation its process.
	Steward     string `json:"steward"`
	Incarnation string `json:"incarnation"`
}

func (r Row) encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Trace(err)
}

func decodeRow(data []byte) (Row, error) {
	var r Row
	if err := json.Unmarshal(data, &r); err != nil {
		return Row{}, errors.Annotate(err, "row of group")
	}
	return r, nil
}

// termBlock holds reserved terms that were not used yet: next to until, if
// next <= until.
type termBlock struct{ next, until uint64 }

// hasTerm reports whether a term above floor is left.
func (b *termBlock) hasTerm(floor uint64) bool { return max(b.next, floor+1) <= b.until }

// take uses up the lowest term above floor.
func (b *termBlock) take(floor uint64) (uint64, bool) {
	if !b.hasTerm(floor) {
		return 0, false
	}
	term := max(b.next, floor+1)
	b.next = term + 1
	return term, true
}
