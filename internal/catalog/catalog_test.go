package catalog

import (
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"chicoryline/internal/errkind"
)

const samplePatch = `[session]
token_secret = 000102030405060708090a0b0c0d0e0f
[group rental]
[customer depot]
rate = 100
burst = 20
[customer kiosk]
rate = 10
burst = 5
weight = 0.5
[route racks]
group = rental
mode = session
max_age = 2s
customers = kiosk, depot
[route board]
group = rental
open = true
serve_cut_off = true
`

func mustApply(t *testing.T, doc *Document, patch string) *Document {
	t.Helper()
	p, err := ParsePatch([]byte(patch))
	if err != nil {
		t.Fatal(err)
	}
	next, err := Apply(doc, p)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

func newTestKey(t *testing.T, seed byte) (string, KeyHash) {
	t.Helper()
	key, hash, err := NewKey(rand.NewChaCha8([32]byte{seed}))
	if err != nil {
		t.Fatal(err)
	}
	return key, hash
}

func withKey(t *testing.T, doc *Document, hash KeyHash) *Document {
	return mustApply(t, doc, "[customer depot]\nkey.main = "+hash.String())
}

func TestEncodeIsCanonical(t *testing.T) {
	_, hash := newTestKey(t, 1)
	doc := withKey(t, mustApply(t, nil, samplePatch), hash)
	back, err := Decode(Encode(doc))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(doc, back); diff != "" {
		t.Fatalf("Decode(Encode) differs (-want +got):\n%s", diff)
	}
}

func TestFaultsNameSectionKeyAndLine(t *testing.T) {
	base := mustApply(t, nil, samplePatch)
	cases := []struct{ name, patch, want string }{
		{"every fault", "[customer x]\nrate = -1\nburst = no\n", "line 2: [customer x] rate: want a number above 0 and up to 1e+09; line 3: [customer x] burst"},
		{"unknown key", "[route racks]\n\ncolour = red\n", "line 3: [route racks] colour: unknown key"},
		{"unknown section", "[shop a]\n", "line 1: [shop a] unknown section"},
		{"document section", "[document]\nversion = 9\n", "line 1: [document] unknown section"},
		{"repeated section", "[group a]\n[group a]\n", "line 2: [group a] already given in line 1"},
		{"repeated key", "[customer depot]\nrate = 1\nrate = 2\n", "line 3: [customer depot] rate: already given in line 2"},
		{"missing group", "[route new]\ngroup = none\n", `line 2: [route new] group: group "none" does not exist`},
		{"removed group", "[group rental]\ndelete = true\n", `[route board] group: group "rental" does not exist`},
		{"removed customer", "[customer kiosk]\ndelete = true\n", `[route racks] customers: customer "kiosk" does not exist`},
		{"delete with more", "[route racks]\ndelete = true\nopen = true\n", "line 2: [route racks] delete: a deleted section"},
		{"delete of nothing", "[route none]\ndelete = true\n", "[route none] delete: does not exist"},
		{"missing limits", "[customer new]\nrate = 1\n", "line 1: [customer new] burst: is missing"},
		{"closed route cut off", "[route racks]\nserve_cut_off = true\n", "only an open route"},
		{"unknown key withdrawn", "[customer depot]\nkey.old = withdrawn\n", "line 2: [customer depot] key.old: key does not exist"},
		{"plain key", "[customer depot]\nkey.old = secret\n", "key.old: want saltHex:sha256Hex"},
		{"no section", "rate = 1\n", "line 1: rate: stands in no section"},
		{"multi-line quote", "[customer depot]\nrate = \"\"\"1\n", "quotes are not allowed"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p, err := ParsePatch([]byte(c.patch))
			if err == nil {
				_, err = Apply(base, p)
			}
			if !errkind.Is(err, errkind.InvalidPatch) || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("got %v, want %q", err, c.want)
			}
		})
	}
	if base.Version != 1 || len(base.Customers) != 2 {
		t.Fatal("a rejected patch changed its base document")
	}
}

func TestKeyHash(t *testing.T) {
	key, hash := newTestKey(t, 1)
	other, _ := newTestKey(t, 2)
	if !hash.Matches(key) || hash.Matches(other) || hash.Matches("") || (KeyHash{}).Matches("") {
		t.Fatal("a hash must match its own key and no other")
	}
}

// keyCheckedAtConnectOnly is a deliberately wrong check: it validates the key at
// connect only.
func keyCheckedAtConnectOnly(connected bool) func(View, string, KeyRef) bool {
	return func(View, string, KeyRef) bool { return connected }
}

