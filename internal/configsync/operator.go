package configsync

import (
	"context"
	"strings"
	"time"

	"chicoryline/internal/catalog"
	"chicoryline/internal/errkind"
	"chicoryline/internal/services"
)

// PatchStatus returns the outcome of a patch. StateUnknown without an error means
// that the patch is still pending. errkind.NotFound means that the patch is not
// recorded: it never became pending, or its outcome is no longer kept.
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

// CurrentDocument returns the document in force, which is empty at version 0.
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

// History returns the recorded outcomes, the oldest first.
func History(ctx context.Context, services services.Services) ([]Outcome, error) {
	_, record, err := readRecord(ctx, services)
	return record.History, err
}

// Holders returns the registered holders, sorted by id.
func Holders(ctx context.Context, services services.Services) ([]Holder, error) {
	rows, err := services.List(ctx, holderPrefix)
	if err != nil {
		return nil, err
	}
	return decodeHolders(rows)
}

// Release removes the holders of a failure domain that is down, so that patches no
// longer wait for them, and returns their ids. It first observes the domain for the
// pending timeout of its longest grant; holders that renew their grant are kept.
//
// Use it only for VMs that are known to be down. A VM that still runs without the
// platform, together with a majority of its voters, would continue to serve the
// version that it knows.
//
// Errors: errkind.NotFound if the domain has no holders, errkind.PatchRefused if
// all of them renew or if the context ends first.
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
			return nil, errkind.New(errkind.PatchRefused, "domain %s was not observed for long enough", domain)
		}
	}
}

// expiredRows returns the rows of the domain's expired holders, and the longest
// grant length in the domain.
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

// releaseRows deletes the rows and returns the ids of their holders.
func releaseRows(ctx context.Context, services services.Services, domain string, rows []services.Row) ([]string, error) {
	if len(rows) == 0 {
		return nil, errkind.New(errkind.PatchRefused, "all holders of domain %s still renew their grants", domain)
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
