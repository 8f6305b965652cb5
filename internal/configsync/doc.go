// Package configsync distributes the configuration to all processes through the
// platform's table and object store, so that no process serves a version that is
// no longer in force.
//
// Holders are processes registered in the table. Each has a grant: the right to
// serve the newest configuration that it has read, for a limited time. A new patch
// is first pending. A holder that reads a pending patch serves it jointly: it
// allows only what both the version in force and the pending version allow, and
// acknowledges the patch. When every registered holder has either acknowledged or
// provably expired, the patch is put in force; otherwise it is refused. In both
// cases nothing was served that the outcome forbids.
//
// While the platform is unreachable, a holder extends its grant with promises from
// a majority of its voters. By a promise, a voter agrees not to acknowledge a patch
// that the holder does not know. VMs that are not holders serve under short leases
// given by a holder.
//
// The protocol decisions (core, conclude, expiryDetector, promiseTable) do no I/O
// and get the time as an argument. Node runs them and does the I/O.
package configsync
