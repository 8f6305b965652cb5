package failover

import (
	"time"

	"chicoryline/internal/errkind"
	"chicoryline/internal/groupview"
)

// maintenance is the state of the steward's background work while the group has a primary:
// it redirects instances to the primary, reserves terms and starts automatic switchovers.
type maintenance struct {
	lastFollow map[string]time.Time // time of the last follow command to each instance

	reservationCall uint64 // number of the pending reservation call, 0 if none
	nextReservation time.Time
	version         uint64 // row version that the write expects
	row             Row    // row that is written
	requestID       string

	fencedAboveSince time.Time // since when an instance is fenced above the primary's term
	nextHandover     time.Time // earliest time of the next automatic switchover
}

func (s *Steward) tickWatching() {
	switch {
	case s.isSilent():
		if !s.now().Before(s.observed.holdUntil) {
			s.fire(eventPrimarySilent)
		}
	case s.observed.proved:
		s.redirectInstances()
		s.reserveTerms()
		s.startAutomaticHandover()
	}
}

// redirectInstances commands every instance that does not replicate from the primary to
// follow it: instances that restarted at an old term, possibly as primary, and instances
// without a source.
func (s *Steward) redirectInstances() {
	p := s.observed.proof
	for _, i := range s.observed.view.Instances {
		if i.ID == p.Primary || !i.Reachable || i.Status.Fence > p.Term || followsPrimary(i, p) {
			continue
		}
		if s.now().Sub(s.maintenance.lastFollow[i.ID]) < s.config.Settings.MaintenanceInterval {
			continue
		}
		s.maintenance.lastFollow[i.ID] = s.now()
		s.emit(Command{Op: OpFollow, Instance: i.ID, Term: p.Term, Primary: p.Primary})
	}
}

// followsPrimary reports whether the instance replicates from the proved primary at its term.
func followsPrimary(i groupview.Instance, p groupview.LeaderProof) bool {
	return i.Status.Source == p.Primary && i.Status.Fence == p.Term
}

// reserveTerms keeps a block of reserved terms for use during a platform outage.
func (s *Steward) reserveTerms() {
	if s.terms.hasTerm(s.observed.maxFence) || s.now().Before(s.maintenance.nextReservation) {
		return
	}
	interval := s.config.Settings.MaintenanceInterval
	s.maintenance.nextReservation = s.now().Add(s.jitter(interval, 4*interval))
	s.maintenance.reservationCall = s.nextCall()
	s.emit(ReadRow{Call: s.maintenance.reservationCall})
}

// reservationRead continues a reservation with the row that was read. If the row was
// written by an earlier write of this process whose answer was lost, that reservation is
// adopted.
func (s *Steward) reservationRead(e RowRead) {
	s.maintenance.reservationCall = 0
	row, err := decodeAnswer(e)
	if err != nil {
		return
	}
	if s.maintenance.requestID != "" && e.Row.RequestID == s.maintenance.requestID {
		s.adoptReservation(s.maintenance.row)
		return
	}
	from := max(row.ReservedUntil, s.observed.maxFence) + 1
	s.maintenance.version = e.Row.Version
	s.maintenance.row = row
	s.maintenance.row.ReservedUntil = from + s.config.Settings.TermBlockSize - 1
	s.maintenance.requestID = s.requestID()
	value, err := s.maintenance.row.encode()
	if err != nil {
		panic(err) // unreachable: a Row can always be marshaled to JSON
	}
	s.maintenance.reservationCall = s.nextCall()
	s.emit(WriteRow{Call: s.maintenance.reservationCall, Version: s.maintenance.version, Value: value, RequestID: s.maintenance.requestID})
}

func (s *Steward) reservationWritten(e RowWritten) {
	s.maintenance.reservationCall = 0
	if e.Err == nil {
		s.adoptReservation(s.maintenance.row)
		return
	}
	if !errkind.Is(e.Err, errkind.PlatformUnknown) {
		s.maintenance.requestID = ""
	}
}

func (s *Steward) adoptReservation(row Row) {
	s.maintenance.requestID = ""
	s.terms = termBlock{next: row.ReservedUntil - s.config.Settings.TermBlockSize + 1, until: row.ReservedUntil}
}

// startAutomaticHandover moves the primary role away from a leaving instance. It also
// promotes the current primary again, at a higher term, if an abandoned attempt left an
// instance fenced above its term.
func (s *Steward) startAutomaticHandover() {
	if s.observed.rank != 0 || s.now().Before(s.maintenance.nextHandover) {
		return
	}
	target, due := "", s.leaving[s.observed.proof.Primary]
	if !due && s.needsRepair() {
		target, due = s.observed.proof.Primary, true
	}
	if due {
		s.maintenance.nextHandover = s.now().Add(s.config.Settings.HandoverInterval)
		s.beginHandover(0, target)
	}
}

// needsRepair reports whether a reachable instance has been fenced above the primary's term
// for RepairAfter. Such an instance can't follow the primary.
func (s *Steward) needsRepair() bool {
	for _, i := range s.observed.view.Instances {
		if i.Reachable && i.Status.Fence > s.observed.proof.Term {
			if s.maintenance.fencedAboveSince.IsZero() {
				s.maintenance.fencedAboveSince = s.now()
			}
			return s.now().Sub(s.maintenance.fencedAboveSince) >= s.config.Settings.RepairAfter
		}
	}
	s.maintenance.fencedAboveSince = time.Time{}
	return false
}

func (s *Steward) setLeaving(instances []string) {
	clear(s.leaving)
	for _, id := range instances {
		s.leaving[id] = true
	}
}
