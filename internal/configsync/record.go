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
	// recordKey is the key of the configuration row, whose value is the Record.
	recordKey = "config/version"
	// holderPrefix is the prefix of the keys of the holder rows.
	holderPrefix = "holder/"
)

// historyLength is the maximum number of outcomes in the Record.
const historyLength = 32

// Record is the value of the configuration row. It is changed only by
// compare-and-set, so the version of the row orders all changes.
type Record struct {
	// Version is the document version in force; version 0 is the empty document.
	Version uint64
	// Object is the name of the document in force in the object store.
	Object string
	// Attempt is the number of the last attempt, counting every patch that became
	// pending.
	Attempt uint64
	// Pending is the pending patch, or nil.
	Pending *Pending `json:",omitempty"`
	// Barred lists the holders that had expired when the last patch was put in
	// force. They get no more promises from any holder.
	Barred []string `json:",omitempty"`
	// History holds the last outcomes, the newest at the end.
	History []Outcome `json:",omitempty"`
}

// Pending is a patch that is not decided yet. Patch is its id, which is empty for an
// attempt that only bars or removes dead holders.
type Pending struct {
	Attempt uint64
	Version uint64
	Object  string
	Patch   string
}

// State is the outcome of a patch.
type State string

// Outcomes of a patch.
const (
	// StateInForce means that the patch has taken effect everywhere.
	StateInForce State = "in_force"
	// StateRefused means that the patch was not applied and never will be applied.
	StateRefused State = "refused"
	// StateUnknown means that the outcome is not known yet; see PatchStatus.
	StateUnknown State = "unknown"
)

// Outcome records how one patch ended.
type Outcome struct {
	Patch   string
	State   State
	Version uint64
	Object  string `json:",omitempty"`
	Reason  string `json:",omitempty"`
}

// outcome returns the recorded outcome of the patch.
func (r Record) outcome(patch string) (Outcome, bool) {
	for _, o := range slices.Backward(r.History) {
		if o.Patch == patch {
			return o, true
		}
	}
	return Outcome{}, false
}

// withOutcome returns the record after the pending patch has ended in the state.
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

// withPending returns the record with a new pending patch.
func (r Record) withPending(patch, object string, version uint64) Record {
	r.Attempt++
	r.Pending = &Pending{Attempt: r.Attempt, Version: version, Object: object, Patch: patch}
	return r
}

// decodeRecord decodes a configuration row. A row of version 0 gives the zero Record.
func decodeRecord(row services.Row) (Record, error) {
	var r Record
	if row.Version == 0 {
		return r, nil
	}
	return r, errors.Annotate(json.Unmarshal(row.Value, &r), recordKey)
}

// Holder is the value of a holder row. Each write increments Counter, so the row
// changes with each renewal.
type Holder struct {
	// ID is "vm/incarnation.registration" and is never reused.
	ID      string
	VM      string
	Domain  string
	Address string
	Counter uint64
	// Length is the length of the holder's grant.
	Length time.Duration
	// Acked is the newest attempt that the holder has acknowledged.
	Acked uint64
	// Former lists the earlier ids of the same process. The process keeps the
	// promises made under them, so its acknowledgement counts for them too.
	Former []string `json:",omitempty"`
	// Voters lists the ids of the holders, a majority of which must give a promise
	// before the holder may extend its grant without the platform.
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

// encode encodes a row value of this package as JSON. None of them can fail to encode.
func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

// snapshot is a configuration row with its record and the documents that it names.
type snapshot struct {
	row     services.Row
	record  Record
	current *catalog.Document
	pending *catalog.Document
}
