package configsync

import (
	"time"

	"chicoryline/internal/services"
)

// The actions are what the core wants done over the network. The driver
// carries each out and hands the result of the same name back. The core asks
// for no second action of a kind while the first is open.
type (
	// renew writes the holder's row, then reads the configuration with its
	// documents. reread asks for the holder's row first, because its version is
	// not known for sure.
	renew struct {
		holder  Holder
		version uint64
		reread  bool
		request string
	}
	// readConfig reads the configuration row and its documents.
	readConfig struct{}
	// listHolders lists the holders' rows. record is the version of the
	// configuration row that this process knows before the read begins.
	listHolders struct{ recordVersion uint64 }
	// requestPromises asks the holders for promises.
	requestPromises struct {
		holders []Holder
		request PromiseRequest
	}
	// requestLease asks the holders at the addresses for a lease, one after another.
	requestLease struct {
		addresses []string
		request   LeaseRequest
	}
	// finish moves the configuration row and then deletes the rows in gone.
	finish struct {
		version   uint64
		value     []byte
		request   string
		removable []services.Row
	}
	// propose makes an attempt pending that changes no document.
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
	// giveBack deletes the holder's row.
	giveBack struct {
		id string
	}
)

// The results of the actions, and the other messages that the core takes.
type (
	// renewed ends renew. sent is before the write was sent. removed says that
	// the row existed and is gone; wrote that the write surely took effect;
	// unsure that it may have. read says that snap was read after the write.
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
	// configRead ends readConfig, and carries rows shown by other processes.
	configRead struct {
		endsRead bool // the end of readConfig
		ok       bool
		snap     snapshot
	}
	// holdersListed ends listHolders; record is the version of the
	// configuration row that this process knew before the read began.
	holdersListed struct {
		ok            bool
		recordVersion uint64
		began         time.Time
		ended         time.Time
		rows          []services.Row
	}
	// promisesDone ends askPromises; granted lists the holders that promised.
	promisesDone struct {
		sent    time.Time
		id      string
		granted []string
	}
	// leaseDone ends askLease.
	leaseDone struct {
		sent   time.Time
		ok     bool
		length time.Duration
	}
	// finishDone ends finish.
	finishDone struct{}
	// proposed ends propose.
	proposed struct{}
	// gaveBack ends giveBack.
	gaveBack struct{ ok bool }
	// leaveRequested starts the planned stop.
	leaveRequested struct{}
)

// PromiseRequest asks a holder not to acknowledge a patch without the asker.
type PromiseRequest struct {
	// To is the id of the holder that is asked; another one refuses.
	To string
	// From is the id of the asker and Address where it is called.
	From    string
	Address string
	// Row is the version of the configuration row that the asker serves.
	Row uint64
	// Length is how long the promise has to hold.
	Length time.Duration
}

// PromiseReply answers PromiseAsk and LeaseAsk.
type PromiseReply struct {
	// Granted says that the promise or lease was given.
	Granted bool
	// Length is how long a lease holds from when it was asked for.
	Length time.Duration
	// Row is the newest configuration row of the process that was asked.
	Row services.Row
	// Holders names addresses of other holders to ask for the next lease.
	Holders []string
}

// LeaseRequest asks a holder for the right to serve its configuration for a while.
type LeaseRequest struct {
	// From names the asker and Address where it is called.
	From    string
	Address string
	// Row is the version of the configuration row that the asker serves.
	Row uint64
}
