package access

import (
	"math"
	"testing"
	"time"

	"chicoryline/internal/boottime"
	"chicoryline/internal/errkind"
)

func config(version int64, keys map[string]string) *Config {
	return &Config{
		Version: version, Keys: keys, Customers: map[string]Customer{"a": {Name: "a"}},
		Routes: map[string]Route{"db": {Database: "db", Group: "g"}, "open": {Database: "open", Group: "g", Public: true}},
	}
}

func TestAuthorize(t *testing.T) {
	v := NewView(time.Minute)
	if _, _, err := v.Authorize("db", "k"); !errkind.Is(err, errkind.ConfigStale) {
		t.Errorf("without a configuration: %v", err)
	}
	v.Apply(config(1, map[string]string{"k": "a"}))
	if _, _, err := v.Authorize("db", "k"); !errkind.Is(err, errkind.ConfigStale) {
		t.Errorf("without a confirmation: %v", err)
	}
	v.ConfirmNewest(1, boottime.Now())
	for _, c := range []struct {
		database, key, customer string
		kind                    errkind.Kind
		ok                      bool
	}{
		{"db", "k", "a", 0, true},
		{"db", "other", "", errkind.Unauthorized, false},
		{"nowhere", "k", "", errkind.UnknownRoute, false},
		{"open", "other", "", 0, true},
		{"open", "k", "a", 0, true},
	} {
		_, customer, err := v.Authorize(c.database, c.key)
		if c.ok != (err == nil) || !c.ok && !errkind.Is(err, c.kind) || customer.Name != c.customer {
			t.Errorf("%s with %s: %q, %v", c.database, c.key, customer.Name, err)
		}
	}
}

// Guards against unknown keys that are taken for those of a customer without a name.
func TestUnknownKeyIsNotThatOfANamelessCustomer(t *testing.T) {
	v := NewView(time.Minute)
	c := config(1, map[string]string{"k": "a", "nameless": ""})
	c.Customers[""] = Customer{}
	v.Apply(c)
	v.ConfirmNewest(1, boottime.Now())
	for _, key := range []string{"unknown", "", "nameless"} {
		if _, _, err := v.Authorize("db", key); !errkind.Is(err, errkind.Unauthorized) {
			t.Errorf("key %q: %v", key, err)
		}
	}
}

func TestLeaseExpires(t *testing.T) {
	v := NewView(time.Second)
	v.Apply(config(1, map[string]string{"k": "a"}))
	v.ConfirmNewest(1, boottime.Now().Add(-time.Second))
	if v.IsFresh() {
		t.Error("a confirmation of a second ago is valid with a lease of a second")
	}
	v.ConfirmNewest(1, boottime.Now())
	if !v.IsFresh() {
		t.Error("a new confirmation does not renew the lease")
	}
	v.ConfirmNewest(1, boottime.Now().Add(-time.Second))
	if !v.IsFresh() {
		t.Error("an older confirmation ends the lease")
	}
}

func TestConfirmationOfAnotherVersionIsIgnored(t *testing.T) {
	v := NewView(time.Second)
	v.Apply(config(2, nil))
	v.ConfirmNewest(1, boottime.Now())
	v.ConfirmNewest(3, boottime.Now())
	if v.IsFresh() {
		t.Error("the confirmation of another version counts")
	}
}

func TestVersionsNeverGoBack(t *testing.T) {
	v := NewView(time.Second)
	changes := 0
	v.OnChange(func(*Config) { changes++ })
	for _, c := range []struct {
		version int64
		applied bool
	}{{5, true}, {3, false}, {5, false}, {9, true}} {
		if got := v.Apply(config(c.version, nil)); got != c.applied {
			t.Errorf("version %d applied: %v", c.version, got)
		}
	}
	if v.Config().Version != 9 || changes != 2 {
		t.Errorf("version %d after %d changes", v.Config().Version, changes)
	}
}

// Guards against treating a configuration that was never confirmed as confirmed at the boot of
// the VM: a VM which had just booted served with it.
func TestUnconfirmedConfigIsNotFresh(t *testing.T) {
	v := NewView(math.MaxInt64)
	v.Apply(config(1, map[string]string{"k": "a"}))
	if _, _, err := v.Authorize("db", "k"); v.IsFresh() || !errkind.Is(err, errkind.ConfigStale) {
		t.Errorf("fresh %v, error %v without a confirmation", v.IsFresh(), err)
	}
}

// Guards against ignoring reports of a newer version: a VM whose watch got no answer requested
// the new version only when its own confirmation had aged, after the deadline for a change to
// be in force.
func TestNewerVersionMarksTheConfigOutdated(t *testing.T) {
	v := NewView(time.Hour)
	v.ConfirmNewest(3, boottime.Now())
	v.Apply(config(1, nil))
	v.ConfirmNewest(1, boottime.Now())
	if v.IsOutdated() {
		t.Error("the newest known version is outdated")
	}
	v.ConfirmNewest(2, boottime.Now())
	if _, proved := v.LastConfirmed(); !v.IsOutdated() || proved == 0 {
		t.Errorf("outdated %v, confirmed %v", v.IsOutdated(), proved)
	}
	v.Apply(config(2, nil))
	if v.IsOutdated() {
		t.Error("outdated although the version is in force")
	}
	v.MarkOutdated()
	if !v.IsOutdated() {
		t.Error("not outdated after a version could not be read")
	}
}
