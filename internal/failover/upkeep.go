package failover

import (
	"time"

	"chicoryline/internal/errkind"
	"chicoryline/internal/groupview"
)

// upkeep is what a steward does while the group has a primary.
type upkeep struct {
	followed map[string]time.Time // when an instance was last told to follow

	call      uint64 // of the newest call for a reservation; 0: none
	nextAt    time.Time
	version   uint64
	row       Row
	requestID string

	strayedSince time.Time // since when an instance stands above the primary's term
	handoverAt   time.Time // earliest time of the next own hand-over
}

func (s *Steward) tickWatching() {
	switch {
	case s.silent():
		if !s.now().Before(s.watch.holdUntil) {
			s.fire(eventPrimarySilent)
		}
	case s.watch.proved:
		s.followStrays()
		s.reserveAhead()
		s.startOwnHandover()
	}
}

// followStrays tells every instance that does not replicate from the primary to
// do so: one that came back at an old term, also as primary, and one without source.
func (s *Steward) followStrays() {
	p := s.watch.proof
	for _, i := range s.watch.view.Instances {
		if i.ID == p.Primary || !i.Reachable || i.Status.Fence > p.Term || follows(i, p) {
			continue
		}
		if s.now().Sub(s.upkeep.followed[i.ID]) < s.config.Settings.UpkeepPause {
			continue
		}
		s.upkeep.followed[i.ID] = s.now()
		s.emit(Command{Op: OpFollow, Instance: i.ID, Term: p.Term, Primary: p.Primary})
	}
}

func follows(i groupview.Instance, p groupview.LeaderProof) bool {
	return i.Status.Source == p.Primary && i.Status.Fence == p.Term
}

// reserveAhead keeps a usable block of terms for the time of a platform outage.
func (s *Steward) reserveAhead() {
	if s.terms.usable(s.watch.maxFence) || s.now().Before(s.upkeep.nextAt) {
		return
	}
	pause := s.config.Settings.UpkeepPause
	s.upkeep.nextAt = s.now().Add(s.jitter(pause, 4*pause))
	s.upkeep.call = s.nextCall()
	s.emit(ReadRow{Call: s.upkeep.call})
}

// reservationRead goes on with the reservation. A row that an earlier write of
// this process left, whose answer was lost, is adopted.
func (s *Steward) reservationRead(e RowRead) {
	s.upkeep.call = 0
	row, err := openRow(e)
	if err != nil {
		return
	}
	if s.upkeep.requestID != "" && e.Row.RequestID == s.upkeep.requestID {
		s.adoptReservation(s.upkeep.row)
		return
	}
	from := max(row.ReservedUntil, s.watch.maxFence) + 1
	s.upkeep.version = e.Row.Version
	s.upkeep.row = row
	s.upkeep.row.ReservedUntil = from + s.config.Settings.Block - 1
	s.upkeep.requestID = s.requestID()
	value, err := s.upkeep.row.encode()
	if err != nil {
		panic(err) // a Row always has a JSON form
	}
	s.upkeep.call = s.nextCall()
	s.emit(WriteRow{Call: s.upkeep.call, Version: s.upkeep.version, Value: value, RequestID: s.upkeep.requestID})
}

func (s *Steward) reservationWritten(e RowWritten) {
	s.upkeep.call = 0
	if e.Err == nil {
		s.adoptReservation(s.upkeep.row)
		return
	}
	if !errkind.Is(e.Err, errkind.PlatformUnknown) {
		s.upkeep.requestID = ""
	}
}

func (s *Steward) adoptReservation(row Row) {
	s.upkeep.requestID = ""
	s.terms = termBlock{next: row.ReservedUntil - s.config.Settings.Block + 1, until: row.ReservedUntil}
}

// startOwnHandover moves the primary role off a leaving instance, and promotes
// the primary anew when an abandoned attempt left an instance fenced above it.
func (s *Steward) startOwnHandover() {
	if s.watch.rank != 0 || s.now().Before(s.upkeep.handoverAt) {
		return
	}
	target, due := "", s.leaving[s.watch.proof.Primary]
	if !due && s.strayedLong() {
		target, due = s.watch.proof.Primary, true
	}
	if due {
		s.upkeep.handoverAt = s.now().Add(s.config.Settings.HandoverPause)
		s.beginHandover(0, target)
	}
}

// strayedLong reports whether a reachable instance has stood above the
// primary's term for RepairAfter. Such an instance cannot follow the primary.
func (s *Steward) strayedLong() bool {
	for _, i := range s.watch.view.Instances {
		if i.Reachable && i.Status.Fence > s.watch.proof.Term {
			if s.upkeep.strayedSince.IsZero() {
				s.upkeep.strayedSince = s.now()
			}
			return s.now().Sub(s.upkeep.strayedSince) >= s.config.Settings.RepairAfter
		}
	}
	s.upkeep.strayedSince = time.Time{}
	return false
}

func (s *Steward) setLeaving(instances []string) {
	clear(s.leaving)
	for _, id := range instances {
		s.leaving[id] = true
	}
}
