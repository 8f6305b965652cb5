package answers

import "github.com/cespare/xxhash/v2"

// maxSignatures bounds the signatures that a connection remembers. At 12 bytes each, 2,400
// connections hold 15 MB.
const maxSignatures = 512

// signatures is a ring of the signatures of the last answers and of the statements that they
// answered. It grows with the use of the connection.
type signatures struct {
	hashes     []uint64
	statements []uint32
	next       int
}

// add records that the signature answered the statement with the ID.
func (s *signatures) add(signature, id string) {
	hash, statement := xxhash.Sum64String(signature), statementHash(id)
	if len(s.hashes) < maxSignatures {
		s.hashes, s.statements = append(s.hashes, hash), append(s.statements, statement)
		return
	}
	s.hashes[s.next], s.statements[s.next] = hash, statement
	s.next = (s.next + 1) % maxSignatures
}

// find returns how many signatures were added since the given one, and whether that one answered
// the statement with the ID. It returns -1 if the signature is not known.
func (s *signatures) find(signature, id string) (ago int, same bool) {
	hash := xxhash.Sum64String(signature)
	n := len(s.hashes)
	for ago := range n {
		if i := (s.next - 1 - ago + 2*n) % n; s.hashes[i] == hash {
			return ago, s.statements[i] == statementHash(id)
		}
	}
	return -1, false
}

func statementHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }
