package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

const (
	// requestTimeout is the deadline for one request.
	requestTimeout = 15 * time.Second
	// connectTimeout is the deadline for one connection attempt.
	connectTimeout = 5 * time.Second
	// reconnectPause is the pause after a failed connection attempt.
	reconnectPause = 50 * time.Millisecond
	// confirmShare is the fraction of writes that are Confirm transactions.
	confirmShare = 0.3
	// echoShare and readOwnWriteShare are fractions of the reads; the rest reads the clock.
	echoShare         = 0.1
	readOwnWriteShare = 0.5
)

// session is one caller that moves between proxies and carries its session token along.
// Only its own goroutine uses it.
type session struct {
	load     *Load
	customer Customer
	group    string
	name     string
	random   *rand.Rand
	conn     *pgx.Conn
	token    string

	lastNumber int64
	// maxAcked and maxAttempted are the lowest and highest value that a correct read of the
	// session's row can return.
	maxAcked     int64
	maxAttempted int64
}

func newSession(l *Load, c Customer, customerIndex, number int) *session {
	return &session{
		load: l, customer: c, group: l.cfg.Groups[(customerIndex+number)%len(l.cfg.Groups)],
		name:   fmt.Sprintf("%s-%d-%d", c.Name, number, l.cfg.Seed),
		random: rand.New(rand.NewPCG(l.cfg.Seed, uint64(1+customerIndex)<<32|uint64(number))),
	}
}

// run executes a request for each arrival until the channel is closed.
func (s *session) run(arrivals <-chan time.Time) {
	for arrived := range arrivals {
		s.serve(arrived)
		if s.random.Float64() < s.load.cfg.RoamShare {
			s.disconnect()
		}
	}
	s.disconnect()
}

