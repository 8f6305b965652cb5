package settings

import (
	"os"
	"strings"
	"testing"
	"time"

	"chicoryline/internal/errkind"
)

const valid = `[vm]
id = vm1
failure_domain = a
caller_listen = 127.0.0.1:5432
peer_listen = 127.0.0.1:7000
[platform]
urls = http://127.0.0.1:8000, http://127.0.0.1:8001
[limits]
queue_timeout = 250ms
`

func TestParseValid(t *testing.T) {
	s, err := Parse([]byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	if s.VM != "vm1" || len(s.PlatformURLs) != 2 || s.QueueTimeout != 250*time.Millisecond || s.RetryWindow != Default().RetryWindow {
		t.Fatalf("%+v", s)
	}
}

func TestParseReportsEveryFault(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"unknown key", "id = vm1", "id = vm1\nspeed = 9", "line 3: [vm] speed: unknown key"},
		{"unknown section", "[limits]", "[limit]", "[limit] unknown section"},
		{"host name", "127.0.0.1:5432", "localhost:5432", "line 4: [vm] caller_listen: \"localhost:5432\" is not IP:port"},
		{"missing", "failure_domain = a\n", "", "[vm] failure_domain: is required"},
		{"duration", "250ms", "soon", "line 9: [limits] queue_timeout"},
		{"repeated", "id = vm1", "id = vm1\nid = vm2", "already given in line 2"},
		{"key without certificate", "[limits]", "[tls]\ncaller_key = x\n[limits]", "caller_certificate and caller_key go together"},
		{"bad name", "id = vm1", "id = vm 1", "is not a name"},
		{"platform host", "http://127.0.0.1:8000", "http://platform:8000", "is not http://IP:port"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(valid, c.old, c.new, 1)))
			if !errkind.Is(err, errkind.InvalidSettings) || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("Parse: %v, want %q", err, c.want)
			}
		})
	}
	_, err := Parse([]byte("[vm]\nid = \nfailure_domain = b c\n"))
	if e, _ := errkind.As(err); strings.Count(e.Detail, ";") < 3 {
		t.Fatalf("not every fault is listed: %v", err)
	}
}

// TestManualListsAllKeys checks that docs/OPERATIONS.md contains the table of all keys.
func TestManualListsAllKeys(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), Markdown()) {
		t.Fatalf("docs/OPERATIONS.md does not contain this table:\n%s", Markdown())
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("[vm"))
	f.Add([]byte("= x\n[a]\n`b = \"c"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := Parse(data); err != nil && !errkind.Is(err, errkind.InvalidSettings) {
			t.Fatalf("error is not InvalidSettings: %v", err)
		}
	})
}
