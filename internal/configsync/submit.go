package configsync

import (
	"context"
	"fmt"
	"time"

	"chicoryline/internal/catalog"
	"chicoryline/internal/errkind"
	"chicoryline/internal/services"
)

// operatorInterval is how often an operator's command polls the platform.
const operatorInterval = 50 * time.Millisecond

// holdersFirstDelay is how long a command leaves the decision on a patch to the
// holders before it may decide itself.
const holdersFirstDelay = 2 * time.Second

// Result is the result of the patch command.
type Result struct {
	State State
	// Version is the document version in force after the patch was decided.
	Version uint64
	// Reason says why a patch was refused.
	Reason  string
	PatchID string
}

// Submit makes the patch pending on version base and waits for its outcome. If the
// patch id was already decided, it returns the recorded outcome and changes nothing.
//
// Errors with StateRefused: errkind.InvalidPatch, errkind.VersionConflict (with the
// version in force) and errkind.PatchRefused. errkind.OutcomeUnknown with
// StateUnknown means that the context ended first; PatchStatus then returns the
// outcome.
func Submit(ctx context.Context, services services.Services, base uint64, patch []byte, patchID string) (Result, error) {
	parsed, err := catalog.ParsePatch(patch)
	if err != nil {
		return refusedResult(patchID, 0, err)
	}
	s := submission{services: services, base: base, patch: parsed, id: patchID}
	for {
		result, done, err := s.try(ctx)
		if done {
			return result, err
		}
		if !sleep(ctx, operatorInterval) {
			return unknownResult(patchID, "the command ended before the patch was decided")
		}
	}
}

// sleep waits for d. It returns false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// submission is the state of one call of Submit.
type submission struct {
	services services.Services
	base     uint64
	patch    *catalog.Patch
	id       string
	finisher patchFinisher
}

// try reads the configuration row and does the next step. After a failed call the
// caller starts again with reading the row, so no write whose answer was lost is
// repeated without checking its effect.
func (s *submission) try(ctx context.Context) (Result, bool, error) {
	row, record, err := readRecord(ctx, s.services)
	if err != nil {
		return Result{}, false, nil
	}
	if o, ok := record.outcome(s.id); ok {
		return resultOf(o)
	}
	if record.Pending != nil {
		s.finisher.tryFinish(ctx, s.services, row, record)
		return Result{}, false, nil
	}
	if record.Version != s.base {
		err := errkind.New(errkind.VersionConflict, "the patch is based on version %d, but version %d is in force%s", s.base, record.Version, lastPatchSuffix(record))
		result, err := refusedResult(s.id, record.Version, err)
		return result, true, err
	}
	return s.propose(ctx, row, record)
}

// propose makes the patch pending.
func (s *submission) propose(ctx context.Context, row services.Row, record Record) (Result, bool, error) {
	doc, err := readDocument(ctx, s.services, record.Object)
	if err != nil {
		return Result{}, false, nil
	}
	next, err := catalog.Apply(doc, s.patch)
	if err != nil {
		result, err := refusedResult(s.id, record.Version, err)
		return result, true, err
	}
	object, err := s.services.PutObject(ctx, catalog.Encode(next))
	if err != nil {
		return Result{}, false, nil
	}
	value := encode(record.withPending(s.id, object, next.Version))
	request := fmt.Sprintf("%s@%d", s.id, row.Version)
	_, _ = s.services.CompareAndSet(ctx, recordKey, row.Version, value, request)
	return Result{}, false, nil
}

// lastPatchSuffix names the last patch that was put in force, for an error message.
func lastPatchSuffix(r Record) string {
	for i := len(r.History) - 1; i >= 0; i-- {
		if o := r.History[i]; o.State == StateInForce {
			return " by patch " + o.Patch
		}
	}
	return ""
}

// refusedResult returns the result and error of a patch that was refused before it became
// pending.
func refusedResult(patchID string, version uint64, err error) (Result, error) {
	return Result{State: StateRefused, Version: version, Reason: err.Error(), PatchID: patchID}, err
}

func unknownResult(patchID, why string) (Result, error) {
	err := errkind.New(errkind.OutcomeUnknown, "patch %s: %s", patchID, why)
	return Result{State: StateUnknown, Reason: why, PatchID: patchID}, err
}

// resultOf converts a recorded outcome to the return values of try.
func resultOf(o Outcome) (Result, bool, error) {
	result := Result{State: o.State, Version: o.Version, Reason: o.Reason, PatchID: o.Patch}
	if o.State == StateRefused {
		return result, true, errkind.New(errkind.PatchRefused, "%s", o.Reason)
	}
	return result, true, nil
}

// patchFinisher ends pending patches on behalf of an operator's command, also when
// no holder is left to do so. Its zero value is ready to use.
type patchFinisher struct {
	expiry       expiryDetector
	attempt      uint64
	pendingSince time.Time
}

// tryFinish ends the record's pending patch if the holder rows allow it. The rows
// are read after the record, and the configuration row is only written if its
// version has not changed since.
func (f *patchFinisher) tryFinish(ctx context.Context, services services.Services, row services.Row, record Record) {
	began := time.Now()
	if f.attempt != record.Attempt {
		f.attempt, f.pendingSince = record.Attempt, began
	}
	rows, err := services.List(ctx, holderPrefix)
	if err != nil {
		return
	}
	f.expiry.observe(rows, began, time.Now())
	holders, err := decodeHolders(rows)
	if err != nil {
		return
	}
	if len(holders) > 0 && began.Sub(f.pendingSince) < holdersFirstDelay {
		return
	}
	e := conclude(record, holders, f.expiry.isExpired, began.Sub(f.pendingSince) >= operatorPendingTimeout(holders))
	if !e.isFinal {
		return
	}
	request := fmt.Sprintf("operator!%d@%d", record.Attempt, row.Version)
	if _, err := services.CompareAndSet(ctx, recordKey, row.Version, encode(e.next), request); err != nil {
		return
	}
	for _, removed := range selectRows(e.removable, rows) {
		_ = services.Delete(ctx, removed.Key, removed.Version, request+removed.Key)
	}
}

// operatorPendingTimeout is the pending timeout of an operator's command. It is longer
// than that of the holders, so that they decide first.
func operatorPendingTimeout(holders []Holder) time.Duration {
	length := DefaultGrantLength
	for _, h := range holders {
		length = max(length, h.Length)
	}
	return pendingTimeout(length) + length
}

func readRecord(ctx context.Context, services services.Services) (services.Row, Record, error) {
	row, err := services.Get(ctx, recordKey)
	if err != nil && !errkind.Is(err, errkind.NotFound) {
		return row, Record{}, err
	}
	record, err := decodeRecord(row)
	return row, record, err
}

func readDocument(ctx context.Context, services services.Services, object string) (*catalog.Document, error) {
	if object == "" {
		return nil, nil
	}
	data, err := services.Object(ctx, object)
	if err != nil {
		return nil, err
	}
	return catalog.Decode(data)
}
