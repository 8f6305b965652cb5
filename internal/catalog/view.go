package catalog

import (
	"encoding/hex"
	"maps"
	"slices"
	"strings"

	"chicoryline/internal/errkind"
)

// Anonymous is the customer assigned to callers of open routes without a valid key.
// Operators can set its limits in a customer section of this name; the defaults are
// AnonymousRate and AnonymousBurst.
const Anonymous = "public"

// Default limits of the Anonymous customer.
const (
	// AnonymousRate is in statements per second, over all VMs.
	AnonymousRate = 100
	// AnonymousBurst is in statements.
	AnonymousBurst = 200
)

// View is the configuration that a node may serve at one point in time. While a
// patch is pending, only what both documents allow is allowed. A View is immutable
// and safe for concurrent use.
type View struct {
	// Current is the document in force as known to this node; nil is the empty
	// document.
	Current *Document
	// Pending is the document of the pending patch, or nil.
	Pending *Document
	// Expired is set if the node cannot prove that Current is still in force. Then
	// only routes with serve_cut_off may be used, and only as Anonymous.
	Expired bool
}

// KeyRef identifies one key of a customer by its name and hash, so that a new key
// under the same name is not accepted as the old one.
type KeyRef string

func newKeyRef(name string, hash KeyHash) KeyRef {
	return KeyRef(name + ":" + hex.EncodeToString(hash.Hash))
}

// documents returns the documents that must all allow an access.
func (v View) documents() []*Document {
	current := v.Current
	if current == nil {
		current = &Document{}
	}
	if v.Pending == nil {
		return []*Document{current}
	}
	return []*Document{current, v.Pending}
}

// Authorize decides whether a caller with this key may use the route now, and
// returns the customer and the route with the limits that apply. It is called at
// each admission, not only at connect. Errors: errkind.Unauthorized, UnknownRoute,
// RouteForbidden, or ConfigStale if the result depends on a pending patch or the
// view has expired.
func (v View) Authorize(customer, key, route string) (Customer, Route, error) {
	r, err := v.Route(route)
	if err != nil {
		return Customer{}, Route{}, err
	}
	if v.Expired && !r.ServeCutOff {
		return Customer{}, Route{}, errkind.New(errkind.ConfigStale, "route %s", route)
	}
	ref, ok := v.MatchKey(customer, key)
	return v.authorize(customer, ref, ok, r)
}

// AuthorizeKey is Authorize for a connection whose key was already matched. It checks
// that the key is still valid without hashing it again.
func (v View) AuthorizeKey(customer string, ref KeyRef, route string) (Customer, Route, error) {
	r, err := v.Route(route)
	if err != nil {
		return Customer{}, Route{}, err
	}
	if v.Expired && !r.ServeCutOff {
		return Customer{}, Route{}, errkind.New(errkind.ConfigStale, "route %s", route)
	}
	return v.authorize(customer, ref, v.IsKeyValid(customer, ref), r)
}

// authorize checks the customer's access to the route, given whether its key is valid.
func (v View) authorize(customer string, ref KeyRef, valid bool, r Route) (Customer, Route, error) {
	if !valid || v.Expired {
		if !r.Open {
			return Customer{}, Route{}, errkind.New(errkind.Unauthorized, "customer %s", customer)
		}
		customer = Anonymous
	}
	if len(r.Customers) > 0 && !r.Open && !slices.Contains(r.Customers, customer) {
		return Customer{}, Route{}, errkind.New(errkind.RouteForbidden, "route %s, customer %s", r.Name, customer)
	}
	c := Customer{Name: customer}
	c.Rate, c.Burst, c.Weight = v.Limits(customer)
	return c, r, nil
}

