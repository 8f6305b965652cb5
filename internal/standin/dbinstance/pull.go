package dbinstance

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"

	"chicoryline/internal/position"
)

const (
	// pullWait is how long a primary waits for a new entry before it returns an empty
	// batch.
	pullWait = 500 * time.Millisecond
	// pullTimeout limits connecting to a primary and, added to the wait, one read of
	// its log.
	pullTimeout = 5 * time.Second
	// pullRetry is the delay before replication is retried after an error.
	pullRetry = 50 * time.Millisecond
	// pullQueue is the maximum number of batches that wait to be applied.
	pullQueue = 256
)

// dialLogFunc connects to the log of the instance and returns a function that closes it.
type dialLogFunc func(ctx context.Context, id string) (LogSource, func(), error)

// puller replicates the log of a store's source to the store.
type puller struct {
	store *Store
	dial  dialLogFunc
	// delay blocks until a batch received at the given time may be applied.
	delay func(ctx context.Context, received time.Time) error
	// report is called with the error that ended replication of a stream.
	report func(Stream, error)
}

// receivedBatch is a batch, the time it was received, and the position that its entries
// follow.
type receivedBatch struct {
	at    time.Time
	after position.Position
	batch Batch
}

// run replicates until the context ends.
func (p *puller) run(ctx context.Context) {
	for ctx.Err() == nil {
		st, changed := p.store.Stream()
		if st.Source == "" {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		err := p.runStream(ctx, st)
		if current, _ := p.store.Stream(); current == st && ctx.Err() == nil {
			p.report(st, err)
			_ = sleepContext(ctx, pullRetry)
		}
	}
}

// runStream replicates one stream until it fails or the store changes to another one.
func (p *puller) runStream(parent context.Context, st Stream) error {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	go p.cancelOnStreamChange(ctx, cancel, st)
	source, closeSource, err := p.dial(ctx, st.Source)
	if err != nil {
		return err
	}
	defer closeSource()
	queue := make(chan receivedBatch, pullQueue)
	applied := make(chan error, 1)
	go func() {
		applied <- p.apply(ctx, st, queue)
		cancel()
	}()
	err = p.fetch(ctx, st, source, queue)
	cancel()
	if applyErr := <-applied; applyErr != nil {
		return applyErr
	}
	return err
}

// cancelOnStreamChange calls cancel when the store's stream is no longer st.
func (p *puller) cancelOnStreamChange(ctx context.Context, cancel context.CancelFunc, st Stream) {
	for {
		current, changed := p.store.Stream()
		if current != st {
			cancel()
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// fetch queues the entries of the primary's log that follow the common prefix.
func (p *puller) fetch(ctx context.Context, st Stream, source LogSource, queue chan<- receivedBatch) error {
	c := newCursor(p.store)
	for {
		b, err := source.ReadLog(ctx, st.Term, c.at, pullWait)
		if err != nil {
			return err
		}
		if !b.Match {
			c.rewind(p.store, b.Floor)
			continue
		}
		if len(b.Entries) == 0 {
			if ctx.Err() != nil {
				return nil
			}
			continue
		}
		select {
		case queue <- receivedBatch{time.Now(), c.at, b}:
		case <-ctx.Done():
			return nil
		}
		c.at = b.Entries[len(b.Entries)-1].Position
	}
}

// apply applies the queued batches, each after its delay.
func (p *puller) apply(ctx context.Context, st Stream, queue <-chan receivedBatch) error {
	for {
		select {
		case r := <-queue:
			if p.delay(ctx, r.at) != nil {
				return nil
			}
			if err := p.store.Accept(st, r.after, r.batch.Entries); err != nil {
				return err
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// replicate replicates from the store's source until the context ends.
func (s *Server) replicate(ctx context.Context) {
	p := &puller{
		store: s.store,
		dial:  s.dialPeer,
		delay: s.delayEntries,
		report: func(st Stream, err error) {
			s.log.WithError(err).WithField("source", st.Source).WithField("term", st.Term).Debug("replication_failed")
		},
	}
	p.run(ctx)
}

// delayEntries waits until the replication lag has passed since the time of receipt and
// the instance is not frozen.
func (s *Server) delayEntries(ctx context.Context, received time.Time) error {
	if err := sleepContext(ctx, time.Duration(s.replicationLag.Load())-time.Since(received)); err != nil {
		return err
	}
	s.faults.waitWhileHeld(ctx.Done(), CutInbound, nil)
	return canceled(ctx)
}

// dialPeer connects to the log of another instance.
func (s *Server) dialPeer(ctx context.Context, id string) (LogSource, func(), error) {
	address := ""
	if s.cfg.Peers != nil {
		address = s.cfg.Peers(id)
	}
	if address == "" {
		return nil, nil, errors.Errorf("address of instance %s is unknown", id)
	}
	cfg, err := pgconn.ParseConfig(fmt.Sprintf("postgres://%s/?sslmode=disable", address))
	if err != nil {
		return nil, nil, errors.Annotatef(err, "parse address of instance %s", id)
	}
	cfg.User, cfg.Password, cfg.Database = s.cfg.User, s.cfg.Password, s.cfg.Group
	cfg.RuntimeParams["application_name"] = peerPrefix + s.cfg.ID + "/" + s.cfg.Domain
	cfg.ConnectTimeout = pullTimeout
	cfg.Fallbacks = nil
	cfg.DialFunc = s.dialFunc(ctx, id)
	conn, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, nil, errors.Annotatef(err, "connect to instance %s", id)
	}
	return &remoteLog{conn}, func() { _ = conn.Conn().Close() }, nil
}

// dialFunc returns a dial function for connections to another instance that injected
// faults can hold. A connection is closed when the context run ends.
func (s *Server) dialFunc(run context.Context, id string) pgconn.DialFunc {
	parties := []string{instanceParty + id}
	if s.cfg.PeerDomain != nil {
		parties = append(parties, domainParty+s.cfg.PeerDomain(id))
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := newFaultConn(conn, s.faults, parties)
		context.AfterFunc(run, func() { _ = c.Close() })
		return c, nil
	}
}

// remoteLog reads the log of another instance over a connection.
type remoteLog struct{ conn *pgconn.PgConn }

// ReadLog implements LogSource.
func (r *remoteLog) ReadLog(ctx context.Context, term uint64, after position.Position, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+pullTimeout)
	defer cancel()
	query := fmt.Sprintf("SELECT * FROM %s(%d, %d, %d, %d)", functionLog, term, after.Term, after.Offset, wait.Milliseconds())
	results, err := r.conn.Exec(ctx, query).ReadAll()
	if err != nil {
		return Batch{}, errors.Annotate(err, "read log")
	}
	b := Batch{Match: true}
	for _, row := range results[0].Rows {
		if string(row[0]) == logRowFloor {
			floor, err := position.Parse(string(row[1]))
			return Batch{Floor: floor}, errors.Trace(err)
		}
		var e Entry
		if err := json.Unmarshal(row[1], &e); err != nil {
			return Batch{}, errors.Annotate(err, "decode log entry")
		}
		b.Entries = append(b.Entries, e)
	}
	return b, nil
}
