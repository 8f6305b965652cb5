package catalog

import (
	"maps"
	"slices"
	"strings"
)

// checkSection reports the errors in a section that can be found without a document.
func checkSection(s section, faults *faultList) {
	if e, ok := s.entry("delete"); ok && s.kind != kindSession {
		var flag bool
		if err := parseBool(e.value, &flag); err != nil {
			faults.add(s, e, "%v", err)
		}
		if flag && len(s.entries) > 1 {
			faults.add(s, e, "a deleted section can hold nothing else")
		}
	}
	scratch := newDocument(nil)
	setSection(scratch, s, faults)
}

// Apply returns the result of applying the patch to doc, with the next version. It
// validates the whole result and reports all errors in one errkind.InvalidPatch. doc
// itself is not changed. A nil doc is the empty document.
func Apply(doc *Document, patch *Patch) (*Document, error) {
	next := newDocument(doc)
	next.Version++
	var faults faultList
	for _, s := range patch.sections {
		if s.isDeleted() {
			removeObject(next, s, &faults)
			continue
		}
		checkWithdrawn(next, s, &faults)
		setSection(next, s, &faults)
	}
	checkDocument(next, patch, &faults)
	if err := faults.err(); err != nil {
		return nil, err
	}
	return next, nil
}

// newDocument returns a copy of doc with maps of its own.
func newDocument(doc *Document) *Document {
	next := &Document{Customers: map[string]Customer{}, Groups: map[string]Group{}, Routes: map[string]Route{}}
	if doc == nil {
		return next
	}
	next.Version, next.TokenSecret = doc.Version, doc.TokenSecret
	maps.Copy(next.Customers, doc.Customers)
	maps.Copy(next.Groups, doc.Groups)
	maps.Copy(next.Routes, doc.Routes)
	return next
}

// removeObject deletes the customer, group or route that the section names.
func removeObject(doc *Document, s section, faults *faultList) {
	var found bool
	switch s.kind {
	case kindCustomer:
		_, found = doc.Customers[s.name]
		delete(doc.Customers, s.name)
	case kindGroup:
		_, found = doc.Groups[s.name]
		delete(doc.Groups, s.name)
	case kindRoute:
		_, found = doc.Routes[s.name]
		delete(doc.Routes, s.name)
	}
	if !found {
		faults.add(s, entry{key: "delete"}, "does not exist")
	}
}

// checkWithdrawn reports withdrawn keys that do not exist.
func checkWithdrawn(doc *Document, s section, faults *faultList) {
	for _, e := range s.entries {
		keyName, isKey := strings.CutPrefix(e.key, keyPrefix)
		if s.kind != kindCustomer || !isKey || e.value != withdrawn {
			continue
		}
		if _, ok := doc.Customers[s.name].Keys[keyName]; !ok {
			faults.add(s, e, "key does not exist")
		}
	}
}

// setSection applies the section's entries to the document.
func setSection(doc *Document, s section, faults *faultList) {
	var unused string
	if err := parseName(s.name, &unused); err != nil && s.kind != kindSession {
		faults.add(s, entry{}, "%v", err)
		return
	}
	switch s.kind {
	case kindCustomer:
		setCustomer(doc, s, faults)
	case kindGroup:
		setGroup(doc, s, faults)
	case kindRoute:
		setRoute(doc, s, faults)
	case kindSession:
		setSession(doc, s, faults)
	default:
		faults.add(s, entry{}, "unknown section")
	}
}

func setCustomer(doc *Document, s section, faults *faultList) {
	c, ok := doc.Customers[s.name]
	if !ok {
		c = Customer{Name: s.name, Weight: 1}
	}
	keys := map[string]KeyHash{}
	maps.Copy(keys, c.Keys)
	c.Keys = keys
	for _, e := range s.entries {
		if e.key == "delete" {
			continue
		}
		if err := setCustomerEntry(&c, e); err != nil {
			faults.add(s, e, "%v", err)
		}
	}
	doc.Customers[s.name] = c
}

func setGroup(doc *Document, s section, faults *faultList) {
	for _, e := range s.entries {
		if e.key != "delete" {
			faults.add(s, e, "unknown key")
		}
	}
	doc.Groups[s.name] = Group{Name: s.name}
}

func setRoute(doc *Document, s section, faults *faultList) {
	r, ok := doc.Routes[s.name]
	if !ok {
		r = Route{Name: s.name, Mode: ReadPrimary}
	}
	r.Customers = slices.Clone(r.Customers)
	for _, e := range s.entries {
		if e.key == "delete" {
			continue
		}
		if err := setRouteEntry(&r, e); err != nil {
			faults.add(s, e, "%v", err)
		}
	}
	doc.Routes[s.name] = r
}

func setSession(doc *Document, s section, faults *faultList) {
	if s.name != "" {
		faults.add(s, entry{}, "the section has no name")
	}
	for _, e := range s.entries {
		if e.key != "token_secret" {
			faults.add(s, e, "unknown key")
			continue
		}
		if err := setSecret(e.value, &doc.TokenSecret); err != nil {
			faults.add(s, e, "%v", err)
		}
	}
}

// checkDocument reports missing limits, invalid references, and closed routes with
// serve_cut_off in the whole document. Errors carry line numbers of the patch; objects
// that the patch does not contain have none.
func checkDocument(doc *Document, patch *Patch, faults *faultList) {
	sections := newSectionIndex(patch)
	for _, n := range slices.Sorted(maps.Keys(doc.Customers)) {
		c := doc.Customers[n]
		s := sections.find(kindCustomer, n)
		if c.Rate <= 0 {
			faults.add(s, entry{key: "rate"}, "is missing")
		}
		if c.Burst <= 0 {
			faults.add(s, entry{key: "burst"}, "is missing")
		}
	}
	for _, n := range slices.Sorted(maps.Keys(doc.Routes)) {
		checkRoute(doc, doc.Routes[n], sections.find(kindRoute, n), faults)
	}
}

func checkRoute(doc *Document, r Route, s section, faults *faultList) {
	at := func(key string) entry {
		e, ok := s.entry(key)
		if !ok {
			e.key = key
		}
		return e
	}
	if _, ok := doc.Groups[r.Group]; !ok {
		faults.add(s, at("group"), "group %q does not exist", r.Group)
	}
	if r.ServeCutOff && !r.Open {
		faults.add(s, at("serve_cut_off"), "only an open route can be served while cut off")
	}
	for _, customer := range r.Customers {
		if _, ok := doc.Customers[customer]; !ok {
			faults.add(s, at("customers"), "customer %q does not exist", customer)
		}
	}
}

// sectionIndex finds the sections of a patch by kind and name.
type sectionIndex map[[2]string]section

func newSectionIndex(patch *Patch) sectionIndex {
	index := make(sectionIndex, len(patch.sections))
	for _, s := range patch.sections {
		index[[2]string{s.kind, s.name}] = s
	}
	return index
}

// find returns the section, or an empty section of this kind and name.
func (i sectionIndex) find(kind, name string) section {
	if s, ok := i[[2]string{kind, name}]; ok {
		return s
	}
	return section{kind: kind, name: name}
}
