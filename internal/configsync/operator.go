package configsync

import (
	"context"
	"strings"
	"time"

	"chicoryline/internal/catalog"
	"chicoryline/internal/errkind"
	"chicoryline/internal/services"
)

// PatchStatus returns the end of a patch. StateUnknown with no error means that the
// patch is still pending; errkind.NotFound that the row knows nothing of it: it
// was never made pending, or is older than the outcomes that are kept.
func PatchStatus(ctx context.Context, services services.Services, patchID string) (Result, error) {
	_, record, err := readRecord(ctx, services)
	if err != nil {
		return Result{State: StateUnknown, PatchID: patchID}, err
	}
	if o, ok := record.outcome(patchID); ok {
		return Result{State: o.State, Version: o.Version, Reason: o.Reason, PatchID: patchID}, nil
	}
	if p := record.Pending; p != nil && p.Patch == patchID {
		return Result{State: StateUnknown, Version: record.Version, Reason: "pending", PatchID: patchID}, nil
	}
	return Result{State: StateUnknown, Version: record.Version, PatchID: patchID}, errkind.New(errkind.NotFound, "patch %s", patchID)
}

// CurrentDocument returns the document in force; the empty document at version 0.
func CurrentDocument(ctx context.Context, services services.Services) (*catalog.Document, error) {
	_, record, err := readRecord(ctx, services)
	if err != nil {
		return nil, err
	}
	doc, err := readDocument(ctx, services, record.Object)
	if doc == nil && err == nil {
		doc = &catalog.Document{}
	}
	return doc, err
}

// History returns the last outcomes, the oldest first.
func History(ctx context.Context, services services.Services) ([]Outcome, error) {
	_, record, err := readRecord(ctx, services)
	return record.History, err
}

// Holders returns the registered holders in the order of their ids.
func Holders(ctx context.Context, services services.Services) ([]Holder, error) {
	rows, err := services.List(ctx, holderPrefix)
	if err != nil {
		return nil, err
	}
	return decodeHolders(rows)
}

// Release removes the holders of a domain that the operator knows to be down,
// so that patches no longer wait for them, and returns their ids. It watches the
// domain for one grant's length and margin; holders that renew meanwhile stay.
// Only use it for VMs that are down: one that runs on without the platform,
// together with a majority of its voters, would go on serving the version that
// it knows. Errors: errkind.NotFound without holders in the domain,
// PatchRefused if all of them renew.
func Release(ctx context.Context, services services.Services, domain string) ([]string, error) {
	expiry := expiryDetector{}
	start := time.Now()
	for {
		began := time.Now()
		rows, err := services.List(ctx, holderPrefix)
		if err != nil {
			return nil, err
		}
		expiry.observe(rows, began, time.Now())
		expired, length, err := expiredRows(rows, domain, &expiry)
		if err != nil {
			return nil, err
		}
		if began.Sub(start) > pendingTimeout(length) {
			return releaseRows(ctx, services, domain, expired)
		}
		if !sleep(ctx, operatorInterval) {
			return nil, errkind.New(errkind.PatchRefused, "domain %s was not watched long enough", domain)
		}
	}
}

// expiredRows returns the rows of the domain that have lapsed, and the longest
// grant of the domain.
func expiredRows(rows []services.Row, domain string, expiry *expiryDetector) (expired []services.Row, length time.Duration, err error) {
	holders, err := decodeHolders(rows)
	if err != nil {
		return nil, 0, err
	}
	for i, h := range holders {
		if h.Domain != domain {
			continue
		}
		length = max(length, h.Length)
		if expiry.isExpired(h) {
			expired = append(expired, rows[i])
		}
	}
	if length == 0 {
		return nil, 0, errkind.New(errkind.NotFound, "no holder in domain %s", domain)
	}
	return expired, length, nil
}

func releaseRows(ctx context.Context, services services.Services, domain string, rows []services.Row) ([]string, error) {
	if len(rows) == 0 {
		return nil, errkind.New(errkind.PatchRefused, "all holders of domain %s renew", domain)
	}
	var ids []string
	for _, row := range rows {
		if err := services.Delete(ctx, row.Key, row.Version, "release-"+row.Key); err != nil {
			return ids, err
		}
		ids = append(ids, strings.TrimPrefix(row.Key, holderPrefix))
	}
	return ids, nil
}
