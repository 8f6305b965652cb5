package failover

import (
	"strconv"
	"time"

	"chicoryline/internal/errkind"
	"chicoryline/internal/services"
)

// claim is the attempt to get a term through the group's row.
type claim struct {
	started   time.Time
	lastCall  uint64          // numbers all platform calls
	openCalls map[uint64]bool // calls of this claim whose answers still count

	version   uint64 // of the row that the write is based on
	row       Row    // what is written
	requestID string

	// rivalSince is when the row first showed another steward's claim in the
	// present silence.
	rivalSince time.Time

	term uint64 // claimed for the present attempt
}

func (s *Steward) nextCall() uint64 {
	s.claim.lastCall++
	return s.claim.lastCall
}

// beginClaim reads the row. A claim that starts over keeps its start time.
func (s *Steward) beginClaim() {
	if s.claim.started.IsZero() {
		s.claim.started = s.now()
	}
	s.claim.requestID = ""
	s.readClaimRow()
}

// readBack reads the row to learn whether a write whose answer was lost took effect.
func (s *Steward) readBack() { s.readClaimRow() }

func (s *Steward) readClaimRow() { s.emit(ReadRow{Call: s.newClaimCall()}) }

// newClaimCall numbers a call of the claim. Answers to earlier calls go on to
// count, so that a platform slower than ClaimRetry still gets an answer in.
func (s *Steward) newClaimCall() uint64 {
	if s.claim.openCalls == nil {
		s.claim.openCalls = map[uint64]bool{}
	}
	call := s.nextCall()
	s.claim.openCalls[call] = true
	return call
}

// acceptAnswer reports whether the answer to the call counts. The first answer that
// counts closes all calls made before it.
func (s *Steward) acceptAnswer(call uint64) bool {
	if !s.claim.openCalls[call] {
		return false
	}
	clear(s.claim.openCalls)
	return true
}

// tickClaiming gives the platform its time, then turns to a reserved term.
func (s *Steward) tickClaiming() {
	elapsed := s.now().Sub(s.claim.started)
	switch {
	case s.handover == nil && !s.isSilent():
		s.fireClaim(eventPrimaryProved)
	case s.handover != nil && s.isSilent():
		s.fireClaim(eventPrimarySilent)
	case elapsed >= s.config.Settings.ClaimFallbackAfter && s.terms.hasTerm(s.observed.maxFence):
		s.claimReserved()
	case elapsed >= s.config.Settings.ClaimMaxWait:
		s.fireClaim(eventTimedOut)
	case s.timeInState() >= s.config.Settings.ClaimRetryInterval && s.claim.requestID != "":
		s.fire(eventClaimUnknown)
	case s.timeInState() >= s.config.Settings.ClaimRetryInterval:
		s.entered = s.now()
		s.readClaimRow()
	}
}

// fireClaim fires an event that ends the claim.
func (s *Steward) fireClaim(event string) {
	s.claim.started = time.Time{}
	clear(s.claim.openCalls)
	s.fire(event)
}

// claimReserved uses a term that an earlier write reserved for this process.
func (s *Steward) claimReserved() {
	term, ok := s.terms.take(s.observed.maxFence)
	if !ok {
		s.fireClaim(eventNoTerm)
		return
	}
	s.claim.term = term
	s.recordEvent("term_claimed", map[string]string{"term": strconv.FormatUint(term, 10), "source": "reserved"})
	s.fireClaim(eventClaimed)
}

// rowRead takes the answer to a read for a claim or a reservation.
func (s *Steward) rowRead(e RowRead) {
	if e.Call == s.maintenance.reservationCall {
		s.reservationRead(e)
		return
	}
	if !s.acceptAnswer(e.Call) {
		return
	}
	row, err := decodeAnswer(e)
	if err != nil {
		s.claimReserved()
		return
	}
	if s.claim.requestID != "" && s.resolveLostWrite(e.Row, row) {
		return
	}
	if s.hasActiveRival(row) {
		s.observed.holdUntil = s.claim.rivalSince.Add(s.config.Settings.DeferTimeout)
		s.fireClaim(eventDeferred)
		return
	}
	s.writeClaim(e.Row.Version, row)
}

// decodeAnswer returns the value of the row; a row that does not exist is empty.
func decodeAnswer(e RowRead) (Row, error) {
	if errkind.Is(e.Err, errkind.NotFound) {
		return Row{}, nil
	}
	if e.Err != nil {
		return Row{}, e.Err
	}
	return decodeRow(e.Row.Value)
}

// resolveLostWrite judges a write whose answer was lost by the row that was read
// after it. It returns false if another writer's row stands: whether the lost
// write ever took effect then no longer matters, since its terms stay unused.
func (s *Steward) resolveLostWrite(read services.Row, row Row) bool {
	switch {
	case read.RequestID == s.claim.requestID:
		s.adoptClaim(row)
	case read.Version == s.claim.version:
		// Not taken effect yet. The same call again cannot take effect twice.
		s.sendClaim()
	default:
		return false
	}
	return true
}

// hasActiveRival reports whether another steward claimed a term above the last
// proved primary's and still has time to finish. Rivals get that time once in
// each silence, however often they claim, and none in a hand-over: while a
// primary leads, a claim above its term was abandoned.
func (s *Steward) hasActiveRival(row Row) bool {
	if s.handover != nil || row.Incarnation == s.config.Incarnation || row.Term <= s.observed.proof.Term {
		return false
	}
	if s.claim.rivalSince.Before(s.observed.silenceStart) {
		s.claim.rivalSince = s.now()
	}
	return s.now().Sub(s.claim.rivalSince) < s.config.Settings.DeferTimeout
}

func (s *Steward) writeClaim(version uint64, row Row) {
	term := max(row.ReservedUntil, s.observed.maxFence) + 1
	s.claim.version = version
	s.claim.row = Row{
		Term:          term,
		ReservedUntil: term + s.config.Settings.TermBlockSize - 1,
		Steward:       s.config.VM.ID,
		Incarnation:   s.config.Incarnation,
	}
	s.claim.requestID = s.requestID()
	s.sendClaim()
}

// requestID returns an id that no other call of any process has.
func (s *Steward) requestID() string {
	return s.config.Incarnation + "-" + strconv.FormatUint(s.nextCall(), 10)
}

func (s *Steward) sendClaim() {
	value, err := s.claim.row.encode()
	if err != nil {
		panic(err) // a Row always has a JSON form
	}
	s.emit(WriteRow{Call: s.newClaimCall(), Version: s.claim.version, Value: value, RequestID: s.claim.requestID})
}

// adoptClaim takes the claimed term and the block that was reserved with it.
func (s *Steward) adoptClaim(row Row) {
	s.claim.term = row.Term
	s.terms = termBlock{next: row.Term + 1, until: row.ReservedUntil}
	s.recordEvent("term_claimed", map[string]string{"term": strconv.FormatUint(row.Term, 10), "source": "platform"})
	s.fireClaim(eventClaimed)
}

// rowWritten takes the answer to a write for a claim or a reservation.
func (s *Steward) rowWritten(e RowWritten) {
	if e.Call == s.maintenance.reservationCall {
		s.reservationWritten(e)
		return
	}
	if !s.acceptAnswer(e.Call) {
		return
	}
	switch {
	case e.Err == nil:
		s.adoptClaim(s.claim.row)
	case errkind.Is(e.Err, errkind.Conflict):
		s.fire(eventClaimLost)
	case errkind.Is(e.Err, errkind.PlatformUnknown):
		s.fire(eventClaimUnknown)
	default:
		s.claimReserved()
	}
}
