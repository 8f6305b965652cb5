package main

import (
	"errors"
	"io"
	"strings"
	"testing"

	"chicoryline/internal/configcheck"
)

// validConfig is a document without findings.
const validConfig = `{"version": 4, "routes": [
	{"name": "shop", "host": "shop-db", "service": "orders", "kind": "primary", "timeout_ms": 1500, "target_latency_ms": 150, "priority": 0},
	{"name": "stats", "host": "stats-db", "service": "orders", "kind": "bounded_staleness", "timeout_ms": 5000, "target_latency_ms": 1000, "max_staleness_ms": 1500, "priority": 2}],
	"services": [{"name": "orders", "max_conns": 48, "sync_replicas": 1}],
	"tenants": [{"name": "large", "api_keys": ["k1", "k2"], "rate_per_s": 100, "burst": 50}, {"name": "small", "api_keys": ["k3"], "rate_per_s": 10, "burst": 10}],
	"limits": {"tx_idle_ms": 3000}}`

// Guards against a document that is sent although a part of it has no effect or contradicts
// another one, and against false findings.
func TestConfigCheckFindings(t *testing.T) {
	for _, c := range []struct {
		from, to string
		kind     configcheck.Kind
		object   string
		exit     int
	}{
		{exit: 0},
		{`"version": 4`, `"version": "4"`, configcheck.Invalid, "document", exitErrors},
		{`"version": 4`, `"version": 0`, configcheck.Invalid, "document", exitErrors},
		{`"kind": "primary"`, `"kind": "newest"`, configcheck.Invalid, "document", exitErrors},
		{`"service": "orders", "kind": "primary"`, `"service": "order", "kind": "primary"`, configcheck.NeverMatches, "route shop", exitErrors},
		{`"host": "stats-db"`, `"host": "shop-db"`, configcheck.NeverMatches, "route stats", exitErrors},
		{`"host": "stats-db"`, `"host": "stats db"`, configcheck.NeverMatches, "route stats", exitErrors},
		{`"host": "stats-db"`, `"host": "stats\r\ndb"`, configcheck.NeverMatches, "route stats", exitErrors},
		{`["k3"]`, `["k\r\n3"]`, configcheck.NeverMatches, "tenant small", exitErrors},
		{`"name": "small"`, `"name": "two words"`, configcheck.Invalid, "tenant two words", exitErrors},
		{`"name": "small"`, `"name": "-"`, configcheck.Invalid, "tenant -", exitErrors},
		{`"services": [`, `"services": [{"name": "x\r\ny", "max_conns": 48, "sync_replicas": 1}, `, configcheck.Invalid, "service x\r\ny", exitErrors},
		{`["k3"]`, `["k1"]`, configcheck.NeverMatches, "tenant small", exitErrors},
		{`["k3"]`, `["k3", "k3"]`, configcheck.NeverMatches, "tenant small", exitWarnings},
		{`["k3"]`, `[]`, configcheck.NeverMatches, "tenant small", exitWarnings},
		{`"name": "small"`, `"name": "large"`, configcheck.NeverMatches, "tenant large", exitErrors},
		{`"services": [`, `"services": [{"name": "spare", "max_conns": 48, "sync_replicas": 1}, `, configcheck.NeverMatches, "service spare", exitWarnings},
		{`"target_latency_ms": 150`, `"target_latency_ms": 1501`, configcheck.Contradiction, "route shop", exitErrors},
		{`"timeout_ms": 5000, "target_latency_ms": 1000`, `"target_latency_ms": 5001`, configcheck.Contradiction, "route stats", exitErrors},
		{`"timeout_ms": 1500`, `"timeout_ms": 1500, "max_staleness_ms": 1`, configcheck.Contradiction, "route shop", exitWarnings},
		{`"max_staleness_ms": 1500`, `"max_staleness_ms": 0`, configcheck.Contradiction, "route stats", exitWarnings},
		{`"burst": 10`, `"burst": 0.5`, configcheck.Contradiction, "tenant small", exitErrors},
		{`"rate_per_s": 10,`, `"rate_per_s": 0,`, configcheck.Contradiction, "tenant small", exitErrors},
		{`"max_conns": 48`, `"max_conns": 2`, configcheck.Contradiction, "service orders", exitErrors},
		{`"max_conns": 48`, `"max_conns": 48, "cold_per_s": 2`, configcheck.Contradiction, "service orders", exitWarnings},
		{from: `"priority": 0`, to: `"priority": 0, "prefix": "/", "max_attempts": 2`, exit: 0},
		{`"priority": 0`, `"prioritty": 0`, configcheck.UnknownSetting, "document", exitWarnings},
	} {
		if !strings.Contains(validConfig, c.from) {
			t.Fatalf("%q is not in the document", c.from)
		}
		r, err := checkDocument([]byte(strings.Replace(validConfig, c.from, c.to, 1)), nil)
		if err != nil {
			t.Fatal(err)
		}
		var code exitCode
		errors.As(r.print(io.Discard, true), &code)
		found := c.exit == 0 && len(r.Findings) == 0 || len(r.Findings) == 1 && r.Findings[0].Kind == c.kind && r.Findings[0].Object == c.object
		if !found || int(code) != c.exit {
			t.Errorf("%s: findings %v, exit status %d", c.to, r.Findings, code)
		}
	}
}

// Guards against a route whose allowed regions no customer shares.
func TestConfigCheckRegions(t *testing.T) {
	for regions, want := range map[string]int{`["east"]`: 0, `["west"]`: 1, `[]`: 0} {
		document := strings.ReplaceAll(validConfig, `"burst"`, `"allowed_regions": ["east"], "burst"`)
		document = strings.Replace(document, `"priority": 0`, `"priority": 0, "allowed_regions": `+regions, 1)
		r, err := checkDocument([]byte(document), nil)
		if err != nil || len(r.Findings) != want || want > 0 && (r.Findings[0].Kind != configcheck.NeverMatches || r.Findings[0].Object != "route shop") {
			t.Errorf("regions %s: findings %v, error %v", regions, r.Findings, err)
		}
	}
}

// Guards against differences that are not shown, and against keys in the output.
func TestConfigCheckDifferences(t *testing.T) {
	changed := validConfig
	for from, to := range map[string]string{`"version": 4`: `"version": 5`, `"timeout_ms": 1500`: `"timeout_ms": 1600`, `"k2"`: `"k4"`, `"max_conns": 48`: `"max_conns": 50`, `"small"`: `"tiny"`, `3000}`: `2000}`} {
		changed = strings.Replace(changed, from, to, 1)
	}
	r, err := checkDocument([]byte(changed), []byte(validConfig))
	if err != nil || len(r.Findings) > 0 {
		t.Fatalf("%v, %v", r, err)
	}
	var out strings.Builder
	if err := r.print(&out, false); err != nil {
		t.Error(err)
	}
	for _, want := range []string{
		"tx_idle_ms 3000 -> 2000", "service orders", "Timeout:1.5s", "Timeout:1.6s", `object="tenant small" change="removed"`, `object="tenant tiny" change="added`,
		`object="tenant large" change="keys added: 1, withdrawn: 1"`, "version=5 version_in_force=4 findings=0 changes=8",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is not in\n%s", want, &out)
		}
	}
	if strings.Contains(out.String(), "k4") {
		t.Errorf("keys in\n%s", &out)
	}
	if r, err = checkDocument([]byte(validConfig), []byte(changed)); err != nil || r.Findings[0].Kind != configcheck.NotNewer {
		t.Errorf("%+v, %v", r, err)
	}
}
