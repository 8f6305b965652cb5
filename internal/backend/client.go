package backend

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"

	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
	"chicoryline/internal/tcp"
)

const (
	// DialTimeout bounds the opening of a control connection.
	DialTimeout = 2 * time.Second
	// CommandTimeout bounds a command whose context has no earlier deadline.
	CommandTimeout = 5 * time.Second
	// ControlConnections is the maximum number of connections of a Client.
	ControlConnections = 2
)

// SQLSTATE codes that an instance returns for control commands.
const (
	codeNotReady = "55000"
	codeFenced   = "55006"
)

// DialFunc opens a connection; tests replace it to simulate network partitions.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ClientConfig configures the connection to one instance.
type ClientConfig struct {
	// ID is the instance's id.
	ID string
	// Address is the instance's host:port.
	Address string
	// User and Password are the proxy's own credentials.
	User     string
	Password string
	// ApplicationName is reported to the instance.
	ApplicationName string
	// Dial opens connections; nil uses TCP.
	Dial DialFunc
}

// Client implements Control for one instance over the PostgreSQL protocol. It keeps one
// connection for commands and one for Wait, and reopens them after a failure. It is safe
// for concurrent use.
type Client struct {
	commands *controlConn
	waiter   *waiter
}

var _ Control = (*Client)(nil)

// NewClient returns a client, which connects at the first command.
func NewClient(cfg ClientConfig) *Client {
	return &Client{
		commands: newControlConn(cfg),
		waiter:   newWaiter(newControlConn(cfg)),
	}
}

// Close closes the connections.
func (c *Client) Close() {
	c.waiter.close()
	c.commands.close()
}

// Status implements Control.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return c.commands.call(ctx, "SELECT * FROM instance_status()")
}

// Wait implements Control. Concurrent calls share one connection.
func (c *Client) Wait(ctx context.Context, p position.Position, timeout time.Duration) (Status, error) {
	return c.waiter.wait(ctx, p, timeout)
}

// Fence implements Control.
func (c *Client) Fence(ctx context.Context, term uint64) (Status, error) {
	return c.commands.call(ctx, fmt.Sprintf("SELECT * FROM instance_fence(%d)", term))
}

// Promote implements Control.
func (c *Client) Promote(ctx context.Context, term uint64) (Status, error) {
	return c.commands.call(ctx, fmt.Sprintf("SELECT * FROM instance_promote(%d)", term))
}

// Follow implements Control.
func (c *Client) Follow(ctx context.Context, term uint64, primary string) (Status, error) {
	return c.commands.call(ctx, fmt.Sprintf("SELECT * FROM instance_follow(%d, %s)", term, quote(primary)))
}

func quote(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

// controlConn is one connection to an instance, opened on demand. The channel sem is a
// semaphore of one token, held by the call that uses the connection; unlike a mutex it
// can be waited for with a deadline.
type controlConn struct {
	cfg  ClientConfig
	sem  chan struct{}
	conn *pgconn.PgConn
	// commands is the number of commands sent.
	commands uint64

	// ctx is canceled when the client is closed.
	ctx  context.Context
	stop context.CancelFunc
}

func newControlConn(cfg ClientConfig) *controlConn {
	c := &controlConn{cfg: cfg, sem: make(chan struct{}, 1)}
	c.ctx, c.stop = context.WithCancel(context.Background())
	c.sem <- struct{}{}
	return c
}

// call sends one command and returns the status in its answer.
func (c *controlConn) call(ctx context.Context, command string) (Status, error) {
	return c.callWithTimeout(ctx, command, CommandTimeout)
}

func (c *controlConn) callWithTimeout(ctx context.Context, command string, timeout time.Duration) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	defer context.AfterFunc(c.ctx, cancel)()
	select {
	case <-c.sem:
		defer func() { c.sem <- struct{}{} }()
	case <-ctx.Done():
		return Status{}, errkind.New(errkind.Unreachable, "instance %s: no turn before the deadline", c.cfg.ID)
	}
	wasOpen := c.conn != nil && !c.conn.IsClosed()
	status, err := c.execute(ctx, command)
	if !wasOpen || !errkind.Is(err, errkind.OutcomeUnknown) || ctx.Err() != nil {
		return status, err
	}
	// The instance may have closed the idle connection earlier. Commands are
	// idempotent, so one retry is safe. If the retry doesn't reach the instance, the
	// outcome of the first attempt remains unknown.
	status, retryErr := c.execute(ctx, command)
	if errkind.Is(retryErr, errkind.Unreachable) {
		return status, err
	}
	return status, retryErr
}

