package backend

import (
	"strconv"

	"github.com/juju/errors"
)

// statusColumns is the number of columns of a status row: instance, role,
// fence, log_term, log_offset and source.
const statusColumns = 6

// parseStatus parses a status row with columns in text format.
func parseStatus(row [][]byte) (Status, error) {
	if len(row) != statusColumns {
		return Status{}, errors.Errorf("status has %d columns", len(row))
	}
	s := Status{Instance: string(row[0]), Role: Role(row[1]), Source: string(row[5])}
	if s.Role != Primary && s.Role != Replica {
		return Status{}, errors.Errorf("status has role %q", row[1])
	}
	for i, field := range []*uint64{&s.Fence, &s.Log.Term, &s.Log.Offset} {
		n, err := strconv.ParseUint(string(row[2+i]), 10, 64)
		if err != nil {
			return Status{}, errors.Annotate(err, "number in status")
		}
		*field = n
	}
	return s, nil
}
