package answers

import (
	"slices"

	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
	"chicoryline/internal/statement"
)

// novelty tells the answers without a signature that cannot be repeats: those at a log position
// past that of all answers before, and the first of their kind at the position.
type novelty struct {
	highest position.Position
	// kinds are those of the answers at the highest position.
	kinds []answerKind
}

// answerKind is what tells answers at one position apart.
type answerKind struct {
	refused bool
	err     errkind.Kind
	state   statement.Status
}

// add records an answer and reports whether it is proved not to be a repeat. The rows of an answer
// are not compared, so one with rows is never proved, nor is one with a signature, which is matched
// by that.
func (n *novelty) add(r statement.Result) bool {
	switch c := r.Position.Compare(n.highest); {
	case c < 0:
		return false
	case c > 0:
		n.highest, n.kinds = r.Position, n.kinds[:0]
	}
	kind := answerKind{refused: r.Err != nil, state: r.Status}
	if r.Err != nil {
		kind.err = errkind.KindOf(r.Err)
	}
	if r.Signature != "" || len(r.Rows) > 0 || slices.Contains(n.kinds, kind) {
		return false
	}
	n.kinds = append(n.kinds, kind)
	return true
}