func TestWithdrawnKeyIsRefusedOnOpenConnections(t *testing.T) {
	key, hash := newTestKey(t, 1)
	_, replaced := newTestKey(t, 2)
	current := withKey(t, mustApply(t, nil, samplePatch), hash)
	ref, ok := View{Current: current}.MatchKey("depot", key)
	if !ok {
		t.Fatal("a valid key was refused")
	}
	views := map[string]View{
		"pending withdrawal":  {Current: current, Pending: mustApply(t, current, "[customer depot]\nkey.main = withdrawn")},
		"withdrawn":           {Current: mustApply(t, current, "[customer depot]\nkey.main = withdrawn")},
		"replaced, same name": {Current: withKey(t, current, replaced)},
		"customer removed":    {Current: mustApply(t, current, "[customer depot]\ndelete = true\n[route racks]\ncustomers = kiosk")},
	}
	naive := keyCheckedAtConnectOnly(true)
	for name, v := range views {
		t.Run(name, func(t *testing.T) {
			if _, _, err := v.AuthorizeKey("depot", ref, "racks"); !errkind.Is(err, errkind.Unauthorized) {
				t.Errorf("AuthorizeKey: %v, want unauthorized", err)
			}
			if _, _, err := v.Authorize("depot", key, "racks"); !errkind.Is(err, errkind.Unauthorized) {
				t.Errorf("Authorize: %v, want unauthorized", err)
			}
			if v.IsKeyValid("depot", ref) == naive(v, "depot", ref) {
				t.Error("IsKeyValid gives the same result as a check at connect only")
			}
		})
	}
}

func TestJointViewAllowsWhatBothAllow(t *testing.T) {
	key, hash := newTestKey(t, 1)
	current := withKey(t, mustApply(t, nil, samplePatch), hash)
	join := func(patch string) View { return View{Current: current, Pending: mustApply(t, current, patch)} }
	cases := []struct {
		name, customer, key, route string
		view                       View
		want                       errkind.Kind
		ok                         bool
	}{
		{"key", "depot", key, "racks", View{Current: current}, 0, true},
		{"no key", "depot", "", "racks", View{Current: current}, errkind.Unauthorized, false},
		{"other customer's key", "kiosk", key, "racks", View{Current: current}, errkind.Unauthorized, false},
		{"open without key", "nobody", "", "board", View{Current: current}, 0, true},
		{"unknown route", "depot", key, "none", View{Current: current}, errkind.UnknownRoute, false},
		{"empty configuration", "depot", key, "racks", View{}, errkind.UnknownRoute, false},
		{"route moves", "depot", key, "racks", join("[group b]\n[route racks]\ngroup = b"), errkind.ConfigStale, false},
		{"mode changes", "depot", key, "racks", join("[route racks]\nmode = primary"), errkind.ConfigStale, false},
		{"route appears", "depot", key, "new", join("[route new]\ngroup = rental"), errkind.ConfigStale, false},
		{"route goes", "depot", key, "racks", join("[route racks]\ndelete = true"), errkind.ConfigStale, false},
		{"customer leaves list", "depot", key, "racks", join("[route racks]\ncustomers = kiosk"), errkind.RouteForbidden, false},
		{"route closes", "nobody", "", "board", join("[route board]\nopen = false\nserve_cut_off = false"), errkind.Unauthorized, false},
		{"expired", "depot", key, "racks", View{Current: current, Expired: true}, errkind.ConfigStale, false},
		{"expired, served cut off", "depot", key, "board", View{Current: current, Expired: true}, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, _, err := c.view.Authorize(c.customer, c.key, c.route)
			if (err == nil) != c.ok || (!c.ok && !errkind.Is(err, c.want)) {
				t.Fatalf("Authorize: %v, want ok %v or %s", err, c.ok, c.want)
			}
		})
	}
	lower := join("[customer depot]\nrate = 50\nburst = 40")
	if rate, burst, _ := lower.Limits("depot"); rate != 50 || burst != 20 {
		t.Errorf("limits with a pending patch: rate %v, burst %v, want 50 and 20", rate, burst)
	}
}

func TestDiffHidesSecrets(t *testing.T) {
	_, hash := newTestKey(t, 1)
	old := mustApply(t, nil, samplePatch)
	next := withKey(t, mustApply(t, old, "[customer depot]\nrate = 7\n[session]\ntoken_secret = ff0102030405060708090a0b0c0d0e0f"), hash)
	got := Diff(old, next)
	if !strings.Contains(got, "- [customer depot] rate = 100\n") || !strings.Contains(got, "+ [customer depot] rate = 7\n") {
		t.Errorf("Diff:\n%s", got)
	}
	if strings.Contains(got, hash.String()) || strings.Contains(got, "ff0102030405") {
		t.Errorf("Diff shows a secret:\n%s", got)
	}
}

func FuzzPatch(f *testing.F) {
	f.Add([]byte(samplePatch))
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := ParsePatch(data)
		if err != nil {
			return
		}
		doc, err := Apply(nil, p)
		if err != nil {
			return
		}
		back, err := Decode(Encode(doc))
		if err != nil {
			t.Fatalf("decoding the document of an accepted patch: %v", err)
		}
		if diff := cmp.Diff(doc, back); diff != "" {
			t.Fatal(diff)
		}
	})
}

func FuzzDocument(f *testing.F) {
	f.Add([]byte("[document]\nversion = 3\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if doc, err := Decode(data); err == nil && string(Encode(doc)) != string(data) {
			t.Fatal("Decode accepted a non-canonical encoding")
		}
	})
}