// execute sends the command once. The caller holds sem.
func (c *controlConn) execute(ctx context.Context, command string) (Status, error) {
	if err := c.open(ctx); err != nil {
		return Status{}, errkind.New(errkind.Unreachable, "instance %s: %v", c.cfg.ID, err)
	}
	c.commands++
	number := strconv.FormatUint(c.commands, 10)
	results, err := c.conn.Exec(ctx, numbered(number, command)).ReadAll()
	var refusal *pgconn.PgError
	if (err == nil || errors.As(err, &refusal)) && !hasNumber(results, number) {
		c.discard()
		return Status{}, errkind.New(errkind.OutcomeUnknown, "instance %s: answer to another command", c.cfg.ID)
	}
	if err != nil {
		return Status{}, c.commandError(err)
	}
	return c.parse(results[numberResults:])
}

// settingNumber is a setting that holds the number of the command on its connection, and
// numberResults the number of results in front of the command's own.
const (
	settingNumber = "chicoryline.command"
	numberResults = 2
)

// numbered returns the command with statements in front that return its number. Answers of the
// protocol carry no ID, and a server may send one twice: the second one has another number.
func numbered(number, command string) string {
	return fmt.Sprintf("SET %s = %s; SHOW %s; %s", settingNumber, quote(number), settingNumber, command)
}

// hasNumber reports whether the results belong to the command with the number.
func hasNumber(results []*pgconn.Result, number string) bool {
	return len(results) >= numberResults && len(results[1].Rows) == 1 && len(results[1].Rows[0]) == 1 && string(results[1].Rows[0][0]) == number
}

// open opens the connection unless it is already open. The caller holds sem.
func (c *controlConn) open(ctx context.Context) error {
	if c.ctx.Err() != nil {
		return errors.New("client is closed")
	}
	if c.conn != nil && !c.conn.IsClosed() {
		return nil
	}
	if err := tcp.CheckAddress(c.cfg.Address); err != nil {
		return err
	}
	cfg, err := pgconn.ParseConfig("postgres://" + c.cfg.Address + "/?sslmode=disable")
	if err != nil {
		return errors.Trace(err)
	}
	cfg.User, cfg.Password, cfg.Database = c.cfg.User, c.cfg.Password, "control"
	cfg.ConnectTimeout, cfg.Fallbacks = DialTimeout, nil
	cfg.RuntimeParams = map[string]string{"application_name": c.cfg.ApplicationName}
	if c.cfg.Dial != nil {
		cfg.DialFunc = pgconn.DialFunc(c.cfg.Dial)
	}
	c.conn, err = pgconn.ConnectConfig(ctx, cfg)
	return errors.Trace(err)
}

// discard closes the connection without a Terminate message. The caller holds sem.
func (c *controlConn) discard() {
	if c.conn == nil {
		return
	}
	_ = c.conn.Conn().Close()
	c.conn = nil
}

// close cancels a running command and closes the connection.
func (c *controlConn) close() {
	c.stop()
	<-c.sem
	c.discard()
	c.sem <- struct{}{}
}

// commandError converts the error of a failed command to an errkind error.
func (c *controlConn) commandError(err error) error {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return errkind.New(kindOfCode(pgErr.Code), "instance %s: %s", c.cfg.ID, pgErr.Message)
	}
	kind := errkind.OutcomeUnknown
	if pgconn.SafeToRetry(err) {
		kind = errkind.Unreachable
	}
	c.discard()
	return errkind.New(kind, "instance %s: %v", c.cfg.ID, err)
}

func kindOfCode(code string) errkind.Kind {
	switch code {
	case codeFenced:
		return errkind.Fenced
	case codeNotReady:
		return errkind.Conflict
	}
	return errkind.StatementFailed
}

// parse reads the status from the answer of a control command, which has one row.
func (c *controlConn) parse(results []*pgconn.Result) (Status, error) {
	if len(results) != 1 || len(results[0].Rows) != 1 {
		return Status{}, errkind.New(errkind.OutcomeUnknown, "instance %s: answer is not one row", c.cfg.ID)
	}
	s, err := parseStatus(results[0].Rows[0])
	if err != nil {
		return Status{}, errkind.New(errkind.OutcomeUnknown, "instance %s: %v", c.cfg.ID, err)
	}
	return s, nil
}
