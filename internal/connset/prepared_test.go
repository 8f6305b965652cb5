package connset

import (
	"encoding/binary"
	"math/bits"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// withEqualXXHash returns two shapes that a caller can compute so that their XXH64 is equal.
func withEqualXXHash() (string, string) {
	const prime1, prime2 = 11400714785074694791, 14029467366897019727
	inverse := uint64(prime2)
	for range 6 {
		inverse *= 2 - prime2*inverse // Newton's iteration modulo 2^64
	}
	state := func(lane uint64) uint64 {
		var start uint64 = prime1
		start += prime2
		return bits.RotateLeft64(start+lane*prime2, 31) * prime1
	}
	shape := func(first, second string) string {
		return first + strings.Repeat("x", 24) + second + strings.Repeat("x", 24)
	}
	const a, b, second = "shape--a", "shape--b", "argument"
	lane := func(s string) uint64 { return binary.LittleEndian.Uint64([]byte(s)) }
	other := binary.LittleEndian.AppendUint64(nil, lane(second)+(state(lane(a))-state(lane(b)))*inverse)
	return shape(a, second), shape(b, string(other))
}

// Guards against a prepared statement that runs in place of another one whose shape a caller has
// made up to have the same hash.
func TestPreparedNamesOfChosenShapesDiffer(t *testing.T) {
	a, b := withEqualXXHash()
	if xxhash.Sum64String(a) != xxhash.Sum64String(b) || a == b {
		t.Fatalf("%q and %q are no pair with one hash", a, b)
	}
	if NewPrepared(a, true).Name == NewPrepared(b, true).Name {
		t.Errorf("%q and %q have one name at backend servers", a, b)
	}
	if NewPrepared(a, true).Name == NewPrepared(a, false).Name {
		t.Error("a reading and a writing statement have one name at backend servers")
	}
}
