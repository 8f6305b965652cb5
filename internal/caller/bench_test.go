package caller

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// BenchmarkRequest measures one statement sent by a caller and answered by a fake router.
func BenchmarkRequest(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	access := &fakeAccess{route: "r"}
	server := NewServer(listener, Config{
		VM: "vm", Access: func() Access { return access }, Limiter: &fakeLimiter{},
		Router: newFakeRouter(), Observer: discardObserver{}, Log: logrus.NewEntry(log),
	})
	go server.Serve()
	defer server.Close()
	c, err := dialClient(listener.Addr().String(), "r")
	if err != nil {
		b.Fatal(err)
	}
	defer c.close()
	if err := c.login(); err != nil {
		b.Fatal(err)
	}
	_ = c.net.SetDeadline(time.Time{})
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if a := c.query("SELECT 1"); a.commandTags != 1 {
			b.Fatalf("%+v", a)
		}
	}
}
