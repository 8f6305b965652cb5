package entry

import (
	"net"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"chicoryline/internal/peer"
	"chicoryline/internal/ratelimit"
)

// servePeers answers other VMs' calls at the peer port.
func (e *Process) servePeers(l net.Listener) (*peer.Server, error) {
	server := peer.NewServer(e.clock, l, nil)
	if err := server.Register("Rate", ratelimit.NewService(e.limiter)); err != nil {
		return nil, err
	}
	go server.Serve()
	return server, nil
}

// rateHome returns the address of the VM that admits the customer's operations. In
// a fleet of one cell every VM decides by itself.
func (e *Process) rateHome(customer string) (address string, remote bool) {
	if e.mesh.Cells() == 1 {
		return "", false
	}
	var best string
	var weight uint64
	for _, vm := range e.mesh.Leaders() {
		if w := xxhash.Sum64String(customer + "/" + vm); best == "" || w > weight {
			best, weight = vm, w
		}
	}
	if best == e.settings.VM {
		return "", false
	}
	e.mu.Lock()
	m, known := e.members[best]
	e.mu.Unlock()
	if !known {
		e.log.WithFields(logrus.Fields{"event": "rate_home", "member": best}).Debug("home is not in the list of VMs")
	}
	return m.Address, known
}
