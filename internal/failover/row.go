package failover

import (
	"encoding/json"

	"github.com/juju/errors"
)

// RowPrefix is the key prefix of the groups' rows in the platform table.
const RowPrefix = "group/"

// Row is the value of a group's row. A term numbers a promotion in the group; higher terms
// supersede lower ones. Every term up to ReservedUntil is reserved for a steward that wrote
// the row; a writer reserves the terms above it. Each term is used by only one process, so
// no two promotions share a term.
type Row struct {
	// Term is the highest term claimed through the row. A promotion during a platform
	// outage uses a reserved term, which the row does not show.
	Term uint64 `json:"term"`
	// ReservedUntil is the last reserved term.
	ReservedUntil uint64 `json:"reserved_until"`
	// Steward is the VM that claimed Term, Incarnation the process on it.
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
		return Row{}, errors.Annotate(err, "decoding the group's row")
	}
	return r, nil
}

// termBlock is a range of reserved terms that have not been used yet: next to until, empty
// if next > until.
type termBlock struct{ next, until uint64 }

// hasTerm reports whether the block has a term above floor.
func (b *termBlock) hasTerm(floor uint64) bool { return max(b.next, floor+1) <= b.until }

// take removes the lowest term above floor and all terms below it from the block.
func (b *termBlock) take(floor uint64) (uint64, bool) {
	if !b.hasTerm(floor) {
		return 0, false
	}
	term := max(b.next, floor+1)
	b.next = term + 1
	return term, true
}
