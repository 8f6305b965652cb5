package position

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"chicoryline/internal/errkind"
)

func TestOrderIsLexicographic(t *testing.T) {
	order := []Position{{0, 0}, {1, 5}, {1, 6}, {2, 1}, {3, 0}}
	for i, p := range order {
		for j, q := range order {
			want := 0
			if i < j {
				want = -1
			} else if i > j {
				want = 1
			}
			if got := p.Compare(q); got != want {
				t.Errorf("%s against %s: %d, want %d", p, q, got, want)
			}
		}
	}
}

func TestTokenRoundTrip(t *testing.T) {
	sealer := NewSealer([]byte("secret"), [][]byte{[]byte("secret")})
	rapid.Check(t, func(t *rapid.T) {
		v := Vector(rapid.MapOfN(rapid.StringN(1, 20, 40), rapid.Custom(func(t *rapid.T) Position {
			return Position{Term: rapid.Uint64().Draw(t, "term"), Offset: rapid.Uint64().Draw(t, "offset")}
		}), 0, 20).Draw(t, "vector"))
		got, err := sealer.Open("customer", sealer.Seal("customer", v))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(v, got); diff != "" {
			t.Fatal(diff)
		}
	})
}

func TestOpenRefuses(t *testing.T) {
	sealer := NewSealer([]byte("secret"), [][]byte{[]byte("secret")})
	other := NewSealer([]byte("other"), [][]byte{[]byte("other")})
	token := sealer.Seal("a", Vector{"g": {1, 2}})
	cases := []struct{ name, customer, token string }{
		{"other customer", "b", token},
		{"forged", "a", other.Seal("a", Vector{"g": {1, 2}})},
		{"truncated", "a", token[:len(token)-2]},
		{"not base64", "a", "!!"},
		{"oversized", "a", strings.Repeat("A", MaxTokenBytes+1)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, err := sealer.Open(c.customer, c.token); !errkind.Is(err, errkind.BadToken) {
				t.Fatalf("Open: %v, want bad token", err)
			}
		})
	}
}

func TestSecretChangeAcceptsBoth(t *testing.T) {
	old, next := []byte("old"), []byte("next")
	token := NewSealer(old, [][]byte{old}).Seal("a", Vector{"g": {1, 2}})
	if _, err := NewSealer(next, [][]byte{old, next}).Open("a", token); err != nil {
		t.Fatal(err)
	}
	if _, err := NewSealer(next, [][]byte{next}).Open("a", token); err == nil {
		t.Fatal("token of a withdrawn secret was accepted")
	}
}

func FuzzOpen(f *testing.F) {
	sealer := NewSealer([]byte("secret"), [][]byte{[]byte("secret")})
	f.Add("a", sealer.Seal("a", Vector{"g": {1, 2}}))
	f.Add("a", "")
	f.Add("b", "AQ")
	f.Fuzz(func(t *testing.T, customer, token string) {
		v, err := sealer.Open(customer, token)
		if err == nil && len(v) > MaxTokenGroups {
			t.Fatalf("%d groups", len(v))
		}
	})
}
