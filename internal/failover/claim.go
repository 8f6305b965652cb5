package failover

import (
	"strconv"
	"time"

	"chicoryline/internal/errkind"
	"chicoryline/internal/services"
)

// claim is the state of an attempt to obtain a new term by writing the group's row.
type claim struct {
	started   time.Time
	lastCall  uint64          // number of the newest platform call
	openCalls map[uint64]bool // calls of this claim whose answers are still accepted

	version   uint64 // row version that the write expects
	row       Row    // row that is written
	requestID string

	// rivalSince is when the row first showed another steward's claim since the primary
	// went silent.
	rivalSince time.Time

	term uint64 // claimed for the current attempt
}

func (s *Steward) nextCall() uint64 {
	s.claim.lastCall++
	return s.claim.lastCall
}

// beginClaim reads the row. A claim that is started over keeps its start time.
func (s *Steward) beginClaim() {
	if s.claim.started.IsZero() {
		s.claim.started = s.now()
	}
	s.claim.requestID = ""
	s.readClaimRow()
}

// readBack reads the row to find out whether a write whose answer was lost took effect.
func (s *Steward) readBack() { s.readClaimRow() }

func (s *Steward) readClaimRow() { s.emit(ReadRow{Call: s.newClaimCall()}) }

// newClaimCall returns the number of a new call of the claim. Answers to earlier calls
// remain acceptable, so that a platform slower than ClaimRetryInterval can still answer.
func (s *Steward) newClaimCall() uint64 {
	if s.claim.openCalls == nil {
		s.claim.openCalls = map[uint64]bool{}
	}
	call := s.nextCall()
	s.claim.openCalls[call] = true
	return call
}

// acceptAnswer reports whether the answer to the call is accepted. The first accepted
// answer closes all open calls, so later answers to them are ignored.
func (s *Steward) acceptAnswer(call uint64) bool {
	if !s.claim.openCalls[call] {
		return false
	}
	clear(s.claim.openCalls)
	return true
}

// tickClaiming waits for the platform and falls back to a reserved term after
// ClaimFallbackAfter.
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

// fireClaim ends the claim and fires the event.
func (s *Steward) fireClaim(event string) {
	s.claim.started = time.Time{}
	clear(s.claim.openCalls)
	s.fire(event)
}

// claimReserved takes a term that an earlier write has reserved for this process.
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

// rowRead handles the answer to a read of the row, for a claim or a reservation.
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

// decodeAnswer returns the decoded row; a row that does not exist is the zero Row.
func decodeAnswer(e RowRead) (Row, error) {
	if errkind.Is(e.Err, errkind.NotFound) {
		return Row{}, nil
	}
	if e.Err != nil {
		return Row{}, e.Err
	}
	return decodeRow(e.Row.Value)
}

// resolveLostWrite determines the outcome of a write whose answer was lost from the row
// that was read after it. It returns false if the row was written by someone else in the
// meantime. Whether the lost write ever took effect then no longer matters, since its terms
// stay unused.
func (s *Steward) resolveLostWrite(read services.Row, row Row) bool {
	switch {
	case read.RequestID == s.claim.requestID:
		s.adoptClaim(row)
	case read.Version == s.claim.version:
		// Has not taken effect yet. Repeating the call is safe: with the same expected
		// version and request ID it can't take effect twice.
		s.sendClaim()
	default:
		return false
	}
	return true
}

// hasActiveRival reports whether another steward has claimed a term above that of the last
// proved primary and still has time to finish. Other stewards together get DeferTimeout
// once for each silence of the primary, no matter how often they claim. During a planned
// switchover they get none: while a primary is the leader, a claim above its term was
// abandoned.
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

// requestID returns an ID that is unique among all calls of all processes.
func (s *Steward) requestID() string {
	return s.config.Incarnation + "-" + strconv.FormatUint(s.nextCall(), 10)
}

func (s *Steward) sendClaim() {
	value, err := s.claim.row.encode()
	if err != nil {
		panic(err) // unreachable: a Row can always be marshaled to JSON
	}
	s.emit(WriteRow{Call: s.newClaimCall(), Version: s.claim.version, Value: value, RequestID: s.claim.requestID})
}

// adoptClaim takes over the claimed term and the block of terms that was reserved with it.
func (s *Steward) adoptClaim(row Row) {
	s.claim.term = row.Term
	s.terms = termBlock{next: row.Term + 1, until: row.ReservedUntil}
	s.recordEvent("term_claimed", map[string]string{"term": strconv.FormatUint(row.Term, 10), "source": "platform"})
	s.fireClaim(eventClaimed)
}

// rowWritten handles the answer to a write of the row, for a claim or a reservation.
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
