package services

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"chicoryline/internal/errkind"
)

const (
	// dialTimeout bounds the time to open a connection to the platform.
	dialTimeout = 500 * time.Millisecond
	// maxResponseBytes is the largest response body that the client reads.
	maxResponseBytes = 64 << 20
	// maxIdleConnsPerAddress is the maximum number of idle connections to each address.
	maxIdleConnsPerAddress = 4
)

// DialFunc opens a connection; tests replace it to simulate network partitions.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Option configures a Client.
type Option func(*Client)

// WithDial makes the client open its connections with dial.
func WithDial(dial DialFunc) Option {
	return func(c *Client) { c.http.Transport = newTransport(dial) }
}

// Client calls the platform over HTTP. It starts with the address that answered last and
// tries the next one only if the call cannot have had an effect. It is safe for
// concurrent use.
type Client struct {
	baseURLs     []string
	vm           VM
	http         *http.Client
	lastAnswered atomic.Int64 // index of the base URL that answered last
}

// NewClient returns a client that calls the base URLs, such as "http://10.0.0.1:8200", on
// behalf of the VM.
func NewClient(baseURLs []string, vm VM, options ...Option) (*Client, error) {
	if len(baseURLs) == 0 {
		return nil, errors.NotValidf("empty list of platform addresses")
	}
	c := &Client{vm: vm, http: &http.Client{}}
	for _, base := range baseURLs {
		u, err := url.Parse(base)
		if err != nil || u.Host == "" {
			return nil, errors.NotValidf("platform address %q", base)
		}
		c.baseURLs = append(c.baseURLs, strings.TrimSuffix(base, "/"))
	}
	WithDial((&net.Dialer{Timeout: dialTimeout}).DialContext)(c)
	for _, option := range options {
		option(c)
	}
	return c, nil
}

func newTransport(dial DialFunc) *http.Transport {
	return &http.Transport{DialContext: dial, MaxIdleConnsPerHost: maxIdleConnsPerAddress, IdleConnTimeout: time.Minute}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements Table.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := c.read(ctx, PathRow, url.Values{"key": {key}}, &row)
	return row, err
}

// List implements Table.
func (c *Client) List(ctx context.Context, prefix string) ([]Row, error) {
	var rows []Row
	err := c.read(ctx, PathRows, url.Values{"prefix": {prefix}}, &rows)
	return rows, err
}

// CompareAndSet implements Table.
func (c *Client) CompareAndSet(ctx context.Context, key string, version uint64, value []byte, requestID string) (Row, error) {
	var row Row
	err := c.write(ctx, PathCompareAndSet, WriteRequest{key, version, value, requestID}, &row)
	return row, err
}

// Delete implements Table.
func (c *Client) Delete(ctx context.Context, key string, version uint64, requestID string) error {
	return c.write(ctx, PathDelete, WriteRequest{Key: key, Version: version, RequestID: requestID}, nil)
}

// PutObject implements Objects.
func (c *Client) PutObject(ctx context.Context, data []byte) (string, error) {
	var body ObjectBody
	err := c.write(ctx, PathObject, ObjectBody{Data: data}, &body)
	return body.Name, err
}

// Object implements Objects.
func (c *Client) Object(ctx context.Context, name string) ([]byte, error) {
	var body ObjectBody
	err := c.read(ctx, PathObject, url.Values{"name": {name}}, &body)
	return body.Data, err
}

// Groups implements Groups.
func (c *Client) Groups(ctx context.Context) ([]Group, error) {
	var groups []Group
	err := c.read(ctx, PathGroups, nil, &groups)
	return groups, err
}

// VMs implements VMs.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var vms []VM
	err := c.read(ctx, PathVMs, nil, &vms)
	return vms, err
}

// Register implements VMs. It is idempotent, so the error for a lost response is
// errkind.PlatformUnavailable, not errkind.PlatformUnknown.
func (c *Client) Register(ctx context.Context, vm VM) error {
	body, err := json.Marshal(vm)
	if err != nil {
		return errors.Trace(err)
	}
	return c.call(ctx, request{method: http.MethodPost, path: PathVMs, body: body}, nil)
}

// request is one HTTP request.
type request struct {
	method string
	path   string
	body   []byte
	// mutates is true if repeating the request could have a further effect.
	mutates bool
}

func (c *Client) read(ctx context.Context, path string, query url.Values, answer any) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return c.call(ctx, request{method: http.MethodGet, path: path}, answer)
}

func (c *Client) write(ctx context.Context, path string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Trace(err)
	}
	return c.call(ctx, request{method: http.MethodPost, path: path, body: data, mutates: true}, answer)
}

func (c *Client) call(ctx context.Context, r request, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	first := int(c.lastAnswered.Load())
	var err error
	for i := range c.baseURLs {
		n := (first + i) % len(c.baseURLs)
		if err = c.attempt(ctx, c.baseURLs[n], r, answer); err == nil {
			c.lastAnswered.Store(int64(n))
			return nil
		}
		if !errkind.Is(err, errkind.PlatformUnavailable) || ctx.Err() != nil {
			return err
		}
	}
	return err
}

func (c *Client) attempt(ctx context.Context, base string, r request, answer any) error {
	// The transport calls GotConn before it writes the first byte.
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, r.method, base+r.path, bytes.NewReader(r.body))
	if err != nil {
		return errors.Trace(err)
	}
	req.Header.Set("Content-Type", ContentJSON)
	req.Header.Set(HeaderVM, c.vm.ID)
	req.Header.Set(HeaderDomain, c.vm.Domain)
	resp, err := c.http.Do(req)
	if err != nil {
		return callError(r, sent.Load(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return callError(r, true, err)
	}
	return decodeResponse(r, resp.StatusCode, data, answer)
}

// callError returns the error of a call without a usable response. A write that may have
// been sent has an unknown outcome.
func callError(r request, sent bool, err error) error {
	if r.mutates && sent {
		return errkind.New(errkind.PlatformUnknown, "%s: %v", r.path, err)
	}
	return errkind.New(errkind.PlatformUnavailable, "%s: %v", r.path, err)
}

func decodeResponse(r request, status int, data []byte, answer any) error {
	if status == http.StatusOK {
		if answer == nil {
			return nil
		}
		if err := json.Unmarshal(data, answer); err != nil {
			return callError(r, true, err)
		}
		return nil
	}
	var body ErrorBody
	if err := json.Unmarshal(data, &body); err == nil {
		if err, ok := body.Err(); ok {
			return err
		}
	}
	if status >= http.StatusBadRequest && status < http.StatusInternalServerError {
		return errkind.New(errkind.Internal, "%s: status %d: %s", r.path, status, body.Detail)
	}
	return callError(r, true, errors.Errorf("status %d", status))
}
