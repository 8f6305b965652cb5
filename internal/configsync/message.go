package configsync

import (
	"time"

	"chicoryline/internal/services"
)

// Actions that the core requests. Node executes each of them and passes the
// corresponding result back. The core requests no second action of a kind while
// the first is in flight.
type (
	// renew writes the holder row, then reads the configuration with its
	// documents. If reread is set, the holder row is read first, because its
	// version is not known for certain.
	renew struct {
		holder  Holder
		version uint64
		reread  bool
		request string
	}
	// readConfig reads the configuration row and its documents.
	readConfig struct{}
	// listHolders lists the holder rows. recordVersion is the version of the
	// configuration row that this process knows before the list is read.
	listHolders struct{ recordVersion uint64 }
	// requestPromises requests a promise from each of the holders.
	requestPromises struct {
		holders []Holder
		request PromiseRequest
	}
	// requestLease requests a lease from the addresses, one after another.
	requestLease struct {
		addresses []string
		request   LeaseRequest
	}
	// finish writes the configuration row that ends a patch, then deletes the
	// rows in removable.
	finish struct {
		version   uint64
		value     []byte
		request   string
		removable []services.Row
	}
	// propose writes a pending attempt that changes no document.
	propose struct {
		version uint64
		value   []byte
		request string
	}
	// notify sends the configuration row to other processes.
	notify struct {
		addresses []string
		row       services.Row
	}
	// giveBack deletes the holder row.
	giveBack struct {
		id string
	}
)

// Results of the actions and other messages that the core handles.
type (
	// renewed is the result of renew. sent is a time before the write was sent.
	// removed is set if the row existed and was deleted, wrote if the write
	// certainly took effect, outcomeUnknown if it may have, and read if snap was
	// read after the write.
	renewed struct {
		sent           time.Time
		id             string
		version        uint64
		acked          uint64
		voters         []string
		wrote          bool
		outcomeUnknown bool
		removed        bool
		read           bool
		snap           snapshot
	}
	// configRead is the result of readConfig, or a configuration row received
	// from another process.
	configRead struct {
		endsRead bool // result of readConfig
		ok       bool
		snap     snapshot
	}
	// holdersListed is the result of listHolders. recordVersion is the version of
	// the configuration row that this process knew before the list was read.
	holdersListed struct {
		ok            bool
		recordVersion uint64
		began         time.Time
		ended         time.Time
		rows          []services.Row
	}
	// promisesDone is the result of requestPromises. granted lists the ids of the
	// holders that gave a promise.
	promisesDone struct {
		sent    time.Time
		id      string
		granted []string
	}
	// leaseDone is the result of requestLease.
	leaseDone struct {
		sent   time.Time
		ok     bool
		length time.Duration
	}
	// finishDone is the result of finish.
	finishDone struct{}
	// proposed is the result of propose.
	proposed struct{}
	// gaveBack is the result of giveBack.
	gaveBack struct{ ok bool }
	// leaveRequested starts a planned shutdown.
	leaveRequested struct{}
)

// PromiseRequest asks a holder not to acknowledge a patch that the sender does not
// know.
type PromiseRequest struct {
	// To is the id of the addressed holder; any other holder refuses.
	To string
	// From is the id of the sender and Address its network address.
	From    string
	Address string
	// Row is the version of the configuration row that the sender serves.
	Row uint64
	// Length is the requested duration of the promise.
	Length time.Duration
}

// PromiseReply answers PromiseRequest and LeaseRequest.
type PromiseReply struct {
	// Granted is set if the promise or lease was given.
	Granted bool
	// Length is the duration of a lease, counted from when the request was sent.
	Length time.Duration
	// Row is the newest configuration row known to the replying process.
	Row services.Row
	// Holders lists addresses of other holders to ask for the next lease.
	Holders []string
}

// LeaseRequest asks a holder for the right to serve its configuration for a limited
// time.
type LeaseRequest struct {
	// From is the id of the sender and Address its network address.
	From    string
	Address string
	// Row is the version of the configuration row that the sender serves.
	Row uint64
}
