package world

import "time"

// Evacuate demands the evacuation of a failure domain as the operator does. Statements that reach
// its servers later than Options.EvacuateTime afterwards are violations.
func (w *World) Evacuate(domain string) {
	w.Store.Put("op", "evacuate/"+domain, []byte("{}"))
	w.BarDomain(domain, time.Now().Add(w.Options.EvacuateTime))
}

// WithdrawEvacuation withdraws the demand.
func (w *World) WithdrawEvacuation(domain string) {
	w.BarDomain(domain, time.Time{})
	w.Store.Delete("op", "evacuate/"+domain)
}

// BarDomain makes statements that reach servers of the domain from the given time on violations; a
// zero time ends that.
func (w *World) BarDomain(domain string, at time.Time) {
	for _, g := range w.Groups {
		for _, s := range g.Servers() {
			if s.Domain == domain {
				s.SetBarredAt(at)
			}
		}
	}
}

// IsEvacuationConfirmed reports whether the system has confirmed the evacuation of the domain.
func (w *World) IsEvacuationConfirmed(domain string) bool {
	_, ok := w.Store.Rows("status")["evacuate/"+domain]
	return ok
}
