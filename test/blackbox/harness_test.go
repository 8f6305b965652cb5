// Package blackbox tests the chicoryline binary as separate processes: a stand-in
// platform, stand-in backend servers and proxies. Callers use pgx.
package blackbox

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/json"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"chicoryline/internal/backend"
	"chicoryline/internal/catalog"
	"chicoryline/internal/configsync"
	"chicoryline/internal/services"
)

const (
	backendPassword = "backend-password"
	// settleTimeout bounds every wait for a condition.
	settleTimeout = 30 * time.Second
	// pollInterval is the interval between two checks of a condition.
	pollInterval = 50 * time.Millisecond
)

// process is a running process of the binary. mu guards output, which holds its log.
type process struct {
	name   string
	cmd    *exec.Cmd
	output *bytes.Buffer
	mu     *sync.Mutex
	done   chan struct{}
}

// installation is a platform, its backend servers and proxies, all running as processes.
// The maps are keyed by the ID of the backend server or VM, keys by customer.
type installation struct {
	t        *testing.T
	binary   string
	dir      string
	platform string
	services *services.Client
	groups   []services.Group
	keys     map[string]string

	instances       map[string]*process
	proxies         map[string]*process
	callerAddresses map[string]string
	peerAddresses   map[string]string
	spec            spec
	adminAddresses  map[string]string
}

// firstPort and portCount define the range of listening ports. It lies below the kernel's
// ephemeral ports, which begin at 32768.
const firstPort, portCount = 20000, 12000

var assignedPorts sync.Map // ports that were already handed out

// freeAddress returns a loopback address with a port that was free when checked and that
// neither another test of this process nor an outgoing connection uses.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range portCount {
		port := firstPort + mathrand.IntN(portCount)
		if _, taken := assignedPorts.LoadOrStore(port, true); taken {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue // in use by another process
		}
		defer func() { _ = l.Close() }()
		return l.Addr().String()
	}
	t.Fatal("no free port")
	return ""
}

// start runs the binary, waits for the first line of its standard output, and returns its
// key=value pairs.
func (in *installation) start(name string, args ...string) (*process, map[string]string) {
	in.t.Helper()
	p := &process{name: name, cmd: exec.Command(in.binary, args...), output: &bytes.Buffer{}, mu: &sync.Mutex{}, done: make(chan struct{})}
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		in.t.Fatal(err)
	}
	p.cmd.Stderr = lockedWriter{p.mu, p.output}
	if err := p.cmd.Start(); err != nil {
		in.t.Fatal(err)
	}
	first := make(chan string, 1)
	go func() {
		lines := bufio.NewScanner(stdout)
		for lines.Scan() {
			select {
			case first <- lines.Text():
			default:
			}
		}
		_ = p.cmd.Wait()
		close(p.done)
	}()
	in.t.Cleanup(func() { p.kill() })
	select {
	case line := <-first:
		return p, parseFields(line)
	case <-p.done:
	case <-time.After(settleTimeout):
	}
	in.t.Fatalf("%s did not start: %s", name, p.logText())
	return nil, nil
}

// lockedWriter writes to out while holding mu.
type lockedWriter struct {
	mu  *sync.Mutex
	out *bytes.Buffer
}

// Write implements io.Writer.
func (w lockedWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(b)
}

// logText returns the log of the process so far.
func (p *process) logText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill sends SIGKILL to the process and waits until it has exited.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// parseFields parses a line of key=value pairs.
func parseFields(line string) map[string]string {
	pairs := map[string]string{}
	for _, field := range strings.Fields(line) {
		if key, value, ok := strings.Cut(field, "="); ok {
			pairs[key] = value
		}
	}
	return pairs
}

// build compiles the binary once per test run and returns its path.
var build = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "chicoryline")
	if err != nil {
		return "", err
	}
	binary := filepath.Join(dir, "chicoryline")
	out, err := exec.Command("go", "build", "-o", binary, "chicoryline/cmd/chicoryline").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return binary, nil
})

// spec describes an installation. rate and burst are the limits of every customer.
type spec struct {
	proxies, groups, instances, domains int
	customers                           []string
	rate, burst                         float64
	// settings is appended to the settings file of every proxy. tls is the callers' TLS
	// configuration; with nil they connect without TLS.
	settings string
	tls      *tls.Config
}