func (s *session) serve(arrived time.Time) {
	r := Record{Customer: s.customer.Name, Group: s.group, Arrived: arrived, Kind: s.pickKind(), Cost: 1}
	if err := s.connect(); err != nil {
		r.Sent, r.Done = arrived, time.Now()
		r.Outcome = connectOutcome(err)
		s.load.addRecord(r)
		time.Sleep(reconnectPause)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	r.Sent = time.Now()
	err := s.execute(ctx, &r)
	r.Done, r.Outcome = time.Now(), outcomeOf(err)
	if r.Outcome.Class == Succeeded {
		r.Statements = r.Cost
	}
	s.load.addRecord(r)
	if token := s.conn.PgConn().ParameterStatus("chicoryline.session"); token != "" {
		s.token = token
	}
	if s.conn.IsClosed() || s.conn.PgConn().TxStatus() != 'I' || isConnectionError(err) {
		s.disconnect()
	}
}

// connectOutcome returns the outcome of a request that was never sent.
func connectOutcome(err error) Outcome {
	o := outcomeOf(err)
	o.Class = NotRun
	return o
}

func isConnectionError(err error) bool {
	var pg *pgconn.PgError
	return err != nil && !errors.As(err, &pg)
}

func (s *session) pickKind() Kind {
	if s.random.Float64() >= s.load.cfg.ReadShare {
		if s.random.Float64() < confirmShare {
			return Confirm
		}
		return Book
	}
	switch x := s.random.Float64(); {
	case x < echoShare:
		return Echo
	case x < echoShare+readOwnWriteShare:
		return ReadOwnWrite
	}
	return BoundedRead
}

// connect connects to a random proxy with the session's token.
func (s *session) connect() error {
	if s.conn != nil {
		return nil
	}
	addresses := s.load.cfg.Addresses()
	conn, err := Connect(addresses[s.random.IntN(len(addresses))], s.customer.Name, s.customer.Key, s.group+"-aged", s.token, s.load.cfg.Dial)
	if err == nil {
		s.conn = conn
	}
	return err
}

// Connect opens a caller connection.
func Connect(address, customer, key, route, token string, dial func(context.Context, string, string) (net.Conn, error)) (*pgx.Conn, error) {
	config, err := pgx.ParseConfig("postgres://" + address + "/?sslmode=disable")
	if err != nil {
		return nil, err
	}
	config.User, config.Password, config.Database = customer, key, route
	config.RuntimeParams["chicoryline.session"] = token
	if dial != nil {
		config.DialFunc = dial
	}
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	return pgx.ConnectConfig(ctx, config)
}

func (s *session) disconnect() {
	if s.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	_ = s.conn.Close(ctx)
	s.conn = nil
}

func (s *session) execute(ctx context.Context, r *Record) error {
	switch r.Kind {
	case Book:
		return s.book(ctx, r)
	case Confirm:
		return s.confirm(ctx, r)
	case ReadOwnWrite:
		return s.readOwnWrite(ctx)
	case BoundedRead:
		return s.readClock(ctx)
	default:
		return s.echo(ctx)
	}
}

func (s *session) assignBookingID(r *Record) {
	s.lastNumber++
	r.Booking = s.name + "-" + strconv.FormatInt(s.lastNumber, 10)
}

const insertBooking = "INSERT INTO bookings (id, customer, session, n) VALUES ($1, $2, $3, $4)"

func (s *session) book(ctx context.Context, r *Record) error {
	s.assignBookingID(r)
	_, err := s.conn.Exec(ctx, insertBooking, r.Booking, s.customer.Name, s.name, s.lastNumber)
	return err
}

// beginCost is what BEGIN counts against the rate: one statement for itself and one for the
// end of the transaction.
const beginCost = 2

// confirm writes a booking and the session's row in one transaction.
func (s *session) confirm(ctx context.Context, r *Record) error {
	s.assignBookingID(r)
	r.Cost = beginCost + 2
	tx, err := s.conn.Begin(ctx)
	if err != nil {
		return err
	}
	r.Statements = beginCost
	if err := s.writeBookingAndSession(ctx, tx, r); err != nil {
		_ = tx.Rollback(ctx)
		return err
	}
	s.maxAttempted = s.lastNumber
	err = tx.Commit(ctx)
	if err == nil {
		s.maxAcked = s.lastNumber
	}
	return err
}

func (s *session) writeBookingAndSession(ctx context.Context, tx pgx.Tx, r *Record) error {
	if _, err := tx.Exec(ctx, insertBooking, r.Booking, s.customer.Name, s.name, s.lastNumber); err != nil {
		return err
	}
	r.Statements++
	tag, err := tx.Exec(ctx, "UPDATE sessions SET v = $1 WHERE k = $2", s.lastNumber, s.name)
	if err != nil || tag.RowsAffected() > 0 {
		return err
	}
	r.Statements++
	r.Cost++
	_, err = tx.Exec(ctx, "INSERT INTO sessions (k, v) VALUES ($1, $2)", s.name, s.lastNumber)
	return err
}

// readOwnWrite reads the session's row, which must hold the session's last acknowledged write
// or a later one of unknown outcome.
func (s *session) readOwnWrite(ctx context.Context) error {
	var v int64
	err := s.conn.QueryRow(ctx, "SELECT v FROM sessions WHERE k = $1", s.name).Scan(&v)
	if errors.Is(err, pgx.ErrNoRows) {
		err = nil
	}
	if err != nil {
		return err
	}
	if v < s.maxAcked {
		s.load.addViolation("stale", fmt.Sprintf("session %s read %d after its write of %d was acknowledged", s.name, v, s.maxAcked))
	}
	if v > s.maxAttempted {
		s.load.addViolation("mixed", fmt.Sprintf("session %s read %d but attempted to write at most %d", s.name, v, s.maxAttempted))
	}
	return nil
}

// readClock reads the group's clock row, which may be at most MaxAge stale.
func (s *session) readClock(ctx context.Context) error {
	least := s.load.clocks[s.group].ackedBefore(time.Now().Add(-s.load.cfg.MaxAge))
	var at int64
	if err := s.conn.QueryRow(ctx, "SELECT at FROM clock WHERE k = $1", "now").Scan(&at); err != nil {
		return err
	}
	if at < least {
		s.load.addViolation("stale", fmt.Sprintf("group %s: clock value %d is older than the staleness bound allows (%d)", s.group, at, least))
	}
	return nil
}

// echo reads back a text that no other request uses. A different text means that answers
// were mixed up.
func (s *session) echo(ctx context.Context) error {
	s.lastNumber++
	want := s.name + "/" + strconv.FormatInt(s.lastNumber, 10)
	var got string
	if err := s.conn.QueryRow(ctx, "SELECT '"+want+"'").Scan(&got); err != nil {
		return err
	}
	if got != want {
		s.load.addViolation("mixed", fmt.Sprintf("sent %q and received %q", want, got))
	}
	return nil
}
