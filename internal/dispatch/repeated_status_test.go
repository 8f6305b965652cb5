package dispatch_test

import (
	"io"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"chicoryline/internal/answers"
	"chicoryline/internal/dispatch"
	"chicoryline/internal/standin/linegroup"
	"chicoryline/platform"
)

// A second answer to an earlier STATUS was taken for the present status of a replica and renewed the
// leader lease of a primary that had been replaced: its VMs went on reading old data there.
func TestRepeatedStatusDoesNotRenewTheLeaseOfAReplacedPrimary(t *testing.T) {
	const lease = 300 * time.Millisecond
	servers, err := linegroup.New(linegroup.Options{
		Name: "g", Servers: 3, Domains: []string{"north"}, MaxConnections: 20, Slots: 5, FormerPrimaryServes: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(servers.Close)
	isStatus := func(_, text string) bool { return text == "STATUS" }
	log := logrus.New()
	log.SetOutput(io.Discard)
	entry := logrus.NewEntry(log)
	texts := platform.BackendTexts{}
	router := dispatch.NewRouter(dispatch.Config{
		Domain: "north", LeaveTime: time.Second, LeaderLeaseTime: lease, Texts: texts, Statuses: texts, Log: entry,
		Dialer: answers.Dialer{Dialer: platform.BackendDialer{}, Texts: texts, Log: entry, Registry: gometrics.NewRegistry()},
	})
	group := servers.Servers()
	for i, s := range group {
		router.Update(dispatch.ServerInfo{ID: s.ID, Group: "g", Address: s.Address, Domain: "north", Slots: 5, Primary: i == 0, Started: 1, Sequence: 1, Version: uint64(i + 1)})
	}
	router.SetLimits("g", 5, func(*dispatch.Server) int { return 5 })
	g := router.Group("g")
	renew := func() (renewed bool) {
		before := g.Stats().Proofs.Failed
		g.RenewLeaderLease()
		for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if !g.LeaderLeaseNeedsRenewal() {
				return true
			}
			if g.Stats().Proofs.Failed > before {
				return false
			}
		}
		return false
	}
	for _, s := range group[1:] {
		s.HoldRepeats(isStatus, isStatus)
	}
	if !renew() {
		t.Fatal("the replicas do not prove that the primary leads")
	}
	group[0].SetSendBlocked(true) // the old primary does not observe its successor
	if !servers.Promote(group[1].ID) {
		t.Fatal("no promotion")
	}
	for servers.Primary() != group[1] {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(lease)
	if renew() {
		t.Error("the lease of the replaced primary was renewed")
	}
}
