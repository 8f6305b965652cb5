package mesh

import "time"

const (
	// maxBurstBytes is the number of bytes sent without a pause. The smallest VMs have links of
	// 10 Mbit/s, which drop datagrams once a few dozen KB wait.
	maxBurstBytes = 8 << 10
	// burstPause is the time that a link of 10 Mbit/s takes to send maxBurstBytes, with a reserve
	// for the traffic of callers.
	burstPause = 8 * time.Millisecond
)

// datagramsPerBurst returns how many datagrams of the given size are sent between two pauses.
//
// Load pattern: the leader of a cell of 20 VMs sends 57 KB in each round. Without pauses its link
// drops the end of each round, always the same recipients, which then count the leader as lost.
func datagramsPerBurst(size int) int { return max(1, maxBurstBytes/max(size, 1)) }
