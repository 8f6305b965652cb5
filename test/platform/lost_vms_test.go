package platform_test

import (
	"testing"
	"time"
)

// Guards against VMs that refuse every commit once the VMs of half of the failure domains are gone:
// any number of VMs may be lost.
func TestRemainingVMsCommitOnceOthersAreLost(t *testing.T) {
	f := start(t)
	for _, vm := range []int{1, 2} {
		f.stop[vm]()
		<-f.done[vm]
	}
	time.Sleep(3 * time.Second)
	c := f.dial(0, "own-0", "key-small")
	for range 5 {
		if a := c.do("WRITE lost 1"); a.Code != "" {
			t.Errorf("write at the remaining VM: %s %s", a.Code, a.Text)
		}
	}
}
