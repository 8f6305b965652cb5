package load

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
)

// clockInterval is the interval between two writes of a clock row.
const clockInterval = 50 * time.Millisecond

// clockHistory holds the acknowledged writes of a group's clock row. The mutex guards acks.
type clockHistory struct {
	mu   sync.Mutex
	acks []clockAck
}

type clockAck struct {
	at    time.Time
	value int64
}

func (c *clockHistory) addAck(at time.Time, value int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acks = append(c.acks, clockAck{at, value})
}

// ackedBefore returns the highest value that was acknowledged before the given time, or 0.
func (c *clockHistory) ackedBefore(t time.Time) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := sort.Search(len(c.acks), func(i int) bool { return !c.acks[i].at.Before(t) })
	if n == 0 {
		return 0
	}
	return c.acks[n-1].value
}

// runClock writes the group's clock row until the context ends. The writes use the key of one
// customer, chosen by the group's number, and count as its load.
func (l *Load) runClock(ctx context.Context, group string, number int) {
	customer := l.cfg.Customers[number%len(l.cfg.Customers)]
	random := rand.New(rand.NewPCG(l.cfg.Seed, uint64(number)<<48))
	var conn *pgx.Conn
	ticker := time.NewTicker(clockInterval)
	defer ticker.Stop()
	for value := int64(1); ; value++ {
		select {
		case <-ctx.Done():
			if conn != nil {
				_ = conn.Close(context.Background())
			}
			return
		case <-ticker.C:
		}
		conn = l.writeClock(conn, group, customer, random, value)
	}
}

// writeClock writes the clock row and records the request. It returns the connection to use
// for the next write.
func (l *Load) writeClock(conn *pgx.Conn, group string, customer Customer, random *rand.Rand, value int64) *pgx.Conn {
	if conn == nil || conn.IsClosed() {
		addresses := l.cfg.Addresses()
		var err error
		conn, err = Connect(addresses[random.IntN(len(addresses))], customer.Name, customer.Key, group, "", l.cfg.Dial)
		if err != nil {
			return nil
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	r := Record{Customer: customer.Name, Group: group, Kind: Book, Cost: 1, Arrived: time.Now(), Sent: time.Now()}
	_, err := conn.Exec(ctx, "UPDATE clock SET at = $1 WHERE k = $2", value, "now")
	r.Done, r.Outcome = time.Now(), outcomeOf(err)
	if err == nil {
		r.Statements = r.Cost
	}
	l.addRecord(r)
	if err == nil {
		l.clocks[group].addAck(r.Done, value)
	}
	return conn
}
