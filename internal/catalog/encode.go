package catalog

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"chicoryline/internal/errkind"
)

// Encode returns the canonical encoding of the document: equal documents have equal
// encodings. The encoding is a patch that creates the document from the empty one,
// preceded by a [document] section with the version.
func Encode(doc *Document) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "[%s]\nversion = %d\n", kindDocument, doc.Version)
	if len(doc.TokenSecret) > 0 {
		fmt.Fprintf(&b, "\n[%s]\ntoken_secret = %s\n", kindSession, hex.EncodeToString(doc.TokenSecret))
	}
	for _, n := range slices.Sorted(maps.Keys(doc.Customers)) {
		encodeCustomer(&b, doc.Customers[n])
	}
	for _, n := range slices.Sorted(maps.Keys(doc.Groups)) {
		fmt.Fprintf(&b, "\n[%s %s]\n", kindGroup, n)
	}
	for _, n := range slices.Sorted(maps.Keys(doc.Routes)) {
		encodeRoute(&b, doc.Routes[n])
	}
	return b.Bytes()
}

func encodeCustomer(b *bytes.Buffer, c Customer) {
	fmt.Fprintf(b, "\n[%s %s]\n", kindCustomer, c.Name)
	fmt.Fprintf(b, "rate = %s\nburst = %s\nweight = %s\n", formatNumber(c.Rate), formatNumber(c.Burst), formatNumber(c.Weight))
	for _, n := range slices.Sorted(maps.Keys(c.Keys)) {
		fmt.Fprintf(b, "%s%s = %s\n", keyPrefix, n, c.Keys[n])
	}
}

func encodeRoute(b *bytes.Buffer, r Route) {
	fmt.Fprintf(b, "\n[%s %s]\n", kindRoute, r.Name)
	fmt.Fprintf(b, "group = %s\nmode = %s\nmax_age = %s\n", r.Group, r.Mode, r.MaxAge)
	fmt.Fprintf(b, "read_only = %t\nopen = %t\nserve_cut_off = %t\n", r.ReadOnly, r.Open, r.ServeCutOff)
	if len(r.Customers) > 0 {
		fmt.Fprintf(b, "customers = %s\n", strings.Join(r.Customers, " "))
	}
}

func formatNumber(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// Decode decodes and validates the output of Encode. Anything else, including a
// non-canonical encoding of the same document, is an errkind.InvalidPatch.
func Decode(data []byte) (*Document, error) {
	sections, err := parseSections(data)
	if err != nil {
		return nil, err
	}
	if len(sections) == 0 || sections[0].title() != kindDocument {
		return nil, errkind.New(errkind.InvalidPatch, "not an encoded document")
	}
	e, _ := sections[0].entry("version")
	version, err := strconv.ParseUint(e.value, 10, 64)
	if err != nil {
		return nil, errkind.New(errkind.InvalidPatch, "document version %q", e.value)
	}
	doc, err := Apply(nil, &Patch{sections: sections[1:]})
	if err != nil {
		return nil, err
	}
	doc.Version = version
	if !bytes.Equal(Encode(doc), data) {
		return nil, errkind.New(errkind.InvalidPatch, "encoded document is not canonical")
	}
	return doc, nil
}
