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
	// pullWait is how long a primary holds back an answer without entries.
	pullWait = 500 * time.Millisecond
	// pullTimeout bounds one read of the primary's log.
	pullTimeout = 5 * time.Second
	// pullRetry is the pause after a failed run of replication.
	pullRetry = 50 * time.Millisecond
	// pullQueue bounds the batches that wait for the replication lag.
	pullQueue = 256
)

// dialLogFunc opens the log of the named instance and returns a function to close it.
type dialLogFunc func(ctx context.Context, id string) (LogSource, func(), error)

// puller keeps a store's log up to date with its source.
type puller struct {
	store *Store
	dial  dialLogFunc
	// delay waits until a batch that was received at the time may be applied.
	delay func(ctx context.Context, received time.Time) error
	// report takes the error that ended a run.
	report func(Stream, error)
}

// receivedBatch is a batch and when it arrived.
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

// runStream replicates one stream until it fails or is no longer the store's.
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

// cancelOnStreamChange ends the run when the store's stream changes.
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

// fetch reads the primary's log from the common prefix on.
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

// apply takes each batch when the replication lag has passed.
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

// replicate runs the server's puller.
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

// delayEntries waits until the replication lag since the time has passed, and
// until the instance is not frozen.
func (s *Server) delayEntries(ctx context.Context, received time.Time) error {
	if err := sleepContext(ctx, time.Duration(s.replicationLag.Load())-time.Since(received)); err != nil {
		return err
	}
	s.faults.waitWhileHeld(ctx.Done(), CutInbound, nil)
	return canceled(ctx)
}

// dialPeer opens the log of another instance.
func (s *Server) dialPeer(ctx context.Context, id string) (LogSource, func(), error) {
	address := ""
	if s.cfg.Peers != nil {
		address = s.cfg.Peers(id)
	}
	if address == "" {
		return nil, nil, errors.Errorf("instance %s has no address", id)
	}
	cfg, err := pgconn.ParseConfig(fmt.Sprintf("postgres://%s/?sslmode=disable", address))
	if err != nil {
		return nil, nil, errors.Annotatef(err, "address of instance %s", id)
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

// dialFunc returns a dial function for connections to another instance that the
// fault switches can hold. A connection is closed when the run's context ends.
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
		l := newFaultConn(conn, s.faults, parties)
		context.AfterFunc(run, func() { _ = l.Close() })
		return l, nil
	}
}

// remoteLog is the log of an instance behind a connection.
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
			return Batch{}, errors.Annotate(err, "log entry")
		}
		b.Entries = append(b.Entries, e)
	}
	return b, nil
}
