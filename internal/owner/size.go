package owner

import (
	"chicoryline/internal/connset"
	"chicoryline/internal/dispatch"
)

// maxForwardBytes is the size up to which statements are forwarded. Larger ones run at the VM
// that read them: both ends of a connection between VMs keep buffers of the size of its largest
// message, and an owner has one to each VM of its cell.
const maxForwardBytes = 64 << 10

// Memory accounts for the statements that an owner runs for other VMs.
type Memory interface {
	// Reserve fails with errkind.QueueFull, which tells when to retry, if there is no room for n
	// more bytes.
	Reserve(n int64) error
	Release(n int64)
}

// Limit makes the service account for its statements. It must be called before the first Run.
func (s *Service) Limit(m Memory) { s.memory = m }

func (s *Service) reserve(n int64) error {
	if s.memory == nil {
		return nil
	}
	return s.memory.Reserve(n)
}

func (s *Service) release(n int64) {
	if s.memory != nil {
		s.memory.Release(n)
	}
}

// size returns what the statement and the state of its session take.
func (a *RunArgs) size() int64 { return size(a.Text, a.Values, a.Prepared) }

func isTooLarge(call *dispatch.Call) bool {
	return size(call.Command.Text, call.SessionState.Values, call.SessionState.Prepared) > maxForwardBytes
}

func size(text string, values map[string]string, p *connset.Prepared) int64 {
	n := len(text)
	for name, value := range values {
		n += len(name) + len(value)
	}
	if p != nil {
		n += len(p.Shape)
	}
	return int64(n)
}