// newInstallation starts all processes and waits until every proxy serves.
func newInstallation(t *testing.T, s spec) *installation {
	t.Helper()
	binary, err := build()
	if err != nil {
		t.Fatal(err)
	}
	in := &installation{
		t: t, binary: binary, dir: t.TempDir(), keys: map[string]string{},
		instances: map[string]*process{}, proxies: map[string]*process{}, callerAddresses: map[string]string{}, peerAddresses: map[string]string{},
		adminAddresses: map[string]string{}, spec: s,
	}
	in.startInstances(s)
	in.startPlatform()
	in.configure(s)
	for i := range s.proxies {
		in.startProxy(fmt.Sprintf("vm%d", i+1), domain(i, s.domains))
	}
	for id := range in.callerAddresses {
		in.eventually("proxy "+id+" serves", func() error { return in.ping(id) })
	}
	return in
}

func domain(i, domains int) string { return fmt.Sprintf("domain%d", i%domains+1) }

func (in *installation) startInstances(s spec) {
	for g := range s.groups {
		group := services.Group{Name: fmt.Sprintf("group%d", g+1), Connections: 35, Slots: 5}
		for i := range s.instances {
			id := fmt.Sprintf("%s-db%d", group.Name, i+1)
			group.Instances = append(group.Instances, services.Instance{ID: id, Address: freeAddress(in.t), Domain: domain(g+i, s.domains)})
		}
		for i := range group.Instances {
			in.startInstance(group, i)
		}
		in.groups = append(in.groups, group)
	}
}

func (in *installation) startInstance(group services.Group, i int) {
	instance := group.Instances[i]
	in.adminAddresses[instance.ID] = freeAddress(in.t)
	args := []string{"standin", "instance", "--id", instance.ID, "--group", group.Name, "--failure-domain", instance.Domain,
		"--listen", instance.Address, "--admin", in.adminAddresses[instance.ID], "--password", backendPassword, "--replication-lag", "1ms"}
	if i == 0 {
		args = append(args, "--primary")
	} else {
		args = append(args, "--source", group.Instances[0].ID)
	}
	for j, other := range group.Instances {
		if j != i {
			args = append(args, "--peer", other.ID+"="+other.Address)
		}
	}
	in.instances[instance.ID], _ = in.start(instance.ID, args...)
}

func (in *installation) startPlatform() {
	data, err := json.Marshal(in.groups)
	if err != nil {
		in.t.Fatal(err)
	}
	path := filepath.Join(in.dir, "groups.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		in.t.Fatal(err)
	}
	_, startLine := in.start("platform", "standin", "platform", "--groups", path, "--list-lag", "200ms")
	in.platform = startLine["platform"]
	in.services, err = services.NewClient([]string{in.platform}, services.VM{ID: "operator"})
	if err != nil {
		in.t.Fatal(err)
	}
}

// configure submits the first configuration, with two routes for each group: groupN
// (current data) and groupN-aged (reads up to one second old).
func (in *installation) configure(s spec) {
	var b strings.Builder
	b.WriteString("[session]\ntoken_secret = 00112233445566778899aabbccddeeff\n")
	for _, name := range s.customers {
		key, hash, err := catalog.NewKey(rand.Reader)
		if err != nil {
			in.t.Fatal(err)
		}
		in.keys[name] = key
		fmt.Fprintf(&b, "[customer %s]\nrate = %g\nburst = %g\nkey.main = %s\n", name, s.rate, s.burst, hash)
	}
	for _, g := range in.groups {
		fmt.Fprintf(&b, "[group %s]\n[route %s]\ngroup = %s\nmode = session\n", g.Name, g.Name, g.Name)
		fmt.Fprintf(&b, "[route %s-aged]\ngroup = %s\nmode = session\nmax_age = 1s\n", g.Name, g.Name)
	}
	in.patch(0, b.String())
}

// patch submits a configuration patch against the base version and returns its result.
func (in *installation) patch(base uint64, text string) configsync.Result {
	in.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	result, err := configsync.Submit(ctx, in.services, base, []byte(text), fmt.Sprintf("patch-%d-%d", base, time.Now().UnixNano()))
	if err != nil {
		in.t.Fatalf("patch: %v (%s)", err, result.Reason)
	}
	return result
}

