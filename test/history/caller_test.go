package history

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/jackc/pgx/v5"

	"chicoryline/internal/site"
)

const (
	// readShare and swapShare are fractions of the operations; the rest are writes.
	readShare = 0.5
	swapShare = 0.2
	// reconnectShare is the fraction of operations after which a caller switches to a
	// random proxy.
	reconnectShare = 0.1
	// maxPause is the upper bound of a caller's random pause between two operations.
	maxPause = 20 * time.Millisecond
	// valueStride separates the value ranges of the callers, so that every written value
	// is unique.
	valueStride = 1_000_000
)

// caller runs random operations on random registers through random proxies. It is used
// by a single goroutine.
type caller struct {
	site     *site.Site
	recorder *recorder
	number   int
	keys     []string
	random   *rand.Rand
	conn     *pgx.Conn
	written  int64
	// lastRead holds the last value that the caller read, by key.
	lastRead map[string]int64
}

func newCaller(s *site.Site, r *recorder, seed uint64, number int, keys []string) *caller {
	return &caller{site: s, recorder: r, number: number, keys: keys,
		random: rand.New(rand.NewPCG(seed, uint64(number))), lastRead: map[string]int64{}}
}

// run performs operations until stop is closed.
func (c *caller) run(stop <-chan struct{}) {
	defer c.disconnect()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(c.random.Int64N(int64(maxPause)))):
			c.performNext(c.nextInput())
		}
	}
}

// nextInput draws the next operation. Every write uses a new value.
func (c *caller) nextInput() input {
	in := input{key: c.keys[c.random.IntN(len(c.keys))]}
	x := c.random.Float64()
	if x < readShare {
		return in
	}
	c.written++
	in.op, in.value = write, int64(c.number+1)*valueStride+c.written
	if x < readShare+swapShare {
		in.op, in.old = swap, c.lastRead[in.key]
	}
	return in
}

// performNext performs the operation and records it.
func (c *caller) performNext(in input) {
	if !c.ensureConnected() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	sent := c.recorder.now()
	out, err := perform(ctx, c.conn, in)
	c.recorder.record(c.number, in, out, sent, err)
	if err == nil && in.op == read {
		c.lastRead[in.key] = out.value
	}
	if c.conn.IsClosed() || c.random.Float64() < reconnectShare {
		c.disconnect()
	}
}

// ensureConnected connects to a random proxy unless a connection is open. It returns
// false if the connection failed.
func (c *caller) ensureConnected() bool {
	if c.conn != nil {
		return true
	}
	conn, err := dial(c.site, c.random.IntN(len(c.site.Proxies)), group, nil)
	if err != nil {
		return false
	}
	c.conn = conn
	return true
}

func (c *caller) disconnect() {
	if c.conn != nil {
		closeConn(c.conn)
		c.conn = nil
	}
}

// perform runs the operation as one statement. A register without a row reads as 0.
func perform(ctx context.Context, conn *pgx.Conn, in input) (output, error) {
	switch in.op {
	case read:
		var out output
		err := conn.QueryRow(ctx, "SELECT v FROM sessions WHERE k = $1", in.key).Scan(&out.value)
		if errors.Is(err, pgx.ErrNoRows) {
			err = nil
		}
		return out, err
	case write:
		_, err := conn.Exec(ctx, "UPDATE sessions SET v = $1 WHERE k = $2", in.value, in.key)
		return output{}, err
	case add:
		_, err := conn.Exec(ctx, "UPDATE sessions SET v = v + $1 WHERE k = $2", in.value, in.key)
		return output{}, err
	}
	tag, err := conn.Exec(ctx, "UPDATE sessions SET v = $1 WHERE k = $2 AND v = $3", in.value, in.key, in.old)
	return output{swapped: tag.RowsAffected() > 0}, err
}
