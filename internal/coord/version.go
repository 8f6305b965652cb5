package coord

import "strconv"

const (
	// EraBits is the number of bits of an era, numberBits that of a number within an era.
	EraBits    = 24
	numberBits = 64 - EraBits
)

// Version identifies a state of the store. Within an era, numbers increase with each change. An
// era begins when the store is restored from a backup: changes made since the backup are lost, and
// their numbers are assigned again. Versions of a later era compare as higher. 0 means none.
type Version uint64

// NewVersion returns the version with the number in the era.
func NewVersion(era, number uint64) Version {
	return Version(era<<numberBits | number&(1<<numberBits-1))
}

// Era returns the era of the version.
func (v Version) Era() uint64 { return uint64(v) >> numberBits }

// Number returns the number of the version within its era.
func (v Version) Number() uint64 { return uint64(v) & (1<<numberBits - 1) }

// String returns the version as ERA.NUMBER.
func (v Version) String() string {
	return strconv.FormatUint(v.Era(), 10) + "." + strconv.FormatUint(v.Number(), 10)
}
