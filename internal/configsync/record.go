package configsync

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"

	"chicoryline/internal/catalog"
	"chicoryline/internal/services"
)

// Keys of the platform's table.
const (
	// recordKey is the row that holds the Record.
	recordKey = "config/version"
	// holderPrefix starts the keys of the holders' rows.
	holderPrefix = "holder/"
)

// historyLength is the number of outcomes that the Record keeps.
const historyLength = 32

// Record is the value of the configuration row. It is changed only by
// compare-and-set; the row's own version orders all changes.
type Record struct {
	// Version is the version in force; 0 is the empty document.
	Version uint64
	// Object names the document in force in the object store.
	Object string
	// Attempt is the number of patches ever made pending.
	Attempt uint64
	// Pending is the patch under way, or nil.
	Pending *Pending `json:",omitempty"`
	// Barred lists holders that had lapsed when a patch went in force: nobody
	// promises them anything any more.
	Barred []string `json:",omitempty"`
	// History holds the last outcomes, the newest last.
	History []Outcome `json:",omitempty"`
}

// Pending is a patch that is not decided yet.
type Pending struct {
	Attempt uint64
	Version uint64
	Object  string
	Patch   string
}

// State says how a patch ended.
type State string

// The states of a patch.
const (
	// StateInForce means that the patch holds everywhere.
	StateInForce State = "in_force"
	// StateRefused means that the patch was not applied and never will be.
	StateRefused State = "refused"
	// StateUnknown means that the outcome is open; Ask tells it later.
	StateUnknown State = "unknown"
)

// Outcome is the end of one patch.
type Outcome struct {
	Patch   string
	State   State
	Version uint64
	Object  string `json:",omitempty"`
	Reason  string `json:",omitempty"`
}

// outcome returns the recorded end of the patch.
func (r Record) outcome(patch string) (Outcome, bool) {
	for _, o := range slices.Backward(r.History) {
		if o.Patch == patch {
			return o, true
		}
	}
	return Outcome{}, false
}

// withOutcome returns the record without its pending patch, which ended so.
func (r Record) withOutcome(state State, reason string) Record {
	p := *r.Pending
	r.Pending = nil
	o := Outcome{Patch: p.Patch, State: state, Version: r.Version, Reason: reason}
	if state == StateInForce {
		r.Version, r.Object = p.Version, p.Object
		o.Version, o.Object = p.Version, p.Object
	}
	if p.Patch == "" {
		return r
	}
	r.History = append(slices.Clone(r.History), o)
	r.History = r.History[max(0, len(r.History)-historyLength):]
	return r
}

// withPending returns the record with a new patch under way.
func (r Record) withPending(patch, object string, version uint64) Record {
	r.Attempt++
	r.Pending = &Pending{Attempt: r.Attempt, Version: version, Object: object, Patch: patch}
	return r
}

// decodeRecord reads a configuration row; the row of version 0 is empty.
func decodeRecord(row services.Row) (Record, error) {
	var r Record
	if row.Version == 0 {
		return r, nil
	}
	return r, errors.Annotate(json.Unmarshal(row.Value, &r), recordKey)
}

// Holder is the value of a holder's row. Each write raises Counter, so the row
// changes with each renewal.
type Holder struct {
	// ID is "vm/incarnation.registration"; it is never used again.
	ID      string
	VM      string
	Domain  string
	Address string
	Counter uint64
	// Length is the length of the holder's grant.
	Length time.Duration
	// Acked is the newest attempt that the holder serves jointly.
	Acked uint64
	// Former lists the ids under which the same process was registered before.
	// It keeps their promises, so its acknowledgement is theirs too.
	Former []string `json:",omitempty"`
	// Voters are the holders of which a majority has to promise before the
	// holder may extend its grant without the platform.
	Voters []string
}

func holderID(vm string, incarnation, registration uint64) string {
	return fmt.Sprintf("%s/%d.%d", vm, incarnation, registration)
}

func holderKey(id string) string { return holderPrefix + id }

func decodeHolders(rows []services.Row) ([]Holder, error) {
	holders := make([]Holder, len(rows))
	for i, row := range rows {
		if err := json.Unmarshal(row.Value, &holders[i]); err != nil {
			return nil, errors.Annotate(err, row.Key)
		}
	}
	return holders, nil
}

// encode writes a value of this package, none of which can fail to encode.
func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

// snapshot is a configuration row with the documents that it names.
type snapshot struct {
	row     services.Row
	record  Record
	current *catalog.Document
	pending *catalog.Document
}
