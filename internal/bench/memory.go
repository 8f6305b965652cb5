package bench

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"chicoryline/internal/site"
)

const (
	// maxConcurrentLogins limits the callers that log in at the same time.
	maxConcurrentLogins = 64
	// settleTime lets login buffers be freed before the measurement.
	settleTime = 2 * time.Second
)

// IdleMemory opens n idle caller connections to one proxy and prints the memory of each.
// The callers' end, a plain socket without a goroutine, is included.
func IdleMemory(ctx context.Context, out io.Writer, log *logrus.Entry, n int) error {
	s, err := site.Start(ctx, latencySpec(), log)
	if err != nil {
		return err
	}
	defer s.Close()
	before := memoryInUse()
	conns := make([]net.Conn, n)
	defer func() {
		for _, c := range conns {
			if c != nil {
				_ = c.Close()
			}
		}
	}()
	slots := make(chan struct{}, maxConcurrentLogins)
	failures := make(chan error, n)
	for i := range conns {
		slots <- struct{}{}
		go func() {
			var err error
			conns[i], err = loginRaw(s.Proxies[0].CallerAddress(), "bench", s.Keys["bench"], site.GroupName(0))
			failures <- err
			<-slots
		}()
	}
	for range conns {
		if err := <-failures; err != nil {
			return errors.Annotate(err, "idle caller")
		}
	}
	time.Sleep(settleTime)
	used := memoryInUse() - before
	_, _ = fmt.Fprintf(out, "idle_callers=%d bytes=%d bytes_per_caller=%d\n", n, used, used/int64(n))
	return nil
}

// memoryInUse returns the heap and stack memory in use, in bytes.
func memoryInUse() int64 {
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// loginRaw logs in and returns only the socket.
func loginRaw(address, customer, key, route string) (net.Conn, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	front := pgproto3.NewFrontend(conn, conn)
	front.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": customer, "database": route}})
	if err := front.Flush(); err != nil {
		return conn, err
	}
	for {
		message, err := front.Receive()
		if err != nil {
			return conn, err
		}
		switch message.(type) {
		case *pgproto3.AuthenticationCleartextPassword:
			front.Send(&pgproto3.PasswordMessage{Password: key})
			if err := front.Flush(); err != nil {
				return conn, err
			}
		case *pgproto3.ErrorResponse:
			return conn, errors.New("login was refused")
		case *pgproto3.ReadyForQuery:
			return conn, nil
		}
	}
}