// MatchKey returns the reference of the customer's key if all documents accept it.
// Its duration does not depend on the position of the first differing character.
func (v View) MatchKey(customer, key string) (KeyRef, bool) {
	documents := v.documents()
	for name, hash := range documents[0].Customers[customer].Keys {
		ref := newKeyRef(name, hash)
		if hash.Matches(key) && v.IsKeyValid(customer, ref) {
			return ref, true
		}
	}
	return "", false
}

// IsKeyValid reports whether all documents still contain the key.
func (v View) IsKeyValid(customer string, ref KeyRef) bool {
	name, _, ok := strings.Cut(string(ref), ":")
	if !ok {
		return false
	}
	for _, d := range v.documents() {
		hash, found := d.Customers[customer].Keys[name]
		if !found || newKeyRef(name, hash) != ref {
			return false
		}
	}
	return true
}

// Customers returns the sorted names of all customers in the documents, including
// Anonymous.
func (v View) Customers() []string {
	names := map[string]bool{Anonymous: true}
	for _, d := range v.documents() {
		for name := range d.Customers {
			names[name] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// Limits returns the lowest rate (statements per second), burst (statements) and
// weight in the documents, each on its own. All are zero for a customer that is
// missing in one of the documents, except for Anonymous, which has its default limits
// there.
func (v View) Limits(customer string) (rate, burst, weight float64) {
	for i, d := range v.documents() {
		c, ok := d.Customers[customer]
		if !ok && customer == Anonymous {
			c = Customer{Rate: AnonymousRate, Burst: AnonymousBurst, Weight: 1}
		}
		if i == 0 {
			rate, burst, weight = c.Rate, c.Burst, c.Weight
			continue
		}
		rate, burst, weight = min(rate, c.Rate), min(burst, c.Burst), min(weight, c.Weight)
	}
	return rate, burst, weight
}

// Route returns the route restricted to what all documents allow. Errors:
// errkind.UnknownRoute, or errkind.ConfigStale if a pending patch adds or removes the
// route, changes its group or mode, or replaces all of its customers. In the latter
// case the caller waits briefly for the outcome of the patch.
func (v View) Route(name string) (Route, error) {
	documents := v.documents()
	r, ok := documents[0].Routes[name]
	for _, d := range documents[1:] {
		other, inOther := d.Routes[name]
		if ok != inOther || r.Group != other.Group || r.Mode != other.Mode {
			return Route{}, errkind.New(errkind.ConfigStale, "route %s changes", name)
		}
		var disjoint bool
		if r, disjoint = intersectRoutes(r, other); disjoint {
			return Route{}, errkind.New(errkind.ConfigStale, "route %s changes its customers", name)
		}
	}
	if !ok {
		return Route{}, errkind.New(errkind.UnknownRoute, "%s", name)
	}
	return r, nil
}

// intersectRoutes returns the route restricted to what both allow. disjoint is set if
// both list customers but have none in common; an empty list cannot express that,
// because it means all customers.
func intersectRoutes(a, b Route) (joined Route, disjoint bool) {
	a.MaxAge = min(a.MaxAge, b.MaxAge)
	a.ReadOnly = a.ReadOnly || b.ReadOnly
	a.Open = a.Open && b.Open
	a.ServeCutOff = a.ServeCutOff && b.ServeCutOff
	switch {
	case len(a.Customers) == 0:
		a.Customers = b.Customers
	case len(b.Customers) > 0:
		both := slices.DeleteFunc(slices.Clone(a.Customers), func(c string) bool { return !slices.Contains(b.Customers, c) })
		a.Customers, disjoint = both, len(both) == 0
	}
	return a, disjoint
}

// TokenSecrets returns the secret that new session tokens are sealed with, and all
// secrets that are accepted in received tokens.
func (v View) TokenSecrets() (seal []byte, accept [][]byte) {
	for i, d := range v.documents() {
		if i == 0 {
			seal = d.TokenSecret
		}
		if len(d.TokenSecret) > 0 {
			accept = append(accept, d.TokenSecret)
		}
	}
	return seal, accept
}
