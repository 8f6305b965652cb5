package entry

import (
	"context"
	"encoding/json"
	"time"

	"chicoryline/internal/backoff"
	"chicoryline/internal/boottime"
	"chicoryline/internal/coord"
	"chicoryline/internal/errkind"
)

const (
	// statusReadDelay is how long a VM reads the store for others before it looks for
	// confirmations that a former one has left behind. VMs that start count themselves as that VM
	// for a moment.
	statusReadDelay = 3 * time.Second
	// minStatusPause and maxStatusPause bound the pause after a failed call.
	minStatusPause = 300 * time.Millisecond
	maxStatusPause = 2400 * time.Millisecond
)

// statusWriter keeps the confirmations of evacuations in the store. The VM that reads the store for
// others does so. Each write is conditional on the operator's row, so that a VM that acts on old
// state, or two VMs at once, write nothing that is not true of the demand in the store.
type statusWriter struct {
	process *Process
	// readsSince is when this VM began to read the store for others, 0 if it does not.
	readsSince boottime.Time
	// rows holds the confirmed versions of the demands' rows as last read or written in the era;
	// nil before the first read.
	rows map[string]string
	era  uint64
	// failures spaces the calls after failed ones.
	failures backoff.Backoff
}

func newStatusWriter(e *Process) *statusWriter {
	return &statusWriter{process: e, failures: backoff.Backoff{First: minStatusPause, Max: maxStatusPause}}
}

// confirmation is the value of a confirmation: the version of the demand's row, and the VM that
// wrote it.
type confirmation struct {
	Demand string `json:"demand"`
	VM     string `json:"vm"`
}

// step makes the calls that are due.
func (w *statusWriter) step(ctx context.Context, now boottime.Time) {
	e := w.process
	if !e.hasJoined() || e.view.Config() == nil || !e.serversLoaded() || !e.readsStore() {
		w.readsSince, w.rows = 0, nil
		return
	}
	if w.readsSince == 0 {
		w.readsSince = now
	}
	if w.failures.Active(now) || e.evacuationVersion() == 0 && now.Sub(w.readsSince) < statusReadDelay {
		return
	}
	if era := e.platform.Eras.Newest(); era != w.era {
		w.rows, w.era = nil, era
	}
	if err := w.reconcile(ctx); err != nil {
		e.log.WithError(err).WithField("event", "evacuation").Warn("confirmations could not be read or written")
		w.rows = nil // the call may have taken effect
		w.failures.Fail(now)
		return
	}
	w.failures.Reset()
}

// reconcile makes the stored confirmations those that are true.
func (w *statusWriter) reconcile(ctx context.Context) error {
	if w.rows == nil {
		if err := w.read(ctx); err != nil {
			return err
		}
	}
	e := w.process
	e.evacuation.mu.Lock()
	inForce := e.evacuation.demands.InForce()
	confirmed, silent := e.isEvacuationConfirmed(boottime.Now())
	e.evacuation.mu.Unlock()
	for domain := range w.rows {
		if _, ok := inForce[domain]; !ok {
			if err := w.remove(ctx, domain, 0); err != nil {
				return err
			}
		}
	}
	for domain, demand := range inForce {
		stored, exists := w.rows[domain]
		if demand.Row == 0 || stored == demand.Row.String() || !e.isKnownDomain(domain) {
			continue
		}
		var err error
		switch {
		case confirmed:
			err = w.write(ctx, domain, demand.Row, silent)
		case exists:
			err = w.remove(ctx, domain, demand.Row)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// read reads the stored confirmations.
func (w *statusWriter) read(ctx context.Context) error {
	e := w.process
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, _, err := e.platform.Store.Rows(call, e.platform.StatusTable)
	if err != nil {
		return err
	}
	w.rows = map[string]string{}
	for _, r := range rows {
		if domain, ok := e.platform.EvacuatedDomain(r.Key); ok {
			var c confirmation
			if json.Unmarshal(r.Value, &c) != nil {
				c.Demand = "" // is written again
			}
			w.rows[domain] = c.Demand
		}
	}
	return nil
}

// write stores the confirmation of a demand whose row has the version.
func (w *statusWriter) write(ctx context.Context, domain string, row coord.Version, silent int) error {
	e := w.process
	value, err := json.Marshal(confirmation{Demand: row.String(), VM: e.settings.VM})
	if err != nil {
		return errkind.New(errkind.Internal, "confirmation: %v", err)
	}
	change := coord.Change{Put: []coord.Row{{Table: e.platform.StatusTable, Key: e.platform.EvacuationKey(domain), Value: value}}}
	if err := w.apply(ctx, change, domain, row); err != nil {
		return err
	}
	w.rows[domain] = row.String()
	e.evacuationLog(domain).WithField("store_version", row).WithField("silent", silent).Info("confirmed by all VMs")
	return nil
}

// remove removes a confirmation if the row of the demand has the version, 0 for no row.
func (w *statusWriter) remove(ctx context.Context, domain string, row coord.Version) error {
	e := w.process
	change := coord.Change{Deletes: []coord.Row{{Table: e.platform.StatusTable, Key: e.platform.EvacuationKey(domain)}}}
	if err := w.apply(ctx, change, domain, row); err != nil {
		return err
	}
	delete(w.rows, domain)
	e.evacuationLog(domain).WithField("store_version", row).Info("confirmation removed")
	return nil
}

// apply makes the change if the row of the demand has the version.
func (w *statusWriter) apply(ctx context.Context, change coord.Change, domain string, row coord.Version) error {
	e := w.process
	change.If = []coord.Condition{{Table: e.platform.ConfigTable, Key: e.platform.EvacuationKey(domain), Version: row}}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := e.platform.Store.Apply(call, change)
	return err
}
