package errkind

import (
	"os"
	"strings"
	"testing"

	"github.com/juju/errors"
)

func TestEveryKindHasAnAnswer(t *testing.T) {
	names := map[string]bool{}
	for _, k := range All() {
		a := k.Answer()
		if a.Name == "" || len(a.SQLState) != 5 || a.Text == "" {
			t.Errorf("kind %d: incomplete answer %+v", k, a)
		}
		if names[a.Name] {
			t.Errorf("duplicate name %s", a.Name)
		}
		names[a.Name] = true
	}
}

func TestKindSurvivesAnnotation(t *testing.T) {
	err := errors.Annotate(New(QueueFull, "x"), "while waiting")
	if !Is(err, QueueFull) || KindOf(errors.New("other")) != Internal || Is(nil, Internal) {
		t.Fatalf("wrong kind for %v, for an error without a kind, or for nil", err)
	}
}

// TestCallersDocContainsTable checks that docs/CALLERS.md contains the current
// table of kinds.
func TestCallersDocContainsTable(t *testing.T) {
	page, err := os.ReadFile("../../docs/CALLERS.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), Markdown()) {
		t.Fatalf("docs/CALLERS.md does not contain this table:\n%s", Markdown())
	}
}