func (in *installation) startProxy(id, failureDomain string) {
	text := fmt.Sprintf(`[vm]
id = %s
failure_domain = %s
caller_listen = 127.0.0.1:0
peer_listen = 127.0.0.1:0
metrics_listen = 127.0.0.1:0
[platform]
urls = %s
[backend]
password = %s
[limits]
drain_timeout = 5s
`, id, failureDomain, in.platform, backendPassword) + in.spec.settings
	path := filepath.Join(in.dir, id+".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		in.t.Fatal(err)
	}
	p, startLine := in.start(id, "serve", "--settings", path)
	in.proxies[id], in.callerAddresses[id], in.peerAddresses[id] = p, startLine["callers"], startLine["peers"]
}

// ping runs a trivial query on every group through the proxy, as one of the customers.
func (in *installation) ping(proxy string) error {
	for name := range in.keys {
		for _, g := range in.groups {
			conn, err := in.dial(proxy, name, g.Name, "")
			if err != nil {
				return err
			}
			_, err = conn.Exec(context.Background(), "SELECT 1")
			_ = conn.Close(context.Background())
			if err != nil {
				return err
			}
		}
		return nil
	}
	return nil
}

// dial opens a caller's connection through the proxy; an empty token sends none.
func (in *installation) dial(proxy, customer, route, token string) (*pgx.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	config, err := pgx.ParseConfig("postgres://" + in.callerAddresses[proxy] + "/?sslmode=disable")
	if err != nil {
		return nil, err
	}
	config.User, config.Password, config.Database = customer, in.keys[customer], route
	config.TLSConfig = in.spec.tls
	if token != "" {
		config.RuntimeParams["chicoryline.session"] = token
	}
	return pgx.ConnectConfig(ctx, config)
}

// connect is dial, but fails the test on an error and closes the connection at its end.
func (in *installation) connect(proxy, customer, route, token string) *pgx.Conn {
	in.t.Helper()
	conn, err := in.dial(proxy, customer, route, token)
	if err != nil {
		in.t.Fatalf("connect to %s: %v", proxy, err)
	}
	in.t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

// instance returns the description of the backend server.
func (in *installation) instance(id string) services.Instance {
	in.t.Helper()
	for _, g := range in.groups {
		for _, i := range g.Instances {
			if i.ID == id {
				return i
			}
		}
	}
	in.t.Fatalf("unknown instance %s", id)
	return services.Instance{}
}

// status requests the status of an instance directly, bypassing the proxies.
func (in *installation) status(id string) (backend.Status, error) {
	client := backend.NewClient(backend.ClientConfig{ID: id, Address: in.instance(id).Address, User: "chicoryline", Password: backendPassword})
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return client.Status(ctx)
}

// primary returns the group's active primary; of several, the one with the highest fence.
func (in *installation) primary(group string) string {
	in.t.Helper()
	best, term := "", uint64(0)
	for _, g := range in.groups {
		for _, i := range g.Instances {
			if s, err := in.status(i.ID); g.Name == group && err == nil && s.IsActivePrimary() && s.Fence >= term {
				best, term = i.ID, s.Fence
			}
		}
	}
	if best == "" {
		in.t.Fatalf("group %s has no primary", group)
	}
	return best
}

// role returns the role that the instance reports, or the error of the request.
func (in *installation) role(id string) string {
	s, err := in.status(id)
	if err != nil {
		return err.Error()
	}
	return string(s.Role)
}

// platformFault sets or clears a fault of the stand-in platform.
func (in *installation) platformFault(query string) { in.post(in.platform + "/fault?" + query) }

// instanceFault sets or clears a fault of a stand-in instance.
func (in *installation) instanceFault(id, query string) {
	in.post("http://" + in.adminAddresses[id] + "/fault?" + query)
}

func (in *installation) post(url string) {
	in.t.Helper()
	response, err := http.Post(url, "", nil)
	if err != nil {
		in.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusBadRequest {
		in.t.Fatalf("%s: %s", url, response.Status)
	}
}

// eventually waits until check returns nil. After settleTimeout it fails the test with
// the last error.
func (in *installation) eventually(what string, check func() error) {
	in.t.Helper()
	deadline := time.Now().Add(settleTimeout)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			in.t.Fatalf("%s: %v", what, err)
		}
		time.Sleep(pollInterval)
	}
}
