// Package configsync keeps the configuration of all processes in step through
// the platform's table and object store.
//
// Holders are processes registered in the table. Each holds a grant: the right
// to serve the newest configuration that it has read, for a bounded time. A
// patch first becomes pending. A holder that reads a pending patch serves only
// what the version in force and the pending one both allow, and acknowledges.
// When every registered holder has acknowledged or surely lapsed, the patch
// goes in force; else it is refused. Whichever way it ends, nothing was served
// that the end forbids.
//
// While the platform is down, a holder extends its grant by the promises of a
// majority of its voters not to acknowledge a patch that it does not know. VMs
// that are no holders serve under short leases of a holder.
//
// The decisions (core, conclude, lapseWatch, promiseBook) do no input or output
// and get the time passed in; Node drives them.
package configsync
