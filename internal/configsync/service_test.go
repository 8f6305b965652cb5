package configsync

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"chicoryline/internal/catalog"
	"chicoryline/internal/errkind"
	"chicoryline/internal/frame"
	"chicoryline/internal/peer"
	"chicoryline/internal/services"
	"chicoryline/internal/timeline"
)

// TestServiceOverLoopback calls every method of the service through net/rpc.
func TestServiceOverLoopback(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	client, server := peer.NewClient(timeline.NewClock(time.Now), nil, nil), peer.NewServer(timeline.NewClock(time.Now), listener, nil)
	defer client.Close()
	defer server.Close()
	store := newFakePlatform()
	n := New(Config{
		VM: services.VM{ID: "vm", Domain: "d", Address: address}, Incarnation: incarnation(),
		Services: store, Caller: client, System: frame.New(logrus.NewEntry(logrus.New())),
	})
	defer n.Close()
	if err := server.Register("Config", n.Service()); err != nil {
		t.Fatal(err)
	}
	go server.Serve()
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if r, err := Submit(ctx, store, 0, []byte(basePatch), "p"); err != nil || r.State != StateInForce {
		t.Fatalf("submit: %+v %v", r, err)
	}
	for version := uint64(0); version != 1 && ctx.Err() == nil; time.Sleep(tickInterval) {
		if d := n.View().Current; d != nil {
			version = d.Version
		}
	}
	call := func(method string, args, reply any) error {
		return client.Call(ctx, address, "Config."+method, args, reply)
	}
	var row VersionReply
	if err := call("Version", VersionRequest{}, &row); err != nil || row.Row.Version == 0 {
		t.Fatalf("Version: %+v %v", row, err)
	}
	record, err := decodeRecord(row.Row)
	if err != nil {
		t.Fatal(err)
	}
	var document DocumentReply
	if err := call("Document", DocumentRequest{Object: record.Object}, &document); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(catalog.Encode(n.View().Current), document.Data); diff != "" {
		t.Error(diff)
	}
	if err := call("Document", DocumentRequest{Object: "none"}, &document); !errkind.Is(err, errkind.NotFound) {
		t.Errorf("Document that does not exist: %v", err)
	}
	if err := call("Notify", NotifyRequest(row), &NotifyReply{}); err != nil {
		t.Error(err)
	}
	var promise, lease, refused PromiseReply // one for each call, because gob does not transmit zero values
	request := PromiseRequest{To: n.core.own.id, From: "x", Row: row.Row.Version, Length: time.Second}
	if err := call("Promise", request, &promise); err != nil || !promise.Granted {
		t.Errorf("Promise: %+v %v", promise, err)
	}
	if err := call("Lease", LeaseRequest{From: "y", Row: row.Row.Version}, &lease); err != nil || !lease.Granted || lease.Length > leaseLength {
		t.Errorf("Lease: %+v %v", lease, err)
	}
	if err := call("Lease", LeaseRequest{From: "z"}, &refused); err != nil || refused.Granted {
		t.Errorf("Lease for a process with an older row: %+v %v", refused, err)
	}
}
