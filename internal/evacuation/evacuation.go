// Package evacuation decides which failure domains are evacuated, from the rows of the operator's
// demands and from what other VMs report, and when a demand counts as confirmed by all VMs. It does
// no I/O, and the clock is passed in.
//
// Load pattern: the operator demands or withdraws the evacuation of a domain while VMs start, lose
// the store or each other, and while the store is restored from a backup. VMs then learn of the
// rows in different orders, several times, or from another VM only.
package evacuation

import (
	"maps"
	"slices"
	"time"

	"chicoryline/internal/boottime"
	"chicoryline/internal/coord"
)

// Row is an operator's demand as stored, or its withdrawal if Deleted is set.
type Row struct {
	Domain  string
	Version coord.Version
	Deleted bool
	// After is a time after which the row was written, 0 if none is known.
	After boottime.Time
}

// Demand is the evacuation of a domain that is in force.
type Demand struct {
	// Row is the version of its row, 0 if the row was not in the table when this VM last read it:
	// another VM reported it, or the store has lost it.
	Row coord.Version
	// After is a time after which it was demanded, 0 if none is known; Learned is when this VM
	// learned of it.
	After, Learned boottime.Time
}

// Demands holds the evacuations in force at a VM. It must not be used concurrently.
type Demands struct {
	domains map[string]Demand
	// version is the newest version of a row that the demands include, changed when it last
	// changed.
	version coord.Version
	changed boottime.Time
}

// Version returns the version that the demands include.
func (d *Demands) Version() coord.Version { return d.version }

// Changed returns when the version last changed.
func (d *Demands) Changed() boottime.Time { return d.changed }

// InForce returns the evacuations in force by failure domain.
func (d *Demands) InForce() map[string]Demand { return maps.Clone(d.domains) }

// Names returns the evacuated domains in order.
func (d *Demands) Names() []string { return slices.Sorted(maps.Keys(d.domains)) }

// Update applies changed rows. Rows that the demands already include only tell that they are in the
// table: an older one of a domain that is not in force was withdrawn since.
func (d *Demands) Update(rows []Row, now boottime.Time) {
	included := d.version
	for _, r := range rows {
		known, inForce := d.domains[r.Domain]
		switch {
		case r.Version <= included && (!inForce || r.Deleted):
		case r.Deleted:
			delete(d.domains, r.Domain)
		case inForce:
			known.Row = r.Version
			d.domains[r.Domain] = known
		default:
			if d.domains == nil {
				d.domains = map[string]Demand{}
			}
			d.domains[r.Domain] = Demand{Row: r.Version, After: r.After, Learned: now}
		}
		d.include(r.Version, now)
	}
}

// Reset applies the rows of the whole table. Demands without a row stay in force until DropHeld: the
// store may have been restored from a backup and lost them.
func (d *Demands) Reset(rows []Row, now boottime.Time) {
	for domain, demand := range d.domains {
		demand.Row = 0
		d.domains[domain] = demand
	}
	d.Update(rows, now)
}

// Adopt takes over the demands that another VM reports if they include a newer version. Those that
// are new were made after the given time.
func (d *Demands) Adopt(domains []string, version coord.Version, after, now boottime.Time) {
	if version <= d.version {
		return
	}
	adopted := map[string]Demand{}
	for _, domain := range domains {
		demand, known := d.domains[domain]
		if !known {
			demand = Demand{After: after, Learned: now}
		}
		adopted[domain] = demand
	}
	d.domains = adopted
	d.include(version, now)
}

// include records that the demands include the version.
func (d *Demands) include(version coord.Version, now boottime.Time) {
	if version > d.version {
		d.version, d.changed = version, now
	}
}

// HasHeld reports whether a demand is in force whose row was not in the table.
func (d *Demands) HasHeld() bool {
	for _, demand := range d.domains {
		if demand.Row == 0 {
			return true
		}
	}
	return false
}

// DropHeld ends the demands without a row. The table must have been read in a settled era after the
// demands included the version.
func (d *Demands) DropHeld(version coord.Version) {
	if d.version == version {
		maps.DeleteFunc(d.domains, func(_ string, demand Demand) bool { return demand.Row == 0 })
	}
}

// Unconfirmed counts the VMs, or cells of VMs, that have not confirmed a version. Silent ones are
// unreachable.
type Unconfirmed struct{ Reachable, Silent int }

// Add returns the sum of both.
func (u Unconfirmed) Add(o Unconfirmed) Unconfirmed {
	return Unconfirmed{u.Reachable + o.Reachable, u.Silent + o.Silent}
}

// IsConfirmed reports whether all VMs count as having confirmed a version that this one learned of
// at the given time. A silent VM may serve without knowing the version for as long as a proof of
// the configuration is valid that it got just before; grace covers that time, and the open
// transactions of a silent VM that knows the version.
func (u Unconfirmed) IsConfirmed(learned, now boottime.Time, grace time.Duration) bool {
	return u.Reachable == 0 && (u.Silent == 0 || now.Sub(learned) >= grace)
}
